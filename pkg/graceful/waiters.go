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

// waiters keeps the connections of a server whose next request has not arrived as a whole.
// When the server has no room for another connection, the one that has waited longest yields.
// It is safe for concurrent use.
type waiters struct {
	mu sync.Mutex
	// heads holds connections that had no request yet or have begun to send one, idle those
	// that wait after a response; both begin with the one that has waited longest.
	heads, idle list.List
	places      map[*conn]place
}

// place is where a connection is kept.
type place struct {
	in      *list.List
	element *list.Element
	since   time.Time
}

// addHead adds a connection that was accepted, or moves one that has begun a request.
func (w *waiters) addHead(c *conn) {
	w.add(c, &w.heads)
}

// addIdle adds a connection that waits for its next request.
func (w *waiters) addIdle(c *conn) {
	w.add(c, &w.idle)
}

func (w *waiters) add(c *conn, to *list.List) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.take(c)
	if w.places == nil {
		w.places = make(map[*conn]place)
	}
	w.places[c] = place{in: to, element: to.PushBack(c), since: time.Now()}
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
