package proxy

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/continuity"
	"github.com/flamingomount/flamingomount/pkg/gateway/health"
	"github.com/flamingomount/flamingomount/pkg/graceful"
)

// Limits of connections to endpoints and other daemons.
const (
	// dialTimeout bounds the dialing of a connection; the one-way latency between
	// regions is far shorter.
	dialTimeout = time.Second
	// keepAliveIdle and keepAliveInterval detect connections whose peer is gone.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// tcpUserTimeout ends a connection whose sent bytes are not acknowledged.
	tcpUserTimeout         = 2500 * time.Millisecond
	idleConnTimeout        = 20 * time.Second
	maxIdlePerHost         = 64
	maxResponseHeaderBytes = 64 << 10
	maxDiscardedBytes      = 64 << 10
	bufferBytes            = 4 << 10
)

// NewTransport returns a transport for attempts at endpoints and other daemons.
// It uses no proxy and requests no compression.
func NewTransport() *http.Transport {
	return NewBoundedTransport(nil)
}

// NewBoundedTransport is NewTransport for connections that count among the sockets of the
// process; nil sets no limit.
func NewBoundedTransport(sockets *graceful.Sockets) *http.Transport {
	return &http.Transport{
		DialContext:            dialCounting(sockets, NewDialer(), continuity.NewTracker(continuity.NewClock())),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		WriteBufferSize:        bufferBytes,
		ReadBufferSize:         bufferBytes,
	}
}

// countingConn is a connection that counts the bytes that were passed to Write,
// whether or not they were sent.
type countingConn struct {
	net.Conn
	written atomic.Int64
	// tracked tells whether the connection leads to a process that is known; nil if
	// that is not followed.
	tracked *continuity.Conn
	// release gives the socket back; nil if it is not counted.
	release func()
}

var _ health.Confirmer = (*countingConn)(nil)

// Asking implements health.Confirmer.
func (c *countingConn) Asking() (confirm func()) {
	if c.tracked == nil {
		return func() {}
	}
	return c.tracked.Asking()
}

// Close implements net.Conn.
func (c *countingConn) Close() error {
	if c.release != nil {
		defer c.release()
	}
	return c.Conn.Close()
}

// Write implements net.Conn.
func (c *countingConn) Write(data []byte) (int, error) {
	c.written.Add(int64(len(data)))
	return c.Conn.Write(data)
}

// connectionOf returns what is known of the process at the other end of a connection.
func connectionOf(conn net.Conn) balance.Connection {
	if counting, ok := conn.(*countingConn); ok {
		return counting.tracked
	}
	return nil
}

// dialCounting returns a function that dials counting connections whose processes
// the tracker follows.
func dialCounting(sockets *graceful.Sockets, dialer *net.Dialer, tracker *continuity.Tracker) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		release, err := sockets.Reserve(ctx)
		if err != nil {
			return nil, err
		}
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			release()
			return nil, err
		}
		tracked := tracker.Conn(conn, address)
		return &countingConn{Conn: tracked, tracked: tracked, release: release}, nil
	}
}

// NewDialer returns a dialer whose connections end if the peer stops responding
// without a reset.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: KeepAlive(),
		Control:         setTCPUserTimeout,
	}
}

// KeepAlive returns the probes of connections between daemons. Both ends use the
// same: a daemon that no longer hears the one that forwarded a request must not run
// the request long after the other has sent it elsewhere.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}
}

// setTCPUserTimeout sets TCP_USER_TIMEOUT: how long sent bytes may stay
// unacknowledged.
func setTCPUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}
