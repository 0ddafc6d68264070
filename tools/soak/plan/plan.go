// Package plan draws what happens in one run of the soak: planned work and
// faults, alone, in series and overlapping. The same seed gives the same plan.
package plan

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is what happens.
type Kind string

// The kinds of steps. Planned work harms nobody; the others are faults.
const (
	// Move publishes a configuration that moves the orders to another service.
	Move Kind = "move"
	// Evacuate takes a data centre out and back.
	Evacuate Kind = "evacuate"
	// Drain lets an endpoint leave; a new one comes first.
	Drain Kind = "drain"
	// Leave lets an endpoint say in its answers that it leaves; a new one comes
	// first.
	Leave Kind = "leave"
	// Stop stops a daemon with SIGTERM; it starts again.
	Stop Kind = "stop"
	// Replace stops a daemon whose supervisor starts the next process while it ends.
	// No plan of New has such a step.
	Replace Kind = "replace"
	// Reload sends SIGHUP to a daemon.
	Reload Kind = "reload"

	// Rejoin lets an endpoint leave, and start again under its ID and address. Only
	// plans of Restarts have such a step.
	Rejoin Kind = "rejoin"
	// Revive crashes a part of a service's endpoints, each of which starts again under
	// its ID and address. Only plans of Restarts have such a step.
	Revive Kind = "revive"

	// Restore lets the store go away and come back from a copy that was taken at the
	// step's time. Only plans of Restored have such a step.
	Restore Kind = "restore"

	// Kill ends a daemon with SIGKILL; it starts again.
	Kill Kind = "kill"
	// KillAll ends all of them at once.
	KillAll Kind = "kill-all"
	// Pause stops a daemon's processes for a while.
	Pause Kind = "pause"
	// Crash ends an endpoint; another comes back for it.
	Crash Kind = "crash"
	// Misbehave lets an endpoint break, swallow, spoil and fail answers.
	Misbehave Kind = "misbehave"
	// Burst lets all endpoints of a service refuse, misdirect, break off or fail
	// every request for a while.
	Burst Kind = "burst"
	// Backoff lets one endpoint or all endpoints of a service ask for a pause.
	Backoff Kind = "backoff"
	// EndpointLink, StoreLink and CallerLink disturb a link.
	EndpointLink Kind = "endpoint-link"
	StoreLink    Kind = "store-link"
	CallerLink   Kind = "caller-link"
	// Taint makes a part of some prompts crash every endpoint that begins to answer.
	Taint Kind = "taint"
	// StoreDown lets the store refuse or stay silent.
	StoreDown Kind = "store-down"
	// StoreForgets drops the store's history.
	StoreForgets Kind = "store-forgets"
)

// Planned reports whether steps of the kind are planned work.
func (k Kind) Planned() bool {
	return k == Replace || k == Rejoin || slices.Contains(planned, k)
}

var (
	planned = []Kind{Move, Evacuate, Drain, Leave, Stop, Reload}
	faults  = []Kind{
		Kill, KillAll, Pause, Crash, Misbehave, Burst, Burst, Backoff, Backoff, EndpointLink, EndpointLink, StoreLink, CallerLink, StoreDown, StoreForgets, Taint,
	}
)

// Step is one thing that happens.
type Step struct {
	At   time.Duration
	Kind Kind
	// Target and Variant are drawn numbers; the world takes them modulo what it
	// has.
	Target  int
	Variant int
	// For is how long it lasts, where that has a meaning.
	For time.Duration
}

// Times of a plan.
const (
	// quietStart leaves the daemons time to find each other.
	quietStart = 3 * time.Second
	// meanGap is the mean time between two steps; some follow at once.
	meanGap = 900 * time.Millisecond
	minFor  = 300 * time.Millisecond
	maxFor  = 3 * time.Second
	// maxFollow bounds the time between two steps of a series.
	maxFollow = 300 * time.Millisecond
)

// maxSeries is one more than the most steps that follow one at once.
const maxSeries = 4

// New draws the steps of a run. Every fourth seed has planned work only, so that
// what it must not harm is checked without any excuse.
func New(seed uint64, length time.Duration) []Step {
	rng := rand.New(rand.NewPCG(seed, 0x736f616b))
	calm := seed%4 == 0
	var steps []Step
	for at := quietStart; at < length; at += time.Duration(rng.ExpFloat64() * float64(meanGap)) {
		kinds := faults
		if calm || rng.IntN(2) == 0 {
			kinds = planned
		}
		step := Step{
			At: at, Kind: kinds[rng.IntN(len(kinds))], Target: rng.IntN(1 << 16), Variant: rng.IntN(1 << 16),
			For: minFor + time.Duration(rng.Int64N(int64(maxFor-minFor))),
		}
		steps = append(steps, step)
		for range rng.IntN(maxSeries) {
			if follow := follows(step.Kind, calm); len(follow) > 0 {
				step.At += time.Duration(rng.Int64N(int64(maxFollow)))
				step.Kind = follow[rng.IntN(len(follow))]
				steps = append(steps, step)
			}
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return slices.DeleteFunc(steps, func(step Step) bool { return step.At >= length })
}

// follows returns what may follow at once, on the same target: signals and
// configurations overlap, and daemons stop while endpoints turn requests away.
// A calm run has planned work only.
func follows(kind Kind, calm bool) []Kind {
	switch kind {
	case Stop, Reload, Move:
		return []Kind{Stop, Reload, Move}
	case Burst, Backoff:
		return []Kind{Stop, Kill}
	case Leave:
		if calm {
			return []Kind{Leave, Stop}
		}
		return []Kind{Leave, Stop, Kill, StoreDown, StoreLink}
	}
	return nil
}
