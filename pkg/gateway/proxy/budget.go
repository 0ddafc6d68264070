package proxy

import (
	"sync"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// budgetShare is the part of the fleet's retry budget that is spent: requests
// are counted late and the daemons do not ask each other.
const budgetShare = 0.8

// Budgets bounds extra attempts by service. All daemons together may make a
// ratio of the requests offered plus a fixed number; each daemon spends the
// ratio of its own requests and its part of the fixed number. Safe for
// concurrent use.
type Budgets struct {
	ratio float64
	burst float64

	mu     sync.Mutex
	tokens map[types.ServiceName]float64
}

// NewBudgets returns full budgets. Ratio is extra attempts over requests, burst
// this daemon's part of the fixed number.
func NewBudgets(ratio, burst float64) *Budgets {
	return &Budgets{ratio: ratio * budgetShare, burst: max(burst*budgetShare, 1), tokens: make(map[types.ServiceName]float64)}
}

// Offered credits a request for the service.
func (b *Budgets) Offered(service types.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service] = min(b.left(service)+b.ratio, b.burst)
}

// Take takes an extra attempt and reports whether there was one left.
func (b *Budgets) Take(service types.ServiceName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.left(service)
	if left < 1 {
		return false
	}
	b.tokens[service] = left - 1
	return true
}

func (b *Budgets) left(service types.ServiceName) float64 {
	tokens, known := b.tokens[service]
	if !known {
		return b.burst
	}
	return tokens
}
