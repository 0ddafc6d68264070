// Package outlier decides which endpoints are taken out of service because they
// fail or lag behind their peers, and when they return.
//
// An endpoint's peers are those of the same service, version and region. Trouble
// that strikes all of them ejects few: at most MaxEjected of a group for errors
// and latency, and at most MaxUnreachable for endpoints that refuse every
// connection, that only while another endpoint of the group answers.
package outlier

import (
	"cmp"
	"time"

	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Options configures a Detector. A zero field takes its default.
type Options struct {
	// ConsecutiveFailures ejects an endpoint; default 5. One suffices while
	// the endpoint ramps up.
	ConsecutiveFailures int
	// ConsecutiveUnreachable ejects an endpoint that refuses connections;
	// default 1.
	ConsecutiveUnreachable int
	// SlowFactor ejects an endpoint whose mean slowness is larger than this
	// multiple of its peers' median; default 2.5.
	SlowFactor float64
	// MinSamples is the number of answers before latency is judged; default
	// 20.
	MinSamples int
	// MaxEjectedShare is the share of a group, 0 to 1, that errors and latency may
	// eject; default 0.34.
	MaxEjectedShare float64
	// MaxUnreachableShare is the share that refused connections may eject; default
	// 0.75.
	MaxUnreachableShare float64
	// BaseEjectionTime is the length of a first ejection; it doubles with each
	// one that follows soon; default 10 s.
	BaseEjectionTime time.Duration
	// MaxEjectionTime bounds it; default 5 min.
	MaxEjectionTime time.Duration
	// SlowStart is how long a returned endpoint takes to its full share; default
	// 30 s.
	SlowStart time.Duration
}

func (o Options) withDefaults() Options {
	o.ConsecutiveFailures = cmp.Or(o.ConsecutiveFailures, 5)
	o.ConsecutiveUnreachable = cmp.Or(o.ConsecutiveUnreachable, 1)
	o.SlowFactor = cmp.Or(o.SlowFactor, 2.5)
	o.MinSamples = cmp.Or(o.MinSamples, 20)
	o.MaxEjectedShare = cmp.Or(o.MaxEjectedShare, 0.34)
	o.MaxUnreachableShare = cmp.Or(o.MaxUnreachableShare, 0.75)
	o.BaseEjectionTime = cmp.Or(o.BaseEjectionTime, 10*time.Second)
	o.MaxEjectionTime = cmp.Or(o.MaxEjectionTime, 5*time.Minute)
	o.SlowStart = cmp.Or(o.SlowStart, 30*time.Second)
	return o
}

// Outcome is how an attempt at an endpoint ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	// OutcomeSucceeded: a whole answer was received in time.
	OutcomeSucceeded Outcome = iota
	// OutcomeFailed: the attempt reached the endpoint and failed there.
	OutcomeFailed
	// OutcomeUnreachable: no connection could be made.
	OutcomeUnreachable
	// OutcomeNeutral: it ended for a reason that says nothing of the
	// endpoint, such as a caller that went away or a refusal for load.
	OutcomeNeutral
)

// OutcomeOf returns the outcome that a failure stands for; a nil failure is an
// answer.
func OutcomeOf(failure *types.Failure) Outcome {
	if failure == nil {
		return OutcomeSucceeded
	}
	switch failure.Code {
	case types.CodeEndpointFailed:
		if failure.Verdict == types.NotRun {
			return OutcomeUnreachable
		}
		return OutcomeFailed
	case types.CodeAnswerIncomplete, types.CodeDeadline:
		return OutcomeFailed
	}
	return OutcomeNeutral
}

// Result is one ended attempt.
type Result struct {
	Endpoint types.EndpointID
	Outcome  Outcome
	// Slowness is the time taken over the time expected for that much work; 1
	// is usual. Zero means not known.
	Slowness float64
	At       time.Time
}

// group names the peers of an endpoint.
type group struct {
	service types.ServiceName
	version types.ModelVersion
	region  types.Region
}

// Detector holds what one daemon knows of its endpoints' results. The control
// goroutine owns it; it is not safe for concurrent use.
type Detector struct {
	options Options
	records map[types.EndpointID]*record
	groups  map[group][]*record
}

// New returns a detector that knows no endpoint.
func New(options Options) *Detector {
	return &Detector{
		options: options.withDefaults(),
		records: make(map[types.EndpointID]*record),
		groups:  make(map[group][]*record),
	}
}

// Track takes in the published endpoints. Endpoints that are not among them are
// forgotten; the results of the others are kept.
func (d *Detector) Track(endpoints map[types.ServiceName][]*snapshot.Endpoint) {
	known := d.records
	d.records = make(map[types.EndpointID]*record, len(known))
	d.groups = make(map[group][]*record)
	for _, list := range endpoints {
		for _, endpoint := range list {
			entry := known[endpoint.ID]
			if entry == nil {
				entry = &record{}
			}
			peers := group{endpoint.Service, endpoint.Version, endpoint.Region}
			entry.peers = peers
			d.records[endpoint.ID] = entry
			d.groups[peers] = append(d.groups[peers], entry)
		}
	}
}

// Observe takes in an ended attempt and reports whether the endpoint's state
// changed, so that a new snapshot is due.
func (d *Detector) Observe(result Result) (changed bool) {
	entry := d.records[result.Endpoint]
	if entry == nil || result.Outcome == OutcomeNeutral {
		return false
	}
	entry.add(result)
	if entry.ejected(result.At) {
		return false
	}
	reason, share := d.verdict(entry, result.At)
	if reason == "" || !d.mayEject(entry, share, result.At) {
		return false
	}
	entry.eject(reason, result.At, d.options)
	return true
}

// Apply writes state, reason and start of the ramp into an endpoint that is
// being built for the next snapshot. Leaving and gone endpoints stay so.
func (d *Detector) Apply(endpoint *snapshot.Endpoint, now time.Time) {
	entry := d.records[endpoint.ID]
	if entry == nil || endpoint.State == snapshot.EndpointLeaving || endpoint.State == snapshot.EndpointGone {
		return
	}
	if entry.ejected(now) {
		endpoint.State = snapshot.EndpointEjected
		endpoint.Reason = entry.reason
		return
	}
	endpoint.State = snapshot.EndpointReady
	endpoint.Reason = ""
	endpoint.RampStart = time.Time{}
	if entry.ramping(now, d.options.SlowStart) {
		endpoint.RampStart = entry.until
	}
}

// NextChange returns when the next ejection or ramp ends, and false when none
// is under way; a new snapshot is due then.
func (d *Detector) NextChange(now time.Time) (time.Time, bool) {
	var next time.Time
	for _, entry := range d.records {
		at := entry.until
		if entry.ramping(now, d.options.SlowStart) {
			at = entry.until.Add(d.options.SlowStart)
		}
		if at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next, !next.IsZero()
}
