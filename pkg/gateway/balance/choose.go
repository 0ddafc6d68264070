package balance

import (
	"slices"
	"time"
)

// choose returns the best endpoint for the request, nil if none has capacity now, the
// home of its large prefix, and how many endpoints may run it. With a trace it is only a
// question, of which the trace receives each step.
func (p *Pool) choose(req RequestInfo, trace *Trace, now time.Time) (chosen, home *endpointState, eligible int) {
	candidates := p.keepingPrefix(req, assignedEndpoints(req, p.filter(req, trace, now), trace), trace, now)
	if len(candidates) == 0 {
		return nil, nil, 0
	}
	home = homeOf(req, candidates)
	if trace != nil && home != nil {
		trace.Home = home.placed.ID
	}
	chosen = p.cheapest(req, candidates, home, trace, now)
	if chosen == nil || chosen != home && p.waitsForHome(req, home, now) {
		if trace != nil {
			trace.WaitsForHome = chosen != nil
		}
		return nil, home, len(candidates)
	}
	return chosen, home, len(candidates)
}

// filter returns the endpoints that may run the request at all; those that said
// that they want no requests never may. When every endpoint is suspended, a common
// fault is likelier than each being down: then the one whose suspension ends first
// is tried. When more endpoints are ejected than eligible, the requests are the
// likelier cause, and the ejected ones are kept.
func (p *Pool) filter(req RequestInfo, trace *Trace, now time.Time) []*endpointState {
	var ejected []*endpointState
	eligible := make([]*endpointState, 0, len(p.services[req.Service]))
	var soonest *endpointState
	for _, ep := range p.services[req.Service] {
		reason := p.dropReason(req, ep, now)
		trace.drop(ep, reason)
		if reason == DroppedNotTaken && trace == nil && p.beingChecked(ep, now) {
			ep.wantedAt = now
		}
		switch reason {
		case DroppedTried, DroppedClosed, DroppedNotTaken:
			continue
		case DroppedSuspended:
		case DroppedEjected:
			ejected = append(ejected, ep)
			continue
		default:
			eligible = append(eligible, ep)
			continue
		}
		if ep.inFlight == 0 && (soonest == nil || ep.suspendedUntil.Before(soonest.suspendedUntil)) {
			soonest = ep
		}
	}
	if len(ejected) > len(eligible) {
		eligible = append(eligible, ejected...)
		for _, ep := range ejected {
			trace.drop(ep, "")
		}
	}
	if len(eligible) == 0 && soonest != nil && soonest.suspendedUntil.Sub(now) < baseSuspension {
		eligible = append(eligible, soonest)
		trace.drop(soonest, "")
	}
	return eligible
}

// dropReason returns why an endpoint may not run the request at all; empty if it may.
func (p *Pool) dropReason(req RequestInfo, ep *endpointState, now time.Time) Drop {
	switch {
	case slices.Contains(req.Tried, ep.placed.ID):
		return DroppedTried
	case p.closed(ep, now):
		return DroppedClosed
	case !p.accepts(ep, now):
		return DroppedNotTaken
	case ep.suspended(now):
		return DroppedSuspended
	case ep.ejected(now):
		return DroppedEjected
	}
	return ""
}

// cheapest scores the endpoints that have capacity and returns the best one, or
// nil when none has.
func (p *Pool) cheapest(req RequestInfo, eligible []*endpointState, home *endpointState, trace *Trace, now time.Time) *endpointState {
	var best *endpointState
	var bestCost float64
	for _, ep := range eligible {
		limit := p.limitNow(req, ep, now)
		if trace != nil {
			trace.of(ep).Limit = limit
		}
		if reason := p.noRoom(req, ep, ep == home, limit, now); reason != "" {
			trace.drop(ep, reason)
			continue
		}
		cost := p.cost(req, ep, ep == home, now)
		trace.cost(p, req, ep, ep == home, cost, now)
		if sum := cost.Sum(); best == nil || sum < bestCost {
			best, bestCost = ep, sum
		}
	}
	return best
}

// noRoom returns why an endpoint that may run the request has no room for it now; empty
// if it has.
func (p *Pool) noRoom(req RequestInfo, ep *endpointState, home bool, limit int, now time.Time) Drop {
	switch {
	case ep.inFlight >= limit:
		return DroppedFull
	case p.coldRateUsed(ep, now):
		return DroppedCold
	case p.respondsInTime(req, ep, home, now):
		return ""
	case ep.isEngine() && !ep.fits(req):
		return DroppedMemory
	}
	return DroppedLate
}
