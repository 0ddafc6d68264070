package score

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
)

// LoadOptions sets the load scorer.
type LoadOptions struct {
	// HalfWeightAge is the age at which a report counts half where many daemons share
	// the endpoints. Default 250 ms.
	HalfWeightAge time.Duration
	// HoldTime is the time a request keeps a slot when nothing waits. Default 2 s.
	HoldTime time.Duration
	// Slowdown is what a full batch adds to a request's time. Default 0.5 s.
	Slowdown time.Duration
	// LimitPenalty is added where this daemon has reached its concurrency
	// limit. Default 5 s.
	LimitPenalty time.Duration
}

const (
	defaultMixing      = 250 * time.Millisecond
	defaultHold        = 2 * time.Second
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
	setDefault(&o.HalfWeightAge, defaultMixing)
	setDefault(&o.HoldTime, defaultHold)
	setDefault(&o.Slowdown, defaultSlowdown)
	setDefault(&o.LimitPenalty, defaultFullPenalty)
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
	c := l.context(in, eps)
	slowdown := l.options.Slowdown.Seconds()
	hold := l.options.HoldTime.Seconds()
	penalty := l.options.LimitPenalty.Seconds()
	for i, ep := range eps {
		slots := float64(max(ep.Slots, 1))
		occupied := c.estimate(ep, slots) / slots
		if occupied < 1 {
			costs[i] += slowdown * occupied
		} else {
			costs[i] += slowdown
		}
		if over := occupied + 1/slots - 1; over > 0 {
			costs[i] += hold * over
		}
		if full(ep) {
			costs[i] += penalty
		}
	}
}

// loadContext is what the estimates of one decision share.
type loadContext struct {
	now time.Time
	// mean and ownMean are the reported load and this daemon's own load per
	// slot over the candidates.
	mean    float64
	ownMean float64
	daemons float64
	// distrust is how fast a report loses weight, per nanosecond: the share of
	// the daemons that are not this one over the mixing time.
	distrust float64
}

func (l *Load) context(in *route.Input, eps []*snapshot.Endpoint) loadContext {
	daemons := float64(entries(in.Snapshot))
	distrust := (daemons - 1) / daemons / float64(l.options.HalfWeightAge)
	c := loadContext{now: in.Now, daemons: daemons, distrust: distrust}
	reported, own := occupancy{}, occupancy{}
	for _, ep := range eps {
		own.add(ownInFlight(ep), ep.Slots)
		if !ep.Load.TakenAt.IsZero() {
			reported.add(float64(ep.Load.Running+ep.Load.Queued), ep.Slots)
		}
	}
	c.mean, c.ownMean = reported.mean(), own.mean()
	return c
}

// occupancy adds up requests and slots.
type occupancy struct {
	load  float64
	slots int
}

func (o *occupancy) add(load float64, slots int) {
	o.load += load
	o.slots += max(slots, 1)
}

func (o *occupancy) mean() float64 {
	return o.load / float64(max(o.slots, 1))
}

// estimate predicts the requests at the endpoint now. As a report ages, what
// other daemons have sent since counts for more than the report: it falls back
// on the mean of the candidates, corrected as if every daemon had spread its
// requests as this one has.
func (c *loadContext) estimate(ep *snapshot.Endpoint, slots float64) float64 {
	own := ownInFlight(ep)
	alike := (own - c.ownMean*slots) * c.daemons
	load := c.mean*slots + alike
	if !ep.Load.TakenAt.IsZero() {
		trust := 1.0
		if age := c.now.Sub(ep.Load.TakenAt); age > 0 {
			trust = 1 / (1 + float64(age)*c.distrust)
		}
		reported := float64(ep.Load.Running+ep.Load.Queued) + InFlightSinceReport(ep)
		load += (reported - load) * trust
	}
	if load < own {
		return own
	}
	return load
}

func ownInFlight(ep *snapshot.Endpoint) float64 {
	if ep.Counters == nil {
		return 0
	}
	return float64(ep.Counters.InFlight.Load())
}

// InFlightSinceReport is the change of this daemon's own attempts since the report.
func InFlightSinceReport(ep *snapshot.Endpoint) float64 {
	c := ep.Counters
	if c == nil {
		return 0
	}
	sent := c.Sent.Load() - c.SentAtReport.Load()
	done := c.Done.Load() - c.DoneAtReport.Load()
	return float64(sent - done)
}

// full reports whether this daemon has reached its limit at the endpoint.
func full(ep *snapshot.Endpoint) bool {
	if ep.Counters == nil {
		return false
	}
	limit := ep.Counters.Limit.Load()
	return limit > 0 && ep.Counters.InFlight.Load() >= limit
}
