package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// errUploadCut means that an answer ended with its connection while the request was not
// written as a whole.
var errUploadCut = errors.New("the connection ended before the request was written")

// uploadWait bounds the wait for the end of the writing of a request whose answer has ended
// with its connection, which ends the writing too.
const uploadWait = time.Second

// upload tells whether a request was written as a whole.
type upload struct {
	once sync.Once
	// done is closed when the writing has ended, err is set before.
	done chan struct{}
	err  error
}

func newUpload() *upload {
	return &upload{done: make(chan struct{})}
}

// ended records the end of the writing.
func (u *upload) ended(info httptrace.WroteRequestInfo) {
	u.once.Do(func() {
		u.err = info.Err
		close(u.done)
	})
}

// whole waits for the end of the writing and reports whether all was written.
func (u *upload) whole(ctx context.Context) bool {
	timer := time.NewTimer(uploadWait)
	defer timer.Stop()
	select {
	case <-u.done:
		return u.err == nil
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

// unframedBody is the body of a response that ends with its connection. The write of a request
// takes the error that a reset leaves on the connection, and the read that follows sees an
// ordinary end: such an end counts only if the request was written as a whole.
type unframedBody struct {
	io.ReadCloser
	ctx    context.Context
	upload *upload
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.upload.whole(b.ctx) {
		return n, errUploadCut
	}
	return n, err
}

// guardEnd lets the body of a response fail if its end may be that of a reset connection.
func (w *attemptConn) guardEnd(ctx context.Context, response *http.Response) {
	if response.Body != http.NoBody && !framed(response) && w.upload != nil {
		response.Body = &unframedBody{ReadCloser: response.Body, ctx: ctx, upload: w.upload}
	}
}
