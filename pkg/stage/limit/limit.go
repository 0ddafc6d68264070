// Package limit adapts how many requests a daemon keeps in flight at one
// endpoint. Daemons share endpoints without talking to each other: each raises
// its limit while the endpoint keeps up and lowers it when the endpoint's queue
// grows, so that their limits settle near equal shares of its slots.
package limit

import (
	"math"
	"time"
)

// Options sets a limiter.
type Options struct {
	// QueueGracePeriod is how long an endpoint's queue must last before the limit falls
	// below the fair share: daemons that know each other do not overload an
	// endpoint with fair shares for long. Default 10 s.
	QueueGracePeriod time.Duration
	// MinShare is the lowest limit then, as a part of the fair share. Default
	// 0.25.
	MinShare float64
	// MaxBackoff is the largest part of the limit that one decrease takes.
	// Default 0.3.
	MaxBackoff float64
	// Cooldown is the least time between two decreases, so that one queue seen
	// in several reports counts once; twice a report's age counts when that is
	// longer. Default 1 s.
	Cooldown time.Duration
	// Headroom is the share of an endpoint's slots that must be free for the
	// limit to grow beyond the fair share. Default 0.1.
	Headroom float64
	// QueueTolerance is the share of an endpoint's slots that may be queued there
	// before the limit falls. Default 0.05.
	QueueTolerance float64
}

const (
	defaultPatience   = 10 * time.Second
	defaultMinShare   = 0.25
	defaultMaxBackoff = 0.3
	defaultCooldown   = time.Second
	defaultSlack      = 0.05
	defaultHeadroom   = 0.1
	// usedShare is the share of the limit that must be in use for it to grow.
	usedShare = 0.8
	// growShare is the part of its share of the free slots that a daemon takes
	// with one report.
	growShare = 0.5
	// refusedBackoff is the part of the limit that a refusal takes.
	refusedBackoff = 0.1
)

func (o *Options) setDefaults() {
	if o.QueueGracePeriod <= 0 {
		o.QueueGracePeriod = defaultPatience
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
		o.QueueTolerance = defaultSlack
	}
}

// FairShare is one daemon's equal share of an endpoint's slots.
func FairShare(slots, daemons int) float64 {
	return float64(max(slots, 1)) / float64(max(daemons, 1))
}

// Report is what one load report tells the limiter.
type Report struct {
	TakenAt time.Time
	Slots   int
	Running int
	Queued  int
	// InFlight is how many attempts this daemon has at the endpoint.
	InFlight int
	// Daemons is how many daemons share the endpoint, this one included.
	Daemons int
}

// AIMD raises a limit by a share of the free slots and lowers it by a factor.
// Limits are fractions, since many daemons share few slots. It is a pure state
// machine for one endpoint; the zero value is not usable.
type AIMD struct {
	options   Options
	limit     float64
	decreased time.Time
	// queuedSince is when the present queue was first reported; zero without one.
	queuedSince time.Time
}

// NewAIMD builds a limiter that starts with the fair share of the slots.
func NewAIMD(o Options, slots, daemons int) *AIMD {
	o.setDefaults()
	return &AIMD{options: o, limit: FairShare(slots, daemons)}
}

// Share is the present limit as a fraction; the capacity of a daemon is the sum
// over its endpoints, rounded down.
func (a *AIMD) Share() float64 {
	return a.limit
}

// Limit is the present limit rounded up, as snapshot.Counters.Limit holds it.
func (a *AIMD) Limit() int {
	return int(math.Ceil(a.limit))
}

// Report adapts the limit to a load report.
func (a *AIMD) Report(r Report, now time.Time) {
	slots := float64(max(r.Slots, 1))
	fair := FairShare(r.Slots, r.Daemons)
	excess := float64(r.Queued) - a.options.QueueTolerance*slots
	a.watchQueue(excess > 0, now)
	switch {
	case excess > 0:
		a.decrease(min(excess/slots, a.options.MaxBackoff), r.TakenAt, now)
	case float64(r.InFlight) >= usedShare*a.limit:
		a.grow(slots-float64(r.Running), slots, fair, float64(max(r.Daemons, 1)))
	}
	a.limit = min(max(a.limit, a.lowest(fair, now)), slots)
}

func (a *AIMD) watchQueue(queued bool, now time.Time) {
	if !queued {
		a.queuedSince = time.Time{}
	} else if a.queuedSince.IsZero() {
		a.queuedSince = now
	}
}

// lowest is the limit's lower bound.
func (a *AIMD) lowest(fair float64, now time.Time) float64 {
	if a.queuedSince.IsZero() || now.Sub(a.queuedSince) < a.options.QueueGracePeriod {
		return fair
	}
	return a.options.MinShare * fair
}

// grow takes a part of this daemon's share of the free slots. Up to the fair
// share any free slot will do; beyond it the endpoint keeps its headroom.
func (a *AIMD) grow(free, slots, fair, daemons float64) {
	if a.limit >= fair {
		free -= a.options.Headroom * slots
	}
	if free > 0 {
		a.limit += growShare * free / daemons
	}
}

// RecordRefusal lowers the limit because the endpoint refused an attempt.
func (a *AIMD) RecordRefusal(now time.Time) {
	a.decrease(refusedBackoff, now, now)
}

func (a *AIMD) decrease(part float64, takenAt, now time.Time) {
	cooldown := max(a.options.Cooldown, 2*now.Sub(takenAt))
	if !a.decreased.IsZero() && now.Sub(a.decreased) < cooldown {
		return
	}
	a.decreased = now
	a.limit *= 1 - part
}
