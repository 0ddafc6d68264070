package score

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
)

// PaceOptions configures the pace scorer.
type PaceOptions struct {
	// PerOutputToken is the expected inter-token latency. Default 20 ms.
	PerOutputToken time.Duration
	// Max limits the cost added to an endpoint. Default 10 s.
	Max time.Duration
}

const (
	defaultPerOutputToken = 20 * time.Millisecond
	defaultMaxPace        = 10 * time.Second
	// nominalPace is the Counters.Pace of an endpoint with exactly the expected
	// speed.
	nominalPace = 1000
)

// Pace adds the extra decode time of endpoints that are slower than expected.
type Pace struct {
	options PaceOptions
}

var _ Scorer = (*Pace)(nil)

// NewPace returns the scorer; options that are zero take their defaults.
func NewPace(o PaceOptions) *Pace {
	setDefault(&o.PerOutputToken, defaultPerOutputToken)
	setDefault(&o.Max, defaultMaxPace)
	return &Pace{options: o}
}

// Name returns "pace".
func (p *Pace) Name() string {
	return "pace"
}

// Add adds the extra time for the request's expected output tokens.
func (p *Pace) Add(in *route.Input, eps []*snapshot.Endpoint, costs []float64) {
	expected := p.options.PerOutputToken.Seconds() * float64(max(in.Request.OutputTokens, 1))
	limit := p.options.Max.Seconds()
	for i, ep := range eps {
		if ep.Counters == nil {
			continue
		}
		pace := ep.Counters.Pace.Load()
		if pace <= nominalPace {
			continue
		}
		costs[i] += min(expected*float64(pace-nominalPace)/nominalPace, limit)
	}
}
