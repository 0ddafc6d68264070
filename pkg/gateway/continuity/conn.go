package continuity

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// Conn is a connection to a process. A nil Conn is trusted.
type Conn struct {
	net.Conn
	clock    Clock
	process  *process
	openedAt time.Duration
	trusted  atomic.Bool
	// closed is true once this end has closed the connection.
	closed atomic.Bool
}

var _ net.Conn = (*Conn)(nil)

// Trusted reports whether the connection leads to a process that was known before it
// was opened, or that has confirmed since that it is warm.
func (c *Conn) Trusted() bool {
	if c == nil || c.trusted.Load() {
		return true
	}
	if !c.process.knownSince(c.openedAt) {
		return false
	}
	c.trusted.Store(true)
	return true
}

// Age returns the time since the connection was opened, that of suspensions included.
func (c *Conn) Age() time.Duration {
	return c.clock.now() - c.openedAt
}

// Trust makes the connection trusted: its process is known to be warm by other means.
func (c *Conn) Trust() {
	c.trusted.Store(true)
}

// Confirm records that the process at the other end has just answered that it is
// warm.
func (c *Conn) Confirm() {
	c.trusted.Store(true)
	c.process.confirmedAt.raise(c.clock.now())
}

// Read implements net.Conn.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.recordSent()
	}
	if err != nil && !c.closed.Load() && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.process.brokenAt.raise(c.clock.now())
	}
	return n, err
}

// recordSent records that the process has sent something, if the connection leads to
// the one that is known.
func (c *Conn) recordSent() {
	running := c.clock.Running()
	if last := c.process.readAt.get(); last != 0 && running-last < readInterval || !c.Trusted() {
		return
	}
	c.process.readAt.raise(running)
	c.process.sentAt.raise(c.clock.now())
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}
