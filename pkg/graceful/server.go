// Package graceful serves HTTP/1 on a listener, stops it without losing requests,
// and reports each request whose connection ended without a complete response.
package graceful

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// ShutdownTimes are the parts of a shutdown that take a fixed time.
type ShutdownTimes struct {
	// Handshakes is how long the handshakes that have begun may take before the
	// listener closes.
	Handshakes time.Duration
	// Fresh is how long after the begin of the shutdown a connection may take to send
	// its first byte.
	Fresh time.Duration
	// Idle is how long after its last response a connection still waits for the next
	// request if that response did not announce the close.
	Idle time.Duration
}

// DefaultShutdownTimes returns the times of a shutdown whose end is far away.
func DefaultShutdownTimes() ShutdownTimes {
	return ShutdownTimes{Handshakes: 250 * time.Millisecond, Fresh: 1250 * time.Millisecond, Idle: 250 * time.Millisecond}
}

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
	// Yielded: the connection was closed to make room for others before its request had
	// arrived as a whole.
	Yielded Reason = "yielded"
)

// Reasons lists all reasons.
var Reasons = []Reason{CallerGone, Aborted, Cut, Dropped, Yielded}

// Ending tells of a request whose connection ended without a complete response.
type Ending struct {
	Reason Reason
	// Request is the ID that the handler gave with NameRequest; empty if there is none.
	Request string
}

// Options configures a Server.
type Options struct {
	Listener net.Listener
	// HTTP is the server to use; its Handler, BaseContext, ConnContext and
	// ConnState are replaced.
	HTTP *http.Server
	// TLS is the configuration of the listener's TLS; nil means plain HTTP. Without a
	// ReadHeaderTimeout of the HTTP server, a TLS 1.3 connection without any request may
	// hold up a shutdown.
	TLS *tls.Config
	// MaxConnections bounds the connections that are open at once; 0 means no
	// limit. Beyond it the connection that has waited longest for a request is closed; while
	// all of them have one, the next connection waits.
	MaxConnections int
	// Sockets bounds the connections of the process, together with those that it dials; nil
	// means no limit.
	Sockets *Sockets
	// Heads bounds the memory of request heads, together with that of the other servers with
	// the same value; nil means no limit.
	Heads *Heads
	// Times are those of a shutdown; the zero value means DefaultShutdownTimes.
	Times ShutdownTimes
	// Unanswered is called for each connection that ends while a request has no
	// complete response; nil means not at all. It must not block.
	Unanswered func(Ending)
	// Yielded is called for each connection that is closed to make room for others; nil
	// means not at all. It must not block.
	Yielded func()
}

// Server serves one listener. It is safe for concurrent use.
type Server struct {
	opts    Options
	handler http.Handler
	// leaving makes every response that begins announce the close of its connection.
	leaving atomic.Bool
	// requests is the context of all requests.
	requests       context.Context
	cancelRequests context.CancelCauseFunc

	listener net.Listener
	// slots holds a value for each open connection; nil means no limit.
	slots   chan struct{}
	waiters waiters
	heads   *Heads
	// closed is closed by Close.
	closed    chan struct{}
	closeOnce sync.Once
	// served is closed when no connection is accepted any more.
	served chan struct{}

	mu    sync.Mutex
	conns map[*conn]struct{}
	// closing ends idle connections, endFresh also those without any request.
	closing  bool
	endFresh bool
	// complete is true when no connection is accepted any more.
	complete bool
	// drained is closed when complete is set and no connection is left.
	drained chan struct{}
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// connOf returns the connection of a request; nil if a Server does not serve it.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// NameRequest records the ID of the request that a handler serves with this context,
// which is part of its Ending.
func NameRequest(ctx context.Context, id string) {
	if c := connOf(ctx); c != nil {
		c.name(id)
	}
}

// Kept reports whether the connection of a request served one before it.
func Kept(ctx context.Context) bool {
	c := connOf(ctx)
	return c != nil && c.kept()
}

// ReceiveBody records that the handler of a request with this context waits for its body, until
// received is called. The server may call giveWay meanwhile, to make room for another
// connection: the handler then has to end.
func ReceiveBody(ctx context.Context, giveWay func()) (received func()) {
	c := connOf(ctx)
	if c == nil {
		return func() {}
	}
	c.server.waiters.addBody(c, giveWay)
	return func() { c.server.waiters.remove(c) }
}

// New returns a server.
func New(opts Options) *Server {
	if opts.Times == (ShutdownTimes{}) {
		opts.Times = DefaultShutdownTimes()
	}
	s := &Server{
		opts: opts, handler: opts.HTTP.Handler, listener: opts.Listener, conns: make(map[*conn]struct{}),
		closed: make(chan struct{}), served: make(chan struct{}), drained: make(chan struct{}),
	}
	s.heads = opts.Heads
	if s.heads == nil {
		s.heads = NewHeads(0)
	}
	opts.Sockets.add(s)
	if opts.MaxConnections > 0 {
		s.slots = make(chan struct{}, opts.MaxConnections)
	}
	s.requests, s.cancelRequests = context.WithCancelCause(context.Background())
	if tcp, ok := opts.Listener.(*net.TCPListener); ok {
		s.listener = newQueueListener(tcp)
	}
	opts.HTTP.Handler = http.HandlerFunc(s.handle)
	opts.HTTP.ConnContext = func(ctx context.Context, accepted net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, trackedConn(accepted))
	}
	opts.HTTP.BaseContext = func(net.Listener) context.Context { return s.requests }
	opts.HTTP.ConnState = s.connState
	return s
}

// Serve accepts connections until the server is shut down or closed; it then
// returns nil. It must be called once.
func (s *Server) Serve() error {
	defer close(s.served)
	err := s.opts.HTTP.Serve(s.httpListener())
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (s *Server) httpListener() net.Listener {
	listener := trackingListener{Listener: s.listener, server: s}
	if s.opts.TLS != nil {
		return securedListener{Listener: listener, config: s.opts.TLS, timeout: s.opts.HTTP.ReadHeaderTimeout}
	}
	return listener
}

// Leave makes every response that begins from now on ask the caller to close its
// connection. Requests that follow on it nevertheless are served.
func (s *Server) Leave() {
	s.leaving.Store(true)
}

// Shutdown closes the listener and waits until all connections have ended: every
// request that has arrived is served, and a connection ends only when nothing of a
// further request has arrived within the idle time. It returns the error of ctx if that
// ends before all requests have. The HTTP server's own Shutdown would drop requests that
// it reads after its begin.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Leave()
	fresh := time.AfterFunc(s.opts.Times.Fresh, func() { s.endWaiting(true) })
	defer fresh.Stop()
	s.closeListener(ctx)
	// Idle connections end first: they may hold the slots of those in the queue.
	s.endWaiting(false)
	select {
	case <-s.served:
		s.awaitLast()
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-s.drained:
		return nil
	case <-ctx.Done():
		return s.endOfTime(ctx)
	}
}

// endOfTime returns the error of ctx, or nil if connections are left that only wait for
// a request: it closes these.
func (s *Server) endOfTime(ctx context.Context) error {
	if !s.onlyWaiting() {
		return ctx.Err()
	}
	// The listener is closed already.
	_ = s.Close()
	return nil
}

// onlyWaiting reports whether no connection has a request without a response.
func (s *Server) onlyWaiting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if !c.waits() {
			return false
		}
	}
	return true
}

// ErrStopping is the cause of the end of a request's context when the server stops.
var ErrStopping = errors.New("the server stops")

// CancelRequests cancels the contexts of all requests with the cause ErrStopping, so
// that their handlers can answer with a failure before their connections are cut.
func (s *Server) CancelRequests() {
	s.cancelRequests(ErrStopping)
}

// closeListener closes the listener after the handshakes that have begun.
func (s *Server) closeListener(ctx context.Context) {
	if queue, ok := s.listener.(*queueListener); ok && queue.refuse() {
		timer := time.NewTimer(s.opts.Times.Handshakes)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	// The connections that were accepted are served however the listener closes.
	_ = s.listener.Close()
}

// endWaiting ends the connections that wait for a request, now and from now on.
func (s *Server) endWaiting(freshToo bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing, s.endFresh = true, s.endFresh || freshToo
	for c := range s.conns {
		c.endIfWaiting(s.endFresh)
	}
}

// awaitLast lets the end of the last connection close drained.
func (s *Server) awaitLast() {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := !s.complete
	s.complete = true
	if first && len(s.conns) == 0 {
		close(s.drained)
	}
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	s.closeOnce.Do(func() { close(s.closed) })
	defer s.CancelRequests()
	return errors.Join(s.listener.Close(), s.opts.HTTP.Close())
}

// handle serves a request and records whether its response was completed.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	r, body := watch(r)
	out := &closeAnnouncer{ResponseWriter: w, server: s, body: body}
	c := connOf(r.Context())
	if c == nil {
		s.handler.ServeHTTP(out, r)
		out.begin()
		return
	}
	if !c.startHandling() {
		panic(http.ErrAbortHandler)
	}
	completed := false
	defer func() { c.handled(completed, out.announced) }()
	s.handler.ServeHTTP(out, r)
	out.begin()
	completed = true
}

// connState is the hook for changes of a connection's state.
func (s *Server) connState(changed net.Conn, state http.ConnState) {
	c := trackedConn(changed)
	if c == nil || state != http.StateIdle {
		return
	}
	c.becomeIdle()
	s.heads.reset(c)
	s.waiters.addIdle(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing || c.closeAnnounced() {
		c.endIfWaiting(s.endFresh)
	}
}

func (s *Server) unanswered(ending Ending) {
	if s.opts.Unanswered != nil {
		s.opts.Unanswered(ending)
	}
}

// track begins to keep account of an accepted connection.
func (s *Server) track(c *conn) {
	s.heads.track(c)
	s.waiters.addHead(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *Server) forget(c *conn) {
	s.heads.forget(c)
	s.waiters.remove(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.conns[c]; !known {
		return
	}
	delete(s.conns, c)
	s.releaseSlot()
	s.opts.Sockets.release()
	if s.complete && len(s.conns) == 0 {
		close(s.drained)
	}
}

// growHead takes account of a part of a request head and closes the connections that have to
// yield for it.
func (s *Server) growHead(c *conn, part []byte) {
	for _, yielding := range s.heads.grow(c, headMemory(part)) {
		if !yielding.server.yield(yielding, true) {
			s.heads.keep(yielding)
		}
	}
}

// yield closes a connection to make room for others and reports whether it did: not if its
// request has arrived meanwhile or, unless it had begun, has begun meanwhile.
func (s *Server) yield(c *conn, begun bool) bool {
	if !c.yield(begun) {
		return false
	}
	s.countYielded()
	return true
}

func (s *Server) countYielded() {
	if s.opts.Yielded != nil {
		s.opts.Yielded()
	}
}

// trackingListener accepts connections that the server keeps account of.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener. If the number of connections is limited, another one has
// to yield to the accepted one, which waits as long as there is none.
func (l trackingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if !l.server.takePlace() {
		_ = accepted.Close() // as all others are
		return nil, net.ErrClosed
	}
	c := &conn{Conn: accepted, server: l.server}
	if l.server.opts.TLS != nil {
		c.handshake = &handshake{}
	}
	l.server.track(c)
	return c, nil
}

// takePlace takes a slot and a socket for a connection. It returns false if the server was closed
// meanwhile.
func (s *Server) takePlace() bool {
	if !s.takeSlot() {
		return false
	}
	for !s.opts.Sockets.takeAccepted() {
		wait := s.yieldLongest()
		select {
		case <-s.closed:
			s.releaseSlot()
			return false
		case <-time.After(min(wait, dialPause)):
		}
	}
	return true
}

// takeSlot takes a slot for a connection. It returns false if the server was closed meanwhile.
func (s *Server) takeSlot() bool {
	if s.slots == nil {
		return true
	}
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	for {
		wait := s.yieldLongest()
		select {
		case s.slots <- struct{}{}:
			return true
		case <-s.closed:
			return false
		case <-time.After(wait):
		}
	}
}

// yieldLongest makes a connection yield that has waited long enough, and returns the time until
// the next one may have to.
func (s *Server) yieldLongest() (wait time.Duration) {
	longest, begun, wait := s.waiters.takeLongest()
	if longest != nil {
		if s.yield(longest, begun) {
			return yieldAfter
		}
		return wait
	}
	giveWay := s.waiters.takeBody()
	if giveWay == nil {
		return wait
	}
	giveWay()
	s.countYielded()
	// Its slot is free only some time after its response: others yield meanwhile.
	return min(wait, yieldBodyPause)
}

func (s *Server) releaseSlot() {
	if s.slots != nil {
		<-s.slots
	}
}

// trackedConn returns the connection below a connection of the HTTP server; nil if
// it is not one of a Server.
func trackedConn(accepted net.Conn) *conn {
	if secured, ok := accepted.(*securedConn); ok {
		return secured.below
	}
	c, _ := accepted.(*conn)
	return c
}
