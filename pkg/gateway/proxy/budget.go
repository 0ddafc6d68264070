package proxy

import (
	"sync"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// budgetFraction is the part of the fleet's retry budget that is spent. The
// margin is needed because requests are counted late and the daemons do not
// coordinate.
const budgetFraction = 0.8

// assumedFleetSize is the number of daemons assumed while this one has just
// started and does not know the others. After a power loss all daemons are in
// that state at once.
const assumedFleetSize = 64

// defaultBudgetWindow applies when the settings name no window.
const defaultBudgetWindow = 10 * time.Second

// windowBuckets is the number of buckets into which the window is divided.
const windowBuckets = 20

// RetryBudgets limits retries per service. In any window, all daemons together
// may make a ratio of the requests offered plus a fixed number of retries. Each
// daemon spends the ratio of its own requests in the last window and its share of
// the fixed number. Safe for concurrent use.
type RetryBudgets struct {
	ratio float64
	// fixed is the number of retries per window that all daemons share.
	fixed  float64
	window time.Duration

	mu sync.Mutex
	// share is this daemon's share of fixed.
	share    float64
	services map[types.ServiceName]*serviceUsage
}

// NewRetryBudgets returns budgets of which nothing is spent. Ratio is the number
// of retries per request; fixed is the number of retries per window that all
// daemons together may make beyond that.
func NewRetryBudgets(ratio, fixed float64, window time.Duration) *RetryBudgets {
	if window <= 0 {
		window = defaultBudgetWindow
	}
	b := &RetryBudgets{ratio: ratio * budgetFraction, fixed: fixed * budgetFraction, window: window, services: make(map[types.ServiceName]*serviceUsage)}
	b.SetFleetSize(assumedFleetSize)
	return b
}

// SetFleetSize sets the number of daemons that share the fixed number of retries.
func (b *RetryBudgets) SetFleetSize(daemons int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = max(b.fixed/float64(max(daemons, 1)), 1)
}

// RecordRequest counts a request for the service.
func (b *RetryBudgets) RecordRequest(service types.ServiceName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usageOf(service, now).requests[0]++
}

// Allow reports whether the budget permits another retry and, if so, spends it.
func (b *RetryBudgets) Allow(service types.ServiceName, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	usage := b.usageOf(service, now)
	if float64(usage.retries.sum()+1) > float64(usage.requests.sum())*b.ratio+b.share {
		return false
	}
	usage.retries[0]++
	return true
}

// usageOf returns the usage of a service, with the window advanced to now.
func (b *RetryBudgets) usageOf(service types.ServiceName, now time.Time) *serviceUsage {
	usage := b.services[service]
	if usage == nil {
		usage = &serviceUsage{bucketStart: now}
		b.services[service] = usage
	}
	usage.advance(now, b.window/windowBuckets)
	return usage
}

// bucketCounts holds one count per bucket of the window, newest first.
type bucketCounts [windowBuckets]int

func (c *bucketCounts) sum() int {
	total := 0
	for _, count := range c {
		total += count
	}
	return total
}

// serviceUsage counts the requests and the retries of one service.
type serviceUsage struct {
	requests bucketCounts
	retries  bucketCounts
	// bucketStart is when the newest bucket began.
	bucketStart time.Time
}

// advance starts new buckets for the time that has passed.
func (s *serviceUsage) advance(now time.Time, bucket time.Duration) {
	for steps := 0; now.Sub(s.bucketStart) >= bucket; steps++ {
		if steps == windowBuckets {
			s.bucketStart = now
			return
		}
		copy(s.requests[1:], s.requests[:windowBuckets-1])
		copy(s.retries[1:], s.retries[:windowBuckets-1])
		s.requests[0], s.retries[0] = 0, 0
		s.bucketStart = s.bucketStart.Add(bucket)
	}
}
