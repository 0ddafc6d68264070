package score

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
)

// PaceOptions sets the pace scorer.
type PaceOptions struct {
	// PerOutputToken is the expected time for one output token. Default 20 ms.
	PerOutputToken time.Duration
	// Max bounds the added cost. Default 10 s.
	Max time.Duration
}

const (
	defaultPerOutputToken = 20 * time.Millisecond
	defaultMaxPace        = 10 * time.Second
	// paceUnit is Counters.Pace of an endpoint that is exactly on time.
	paceUnit = 1000
)

// Pace adds the extra time that an endpoint slower than expected would take.
type Pace struct {
	options PaceOptions
}

var _ Scorer = (*Pace)(nil)

// NewPace builds the scorer; zero options take their defaults.
func NewPace(o PaceOptions) *Pace {
	setDefault(&o.PerOutputToken, defaultPerOutputToken)
	setDefault(&o.Max, defaultMaxPace)
	return &Pace{options: o}
}

// Name returns "pace".
func (p *Pace) Name() string {
	return "pace"
}

// Add adds the extra time.
func (p *Pace) Add(in *route.Input, eps []*snapshot.Endpoint, costs []float64) {
	expected := p.options.PerOutputToken.Seconds() * float64(max(in.Request.OutputTokens, 1))
	limit := p.options.Max.Seconds()
	for i, ep := range eps {
		if ep.Counters == nil {
			continue
		}
		pace := ep.Counters.Pace.Load()
		if pace <= paceUnit {
			continue
		}
		costs[i] += min(expected*float64(pace-paceUnit)/paceUnit, limit)
	}
}
