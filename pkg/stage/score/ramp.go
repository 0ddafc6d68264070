package score

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
)

// SlowStartOptions sets the ramp scorer.
type SlowStartOptions struct {
	// Duration is the time until a returning endpoint takes its full share.
	// Default 30 s.
	Duration time.Duration
	// MinShare is the share of requests that may choose the endpoint at the
	// start of the ramp. Default 0.05.
	MinShare float64
}

const (
	defaultRamp     = 30 * time.Second
	defaultMinShare = 0.05
	// rampPenalty, in seconds, outweighs every other cost.
	rampPenalty = 30.0
)

// SlowStart hides a returning endpoint from a share of requests that falls linearly
// until the ramp ends.
type SlowStart struct {
	options SlowStartOptions
}

var _ Scorer = (*SlowStart)(nil)

// NewSlowStart builds the scorer; zero options take their defaults.
func NewSlowStart(o SlowStartOptions) *SlowStart {
	setDefault(&o.Duration, defaultRamp)
	if o.MinShare <= 0 {
		o.MinShare = defaultMinShare
	}
	return &SlowStart{options: o}
}

// Name returns "ramp".
func (r *SlowStart) Name() string {
	return "ramp"
}

// Add penalises ramping endpoints by chance.
func (r *SlowStart) Add(in *route.Input, eps []*snapshot.Endpoint, costs []float64) {
	for i, ep := range eps {
		share := r.Share(ep, in.Now)
		if share < 1 && route.Float64(in.Rand) >= share {
			costs[i] += rampPenalty
		}
	}
}

// Share is the part of its full share, 0 to 1, that the endpoint takes now. A
// daemon's capacity counts a ramping endpoint by the same part.
func (r *SlowStart) Share(ep *snapshot.Endpoint, now time.Time) float64 {
	if ep.RampStart.IsZero() {
		return 1
	}
	passed := float64(now.Sub(ep.RampStart)) / float64(r.options.Duration)
	return min(max(passed, r.options.MinShare), 1)
}
