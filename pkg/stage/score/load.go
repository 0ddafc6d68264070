package score

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
)

// LoadOptions configures the load scorer.
type LoadOptions struct {
	// HalfWeightAge is the age at which a load report gets half the weight,
	// when many daemons share the endpoints. Default 250 ms.
	HalfWeightAge time.Duration
	// HoldTime is how long a request occupies a slot while none waits. Default
	// 2 s.
	HoldTime time.Duration
	// Slowdown is the time that a full batch adds to a request. Default 0.5 s.
	Slowdown time.Duration
	// LimitPenalty is added when this daemon has reached its concurrency limit
	// at the endpoint. Default 5 s.
	LimitPenalty time.Duration
}

const (
	defaultHalfWeightAge = 250 * time.Millisecond
	defaultHoldTime      = 2 * time.Second
	defaultSlowdown      = 500 * time.Millisecond
	defaultLimitPenalty  = 5 * time.Second
)

// Load predicts the wait at an endpoint from its last load report. It corrects
// the report by the attempts that this daemon has started and ended since, and
// gives it less weight as it ages.
type Load struct {
	options LoadOptions
}

var _ Scorer = (*Load)(nil)

// NewLoad returns the scorer; options that are zero take their defaults.
func NewLoad(o LoadOptions) *Load {
	setDefault(&o.HalfWeightAge, defaultHalfWeightAge)
	setDefault(&o.HoldTime, defaultHoldTime)
	setDefault(&o.Slowdown, defaultSlowdown)
	setDefault(&o.LimitPenalty, defaultLimitPenalty)
	return &Load{options: o}
}

func setDefault(value *time.Duration, defaultValue time.Duration) {
	if *value <= 0 {
		*value = defaultValue
	}
}

// Name returns "load".
func (l *Load) Name() string {
	return "load"
}

// Add adds the predicted wait and slowdown.
func (l *Load) Add(in *route.Input, eps []*snapshot.Endpoint, costs []float64) {
	c := l.newContext(in, eps)
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
		if excess := occupied + 1/slots - 1; excess > 0 {
			costs[i] += hold * excess
		}
		if atLimit(ep) {
			costs[i] += penalty
		}
	}
}

// loadContext holds the values that are the same for all endpoints of one
// decision.
type loadContext struct {
	now time.Time
	// mean is the reported load per slot, averaged over the candidates; ownMean
	// is the same for the requests that this daemon has in flight.
	mean    float64
	ownMean float64
	daemons float64
	// decayRate is the rate, per nanosecond of age, at which a load report loses
	// weight: the share of the other daemons among all, divided by
	// HalfWeightAge.
	decayRate float64
}

func (l *Load) newContext(in *route.Input, eps []*snapshot.Endpoint) loadContext {
	daemons := float64(daemonsInRegion(in.Snapshot))
	decayRate := (daemons - 1) / daemons / float64(l.options.HalfWeightAge)
	c := loadContext{now: in.Now, daemons: daemons, decayRate: decayRate}
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

// occupancy sums requests and slots over endpoints.
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

// estimate predicts how many requests the endpoint has now. As the load report
// ages, it says less about what other daemons have sent since. The estimate
// then falls back on the mean load of the candidates, corrected as if every
// daemon distributed its requests as this one does.
func (c *loadContext) estimate(ep *snapshot.Endpoint, slots float64) float64 {
	own := ownInFlight(ep)
	deviation := (own - c.ownMean*slots) * c.daemons
	load := c.mean*slots + deviation
	if !ep.Load.TakenAt.IsZero() {
		weight := 1.0
		if age := c.now.Sub(ep.Load.TakenAt); age > 0 {
			weight = 1 / (1 + float64(age)*c.decayRate)
		}
		reported := float64(ep.Load.Running+ep.Load.Queued) + InFlightSinceReport(ep)
		load += (reported - load) * weight
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

// InFlightSinceReport returns by how much this daemon's requests in flight at
// the endpoint have changed since its last load report.
func InFlightSinceReport(ep *snapshot.Endpoint) float64 {
	c := ep.Counters
	if c == nil {
		return 0
	}
	sent := c.Sent.Load() - c.SentAtReport.Load()
	done := c.Done.Load() - c.DoneAtReport.Load()
	return float64(sent - done)
}

// atLimit reports whether this daemon has reached its concurrency limit at the
// endpoint.
func atLimit(ep *snapshot.Endpoint) bool {
	if ep.Counters == nil {
		return false
	}
	limit := ep.Counters.Limit.Load()
	return limit > 0 && ep.Counters.InFlight.Load() >= limit
}
