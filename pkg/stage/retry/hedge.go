package retry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	hedgeQuantile = 95.0 // percent
	// hedgeMinSamples is the number of recorded latencies below which no
	// request is hedged.
	hedgeMinSamples = 50
	// latencyWindowSize is the number of latencies in one histogram window.
	// When a window is full, the oldest one is discarded.
	latencyWindowSize = 1000
	// maxLatency is the largest latency recorded; longer ones count as
	// maxLatency.
	maxLatency         = 10 * time.Minute
	latencyDigits      = 2
	latencyWindowCount = 2
)

// Latencies estimates quantiles of the time to the first byte of the response
// over the last 1000 to 2000 attempts. It is safe for concurrent use.
type Latencies struct {
	mu       sync.Mutex
	windows  *hdrhistogram.WindowedHistogram
	merged   *hdrhistogram.Histogram
	recorded int
}

// NewLatencies returns an estimate without samples.
func NewLatencies() *Latencies {
	maxMillis := maxLatency.Milliseconds()
	return &Latencies{
		windows: hdrhistogram.NewWindowed(latencyWindowCount, 1, maxMillis, latencyDigits),
		merged:  hdrhistogram.New(1, maxMillis, latencyDigits),
	}
}

// Add records the latency of an attempt that was not a hedge.
func (l *Latencies) Add(latency time.Duration) {
	latency = min(max(latency, time.Millisecond), maxLatency)
	l.mu.Lock()
	defer l.mu.Unlock()
	// The value is within the histogram's bounds, so recording it cannot fail.
	_ = l.windows.Current.RecordValue(latency.Milliseconds())
	_ = l.merged.RecordValue(latency.Milliseconds())
	l.recorded++
	if l.recorded%latencyWindowSize == 0 {
		l.windows.Rotate()
		l.merged = l.windows.Merge()
	}
}

// Quantile returns the latency at a percentile, 0 to 100, and whether there are
// enough samples for it.
func (l *Latencies) Quantile(percent float64) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.merged.TotalCount() < hedgeMinSamples {
		return 0, false
	}
	return time.Duration(l.merged.ValueAtQuantile(percent)) * time.Millisecond, true
}

// HedgeDelay returns how long to wait for the first byte before a second
// attempt is started at another endpoint, and whether the request may be hedged
// at all.
func (p *Policy) HedgeDelay(req *request.Request, resend bool, latencies *Latencies, now time.Time) (time.Duration, bool) {
	if !req.Repeatable || req.Rank != types.RankUrgent || len(req.Path) > 0 || resend {
		return 0, false
	}
	p95, ok := latencies.Quantile(hedgeQuantile)
	if !ok {
		return 0, false
	}
	// The hedge starts after one p95 and is assumed to need another; skip it if
	// it would start too late to be useful.
	if now.Add(2 * p95).After(req.Deadline) {
		return 0, false
	}
	return p95, true
}

// AllowHedge takes one hedge from the service's budget and reports whether it
// may be sent. Call it once the hedge delay has passed. Hedges leave
// HedgeReserve extra attempts to retries.
func (p *Policy) AllowHedge(service types.ServiceName) bool {
	return p.budgets.For(service).Allow(p.options.HedgeReserve)
}
