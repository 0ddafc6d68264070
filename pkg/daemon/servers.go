package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/flamingomount/flamingomount/pkg/settings"
	"github.com/flamingomount/flamingomount/pkg/tlsfiles"
)

// server is an HTTP server and its listener.
type server struct {
	name     string
	listener net.Listener
	http     *http.Server
}

// listen opens a listener, or takes the existing one, and wraps it to limit the
// number of connections and to serve TLS if files are configured.
func listen(name, address string, existing net.Listener, files settings.TLS, maxConnections int, log logrus.FieldLogger) (net.Listener, error) {
	listener := existing
	if listener == nil {
		var err error
		listener, err = net.Listen("tcp", address)
		if err != nil {
			return nil, eris.Wrapf(err, "listen for %s", name)
		}
	}
	listener = newBoundedListener(listener, maxConnections)
	if !files.Enabled() {
		return listener, nil
	}
	loaded, err := tlsfiles.Load(files.Certificate, files.Key, files.Authorities, nil, log)
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	return tls.NewListener(listener, loaded.Server()), nil
}

// newServer returns a server with the timeouts and limits of the settings.
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

// shutdown stops listening and waits for requests in flight until ctx ends. It
// then closes the remaining connections and returns an error.
func (s *server) shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
		return eris.Wrapf(err, "requests of %s were cut off", s.name)
	}
	return nil
}

// boundedListener limits the number of connections that are open at once.
type boundedListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

var _ net.Listener = (*boundedListener)(nil)

func newBoundedListener(inner net.Listener, maxConnections int) *boundedListener {
	return &boundedListener{
		Listener: inner,
		slots:    make(chan struct{}, maxConnections),
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

// Close closes the listener and makes Accept calls that wait for a slot return
// net.ErrClosed.
func (l *boundedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// boundedConn releases its slot when it is closed.
type boundedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

var _ net.Conn = (*boundedConn)(nil)

// Close releases the slot once and closes the connection.
func (c *boundedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}

// sleep waits for d. It returns false if ctx ends first.
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
