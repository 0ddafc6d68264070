package balance

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
)

// probeInterval is the time between two health checks of one endpoint.
const probeInterval = 300 * time.Millisecond

// Probe is an endpoint whose cold time is only assumed, and the path of its
// health check, which tells the true one.
type Probe struct {
	Endpoint catalog.ActiveEndpoint
	Path     string
}

// DueProbes returns the endpoints to check now: those to which this daemon sends
// requests and which may be warm although a cold time is assumed after an
// evacuation. Endpoints that want no requests are not checked.
func (p *Pool) DueProbes(now time.Time) []Probe {
	var due []Probe
	for _, states := range p.services {
		for _, ep := range states {
			if p.probeDue(ep, now) {
				ep.nextProbeAt = now.Add(probeInterval)
				due = append(due, Probe{Endpoint: ep.placed, Path: ep.service.HealthPath})
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
	return ep.assigned || ep.owned || p.sendsWhileCold(ep)
}

// RecordProbe records that a health check found an endpoint cold until a time,
// which may be over. It is ignored if the endpoint has another cold time by now.
func (p *Pool) RecordProbe(probe Probe, coldUntil time.Time) {
	ep := p.states[probe.Endpoint.ID]
	if ep == nil || ep.placed.Address != probe.Endpoint.Address || !ep.placed.ColdUntil.Equal(probe.Endpoint.ColdUntil) {
		return
	}
	ep.probedFor, ep.probedColdUntil = ep.placed.ColdUntil, coldUntil
}
