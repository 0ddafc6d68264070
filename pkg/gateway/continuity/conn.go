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

// OpenFor returns the time since the connection was opened, that of suspensions of this VM
// included.
func (c *Conn) OpenFor() time.Duration {
	return c.clock.now() - c.openedAt
}

// Trust records that the process at the other end is known to be warm. What is known of
// other connections stays.
func (c *Conn) Trust() {
	c.trusted.Store(true)
}

// Asking records that the process at the other end is about to be asked whether it is
// warm. It returns a function to call if the answer is that it is: the process has held
// its address since it was asked, however late the answer was read.
func (c *Conn) Asking() (confirm func()) {
	askedAt := c.clock.now()
	return func() {
		c.trusted.Store(true)
		c.process.confirmedAt.raise(askedAt)
	}
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
	waited, known := sinceArrival(c.Conn)
	if !known {
		return
	}
	c.process.readAt.raise(running)
	c.process.sentAt.raise(c.clock.now() - waited)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}
