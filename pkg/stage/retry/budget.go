package retry

import (
	"sync"

	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	// budgetBurst is the largest number of tokens, that is of extra attempts,
	// that a budget accumulates.
	budgetBurst = 10.0
	// StartCredit is the number of requests that a budget is credited with
	// before the first one, so that a daemon that has just started can retry.
	StartCredit = 100
)

// Budget is a token bucket that bounds the extra attempts, retries and hedges
// alike, of one service at one daemon. Each offered request deposits a share of
// a token and each extra attempt takes a whole token, so the number of extra
// attempts never exceeds share * (StartCredit + the requests offered since the
// start). It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	credited bool
	tokens   float64
}

// Deposit credits the budget with one offered request. The share is the
// published retry budget: extra attempts per offered request.
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

// Allow takes the token for one extra attempt if at least reserve tokens remain
// after it, and reports whether it did.
func (b *Budget) Allow(reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	// Summing many shares can fall short of a whole token by a rounding error.
	const rounding = 1e-9
	if b.tokens+rounding < 1+reserve {
		return false
	}
	b.tokens = max(b.tokens-1, 0)
	return true
}

// Budgets holds one Budget per service. The zero value is ready to use. It is
// safe for concurrent use.
type Budgets struct {
	mu        sync.Mutex
	byService map[types.ServiceName]*Budget
}

// For returns the budget of a service and creates it if there is none yet.
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

// Tokens returns how many extra attempts are allowed now, summed over all
// services.
func (b *Budgets) Tokens() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var sum float64
	for _, budget := range b.byService {
		sum += budget.available()
	}
	return sum
}

func (b *Budget) available() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}
