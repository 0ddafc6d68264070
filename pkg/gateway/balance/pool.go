package balance

import (
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Pool holds the endpoints of the local region. It is not safe for concurrent
// use.
type Pool struct {
	region  types.Region
	dc      types.DataCentre
	bounds  Bounds
	view    *catalog.View
	peers   Membership
	daemons int
	states  map[types.EndpointID]*endpointState
	// lapsed holds the states of endpoints that were published lately.
	lapsed   map[types.EndpointID]*endpointState
	services map[types.ServiceName][]*endpointState
	// speeds holds what is known of the endpoints of each service on average.
	speeds speeds
	queues map[types.ServiceName]*queue
	// news is how recent the view is.
	news news
	// withdrawals holds the endpoints that said they want no requests.
	withdrawals withdrawals
	// restarts holds the restarts that have not been taken yet.
	restarts []restart
	// constraintsCache caches what was derived from the routes of the view.
	constraintsCache map[routeConstraintsKey]routeConstraints
}

// NewPool returns a pool without endpoints for a daemon in a data centre.
func NewPool(region types.Region, dc types.DataCentre, bounds Bounds) *Pool {
	return &Pool{
		region: region, dc: dc, bounds: bounds, daemons: 1, news: newNews(bounds.WatchTimeout),
		states:           make(map[types.EndpointID]*endpointState),
		lapsed:           make(map[types.EndpointID]*endpointState),
		services:         make(map[types.ServiceName][]*endpointState),
		speeds:           newSpeeds(),
		queues:           make(map[types.ServiceName]*queue),
		constraintsCache: make(map[routeConstraintsKey]routeConstraints),
	}
}

// Update applies the published view and the daemons that share the endpoints.
func (p *Pool) Update(view *catalog.View, peers Membership) {
	same := view == p.view && peers.equal(p.peers)
	p.peers, p.daemons = peers, peers.senders()
	if same {
		return
	}
	if view != p.view {
		p.setView(view)
	}
	p.assignEndpoints()
}

// setView replaces the published view. Endpoints that are leaving keep their
// state: they run requests until these end, and an evacuated data centre returns.
func (p *Pool) setView(view *catalog.View) {
	p.view, p.constraintsCache = view, make(map[routeConstraintsKey]routeConstraints)
	changed := p.speeds.update(view.Config)
	clear(p.services)
	states := make(map[types.EndpointID]*endpointState, len(p.states))
	for name, endpoints := range view.Leaving {
		p.addStates(states, name, endpoints)
	}
	for name, endpoints := range view.Endpoints {
		p.services[name] = p.addStates(states, name, endpoints)
	}
	p.keepLapsed(states)
	p.states = states
	if changed {
		p.renewSpeeds()
	}
}

// addStates adds the states of a service's endpoints in the local region, and
// returns them.
func (p *Pool) addStates(states map[types.EndpointID]*endpointState, name types.ServiceName, endpoints []catalog.ActiveEndpoint) []*endpointState {
	var added []*endpointState
	for _, placed := range endpoints {
		if placed.Region != p.region {
			continue
		}
		ep := p.stateOf(name, placed)
		if p.view.Config != nil {
			ep.service = p.view.Config.Services[name]
		}
		states[placed.ID] = ep
		added = append(added, ep)
	}
	return added
}

// stateOf returns the state of an endpoint: the existing one if the endpoint has
// the same start time and address, else one of a new start.
func (p *Pool) stateOf(name types.ServiceName, placed catalog.ActiveEndpoint) *endpointState {
	existing := p.known(placed.ID)
	if existing == nil {
		return &endpointState{placed: placed, idHash: hashID(placed.ID), news: &p.news, speed: p.speeds.of(name).NewSpeed()}
	}
	if existing.placed.StartedAt != placed.StartedAt || existing.placed.Address != placed.Address {
		p.restarts = append(p.restarts, restart{previous: existing, endpoint: placed.Endpoint})
		return existing.successor(placed)
	}
	existing.placed = placed
	return existing
}

// Try places a request that has not waited yet; waiting requests that are at
// least as urgent go first. Both results are nil when there is no capacity now.
func (p *Pool) Try(req RequestInfo, now time.Time) (*Permit, *Refusal) {
	q := p.queueOf(req.Service)
	if q.shares.ahead(req) > 0 {
		return nil, nil
	}
	permit, refusal := p.Permit(req, now)
	if permit != nil {
		q.served(req)
	}
	return permit, refusal
}

// Permit chooses an endpoint for the request. A nil permit means that no
// endpoint has capacity now; the refusal is set when waiting would not help.
func (p *Pool) Permit(req RequestInfo, now time.Time) (*Permit, *Refusal) {
	chosen, home, eligible := p.choose(req, nil, now)
	switch {
	case eligible == 0:
		refusal := p.noEndpoint(req, now)
		if refusal != nil && refusal.Paused {
			p.queueOf(req.Service).refused++
		}
		return nil, refusal
	case chosen == nil:
		return nil, nil
	}
	return p.reserve(req, chosen, chosen == home, now), nil
}

// noEndpoint returns a refusal if the service has no endpoint that the request
// has not tried and that takes requests before the request has waited too long,
// and nil if some are only suspended or ejected, or their pause ends in time.
func (p *Pool) noEndpoint(req RequestInfo, now time.Time) *Refusal {
	allowed := max(maxWait(req, now), 0)
	for _, ep := range p.services[req.Service] {
		if slices.Contains(req.Tried, ep.placed.ID) || !p.accepts(ep, now) && !p.beingChecked(ep, now) {
			continue
		}
		if available := p.availability(ep, now); !available.leaving && available.pausedUntil.Sub(now) <= allowed {
			return nil
		}
	}
	if p.PauseLeft(req.Service, now) > 0 {
		return p.refusal(req, now)
	}
	return &Refusal{Reason: "no endpoint of the service may run it here", NoEndpoint: true, RetryAfter: refusedPause * 5}
}

// reserve counts the request as in flight at the endpoint and returns its
// permit.
func (p *Pool) reserve(req RequestInfo, ep *endpointState, home bool, now time.Time) *Permit {
	permit := &Permit{Endpoint: ep.placed, state: ep, req: req, prefillTokens: p.prefillTokens(req, ep, home, now), memoryTokens: ep.memoryTokens(), grantedAt: now}
	if ep.isEngine() {
		permit.prediction = p.predict(req, ep, home, now)
	}
	ep.inFlight++
	ep.memory.add(req, permit.memoryTokens)
	ep.prefillTokens += permit.prefillTokens
	permit.prefillBacklog = ep.prefillTokens
	permit.running = ep.assumedRunning()
	ep.pendingSince = append(ep.pendingSince, now)
	ep.recordSend(now)
	if req.large() {
		permit.PrefixMissing = !ep.cache.holds(req.Prefix)
		ep.large++
		ep.largePending++
		ep.cache.insertAll(req, ep.cacheTokens(), now)
	} else {
		p.queueOf(req.Service).otherSentAt = now
	}
	return permit
}

// Done records the result of the attempt, releases the permit and grants the
// capacity to waiting requests.
func (p *Pool) Done(permit *Permit, result Result, now time.Time) {
	if permit.finished {
		return
	}
	permit.finished = true
	ep := permit.state
	if permit.markResponseStarted() {
		ep.removePending(permit)
	}
	ep.inFlight = max(ep.inFlight-1, 0)
	if ep.memory.remove(permit.req, permit.memoryTokens); ep.inFlight == 0 {
		ep.memory = memoryUse{} // requests may have told different sizes of one prefix
	}
	if permit.req.large() {
		ep.large = max(ep.large-1, 0)
	}
	ep.recordResult(result, now)
	if result == Succeeded {
		p.queueOf(permit.req.Service).recordServiceTime(now.Sub(permit.grantedAt))
		ep.observePace(permit, now)
	}
	if result == Refused {
		p.observeRefusal(permit, now)
	}
	p.Grant(permit.req.Service, now)
}

// InFlight counts the requests in flight from this daemon at the region's
// endpoints, by service.
func (p *Pool) InFlight() map[types.ServiceName]int {
	counts := make(map[types.ServiceName]int, len(p.services))
	for name, states := range p.services {
		for _, ep := range states {
			counts[name] += ep.inFlight
		}
	}
	return counts
}

// Blocked counts this daemon's share of the free slots at endpoints of a service
// that are published but can't be used now.
func (p *Pool) Blocked(service types.ServiceName, now time.Time) int {
	blocked := 0
	for _, ep := range p.services[service] {
		if ep.assigned && (ep.blocked(now) || p.closed(ep, now)) {
			blocked += max(ep.slots()/max(ep.peers, 1)-ep.inFlight, 0)
		}
	}
	return blocked
}
