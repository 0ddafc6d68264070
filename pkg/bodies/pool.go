// Package bodies bounds the memory of the request bodies that all listeners of a process hold
// together. Memory is reserved before it is used and given back with the body. While there is
// none left, bodies that are still being received yield to others.
package bodies

import (
	"container/list"
	"errors"
	"math"
	"sync"
	"time"
)

const (
	// yieldAfter is how long a body may be received before it yields to a later one: callers
	// that send theirs without a pause do so in this time.
	yieldAfter = 250 * time.Millisecond
	// smallBytes is the size up to which a body may take all of the limit.
	smallBytes = 64 << 10
	// largeShare is the share of the limit that larger bodies may take: the rest is kept for
	// small and urgent ones.
	largeShare = 0.75
)

// Reasons for which a body is not received.
var (
	// ErrTooLarge: it has more bytes than are taken.
	ErrTooLarge = errors.New("the body is too large")
	// ErrNoMemory: the bodies of all requests together take too many bytes.
	ErrNoMemory = errors.New("too many bytes of request bodies are held")
	// ErrYielded: it gave way to another body, or to another connection.
	ErrYielded = errors.New("the body took long and gave way to another request")
)

// Pool is the memory of the bodies of a process. A nil pool has no limit. It is safe for
// concurrent use.
type Pool struct {
	// limit is in bytes.
	limit int64
	now   func() time.Time

	mu sync.Mutex
	// freed tells waiting bodies that memory was given back, or that one has to yield.
	freed *sync.Cond
	// held is what is reserved, claimed what waiting bodies are about to reserve and yielding
	// what yielding ones are about to give back, in bytes.
	held, claimed, yielding int64
	// incoming holds the bodies that are being received, the oldest first.
	incoming list.List
	yields   int64
	refusals int64
}

// Options configures a Pool.
type Options struct {
	// Bytes is the limit; zero means none.
	Bytes int64
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// NewPool returns a pool.
func NewPool(opts Options) *Pool {
	p := &Pool{limit: opts.Bytes, now: opts.Now}
	if p.limit <= 0 {
		p.limit = math.MaxInt64
	}
	if p.now == nil {
		p.now = time.Now
	}
	p.freed = sync.NewCond(&p.mu)
	return p
}

// Usage is the state of a pool.
type Usage struct {
	// Bytes is what is reserved.
	Bytes int64
	// Refused and Yielded count the bodies that got no memory and those that gave way to
	// others, since the start.
	Refused, Yielded int64
}

// Usage returns the state of the pool.
func (p *Pool) Usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Usage{Bytes: p.held, Refused: p.refusals, Yielded: p.yields}
}

// begin adds a body to those that are being received.
func (p *Pool) begin(b *Body) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b.begunAt = p.now()
	b.place = p.incoming.PushBack(b)
}

// complete removes a body from those that are being received, and reports whether it had not
// to yield meanwhile.
func (p *Pool) complete(b *Body) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeIncoming(b)
	return !b.yielded
}

func (p *Pool) removeIncoming(b *Body) {
	if b.place != nil {
		p.incoming.Remove(b.place)
		b.place = nil
	}
}

// reserve reserves n further bytes for a body. If the pool has not enough left, bodies that are
// being received yield, and it waits until they have given back what they hold. It returns
// ErrNoMemory if none has to yield, and ErrYielded if this body had to meanwhile.
func (p *Pool) reserve(b *Body, n int64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.limitOf(b, n)
	p.claimed += n
	defer func() { p.claimed -= n }()
	for {
		if b.yielded {
			return ErrYielded
		}
		if p.held <= limit-n {
			p.held += n
			b.reserved += n
			return nil
		}
		p.makeRoom(b, limit)
		if p.held-p.yielding > limit-n {
			p.refusals++
			return ErrNoMemory
		}
		p.freed.Wait()
	}
}

// limitOf returns the limit for a body that takes n further bytes. The caller holds the lock.
func (p *Pool) limitOf(b *Body, n int64) int64 {
	if b.urgent || b.reserved+n <= smallBytes {
		return p.limit
	}
	return int64(float64(p.limit) * largeShare)
}

// makeRoom lets older bodies yield until what is claimed fits into the limit.
func (p *Pool) makeRoom(b *Body, limit int64) {
	for p.held+p.claimed-p.yielding > limit {
		other := p.oldestBefore(b)
		if other == nil {
			return
		}
		p.yield(other)
	}
}

// oldestBefore returns the body that has to yield to another one: the one that has been received
// for longest, if that is long, and longer than the other one. It returns nil if there is none.
func (p *Pool) oldestBefore(b *Body) *Body {
	front := p.incoming.Front()
	if front == nil || front == b.place {
		return nil
	}
	oldest, _ := front.Value.(*Body)
	if p.now().Sub(oldest.begunAt) < yieldAfter {
		return nil
	}
	return oldest
}

// yield makes a body that is being received end. The caller holds the lock.
func (p *Pool) yield(b *Body) {
	p.removeIncoming(b)
	b.yielded = true
	p.yields++
	p.yielding += b.reserved
	b.deadline(expired)
	p.freed.Broadcast()
}

// giveBack gives back all that a body holds.
func (p *Pool) giveBack(b *Body) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held -= b.reserved
	if b.yielded {
		p.yielding -= b.reserved
	}
	b.reserved = 0
	p.freed.Broadcast()
}
