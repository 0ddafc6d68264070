package graceful

import (
	"errors"
	"net"
	"os"
	"sync"
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
	// callerGone is true once the caller closed or reset the connection.
	callerGone bool
	closed     bool
}

var _ net.Conn = (*conn)(nil)

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.recordRead(n, err)
	return n, err
}

func (c *conn) recordRead(n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = c.begun || n > 0
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.callerGone = true
	}
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.recordWrite(nil)
	n, err := c.Conn.Write(b)
	if err != nil {
		c.recordWrite(err)
	}
	return n, err
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

// startHandling records that a handler serves the request.
func (c *conn) startHandling() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = handling
}

// handled records the end of a handler. A response that a caller no longer waited
// for does not count as completed.
func (c *conn) handled(completed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = idle
	if !completed || c.callerGone {
		c.phase = aborted
	}
}

// Close implements net.Conn. The first call reports a request that has no complete
// response.
func (c *conn) Close() error {
	if reason, lost := c.end(); lost {
		c.server.unanswered(reason)
	}
	c.server.forget(c)
	return c.Conn.Close()
}

// end marks the connection as closed and returns why its request has no complete
// response; it returns false if there is no such request.
func (c *conn) end() (Reason, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return "", false
	}
	c.closed = true
	open := c.phase == handling || c.phase == aborted
	switch {
	case !open && !c.begun:
		return "", false
	case c.callerGone:
		return CallerGone, true
	case c.phase == handling:
		return Cut, true
	case c.phase == aborted:
		return Aborted, true
	}
	return Dropped, true
}
