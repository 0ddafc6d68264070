package balance

import (
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/rendezvous"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Pool holds the endpoints of the own region. It is not safe for concurrent use.
type Pool struct {
	region   types.Region
	dc       types.DataCentre
	bounds   Bounds
	view     *catalog.View
	sharers  Membership
	daemons  int
	states   map[types.EndpointID]*state
	services map[types.ServiceName][]*state
	queues   map[types.ServiceName]*queue
	// urgencies holds what was looked up in the view.
	urgencies map[urgencyKey]urgency
}

// NewPool returns a pool without endpoints for a daemon in a data centre.
func NewPool(region types.Region, dc types.DataCentre, bounds Bounds) *Pool {
	return &Pool{
		region: region, dc: dc, bounds: bounds, daemons: 1,
		states:    make(map[types.EndpointID]*state),
		services:  make(map[types.ServiceName][]*state),
		queues:    make(map[types.ServiceName]*queue),
		urgencies: make(map[urgencyKey]urgency),
	}
}

// Daemon is one that serves in the region.
type Daemon struct {
	VM         types.VMID
	DataCentre types.DataCentre
}

// Membership are the daemons that use the same endpoints.
type Membership struct {
	Self types.VMID
	// Live lists the daemons of the region, this one included or not.
	Live []types.VMID
	// SameDataCentre lists those of the own data centre.
	SameDataCentre []types.VMID
	// Serving lists the serving daemons of the region with their data centres.
	Serving []Daemon
	// PeakLive is the largest number of daemons of the region ever seen at once.
	PeakLive int
	// Joining is true while this daemon has just started and may not know the
	// others yet.
	Joining bool
}

// Update takes what is published and which daemons share the endpoints.
func (p *Pool) Update(view *catalog.View, sharers Membership) {
	same := view == p.view && sharers.equal(p.sharers)
	p.sharers, p.daemons = sharers, sharers.seen()
	if same {
		return
	}
	if view != p.view {
		p.take(view)
	}
	p.divide()
}

// equal reports whether the endpoints would be dealt out alike.
func (s Membership) equal(other Membership) bool {
	return s.Self == other.Self && slices.Equal(s.Live, other.Live) &&
		slices.Equal(s.SameDataCentre, other.SameDataCentre) && slices.Equal(s.Serving, other.Serving)
}

// take takes what is published.
func (p *Pool) take(view *catalog.View) {
	p.view, p.urgencies = view, make(map[urgencyKey]urgency)
	clear(p.services)
	states := make(map[types.EndpointID]*state, len(p.states))
	for name, endpoints := range view.Endpoints {
		for _, placed := range endpoints {
			if placed.Region != p.region {
				continue
			}
			one := p.stateOf(placed)
			if view.Config != nil {
				one.service = view.Config.Services[name]
			}
			states[placed.ID] = one
			p.services[name] = append(p.services[name], one)
		}
	}
	p.states = states
}

// stateOf keeps what is known of an endpoint while it is the same one.
func (p *Pool) stateOf(placed catalog.ActiveEndpoint) *state {
	known := p.states[placed.ID]
	if known == nil || known.placed.StartedAt != placed.StartedAt || known.placed.Address != placed.Address {
		return &state{placed: placed}
	}
	known.placed = placed
	return known
}

// Try places a request that has not waited yet; requests that wait and are at
// least as urgent go first. Both results are nil when there is no room now.
func (p *Pool) Try(ask RequestInfo, now time.Time) (*Permit, *Refusal) {
	if p.queueOf(ask.Service).ahead(ask.Rank) > 0 {
		return nil, nil
	}
	return p.Permit(ask, now)
}

// Permit chooses an endpoint for the request. A nil place means that none has
// room now; refusal is set when waiting would not help.
func (p *Pool) Permit(ask RequestInfo, now time.Time) (*Permit, *Refusal) {
	eligible := p.filter(ask, now)
	eligible = ownShare(ask, eligible)
	if len(eligible) == 0 {
		return nil, p.noEndpoint(ask)
	}
	home := homeOf(ask, eligible)
	chosen := p.cheapest(ask, eligible, home, now)
	if chosen == nil {
		return nil, nil
	}
	return p.book(ask, chosen, chosen == home, now), nil
}

// noEndpoint tells a service without endpoints from one whose endpoints were
// all tried or are suspended.
func (p *Pool) noEndpoint(ask RequestInfo) *Refusal {
	for _, one := range p.services[ask.Service] {
		if !slices.Contains(ask.Tried, one.placed.ID) {
			return nil
		}
	}
	return &Refusal{Reason: "no endpoint of the service may run it here", NoEndpoint: true, RetryAfter: refusedPause * 5}
}

// filter returns the endpoints that may run the request at all. When every
// endpoint is suspended, a fault of them all is likelier than each being down:
// then the one whose suspension ends first is tried. When more than half of them
// fail, the requests are the likelier cause, and none is left out for that.
func (p *Pool) filter(ask RequestInfo, now time.Time) []*state {
	var eligible, ejected []*state
	var soonest *state
	for _, one := range p.services[ask.Service] {
		if slices.Contains(ask.Tried, one.placed.ID) {
			continue
		}
		switch {
		case one.suspended(now):
		case one.ejected(now):
			ejected = append(ejected, one)
			continue
		default:
			eligible = append(eligible, one)
			continue
		}
		if one.inFlight == 0 && (soonest == nil || one.suspendedUntil.Before(soonest.suspendedUntil)) {
			soonest = one
		}
	}
	if len(ejected) > len(eligible) {
		eligible = append(eligible, ejected...)
	}
	if len(eligible) == 0 && soonest != nil && soonest.suspendedUntil.Sub(now) < baseSuspension {
		eligible = append(eligible, soonest)
	}
	return eligible
}

// cheapest scores the endpoints that have room and returns the best one; nil
// when none has room.
func (p *Pool) cheapest(ask RequestInfo, eligible []*state, home *state, now time.Time) *state {
	var best *state
	var bestCost float64
	for _, one := range eligible {
		if one.inFlight >= p.limit(ask, one) {
			continue
		}
		if one.cold(now) && !(p.warmsUp(one) && one.coldRoom(p.bounds, p.sharers.coldSenders(), now)) {
			continue
		}
		if !p.answersInTime(ask, one, one == home, now) {
			continue
		}
		cost := p.cost(ask, one, one == home, now)
		if best == nil || cost < bestCost {
			best, bestCost = one, cost
		}
	}
	return best
}

// coldSenders is how many daemons may take themselves for one that sends
// requests to a cold endpoint: a few that see each other, and those of the
// region that this daemon does not see now, which may be on the other side of a
// partition and see only each other. Zero means that this daemon can't tell.
func (s Membership) coldSenders() int {
	if s.Joining {
		return 0
	}
	return coldSenders + min(max(s.PeakLive-s.seen(), 0), maxUnseenSenders)
}

// seen counts the daemons of the region that this one sees now, itself included.
func (s Membership) seen() int {
	if slices.Contains(s.Live, s.Self) {
		return len(s.Live)
	}
	return len(s.Live) + 1
}

// warmsUp reports whether this daemon is one of the few that send requests to a
// cold endpoint: the first by rendezvous, which the daemons find alike.
func (p *Pool) warmsUp(one *state) bool {
	own := rendezvous.Weight(string(one.placed.ID), p.sharers.Self)
	ahead := 0
	for _, vm := range p.sharers.Live {
		if vm != p.sharers.Self && rendezvous.Weight(string(one.placed.ID), vm) > own {
			ahead++
		}
	}
	return ahead < coldSenders
}

// book books the request at the endpoint.
func (p *Pool) book(ask RequestInfo, one *state, home bool, now time.Time) *Permit {
	place := &Permit{Endpoint: one.placed, ask: ask, unread: p.unread(ask, one, home), takenAt: now}
	one.inFlight++
	one.unread += place.unread
	place.work = one.unread
	one.unanswered = append(one.unanswered, now)
	if one.cold(now) {
		one.sends = append(one.sends, now)
	}
	if ask.large() {
		one.large++
		one.cache.noteAll(ask, one.cacheTokens(), now)
	}
	return place
}

// ResponseStarted notes that the endpoint began its answer.
func (p *Pool) ResponseStarted(place *Permit, now time.Time) {
	if !place.answerBegins() {
		return
	}
	if one := p.states[place.Endpoint.ID]; one != nil {
		one.answered(place)
		one.lastHead = now
		one.answeredAfter(place, now)
	}
}

// Done frees the place and gives it to a waiting request.
func (p *Pool) Done(place *Permit, result Result, now time.Time) {
	if place.finished {
		return
	}
	place.finished = true
	one := p.states[place.Endpoint.ID]
	if one == nil {
		return
	}
	if place.answerBegins() {
		one.answered(place)
	}
	one.inFlight = max(one.inFlight-1, 0)
	if place.ask.large() {
		one.large = max(one.large-1, 0)
	}
	one.ended(result, now)
	if result == Succeeded {
		p.queueOf(place.ask.Service).served(now.Sub(place.takenAt))
	}
	p.Grant(place.ask.Service, now)
}

// InFlight counts the requests at the region's endpoints, by service.
func (p *Pool) InFlight() map[types.ServiceName]int {
	counts := make(map[types.ServiceName]int, len(p.services))
	for name, states := range p.services {
		for _, one := range states {
			counts[name] += one.inFlight
		}
	}
	return counts
}

// Blocked counts this daemon's part of the places at endpoints of a service that
// are published and can't be used now.
func (p *Pool) Blocked(service types.ServiceName, now time.Time) int {
	blocked := 0
	for _, one := range p.services[service] {
		if one.shared && one.blocked(now) {
			blocked += max(one.slots()/max(one.sharers, 1)-one.inFlight, 0)
		}
	}
	return blocked
}
