// Package outlier implements outlier ejection: it decides which endpoints are
// ejected because they fail or are much slower than their peers, and when they
// return.
//
// An endpoint's peers are the endpoints of the same service, version and region.
// Limits keep a problem that affects the whole group from ejecting all of it: at
// most MaxEjectedShare of a group is ejected for errors and latency, and at most
// MaxUnreachableShare for refused connections, the latter only while another
// endpoint of the group responds.
package outlier

import (
	"cmp"
	"time"

	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Options configures a Detector. A zero field takes its default.
type Options struct {
	// ConsecutiveFailures is the number of consecutive failures that ejects an
	// endpoint; default 5. During slow start, one failure is enough.
	ConsecutiveFailures int
	// ConsecutiveUnreachable is the number of consecutive failed connections
	// that ejects an endpoint; default 1.
	ConsecutiveUnreachable int
	// SlowFactor is the multiple of its peers' median slowness above which an
	// endpoint is ejected; default 2.5.
	SlowFactor float64
	// MinSamples is the number of responses needed before an endpoint's
	// latency is evaluated; default 20.
	MinSamples int
	// MaxEjectedShare is the largest share of a group, 0 to 1, that may be
	// ejected for errors and latency; default 0.34.
	MaxEjectedShare float64
	// MaxUnreachableShare is the largest share of a group, 0 to 1, that may be
	// ejected for refused connections; default 0.75.
	MaxUnreachableShare float64
	// BaseEjectionTime is the length of the first ejection; it doubles with each
	// further one that begins within MaxEjectionTime of the end of the last;
	// default 10 s.
	BaseEjectionTime time.Duration
	// MaxEjectionTime limits the length of an ejection; default 5 min.
	MaxEjectionTime time.Duration
	// SlowStart is how long a returning endpoint takes to get back to its full
	// share of requests; default 30 s.
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
	// OutcomeSucceeded: a complete response was received in time.
	OutcomeSucceeded Outcome = iota
	// OutcomeFailed: the attempt reached the endpoint and failed there.
	OutcomeFailed
	// OutcomeUnreachable: no connection could be made.
	OutcomeUnreachable
	// OutcomeNeutral: the attempt ended for a reason unrelated to the
	// endpoint's health, such as a caller that disconnected or an overload
	// refusal.
	OutcomeNeutral
)

// OutcomeOf returns the outcome of an attempt with this failure; nil means that
// the attempt succeeded.
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

// Result describes one finished attempt.
type Result struct {
	Endpoint types.EndpointID
	Outcome  Outcome
	// Slowness is the time taken divided by the time expected for the work (1 is
	// typical), or another measure that is comparable within a group. Zero means
	// unknown.
	Slowness float64
	At       time.Time
}

// peerGroup identifies a group of endpoints that are compared with each other.
type peerGroup struct {
	service types.ServiceName
	version types.ModelVersion
	region  types.Region
}

// Detector keeps the results of one daemon's endpoints and decides on ejections.
// The control goroutine owns it; it is not safe for concurrent use.
type Detector struct {
	options Options
	records map[types.EndpointID]*record
	groups  map[peerGroup][]*record
}

// New returns a detector that tracks no endpoints.
func New(options Options) *Detector {
	return &Detector{
		options: options.withDefaults(),
		records: make(map[types.EndpointID]*record),
		groups:  make(map[peerGroup][]*record),
	}
}

// Track replaces the set of tracked endpoints with the published ones. It drops
// the results of endpoints that are no longer published and keeps the others.
func (d *Detector) Track(endpoints map[types.ServiceName][]*snapshot.Endpoint) {
	previous := d.records
	d.records = make(map[types.EndpointID]*record, len(previous))
	d.groups = make(map[peerGroup][]*record)
	for _, list := range endpoints {
		for _, endpoint := range list {
			entry := previous[endpoint.ID]
			if entry == nil {
				entry = &record{}
			}
			peers := peerGroup{endpoint.Service, endpoint.Version, endpoint.Region}
			entry.peers = peers
			d.records[endpoint.ID] = entry
			d.groups[peers] = append(d.groups[peers], entry)
		}
	}
}

// Observe records a finished attempt. It reports whether it ejected the endpoint,
// in which case a new snapshot is due.
func (d *Detector) Observe(result Result) (changed bool) {
	entry := d.records[result.Endpoint]
	if entry == nil || result.Outcome == OutcomeNeutral {
		return false
	}
	entry.add(result)
	if entry.ejected(result.At) {
		return false
	}
	reason, share := d.ejectionReason(entry, result.At)
	if reason == "" || !d.mayEject(entry, share, result.At) {
		return false
	}
	entry.eject(reason, result.At, d.options)
	return true
}

// Apply sets state, reason and the beginning of slow start of an endpoint that is
// being built for the next snapshot. It does not change leaving or gone
// endpoints.
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
	endpoint.SlowStartAt = time.Time{}
	if entry.inSlowStart(now, d.options.SlowStart) {
		endpoint.SlowStartAt = entry.ejectedUntil
	}
}

// NextChange returns when the next ejection or slow start ends, which is when a
// new snapshot is due. It returns false if none is active.
func (d *Detector) NextChange(now time.Time) (time.Time, bool) {
	var next time.Time
	for _, entry := range d.records {
		change := entry.ejectedUntil
		if entry.inSlowStart(now, d.options.SlowStart) {
			change = entry.ejectedUntil.Add(d.options.SlowStart)
		}
		if change.After(now) && (next.IsZero() || change.Before(next)) {
			next = change
		}
	}
	return next, !next.IsZero()
}
