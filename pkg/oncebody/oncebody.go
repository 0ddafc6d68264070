// Package oncebody provides a request body that can be read only once.
// http.Transport never replays a request whose body is neither nil nor
// http.NoBody and that has no GetBody function, whatever its method and header
// fields are.
package oncebody

import "io"

// Body is a request body in memory. It is not safe for concurrent use.
type Body struct {
	data []byte
}

var _ io.ReadCloser = (*Body)(nil)

// New returns a Body that reads data. It does not copy data.
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
