// Package limit adapts how many requests a daemon keeps in flight at one
// endpoint. Daemons share endpoints without coordination: each raises its limit
// while the endpoint keeps up and lowers it when the endpoint's queue grows, so
// that the limits converge to nearly equal shares of its slots.
package limit

import (
	"math"
	"time"
)

// Options configures a limiter. A field that is not positive takes its default,
// and so does a MaxBackoff or Headroom of 1 or more.
type Options struct {
	// QueueGracePeriod is how long an endpoint's queue must last before the
	// limit may fall below the fair share: daemons that know of each other do
	// not overload an endpoint for long when each keeps to its fair share.
	// Default 10 s.
	QueueGracePeriod time.Duration
	// MinShare is the lowest limit while a queue lasts longer than
	// QueueGracePeriod, as a fraction of the fair share. Default 0.25.
	MinShare float64
	// MaxBackoff is the largest fraction of the limit that one decrease
	// removes. Default 0.3.
	MaxBackoff float64
	// Cooldown is the minimum time between two decreases, so that a queue that
	// appears in several load reports lowers the limit once. It is extended to
	// twice the age of the report if that is longer. Default 1 s.
	Cooldown time.Duration
	// Headroom is the share of an endpoint's slots that must be free for the
	// limit to grow beyond the fair share. Default 0.1.
	Headroom float64
	// QueueTolerance is the number of requests that may be queued at an
	// endpoint before the limit falls, as a share of its slots. Default 0.05.
	QueueTolerance float64
}

const (
	defaultQueueGracePeriod = 10 * time.Second
	defaultMinShare         = 0.25
	defaultMaxBackoff       = 0.3
	defaultCooldown         = time.Second
	defaultQueueTolerance   = 0.05
	defaultHeadroom         = 0.1
	// minUsedShare is the share of the limit that must be in use for the limit
	// to grow.
	minUsedShare = 0.8
	// growthShare is the fraction of a daemon's share of the free slots by
	// which one load report raises the limit.
	growthShare = 0.5
	// refusalBackoff is the fraction of the limit that a refusal removes.
	refusalBackoff = 0.1
)

func (o *Options) setDefaults() {
	if o.QueueGracePeriod <= 0 {
		o.QueueGracePeriod = defaultQueueGracePeriod
	}
	if o.MinShare <= 0 {
		o.MinShare = defaultMinShare
	}
	if o.MaxBackoff <= 0 || o.MaxBackoff >= 1 {
		o.MaxBackoff = defaultMaxBackoff
	}
	if o.Cooldown <= 0 {
		o.Cooldown = defaultCooldown
	}
	if o.Headroom <= 0 || o.Headroom >= 1 {
		o.Headroom = defaultHeadroom
	}
	if o.QueueTolerance <= 0 {
		o.QueueTolerance = defaultQueueTolerance
	}
}

// FairShare returns one daemon's equal share of an endpoint's slots.
func FairShare(slots, daemons int) float64 {
	return float64(max(slots, 1)) / float64(max(daemons, 1))
}

// Report is the input of the limiter for one load report of the endpoint.
type Report struct {
	TakenAt time.Time
	Slots   int
	Running int
	Queued  int
	// InFlight is the number of attempts that this daemon has in flight at the
	// endpoint.
	InFlight int
	// Daemons is the number of daemons that share the endpoint, including this
	// one.
	Daemons int
}

// AIMD is an adaptive limit for one endpoint: it increases by a share of the
// free slots and decreases by a factor. The limit is fractional, since many
// daemons share few slots. AIMD is a pure state machine; its zero value is not
// usable.
type AIMD struct {
	options      Options
	limit        float64
	lastDecrease time.Time
	// queuedSince is when the current queue was first reported; zero if there
	// is none.
	queuedSince time.Time
}

// NewAIMD returns a limiter whose limit starts at the fair share of the slots.
func NewAIMD(o Options, slots, daemons int) *AIMD {
	o.setDefaults()
	return &AIMD{options: o, limit: FairShare(slots, daemons)}
}

// Share returns the current limit, not rounded. A daemon's capacity is the sum
// over its endpoints, rounded down.
func (a *AIMD) Share() float64 {
	return a.limit
}

// Limit returns the current limit rounded up, as stored in
// snapshot.Counters.Limit.
func (a *AIMD) Limit() int {
	return int(math.Ceil(a.limit))
}

// Report adapts the limit to a load report.
func (a *AIMD) Report(r Report, now time.Time) {
	slots := float64(max(r.Slots, 1))
	fair := FairShare(r.Slots, r.Daemons)
	excess := float64(r.Queued) - a.options.QueueTolerance*slots
	a.trackQueue(excess > 0, now)
	switch {
	case excess > 0:
		a.decrease(min(excess/slots, a.options.MaxBackoff), r.TakenAt, now)
	case float64(r.InFlight) >= minUsedShare*a.limit:
		a.increase(slots-float64(r.Running), slots, fair, float64(max(r.Daemons, 1)))
	}
	a.limit = min(max(a.limit, a.lowerBound(fair, now)), slots)
}

func (a *AIMD) trackQueue(queued bool, now time.Time) {
	if !queued {
		a.queuedSince = time.Time{}
	} else if a.queuedSince.IsZero() {
		a.queuedSince = now
	}
}

// lowerBound returns the lowest value that the limit may take now.
func (a *AIMD) lowerBound(fair float64, now time.Time) float64 {
	if a.queuedSince.IsZero() || now.Sub(a.queuedSince) < a.options.QueueGracePeriod {
		return fair
	}
	return a.options.MinShare * fair
}

// increase raises the limit by a fraction of this daemon's share of the free
// slots. Up to the fair share, every free slot counts; beyond it, the headroom
// stays free.
func (a *AIMD) increase(free, slots, fair, daemons float64) {
	if a.limit >= fair {
		free -= a.options.Headroom * slots
	}
	if free > 0 {
		a.limit += growthShare * free / daemons
	}
}

// RecordRefusal lowers the limit because the endpoint refused an attempt.
func (a *AIMD) RecordRefusal(now time.Time) {
	a.decrease(refusalBackoff, now, now)
}

func (a *AIMD) decrease(fraction float64, takenAt, now time.Time) {
	cooldown := max(a.options.Cooldown, 2*now.Sub(takenAt))
	if !a.lastDecrease.IsZero() && now.Sub(a.lastDecrease) < cooldown {
		return
	}
	a.lastDecrease = now
	a.limit *= 1 - fraction
}
