package balance

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
)

// probeInterval is the time between two health checks of one endpoint.
const probeInterval = 300 * time.Millisecond

// Probe is an endpoint that may or may not be cold, and the path of its health
// check, which tells.
type Probe struct {
	Endpoint catalog.ActiveEndpoint
	Path     string
	// DueAt is when the check became due; it is sent later.
	DueAt time.Time
	// Confirms is true for an endpoint that may turn cold at any moment; otherwise
	// the check replaces a cold time that was assumed.
	Confirms bool
	// InDoubt is true if the endpoint may have started again since it was last known to
	// be warm.
	InDoubt bool
}

// DueProbes returns the endpoints to check now: those to which this daemon sends
// requests and which may be warm although a cold time is assumed after an
// evacuation. Endpoints that want no requests are not checked.
func (p *Pool) DueProbes(now time.Time) []Probe {
	var due []Probe
	for _, states := range p.services {
		for _, ep := range states {
			if p.probeDue(ep, now) {
				due = append(due, ep.probe(now))
			}
		}
	}
	return due
}

func (p *Pool) probeDue(ep *endpointState, now time.Time) bool {
	switch {
	case ep.service == nil || ep.service.HealthPath == "" || !ep.placed.ColdAssumed || ep.probed():
		return false
	case !now.Before(ep.placed.ColdUntil) || now.Before(ep.nextProbeAt) || p.closed(ep, now):
		return false
	}
	return ep.assigned || ep.owned || p.coldShare(ep) > 0
}

// probe returns a check that is due now, and delays the next one.
func (s *endpointState) probe(now time.Time) Probe {
	s.nextProbeAt = now.Add(probeInterval)
	return Probe{Endpoint: s.placed, Path: s.service.HealthPath, DueAt: now}
}

// RecordProbe records that a health check found an endpoint cold until a time;
// one that is not after the check became due means that the endpoint is warm. The
// result is ignored if the endpoint has started again or has another cold time by
// now.
func (p *Pool) RecordProbe(probe Probe, coldUntil time.Time) {
	ep := p.states[probe.Endpoint.ID]
	if ep == nil || !incarnationOf(ep.placed.Endpoint).identical(incarnationOf(probe.Endpoint.Endpoint)) ||
		ep.placed.Address != probe.Endpoint.Address || !ep.placed.ColdUntil.Equal(probe.Endpoint.ColdUntil) {
		return
	}
	if probe.Confirms {
		ep.recordConfirmation(probe, coldUntil)
		return
	}
	ep.probedFor, ep.probedColdUntil = ep.placed.ColdUntil, coldUntil
}
