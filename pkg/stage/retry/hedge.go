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
	// hedgeMinSamples is the number of latencies below which nothing is
	// hedged.
	hedgeMinSamples = 50
	// latencyWindow is the number of latencies after which older ones go.
	latencyWindow = 1000
	// maxLatency bounds what a Latencies records.
	maxLatency        = 10 * time.Minute
	latencyDigits     = 2
	latencyWindowsOld = 2
)

// Latencies estimates the quantiles of the time to the first byte of an answer
// over the last one to two thousand attempts. It is safe for concurrent use.
type Latencies struct {
	mu      sync.Mutex
	windows *hdrhistogram.WindowedHistogram
	merged  *hdrhistogram.Histogram
	added   int
}

// NewLatencies returns an empty estimate.
func NewLatencies() *Latencies {
	maxMillis := maxLatency.Milliseconds()
	return &Latencies{
		windows: hdrhistogram.NewWindowed(latencyWindowsOld, 1, maxMillis, latencyDigits),
		merged:  hdrhistogram.New(1, maxMillis, latencyDigits),
	}
}

// Add records the latency of an attempt that was not a hedge.
func (l *Latencies) Add(latency time.Duration) {
	latency = min(max(latency, time.Millisecond), maxLatency)
	l.mu.Lock()
	defer l.mu.Unlock()
	// The value is within the histogram's bounds, so it is never refused.
	_ = l.windows.Current.RecordValue(latency.Milliseconds())
	_ = l.merged.RecordValue(latency.Milliseconds())
	l.added++
	if l.added%latencyWindow == 0 {
		l.windows.Rotate()
		l.merged = l.windows.Merge()
	}
}

// Quantile returns a quantile, 0 to 100, and whether enough is known.
func (l *Latencies) Quantile(percent float64) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.merged.TotalCount() < hedgeMinSamples {
		return 0, false
	}
	return time.Duration(l.merged.ValueAtQuantile(percent)) * time.Millisecond, true
}

// HedgeDelay returns how long to wait for the first byte before a second
// attempt is started elsewhere, and whether the request may be hedged at all.
func (p *Policy) HedgeDelay(req *request.Request, resend bool, latencies *Latencies, now time.Time) (time.Duration, bool) {
	if !req.Repeatable || req.Rank != types.RankUrgent || len(req.Path) > 0 || resend {
		return 0, false
	}
	usual, ok := latencies.Quantile(hedgeQuantile)
	if !ok {
		return 0, false
	}
	// A hedge that starts too late to be of use is not planned.
	if now.Add(2 * usual).After(req.Deadline) {
		return 0, false
	}
	return usual, true
}

// AllowHedge takes one hedge from the service's budget when its time has come
// and reports whether it may be sent. Hedges leave a reserve to retries.
func (p *Policy) AllowHedge(service types.ServiceName) bool {
	return p.budgets.For(service).Allow(p.options.HedgeReserve)
}
