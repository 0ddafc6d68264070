package proxy

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits of connections to endpoints and other daemons.
const (
	// dialTimeout bounds a connection attempt; one way between regions is far
	// shorter.
	dialTimeout = time.Second
	// keepAliveIdle and keepAliveInterval find connections that went silent.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// unackedTimeout ends a connection whose bytes are not acknowledged.
	unackedTimeout       = 2500 * time.Millisecond
	idleConnTimeout      = 20 * time.Second
	maxIdlePerHost       = 64
	maxResponseHeadBytes = 64 << 10
	bufferBytes          = 4 << 10
)

// NewTransport returns a transport for attempts at endpoints and other daemons.
// It uses no proxy and asks for no compression.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:            NewDialer().DialContext,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeadBytes,
		WriteBufferSize:        bufferBytes,
		ReadBufferSize:         bufferBytes,
	}
}

// NewDialer returns a dialer whose connections end when the other side falls
// silent without a reset.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         limitUnacked,
	}
}

// limitUnacked sets how long sent bytes may stay unacknowledged.
func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
