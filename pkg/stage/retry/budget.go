package retry

import (
	"sync"

	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	// budgetBurst is the number of extra attempts that a budget saves up at
	// most.
	budgetBurst = 10.0
	// StartCredit is the number of requests that a budget is credited with
	// before the first one, so that a daemon which has just started can retry.
	StartCredit = 100
)

// Budget bounds the extra attempts, retries and hedges alike, of one service at
// one daemon. Each offered request deposits a share of a token and each extra
// attempt takes a whole one, so the extra attempts never exceed the share of
// StartCredit and the requests offered since the start. It is safe for
// concurrent use.
type Budget struct {
	mu       sync.Mutex
	credited bool
	tokens   float64
}

// Deposit credits the budget with one offered request; share is the published
// retry budget, extra attempts over offered requests.
func (b *Budget) Deposit(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	share = max(share, 0)
	if !b.credited {
		b.credited = true
		b.tokens = StartCredit * share
	}
	b.tokens = min(b.tokens+share, budgetBurst)
}

// Allow takes one extra attempt if more than reserve would be left after it,
// and reports whether it did.
func (b *Budget) Allow(reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	// The sum of many shares falls short of a whole token by rounding.
	const rounding = 1e-9
	if b.tokens+rounding < 1+reserve {
		return false
	}
	b.tokens = max(b.tokens-1, 0)
	return true
}

// Budgets holds the budget of each service. The zero value is ready; it is safe
// for concurrent use.
type Budgets struct {
	mu        sync.Mutex
	byService map[types.ServiceName]*Budget
}

// For returns the budget of a service and creates it when there is none.
func (b *Budgets) For(service types.ServiceName) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byService == nil {
		b.byService = make(map[types.ServiceName]*Budget)
	}
	budget := b.byService[service]
	if budget == nil {
		budget = &Budget{}
		b.byService[service] = budget
	}
	return budget
}

// Tokens returns the extra attempts that may be made now, over all services.
func (b *Budgets) Tokens() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var sum float64
	for _, budget := range b.byService {
		sum += budget.left()
	}
	return sum
}

func (b *Budget) left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}
