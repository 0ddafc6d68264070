// Package continuity tells whether a new connection to an address leads to the
// process that is already known there, or may lead to one that has just started.
//
// One process has an address at a time. A connection therefore leads to a known
// process if that process sends something on an earlier connection after the new one
// was opened. Connections of which this is not known are not trusted: a process that
// has just started may be cold, and what was known of the one before tells nothing.
package continuity

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingomount/flamingomount/pkg/suspension"
)

// Times of connections.
const (
	// shortestRestart is less than the time that a process takes to end and start
	// again: one that has sent something this recently has not been replaced.
	shortestRestart = 200 * time.Millisecond
	// transitTime bounds the time between the sending of bytes and their arrival. Their
	// process may have ended meanwhile.
	transitTime = 50 * time.Millisecond
	// readInterval is the time between two records of what a process sent.
	readInterval = 20 * time.Millisecond
	// maxProcesses bounds the addresses that are remembered without a connection.
	maxProcesses = 4096
)

// Clock measures time since a fixed moment in the past, whatever happens to the time of
// day.
type Clock struct {
	// Running is the time without that for which the VM was suspended.
	Running func() time.Duration
	// Suspended is the time for which the VM was suspended. It costs a system call.
	Suspended func() time.Duration
}

// NewClock returns the clock of this VM.
func NewClock() Clock {
	began := time.Now()
	return Clock{Running: func() time.Duration { return time.Since(began) }, Suspended: suspension.Total}
}

// now returns the time, that of suspensions included.
func (c Clock) now() time.Duration {
	return c.Running() + c.Suspended()
}

// Tracker follows the processes behind addresses. It is safe for concurrent use.
type Tracker struct {
	clock     Clock
	mu        sync.Mutex
	processes map[string]*process
}

// NewTracker returns a tracker without addresses.
func NewTracker(clock Clock) *Tracker {
	return &Tracker{clock: clock, processes: make(map[string]*process)}
}

// Conn returns a connection to an address that has just been opened.
func (t *Tracker) Conn(conn net.Conn, address string) *Conn {
	process := t.process(address)
	now := t.clock.now()
	tracked := &Conn{Conn: conn, clock: t.clock, process: process, openedAt: now}
	if process.sentLately(now) {
		tracked.trusted.Store(true)
	}
	return tracked
}

// process returns the process behind an address.
func (t *Tracker) process(address string) *process {
	t.mu.Lock()
	defer t.mu.Unlock()
	if found := t.processes[address]; found != nil {
		return found
	}
	if len(t.processes) >= maxProcesses {
		// Connections keep their processes; new ones are not trusted at first.
		clear(t.processes)
	}
	created := &process{}
	t.processes[address] = created
	return created
}

// process is what is known of the process behind an address. Times are those of the
// tracker's clock; zero means never.
type process struct {
	// sentAt is when bytes that were read on a trusted connection arrived, confirmedAt when
	// the process was last asked whether it is warm and confirmed it, and brokenAt when
	// a connection to it last broke.
	sentAt      latest
	confirmedAt latest
	brokenAt    latest
	// readAt is the running time at which sentAt was last set.
	readAt latest
	// suspended is the total time of suspensions of this VM that is known, resumedAt the
	// running time at which it became known.
	suspended latest
	resumedAt latest
}

// resumed returns the running time from which on the VM has not been suspended. The age
// of bytes that arrived before does not include the suspension.
func (p *process) resumed(running, suspended time.Duration) time.Duration {
	if suspended > p.suspended.get() {
		p.resumedAt.raise(running)
		p.suspended.raise(suspended)
	}
	return p.resumedAt.get()
}

// sentLately reports whether the process has sent something so recently that it is
// still the same, and after the last connection to it broke.
func (p *process) sentLately(now time.Duration) bool {
	heard := max(p.sentAt.get(), p.confirmedAt.get())
	if broken := p.brokenAt.get(); broken != 0 && heard <= broken+transitTime {
		return false
	}
	return heard != 0 && now-heard <= shortestRestart
}

// knownSince reports whether connections opened at a time lead to this process.
func (p *process) knownSince(openedAt time.Duration) bool {
	return p.sentAt.get() >= openedAt+transitTime || p.confirmedAt.get() >= openedAt
}

// latest is the latest of several times.
type latest struct {
	at atomic.Int64
}

func (l *latest) get() time.Duration {
	return time.Duration(l.at.Load())
}

// raise sets the time unless it is later already.
func (l *latest) raise(to time.Duration) {
	for {
		current := l.at.Load()
		if current >= int64(to) || l.at.CompareAndSwap(current, int64(to)) {
			return
		}
	}
}
