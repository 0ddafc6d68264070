package graceful

import (
	"container/list"
	"sync"
	"time"
)

// yieldAfter is how long a connection may wait before it has to yield to another one: callers
// that have just connected send their request within this time.
const yieldAfter = 250 * time.Millisecond

// yieldFirst is how much sooner a connection without a response has to yield than one that had
// one: it does so first if it has waited nearly as long.
const yieldFirst = yieldAfter / 5

// yieldBodyAfter is how long the body of a request may take before its connection has to yield
// to another one.
const yieldBodyAfter = time.Second

// yieldBodyPause is the least time between two connections that yield while their bodies are
// received.
const yieldBodyPause = 10 * time.Millisecond

// waiters keeps the connections of a server whose next request has not arrived as a whole.
// When the server has no room for another connection, the one that has waited longest yields.
// It is safe for concurrent use.
type waiters struct {
	mu sync.Mutex
	// heads holds connections that had no request yet or have begun to send one, idle those
	// that wait after a response, bodies those whose handler waits for the body of its
	// request; all begin with the one that has waited longest.
	heads, idle, bodies list.List
	places              map[*conn]place
}

// place is where a connection is kept.
type place struct {
	in      *list.List
	element *list.Element
	since   time.Time
	// giveWay makes the handler that waits for a body end; nil if none does.
	giveWay func()
}

// addHead adds a connection that was accepted, or moves one that has begun a request.
func (w *waiters) addHead(c *conn) {
	w.add(c, &w.heads, nil)
}

// addIdle adds a connection that waits for its next request.
func (w *waiters) addIdle(c *conn) {
	w.add(c, &w.idle, nil)
}

// addBody adds a connection whose handler waits for a body; giveWay makes it end.
func (w *waiters) addBody(c *conn, giveWay func()) {
	w.add(c, &w.bodies, giveWay)
}

func (w *waiters) add(c *conn, to *list.List, giveWay func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.take(c)
	if w.places == nil {
		w.places = make(map[*conn]place)
	}
	w.places[c] = place{in: to, element: to.PushBack(c), since: time.Now(), giveWay: giveWay}
}

// remove forgets a connection whose request has arrived or that has ended.
func (w *waiters) remove(c *conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.take(c)
}

// take removes a connection. The caller holds the lock.
func (w *waiters) take(c *conn) {
	if kept, found := w.places[c]; found {
		kept.in.Remove(kept.element)
		delete(w.places, c)
	}
}

// takeLongest removes and returns the connection that has waited longest, if that has to
// yield; one that has served a request does so after all others. begun is true unless it waited
// after a response and nothing of a request had arrived. It returns nil if there is none yet,
// and the time until there may be one.
func (w *waiters) takeLongest() (longest *conn, begun bool, left time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	until := yieldAfter
	for _, in := range []*list.List{&w.heads, &w.idle} {
		first := in.Front()
		if first == nil {
			continue
		}
		c, _ := first.Value.(*conn)
		left = yieldAfter - time.Since(w.places[c].since)
		if left <= 0 {
			w.take(c)
			return c, in == &w.heads, 0
		}
		until = min(until, left)
		if left <= yieldFirst {
			break
		}
	}
	return nil, false, until
}

// takeBody removes the connection whose body has taken longest, if that has to yield, and
// returns what makes its handler end; nil if there is none yet.
func (w *waiters) takeBody() (giveWay func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	first := w.bodies.Front()
	if first == nil {
		return nil
	}
	c, _ := first.Value.(*conn)
	kept := w.places[c]
	if time.Since(kept.since) < yieldBodyAfter {
		return nil
	}
	w.take(c)
	return kept.giveWay
}
