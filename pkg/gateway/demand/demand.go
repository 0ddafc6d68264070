// Package demand counts the requests of callers on routes whose data is restricted to
// regions. Answers that are given for a whole host, such as which daemons its callers
// should use, are weighed by these counts: most routes of a host may have hardly any
// requests.
package demand

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
)

// Window is the time whose requests count in full; those of another Window before may
// count too.
const Window = 30 * time.Second

// Counts holds numbers of requests by the name of their route.
type Counts map[string]uint64

// Add adds other counts.
func (c Counts) Add(other Counts) {
	for route, requests := range other {
		c[route] += requests
	}
}

// Largest returns the counts of at most n routes, those with the most requests.
func (c Counts) Largest(n int) Counts {
	if len(c) <= n {
		return maps.Clone(c)
	}
	routes := slices.SortedFunc(maps.Keys(c), func(a, b string) int {
		return cmp.Or(cmp.Compare(c[b], c[a]), cmp.Compare(a, b))
	})
	largest := make(Counts, n)
	for _, route := range routes[:n] {
		largest[route] = c[route]
	}
	return largest
}

// Counter counts requests by route over the last one to two windows. It is safe for
// concurrent use.
type Counter struct {
	now func() time.Time

	mu sync.Mutex
	// began is when the current window began.
	began             time.Time
	current, previous Counts
	// suspendedUntil is until when requests do not count.
	suspendedUntil time.Time
}

// NewCounter returns an empty counter.
func NewCounter(now func() time.Time) *Counter {
	return &Counter{now: now, began: now(), current: make(Counts)}
}

// Record counts a request of a route. Requests of routes without a restriction do not
// count: their callers may use any daemon.
func (c *Counter) Record(route *catalog.Route) {
	if len(route.AllowedRegions) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.advance().Before(c.suspendedUntil) {
		return
	}
	c.current[route.Name]++
}

// Suspend leaves out the requests of the given time from now on: they may be those of
// callers that usually use other daemons.
func (c *Counter) Suspend(length time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until := c.now().Add(length); until.After(c.suspendedUntil) {
		c.suspendedUntil = until
	}
}

// Counts returns the number of requests of each route that had any.
func (c *Counter) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance()
	counts := make(Counts, len(c.current))
	counts.Add(c.previous)
	counts.Add(c.current)
	return counts
}

// advance begins a new window if the current one has ended, and returns the time.
func (c *Counter) advance() time.Time {
	now := c.now()
	age := now.Sub(c.began)
	if age < Window {
		return now
	}
	c.previous = c.current
	if age >= 2*Window {
		c.previous = nil
	}
	c.current = make(Counts)
	c.began = now
	return now
}
