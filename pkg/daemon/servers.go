package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/settings"
	"github.com/flamingomount/flamingomount/pkg/tlsfiles"
)

// server is one listening HTTP server.
type server struct {
	name     string
	listener net.Listener
	http     *http.Server
}

// listen opens the listener, unless one is given, and puts TLS and the bound on
// connections over it.
func listen(name, address string, given net.Listener, files settings.TLS, connections int) (net.Listener, error) {
	listener := given
	if listener == nil {
		var err error
		listener, err = net.Listen("tcp", address)
		if err != nil {
			return nil, eris.Wrapf(err, "listen for %s", name)
		}
	}
	listener = newBoundedListener(listener, connections)
	if !files.Enabled() {
		return listener, nil
	}
	loaded, err := tlsfiles.Load(files.Certificate, files.Key, files.Authorities, nil)
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	return tls.NewListener(listener, loaded.Server()), nil
}

// newServer returns a server with the limits of the settings.
func newServer(name string, listener net.Listener, handler http.Handler, s *settings.Settings) *server {
	return &server{
		name:     name,
		listener: listener,
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: s.Timeouts.Header,
			IdleTimeout:       s.Timeouts.Idle,
			MaxHeaderBytes:    s.Limits.HeaderBytes,
		},
	}
}

// serve serves until the server is shut down.
func (s *server) serve() error {
	err := s.http.Serve(s.listener)
	if eris.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrapf(err, "serve %s", s.name)
}

// shutdown stops listening and waits for requests in flight until ctx ends,
// then closes what is left and reports that it had to.
func (s *server) shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
		return eris.Wrapf(err, "requests of %s were cut off", s.name)
	}
	return nil
}

// boundedListener accepts a bounded number of connections at once.
type boundedListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

var _ net.Listener = (*boundedListener)(nil)

func newBoundedListener(inner net.Listener, connections int) *boundedListener {
	return &boundedListener{
		Listener: inner,
		slots:    make(chan struct{}, connections),
		closed:   make(chan struct{}),
	}
}

// Accept waits for a free slot and then for a connection.
func (l *boundedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &boundedConn{Conn: conn, release: func() { <-l.slots }}, nil
}

// Close closes the listener.
func (l *boundedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// boundedConn gives its slot back when it is closed.
type boundedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

var _ net.Conn = (*boundedConn)(nil)

// Close closes the connection.
func (c *boundedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}

// sleep waits and reports whether ctx is still alive.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
