package dispatch

import (
	"io"
	"net"
	"net/http"
	"time"
)

// Limits of the connections to endpoints.
const (
	dialTimeout           = 3 * time.Second
	keepAliveInterval     = 15 * time.Second
	idleConnTimeout       = 30 * time.Second
	maxIdleConnsPerHost   = 64
	maxResponseHeadBytes  = 64 << 10
	transportBufferBytes  = 4 << 10
	maxIdleConnsAllHosts  = 4096
	tlsHandshakeTimeout   = 3 * time.Second
	expectContinueTimeout = time.Second
)

// NewTransport returns a transport for attempts. It never uses a proxy, follows
// no redirect (RoundTrip does not), and asks for no compression. A fresh
// transport makes a new connection for each attempt.
func NewTransport(fresh bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		DisableKeepAlives:      fresh,
		MaxIdleConns:           maxIdleConnsAllHosts,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeadBytes,
		TLSHandshakeTimeout:    tlsHandshakeTimeout,
		ExpectContinueTimeout:  expectContinueTimeout,
		WriteBufferSize:        transportBufferBytes,
		ReadBufferSize:         transportBufferBytes,
	}
}

// onceBody is a request body that can't be read a second time. A request with
// a body that is not nil, not http.NoBody and has no GetBody is never replayed
// by http.Transport, whatever its method and header fields are.
type onceBody struct {
	data []byte
}

var _ io.ReadCloser = (*onceBody)(nil)

// Read implements io.Reader.
func (b *onceBody) Read(p []byte) (int, error) {
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *onceBody) Close() error {
	return nil
}

// guardReplay gives the request a body that http.Transport can't replay.
func guardReplay(r *http.Request, body []byte) {
	r.Body = &onceBody{data: body}
	r.GetBody = nil
	r.ContentLength = int64(len(body))
}
