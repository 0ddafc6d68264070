package graceful

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// phase is what a connection is occupied with.
type phase int

const (
	// fresh: no request was served yet.
	fresh phase = iota
	// idle: the last request was answered.
	idle
	// handling: a handler serves a request.
	handling
	// aborted: a handler ended without completing its response.
	aborted
)

// conn is an accepted connection that keeps account of its current request.
type conn struct {
	net.Conn
	server *Server

	mu    sync.Mutex
	phase phase
	// begun is true if bytes were read after the last write: a request, or a part
	// of one, that has no response yet.
	begun bool
	// handshake is the TLS handshake until it is complete, nil afterwards. Its bytes are
	// no part of a request.
	handshake *handshake
	// callerGone is true once the caller closed or reset the connection.
	callerGone bool
	closed     bool
	// announced is true once a response announced the close of the connection.
	announced bool
	// idleSince is when the last response was completed.
	idleSince time.Time
	// handlings is the number of requests that handlers began to serve, request the ID
	// of the last one if its handler named it.
	handlings int
	request   string
	// awaiting is true while the HTTP server waits for the next request or reads its
	// header; idleDeadlines is the number of read deadlines that it has set since.
	awaiting      bool
	idleDeadlines int
	// ending is true while the connection is about to end: it ends at its read deadline
	// unless a request has arrived.
	ending bool
	// yielded is true once the connection was closed to make room for others.
	yielded bool
}

// expired is a read deadline that wakes a pending read.
var expired = time.Unix(1, 0)

var _ net.Conn = (*conn)(nil)

// Read implements net.Conn. On a connection that ends it still returns the bytes that
// have arrived.
func (c *conn) Read(b []byte) (int, error) {
	b = c.limitRead(b)
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isEnding() {
		n, err = c.readArrived(b, err)
	}
	read := b[:max(n, 0)]
	ofHead, beginsHead := c.recordRead(read, err)
	if beginsHead {
		c.server.waiters.addHead(c)
	}
	if ofHead && c.server.opts.TLS == nil {
		c.server.growHead(c, read)
	}
	return n, err
}

// limitRead returns the part of a buffer that a read may fill.
func (c *conn) limitRead(b []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handshake == nil {
		return b
	}
	return c.handshake.limit(b)
}

// endHandshake records that the TLS handshake is complete.
func (c *conn) endHandshake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handshake = nil
}

// readsHead reports whether what is read now is part of the head of a request.
func (c *conn) readsHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.awaiting || c.phase == fresh
}

// readArrived reads without blocking and despite the read deadline. If there is
// nothing to read, it returns the given error.
func (c *conn) readArrived(b []byte, nothing error) (int, error) {
	read := 0
	controlSocket(c.Conn, func(fd int) { read, _ = unix.Read(fd, b) })
	if read <= 0 {
		return 0, nothing
	}
	return read, nil
}

func (c *conn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending
}

// recordRead takes account of what a read returned. It reports whether that is part of the
// head of a request, and whether it begins the head of a further one.
func (c *conn) recordRead(read []byte, err error) (ofHead, beginsHead bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.handshake != nil:
		c.handshake.record(read)
	case len(read) > 0:
		ofHead = c.awaiting || c.phase == fresh
		beginsHead = c.awaiting && !c.begun && !c.closed
		c.begun = true
		c.keep()
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.callerGone = true
	}
	return ofHead, beginsHead
}

// keep lets a connection that is about to end receive the rest of its request. The
// caller holds the lock.
func (c *conn) keep() {
	if !c.ending {
		return
	}
	c.ending = false
	c.limitHeader()
}

// limitHeader bounds the time for the rest of a request's header. The caller holds the lock.
func (c *conn) limitHeader() {
	var deadline time.Time
	if timeout := c.server.opts.HTTP.ReadHeaderTimeout; timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	// A closed connection fails the next read.
	_ = c.Conn.SetReadDeadline(deadline)
}

// SetReadDeadline implements net.Conn. A connection that is about to end keeps its
// deadline while it waits for a request.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.foundRequest() {
		c.begun, c.ending = true, false
	}
	if c.ending {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// foundRequest reports whether the HTTP server has found the begin of the next request,
// which it may have read together with the one before: it sets one deadline for the wait
// and then one for the header. The caller holds the lock.
func (c *conn) foundRequest() bool {
	if !c.awaiting {
		return false
	}
	c.idleDeadlines++
	return c.idleDeadlines > 1
}

// yield closes the connection to make room for others, unless its request has arrived
// meanwhile or, if begun is false, has begun. It reports whether it did.
func (c *conn) yield(begun bool) bool {
	if !c.markYielded(begun) {
		return false
	}
	// A connection that is closed already makes room as well.
	_ = c.Close()
	return true
}

func (c *conn) markYielded(begun bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.yielded = c.phase != handling && (begun || !c.begun)
	return c.yielded
}

// becomeIdle records that the HTTP server begins to wait for the next request.
func (c *conn) becomeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting, c.idleDeadlines = true, 0
}

// endIfWaiting lets the connection end if it waits for a request: at once if its close
// was announced, else when the idle time is over. A connection that had no request yet is
// left alone unless fresh ones are to end too. A request that has begun gets the time for a
// header if the HTTP server has not found it yet, and would wait for the idle timeout.
func (c *conn) endIfWaiting(freshToo bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun && c.awaiting && c.idleDeadlines <= 1 {
		c.limitHeader()
	}
	waits := c.phase == idle || c.phase == fresh && freshToo
	if c.begun || !waits || c.ending {
		return
	}
	c.ending = true
	deadline := expired
	if c.phase == idle && !c.announced {
		deadline = c.idleSince.Add(c.server.opts.Times.Idle)
	}
	// A closed connection needs no waking.
	_ = c.Conn.SetReadDeadline(deadline)
}

// waits reports whether nothing of a request that has no response has arrived.
func (c *conn) waits() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.begun && (c.phase == idle || c.phase == fresh)
}

// closeAnnounced reports whether a response announced the close of the connection.
func (c *conn) closeAnnounced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.announced
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if c.endsResponse() {
		c.server.heads.reset(c)
	}
	c.recordWrite(nil)
	n, err := c.Conn.Write(b)
	if err != nil {
		c.recordWrite(err)
	}
	return n, err
}

// endsResponse reports whether a write is one of the last of a response: its handler has
// ended, and the HTTP server no longer waits for a rest of the body. What is written now
// lets the caller send its next head before the HTTP server waits for that.
func (c *conn) endsResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.awaiting && c.phase == idle
}

// recordWrite is called before a write, so that the caller's next request counts
// as begun however early it arrives, and after one that failed.
func (c *conn) recordWrite(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = false
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.callerGone = true
	}
}

// startHandling records that a handler serves the request. It returns false if the
// connection was closed meanwhile to make room for others.
func (c *conn) startHandling() bool {
	c.server.waiters.remove(c)
	c.server.heads.complete(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.yielded {
		return false
	}
	c.phase = handling
	c.awaiting = false
	c.handlings++
	c.request = ""
	return true
}

// name records the ID of the request that a handler serves.
func (c *conn) name(request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request = request
}

// kept reports whether a request was served before the current one.
func (c *conn) kept() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.handlings > 1
}

// handled records the end of a handler. A response that a caller no longer waited
// for does not count as completed.
func (c *conn) handled(completed, announced bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = idle
	c.idleSince = time.Now()
	c.announced = c.announced || announced
	if !completed || c.callerGone {
		c.phase = aborted
	}
}

// Close implements net.Conn. The first call reports a request that has no complete
// response.
func (c *conn) Close() error {
	if ending, lost := c.end(); lost {
		c.server.unanswered(ending)
	}
	defer c.server.forget(c)
	return c.Conn.Close()
}

// end marks the connection as closed and tells of its request without a complete
// response; it returns false if there is no such request.
func (c *conn) end() (Ending, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return Ending{}, false
	}
	c.closed = true
	open := c.phase == handling || c.phase == aborted
	if !open && !c.begun {
		return Ending{}, false
	}
	ending := Ending{Reason: c.endReason()}
	if open {
		ending.Request = c.request
	}
	return ending, true
}

// endReason tells why the connection's request has no complete response. The caller
// holds the lock.
func (c *conn) endReason() Reason {
	switch {
	case c.yielded:
		return Yielded
	case c.callerGone:
		return CallerGone
	case c.phase == handling:
		return Cut
	case c.phase == aborted:
		return Aborted
	}
	return Dropped
}
