// Package oncebody holds a request body that can't be read a second time. A
// request with a body that is neither nil nor http.NoBody and has no GetBody is
// never replayed by http.Transport, whatever its method and header fields are.
package oncebody

import "io"

// Body is the body. It is used by one goroutine.
type Body struct {
	data []byte
}

var _ io.ReadCloser = (*Body)(nil)

// New returns a body with the given bytes.
func New(data []byte) *Body {
	return &Body{data: data}
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *Body) Close() error {
	return nil
}
