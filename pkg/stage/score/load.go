package score

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
)

// LoadOptions sets the load scorer.
type LoadOptions struct {
	// Mixing is the age at which a report counts half; the other half is the
	// mean of the candidates. Default 1 s.
	Mixing time.Duration
	// Hold is the time a request keeps a slot when nothing waits. Default 1 s.
	Hold time.Duration
	// Slowdown is what a full batch adds to a request's time. Default 0.5 s.
	Slowdown time.Duration
	// FullPenalty is added where this daemon has reached its concurrency
	// limit. Default 5 s.
	FullPenalty time.Duration
}

const (
	defaultMixing      = time.Second
	defaultHold        = time.Second
	defaultSlowdown    = 500 * time.Millisecond
	defaultFullPenalty = 5 * time.Second
)

// Load predicts the wait at an endpoint from its last report, corrected by this
// daemon's own attempts since and discounted by the report's age.
type Load struct {
	options LoadOptions
}

var _ Scorer = (*Load)(nil)

// NewLoad builds the scorer; zero options take their defaults.
func NewLoad(o LoadOptions) *Load {
	setDefault(&o.Mixing, defaultMixing)
	setDefault(&o.Hold, defaultHold)
	setDefault(&o.Slowdown, defaultSlowdown)
	setDefault(&o.FullPenalty, defaultFullPenalty)
	return &Load{options: o}
}

func setDefault(value *time.Duration, usual time.Duration) {
	if *value <= 0 {
		*value = usual
	}
}

// Name returns "load".
func (l *Load) Name() string {
	return "load"
}

// Add adds the predicted wait and slowdown.
func (l *Load) Add(in *route.Input, eps []*snapshot.Endpoint, costs []float64) {
	mean := meanOccupancy(eps)
	daemons := float64(entries(in.Snapshot))
	slowdown := l.options.Slowdown.Seconds()
	hold := l.options.Hold.Seconds()
	for i, ep := range eps {
		slots := float64(max(ep.Slots, 1))
		load := l.estimate(in.Now, ep, mean*slots, daemons)
		costs[i] += slowdown * min(load/slots, 1)
		if load+1 > slots {
			costs[i] += hold * (load + 1 - slots) / slots
		}
		if full(ep) {
			costs[i] += l.options.FullPenalty.Seconds()
		}
	}
}

// estimate predicts the requests at the endpoint now.
func (l *Load) estimate(now time.Time, ep *snapshot.Endpoint, mean, daemons float64) float64 {
	own := 0.0
	if ep.Counters != nil {
		own = float64(ep.Counters.InFlight.Load())
	}
	if ep.Load.TakenAt.IsZero() {
		return own * daemons
	}
	age := max(now.Sub(ep.Load.TakenAt), 0)
	trust := float64(l.options.Mixing) / float64(l.options.Mixing+age)
	reported := float64(ep.Load.Running + ep.Load.Queued)
	return max(mean+(reported-mean)*trust+sinceReport(ep), own)
}

// sinceReport is the change of this daemon's own attempts since the report.
func sinceReport(ep *snapshot.Endpoint) float64 {
	c := ep.Counters
	if c == nil {
		return 0
	}
	sent := c.Sent.Load() - c.SentAtReport.Load()
	done := c.Done.Load() - c.DoneAtReport.Load()
	return float64(sent - done)
}

// meanOccupancy is the reported load per slot over the candidates.
func meanOccupancy(eps []*snapshot.Endpoint) float64 {
	load, slots := 0, 0
	for _, ep := range eps {
		if ep.Load.TakenAt.IsZero() {
			continue
		}
		load += ep.Load.Running + ep.Load.Queued
		slots += max(ep.Slots, 1)
	}
	if slots == 0 {
		return 0
	}
	return float64(load) / float64(slots)
}

// full reports whether this daemon has reached its limit at the endpoint.
func full(ep *snapshot.Endpoint) bool {
	if ep.Counters == nil {
		return false
	}
	limit := ep.Counters.Limit.Load()
	return limit > 0 && ep.Counters.InFlight.Load() >= limit
}
