package score

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
)

// SlowStartOptions configures the slow-start scorer.
type SlowStartOptions struct {
	// Duration is the time until an endpoint that returns to service takes its
	// full share. Default 30 s.
	Duration time.Duration
	// MinShare is the share of requests that may choose the endpoint when slow
	// start begins. Default 0.05.
	MinShare float64
}

const (
	defaultSlowStart = 30 * time.Second
	defaultMinShare  = 0.05
	// slowStartPenalty, in seconds, exceeds every other cost.
	slowStartPenalty = 30.0
)

// SlowStart penalises an endpoint that has returned to service for a share of
// requests. That share falls linearly until slow start ends.
type SlowStart struct {
	options SlowStartOptions
}

var _ Scorer = (*SlowStart)(nil)

// NewSlowStart returns the scorer; options that are zero take their defaults.
func NewSlowStart(o SlowStartOptions) *SlowStart {
	setDefault(&o.Duration, defaultSlowStart)
	if o.MinShare <= 0 {
		o.MinShare = defaultMinShare
	}
	return &SlowStart{options: o}
}

// Name returns "ramp".
func (r *SlowStart) Name() string {
	return "ramp"
}

// Add penalises each endpoint in slow start, at random according to its share.
func (r *SlowStart) Add(in *route.Input, eps []*snapshot.Endpoint, costs []float64) {
	for i, ep := range eps {
		share := r.Share(ep, in.Now)
		if share < 1 && route.Float64(in.Rand) >= share {
			costs[i] += slowStartPenalty
		}
	}
}

// Share returns the part of its full share of requests, 0 to 1, that the
// endpoint takes now. The daemon's capacity counts the endpoint's slots by the
// same part.
func (r *SlowStart) Share(ep *snapshot.Endpoint, now time.Time) float64 {
	if ep.SlowStartAt.IsZero() {
		return 1
	}
	fraction := float64(now.Sub(ep.SlowStartAt)) / float64(r.options.Duration)
	return min(max(fraction, r.options.MinShare), 1)
}
