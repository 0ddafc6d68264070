// Package reserve limits a resource that requests hold while they are in flight, such as
// places. The memory of their bodies has a pool of its own, package bodies.
package reserve

import (
	"math"
	"sync/atomic"
)

// Budget is a limited number of units. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of limit units; zero means no limit.
func NewBudget(limit int64) *Budget {
	if limit == 0 {
		limit = math.MaxInt64
	}
	return &Budget{limit: limit}
}

// TryReserve reserves n units if that stays within the limit, and reports whether it
// did.
func (b *Budget) TryReserve(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// Release returns n reserved units.
func (b *Budget) Release(n int64) {
	b.used.Add(-n)
}

// Used returns the number of reserved units.
func (b *Budget) Used() int64 {
	return b.used.Load()
}
