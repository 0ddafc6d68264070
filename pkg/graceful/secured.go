package graceful

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"time"
)

// plainAnswer is what a caller gets that speaks no TLS.
const plainAnswer = "HTTP/1.0 400 Bad Request\r\n\r\nClient sent an HTTP request to an HTTPS server.\n"

// securedListener accepts connections that speak TLS.
type securedListener struct {
	net.Listener
	config *tls.Config
	// timeout bounds a handshake; zero means no bound.
	timeout time.Duration
}

// Accept implements net.Listener.
func (l securedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	below, _ := accepted.(*conn)
	return &securedConn{Conn: tls.Server(accepted, l.config), below: below, timeout: l.timeout}, nil
}

// securedConn is a TLS connection above a conn. It tells that one what of its bytes is part of a
// request head, which can't be seen below TLS. The HTTP server does not know that it speaks TLS.
type securedConn struct {
	*tls.Conn
	below   *conn
	timeout time.Duration
	// handshaken is true once the handshake was tried; only Read uses it.
	handshaken bool
}

// Read implements net.Conn. The first one completes the handshake.
func (c *securedConn) Read(b []byte) (int, error) {
	if !c.handshaken {
		c.handshaken = true
		if err := c.handshake(); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(b)
	if n > 0 && c.below.readsHead() {
		c.below.server.growHead(c.below, b[:n])
	}
	return n, err
}

// handshake completes the handshake. Its reads are bounded by the deadline for a request head,
// its writes by the same time.
func (c *securedConn) handshake() error {
	if c.timeout > 0 {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(c.timeout)) // a closed connection fails the handshake
		defer func() { _ = c.Conn.SetWriteDeadline(time.Time{}) }()
	}
	err := c.Conn.Handshake()
	var noRecord tls.RecordHeaderError
	if errors.As(err, &noRecord) && noRecord.Conn != nil && beginsRequest(noRecord.RecordHeader) {
		_, _ = io.WriteString(noRecord.Conn, plainAnswer) // the caller may have left
	}
	if err != nil {
		return err
	}
	c.below.endHandshake()
	return nil
}

// beginsRequest reports whether the header of a TLS record is the begin of an HTTP request.
func beginsRequest(header [recordHeaderBytes]byte) bool {
	switch string(header[:]) {
	case "GET /", "HEAD ", "POST ", "PUT /", "OPTIO":
		return true
	}
	return false
}
