package dispatch

import (
	"net"
	"net/http"
	"time"

	"github.com/flamingomount/flamingomount/pkg/oncebody"
)

// Limits of connections to endpoints.
const (
	dialTimeout            = 3 * time.Second
	keepAliveInterval      = 15 * time.Second
	idleConnTimeout        = 30 * time.Second
	maxIdleConnsPerHost    = 64
	maxResponseHeaderBytes = 64 << 10
	transportBufferBytes   = 4 << 10
	maxIdleConnsAllHosts   = 4096
	tlsHandshakeTimeout    = 3 * time.Second
	expectContinueTimeout  = time.Second
)

// NewTransport returns a transport for attempts. It never uses a proxy, does
// not follow redirects (RoundTrip never does), and requests no compression. A
// fresh transport opens a new connection for each attempt.
func NewTransport(fresh bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		DisableKeepAlives:      fresh,
		MaxIdleConns:           maxIdleConnsAllHosts,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		TLSHandshakeTimeout:    tlsHandshakeTimeout,
		ExpectContinueTimeout:  expectContinueTimeout,
		WriteBufferSize:        transportBufferBytes,
		ReadBufferSize:         transportBufferBytes,
	}
}

// guardReplay sets a body that http.Transport can't send a second time:
// net/http retries some requests on its own when a reused connection breaks,
// and the endpoint could run such a request twice.
func guardReplay(r *http.Request, body []byte) {
	r.Body = oncebody.New(body)
	r.GetBody = nil
	r.ContentLength = int64(len(body))
}
