// Package graceful serves HTTP/1 on a listener, stops it without losing requests,
// and reports each request whose connection ended without a complete response.
package graceful

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// Reason tells why a connection ended while a request had no complete response.
type Reason string

// Reasons.
const (
	// CallerGone: the caller closed its connection first.
	CallerGone Reason = "caller_gone"
	// Aborted: the handler broke off its response.
	Aborted Reason = "aborted"
	// Cut: the server was closed while a handler served the request.
	Cut Reason = "cut"
	// Dropped: the request, or a part of it, was read and no handler got it.
	Dropped Reason = "dropped"
)

// Reasons lists all reasons.
var Reasons = []Reason{CallerGone, Aborted, Cut, Dropped}

// Options configures a Server.
type Options struct {
	Listener net.Listener
	// HTTP is the server to use; its Handler and ConnContext are replaced.
	HTTP *http.Server
	// Unanswered is called for each connection that ends while a request has no
	// complete response; nil means not at all. It must not block.
	Unanswered func(Reason)
}

// Server serves one listener. It is safe for concurrent use.
type Server struct {
	opts    Options
	handler http.Handler
	// leaving makes every response close its connection.
	leaving atomic.Bool

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// New returns a server.
func New(opts Options) *Server {
	s := &Server{opts: opts, handler: opts.HTTP.Handler, conns: make(map[*conn]struct{})}
	opts.HTTP.Handler = http.HandlerFunc(s.handle)
	opts.HTTP.ConnContext = func(ctx context.Context, accepted net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, accepted)
	}
	return s
}

// Serve serves until the server is shut down or closed; it then returns nil.
func (s *Server) Serve() error {
	err := s.opts.HTTP.Serve(trackingListener{Listener: s.opts.Listener, server: s})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Leave makes every further response close its connection.
func (s *Server) Leave() {
	s.leaving.Store(true)
}

// Shutdown closes the listener and waits until all connections have ended. It
// returns the error of ctx if that ends first.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Leave()
	return s.opts.HTTP.Shutdown(ctx)
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	// The listener is open if Serve was never called.
	return errors.Join(s.opts.HTTP.Close(), s.opts.Listener.Close())
}

// handle serves a request and records whether its response was completed.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	c, tracked := r.Context().Value(connKey{}).(*conn)
	if !tracked {
		s.handler.ServeHTTP(w, r)
		return
	}
	c.startHandling()
	completed := false
	defer func() { c.handled(completed) }()
	s.handler.ServeHTTP(w, r)
	completed = true
}

func (s *Server) unanswered(reason Reason) {
	if s.opts.Unanswered != nil {
		s.opts.Unanswered(reason)
	}
}

func (s *Server) track(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// trackingListener accepts connections that the server keeps account of.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l trackingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, server: l.server}
	l.server.track(c)
	return c, nil
}
