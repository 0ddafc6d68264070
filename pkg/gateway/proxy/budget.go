package proxy

import (
	"sync"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// budgetShare is the part of the fleet's retry budget that is spent: requests
// are counted late and the daemons do not ask each other.
const budgetShare = 0.8

// unknownFleet is how many daemons are assumed while this one has just started
// and does not know the others: after a loss of power all of them are in that
// state at once.
const unknownFleet = 64

// Budgets bounds extra attempts by service. All daemons together may make a
// ratio of the requests offered plus a fixed number; each daemon spends the
// ratio of its own requests and its part of the fixed number. Safe for
// concurrent use.
type Budgets struct {
	ratio float64
	// fixed is the number that all daemons together may spend.
	fixed float64

	mu sync.Mutex
	// burst is this daemon's part of it.
	burst  float64
	tokens map[types.ServiceName]float64
}

// NewBudgets returns full budgets. Ratio is extra attempts over requests, fixed
// the number that all daemons together may make beyond that.
func NewBudgets(ratio, fixed float64) *Budgets {
	b := &Budgets{ratio: ratio * budgetShare, fixed: fixed * budgetShare, tokens: make(map[types.ServiceName]float64)}
	b.Divide(unknownFleet)
	return b
}

// Divide sets how many daemons share the fixed number. What is left of a larger
// part is cut; a part that grows is filled by further requests.
func (b *Budgets) Divide(daemons int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = max(b.fixed/float64(max(daemons, 1)), 1)
	for service, tokens := range b.tokens {
		b.tokens[service] = min(tokens, b.burst)
	}
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
