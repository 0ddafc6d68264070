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
	bufferBytes            = 4 << 10
)

// NewTransport returns a transport for attempts at endpoints and other daemons.
// It uses no proxy and requests no compression.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:            NewDialer().DialContext,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		WriteBufferSize:        bufferBytes,
		ReadBufferSize:         bufferBytes,
	}
}

// NewDialer returns a dialer whose connections end if the peer stops responding
// without a reset.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         setTCPUserTimeout,
	}
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
