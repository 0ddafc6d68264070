package proxy

import (
	"sync"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// budgetFraction is the part of the fleet's retry budget that is spent. The margin
// is for requests that are counted later than their callers sent them, and for
// daemons that are paused between counting a retry and sending it.
const budgetFraction = 0.9

// defaultBudgetWindow applies when the settings name no window.
const defaultBudgetWindow = 10 * time.Second

// arrivalTime bounds the time from counting a retry to its arrival at an endpoint.
// An attempt that obtains no connection by then is not sent.
const arrivalTime = 1500 * time.Millisecond

// RetryBudgets limits retries per service. In any window, all daemons together may
// make a ratio of the requests offered plus a fixed number of retries. Each daemon
// spends the ratio of its own requests, as its ledger counts them, and its share of
// the fixed number. A daemon has no share in its first window: an earlier run of it
// may have spent the share within the same window. Safe for concurrent use.
type RetryBudgets struct {
	ratio float64
	// fixed is the number of retries per window that all daemons share.
	fixed  float64
	window time.Duration
	// sharesFrom is when this daemon may begin to spend its share.
	sharesFrom time.Time

	mu sync.Mutex
	// share is this daemon's share of fixed.
	share   float64
	ledgers map[types.ServiceName]*ledger
}

// NewRetryBudgets returns the budgets of a daemon that has started at a time. Ratio
// is the number of retries per request; fixed is the number of retries per window
// that all daemons together may make beyond that. The daemon has no share of it
// until SetFleetSize is called.
func NewRetryBudgets(ratio, fixed float64, window time.Duration, startedAt time.Time) *RetryBudgets {
	if window <= 0 {
		window = defaultBudgetWindow
	}
	return &RetryBudgets{
		ratio: ratio * budgetFraction, fixed: fixed * budgetFraction, window: window,
		sharesFrom: startedAt.Add(window + arrivalTime), ledgers: make(map[types.ServiceName]*ledger),
	}
}

// SetFleetSize sets the number of daemons that share the fixed number of retries.
// A share below one adds to what the daemon's own requests permit.
func (b *RetryBudgets) SetFleetSize(daemons int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = b.fixed / float64(max(daemons, 1))
}

// RecordRequest counts a request for the service.
func (b *RetryBudgets) RecordRequest(service types.ServiceName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledgerOf(service, now).buckets[0].requests++
}

// Allow reports whether the budget permits another retry and, if so, spends it.
func (b *RetryBudgets) Allow(service types.ServiceName, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.permits(service, now) {
		return false
	}
	b.ledgerOf(service, now).buckets[0].retries++
	return true
}

// Permits reports whether the budget permits another retry, without spending it.
func (b *RetryBudgets) Permits(service types.ServiceName, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.permits(service, now)
}

func (b *RetryBudgets) permits(service types.ServiceName, now time.Time) bool {
	share := b.share
	if now.Before(b.sharesFrom) {
		share = 0
	}
	return b.ledgerOf(service, now).permits(b.ratio, share)
}

// Refund takes back a retry that was spent at a time and never sent.
func (b *RetryBudgets) Refund(service types.ServiceName, spentAt, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledgerOf(service, now).refund(spentAt)
}

// ledgerOf returns the ledger of a service, advanced to now.
func (b *RetryBudgets) ledgerOf(service types.ServiceName, now time.Time) *ledger {
	l := b.ledgers[service]
	if l == nil {
		l = newLedger(b.window, now)
		b.ledgers[service] = l
	}
	l.advance(now)
	return l
}
