package balance

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Note records what an endpoint said of itself in a response, and returns the
// change that it caused. From then on the endpoint gets no request until the end
// of its pause, or never again if it is leaving, whatever is published about it. A
// later start of the endpoint is not affected. Waiting requests that only it could
// have served are refused.
func (p *Pool) Note(endpoint *catalog.Endpoint, notice Notice, now time.Time) Change {
	if notice.Empty() {
		return Change{}
	}
	change := p.withdrawals.note(endpoint, notice, now)
	if change != (Change{}) {
		p.Grant(endpoint.Service, now)
	}
	return change
}

// Takes reports whether an endpoint takes requests now, by what it said of itself.
func (p *Pool) Takes(endpoint *catalog.Endpoint, now time.Time) bool {
	return !p.withdrawals.of(endpoint, now).closed(now)
}

// Taking returns the endpoints that take requests now, by what they said of
// themselves.
func (p *Pool) Taking(endpoints []catalog.ActiveEndpoint, now time.Time) []catalog.ActiveEndpoint {
	if p.withdrawals.count == 0 {
		return endpoints
	}
	taking := make([]catalog.ActiveEndpoint, 0, len(endpoints))
	for _, endpoint := range endpoints {
		if p.Takes(endpoint.Endpoint, now) {
			taking = append(taking, endpoint)
		}
	}
	return taking
}

// EndpointByID returns the published endpoint of the local region with an ID; nil
// if there is none.
func (p *Pool) EndpointByID(id types.EndpointID) *catalog.Endpoint {
	if ep := p.states[id]; ep != nil {
		return ep.placed.Endpoint
	}
	return nil
}

// Successor returns the endpoint that is published with the address of another
// one, which no longer has it; nil if there is none, or more than one.
func (p *Pool) Successor(previous *catalog.Endpoint) *catalog.Endpoint {
	var found *catalog.Endpoint
	for id, ep := range p.states {
		if id == previous.ID || ep.placed.Address != previous.Address {
			continue
		}
		if found != nil {
			return nil
		}
		found = ep.placed.Endpoint
	}
	return found
}

// LongestPause returns the time until the last end of a pause in force; zero if
// there is none.
func (p *Pool) LongestPause(now time.Time) time.Duration {
	return p.withdrawals.longestPause(now)
}

// PauseLeft returns how long no endpoint of a service takes a request because the
// ones that are not leaving asked for a pause; zero if one of them did not.
func (p *Pool) PauseLeft(service types.ServiceName, now time.Time) time.Duration {
	var soonest time.Duration
	for _, ep := range p.services[service] {
		available := p.availability(ep, now)
		if available.leaving || !ep.placed.Accepts(now) {
			continue
		}
		left := available.pausedUntil.Sub(now)
		if left <= 0 {
			return 0
		}
		if soonest == 0 || left < soonest {
			soonest = left
		}
	}
	return soonest
}

// PrefixSource returns the endpoint of any region from which another one may copy
// a large prefix that it lacks. It returns false where copying is too slow, and
// names no endpoint that wants no requests.
func (p *Pool) PrefixSource(service types.ServiceName, prefix uint64, to catalog.ActiveEndpoint, allows func(types.Region) bool, now time.Time) (catalog.ActiveEndpoint, bool) {
	if p.view == nil {
		return catalog.ActiveEndpoint{}, false
	}
	return prefixSource(p.view, p.speeds.of(service).PrefillRate(now), service, prefix, to, func(ep catalog.ActiveEndpoint) bool {
		return allows(ep.Region) && p.Takes(ep.Endpoint, now)
	})
}

// availability returns what an endpoint said of whether it takes requests.
func (p *Pool) availability(ep *endpointState, now time.Time) availability {
	if p.withdrawals.count == 0 {
		return availability{}
	}
	return p.withdrawals.of(ep.placed.Endpoint, now)
}

// closed reports whether an endpoint said that it wants no request now.
func (p *Pool) closed(ep *endpointState, now time.Time) bool {
	return p.withdrawals.count > 0 && p.availability(ep, now).closed(now)
}

// limitNow returns how many requests this daemon may keep in flight at the
// endpoint now: the usual limit, or part of it shortly after a pause.
func (p *Pool) limitNow(req RequestInfo, ep *endpointState, now time.Time) int {
	limit := p.limit(req, ep)
	if p.withdrawals.count == 0 {
		return limit
	}
	ramp := p.availability(ep, now).ramp(now)
	if ramp >= 1 {
		return limit
	}
	return max(int(float64(limit)*ramp), 1)
}

// expireWithdrawals forgets endpoints that left long ago.
func (p *Pool) expireWithdrawals(now time.Time) {
	p.withdrawals.expire(func(entry incarnation) bool {
		ep := p.states[entry.id]
		return ep != nil && entry.identical(incarnationOf(ep.placed.Endpoint))
	}, now)
}
