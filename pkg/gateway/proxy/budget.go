package proxy

import (
	"sync"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// budgetShare is the part of the fleet's retry budget that is spent: requests
// are counted late and the daemons do not ask each other.
const budgetShare = 0.8

// unknownFleet is how many daemons are assumed while this one has just started
// and does not know the others: after a loss of power all of them are in that
// state at once.
const unknownFleet = 64

// defaultBudgetWindow holds where the settings name no window.
const defaultBudgetWindow = 10 * time.Second

// budgetSlots divides the window in which extra attempts are counted.
const budgetSlots = 20

// RetryBudgets bounds extra attempts by service. In any window all daemons together
// may make a ratio of the requests offered plus a fixed number; each daemon
// spends the ratio of its own requests in the last window and its part of the
// fixed number. Safe for concurrent use.
type RetryBudgets struct {
	ratio float64
	// fixed is the number that all daemons together may spend in a window.
	fixed  float64
	window time.Duration

	mu sync.Mutex
	// part is this daemon's part of it.
	part     float64
	services map[types.ServiceName]*spending
}

// NewRetryBudgets returns budgets without any spending. Ratio is extra attempts over
// requests, fixed the number that all daemons together may make beyond that in
// a window.
func NewRetryBudgets(ratio, fixed float64, window time.Duration) *RetryBudgets {
	if window <= 0 {
		window = defaultBudgetWindow
	}
	b := &RetryBudgets{ratio: ratio * budgetShare, fixed: fixed * budgetShare, window: window, services: make(map[types.ServiceName]*spending)}
	b.SetFleetSize(unknownFleet)
	return b
}

// SetFleetSize sets how many daemons share the fixed number.
func (b *RetryBudgets) SetFleetSize(daemons int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.part = max(b.fixed/float64(max(daemons, 1)), 1)
}

// RecordRequest counts a request for the service.
func (b *RetryBudgets) RecordRequest(service types.ServiceName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service, now).offered[0]++
}

// Allow takes an extra attempt and reports whether there was one left.
func (b *RetryBudgets) Allow(service types.ServiceName, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	spent := b.of(service, now)
	if float64(spent.taken.sum()+1) > float64(spent.offered.sum())*b.ratio+b.part {
		return false
	}
	spent.taken[0]++
	return true
}

// of returns the spending of a service with the window moved to the time.
func (b *RetryBudgets) of(service types.ServiceName, now time.Time) *spending {
	found := b.services[service]
	if found == nil {
		found = &spending{at: now}
		b.services[service] = found
	}
	found.move(now, b.window/budgetSlots)
	return found
}

// counts holds numbers by slot of a window, the newest first.
type counts [budgetSlots]int

func (c *counts) sum() int {
	total := 0
	for _, count := range c {
		total += count
	}
	return total
}

// spending counts the requests and the extra attempts of one service.
type spending struct {
	offered counts
	taken   counts
	// at is when the newest slot began.
	at time.Time
}

// move begins new slots for the time that has passed.
func (s *spending) move(now time.Time, slot time.Duration) {
	for steps := 0; now.Sub(s.at) >= slot; steps++ {
		if steps == budgetSlots {
			s.at = now
			return
		}
		copy(s.offered[1:], s.offered[:budgetSlots-1])
		copy(s.taken[1:], s.taken[:budgetSlots-1])
		s.offered[0], s.taken[0] = 0, 0
		s.at = s.at.Add(slot)
	}
}
