package graceful

import (
	"errors"
	"io"
	"net/http"
)

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

// closeAnnouncer writes the response to a request of a connection whose close is
// announced. If the request's body was not read to its end when the response begins, the
// HTTP server closes the connection: otherwise it would wait for the rest of the body
// before it sends the response.
type closeAnnouncer struct {
	http.ResponseWriter
	body  *watchedBody
	begun bool
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

// begin decides, once, who closes the connection.
func (a *closeAnnouncer) begin() {
	if a.begun {
		return
	}
	a.begun = true
	if !a.body.ended && a.Header().Get("Connection") == closeOption {
		a.Header().Set("Connection", "close")
	}
}
