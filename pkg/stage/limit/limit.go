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
	// Min is the lowest limit. Default 1.
	Min int
	// Backoff is what the limit is multiplied with when the endpoint has a
	// queue. Default 0.9.
	Backoff float64
	// Cooldown is the least time between two decreases, so that one queue seen
	// in several reports counts once. Default 1 s.
	Cooldown time.Duration
	// Slack is the share of an endpoint's slots that may be queued there
	// before the limit falls. Default 0.05.
	Slack float64
}

const (
	defaultMin      = 1
	defaultBackoff  = 0.9
	defaultCooldown = time.Second
	defaultSlack    = 0.05
	// usedShare is the share of the limit that must be in use for it to grow.
	usedShare = 0.9
)

func (o *Options) setDefaults() {
	if o.Min <= 0 {
		o.Min = defaultMin
	}
	if o.Backoff <= 0 || o.Backoff >= 1 {
		o.Backoff = defaultBackoff
	}
	if o.Cooldown <= 0 {
		o.Cooldown = defaultCooldown
	}
	if o.Slack <= 0 {
		o.Slack = defaultSlack
	}
}

// Fair is the share of an endpoint's slots that one of several daemons starts
// with, rounded up.
func Fair(slots, daemons int) int {
	daemons = max(daemons, 1)
	return (max(slots, 1) + daemons - 1) / daemons
}

// Report is what one load report tells the limiter.
type Report struct {
	Slots   int
	Running int
	Queued  int
	// InFlight is how many attempts this daemon has at the endpoint.
	InFlight int
	// Daemons is how many daemons share the endpoint, this one included.
	Daemons int
}

// AIMD raises a limit by a step and lowers it by a factor. It is a pure state
// machine for one endpoint; the zero value is not usable.
type AIMD struct {
	options   Options
	limit     float64
	decreased time.Time
}

// NewAIMD builds a limiter that starts with the fair share of the slots.
func NewAIMD(o Options, slots, daemons int) *AIMD {
	o.setDefaults()
	return &AIMD{options: o, limit: math.Max(float64(Fair(slots, daemons)), float64(o.Min))}
}

// Limit is the present limit.
func (a *AIMD) Limit() int {
	return int(a.limit)
}

// Report adapts the limit to a load report and returns it.
func (a *AIMD) Report(r Report, now time.Time) int {
	slots := float64(max(r.Slots, 1))
	switch {
	case float64(r.Queued) > a.options.Slack*slots:
		a.decrease(now)
	case r.Running < r.Slots && float64(r.InFlight) >= usedShare*a.limit:
		a.limit += math.Max(1, float64(r.Slots-r.Running)/float64(2*max(r.Daemons, 1)))
	}
	a.limit = math.Min(math.Max(a.limit, float64(a.options.Min)), slots)
	return a.Limit()
}

// Refused lowers the limit because the endpoint refused an attempt, and returns
// it.
func (a *AIMD) Refused(now time.Time) int {
	a.decrease(now)
	return a.Limit()
}

func (a *AIMD) decrease(now time.Time) {
	if !a.decreased.IsZero() && now.Sub(a.decreased) < a.options.Cooldown {
		return
	}
	a.decreased = now
	a.limit = math.Max(a.limit*a.options.Backoff, float64(a.options.Min))
}
