package graceful

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// closeOption is the value of the Connection field that announces the close of a
// connection. The space, which is not sent, keeps the HTTP server from closing the
// connection itself: it would drop requests that have arrived meanwhile.
const closeOption = "close "

// closeByServer is the value with which the HTTP server closes the connection itself.
const closeByServer = "close"

// unreadTimeout bounds how long the HTTP server waits for the rest of a body that the handler did
// not read to its end: it does so before it sends the response.
const unreadTimeout = 250 * time.Millisecond

// watchedBody is a request body that remembers whether it was read to its end.
type watchedBody struct {
	io.ReadCloser
	ended bool
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || errors.Is(err, io.EOF)
	return n, err
}

// watch returns a request whose body remembers its end, and that body. It leaves the given
// request alone, from which the HTTP server knows whether the caller waits for a status
// 100 before it sends the body.
func watch(r *http.Request) (*http.Request, *watchedBody) {
	if r.Body == http.NoBody {
		return r, &watchedBody{ended: true}
	}
	watched := r.WithContext(r.Context())
	body := &watchedBody{ReadCloser: r.Body}
	watched.Body = body
	return watched, body
}

// closeAnnouncer writes the response to a request. If the server is leaving when the
// response begins, it announces the close of the connection.
type closeAnnouncer struct {
	http.ResponseWriter
	server *Server
	body   *watchedBody
	// begun is true once the response has begun, announced if it announces the close.
	begun, announced bool
}

// Unwrap lets http.ResponseController find the writer below.
func (a *closeAnnouncer) Unwrap() http.ResponseWriter {
	return a.ResponseWriter
}

// WriteHeader implements http.ResponseWriter.
func (a *closeAnnouncer) WriteHeader(status int) {
	if status >= http.StatusOK {
		a.begin()
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (a *closeAnnouncer) Write(data []byte) (int, error) {
	a.begin()
	return a.ResponseWriter.Write(data)
}

// FlushError is called by http.ResponseController.
func (a *closeAnnouncer) FlushError() error {
	a.begin()
	return http.NewResponseController(a.ResponseWriter).Flush()
}

// begin bounds, once, the wait for a body that was not read to its end, and decides whether the
// response announces the close of the connection, and who closes it. If the request's body was not read to its end, that is the HTTP server:
// otherwise it would wait for the rest of the body before it sends the response.
func (a *closeAnnouncer) begin() {
	if a.begun {
		return
	}
	a.begun = true
	if !a.body.ended {
		// A writer that supports no deadlines does not wait.
		_ = http.NewResponseController(a.ResponseWriter).SetReadDeadline(time.Now().Add(unreadTimeout))
	}
	if !a.server.leaving.Load() || a.Header().Get("Connection") == closeByServer {
		return
	}
	if !a.body.ended {
		a.Header().Set("Connection", closeByServer)
		return
	}
	a.announced = true
	a.Header().Set("Connection", closeOption)
}
