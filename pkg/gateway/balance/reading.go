package balance

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Limits on the prompt work that an engine is given.
const (
	// responseShare is the share of its objective within which a response must
	// be predicted to start; the rest is for the way to the caller.
	responseShare = 0.8
	// uncachedShare is the same for a prompt that is prefilled again at an
	// engine that is not the home of its prefix: that pays only where the engine
	// has little other prefill work.
	uncachedShare = 0.4
	// maxBusyShare is the share of an engine's slots that may be in use when it
	// is given large prompts that are less urgent than other requests it serves.
	maxBusyShare = 0.75
)

// respondsInTime predicts whether the response would start in time if the engine
// got the request now.
func (p *Pool) respondsInTime(req RequestInfo, ep *endpointState, home bool, now time.Time) bool {
	if !ep.fits(req) {
		return false
	}
	if !ep.isEngine() || req.Objective <= 0 || len(ep.pendingSince) == 0 {
		return true
	}
	allowed := time.Duration(float64(req.Objective) * responseShare)
	if waited := now.Sub(req.Arrived); waited > 0 && waited < req.Objective {
		allowed -= waited
	}
	if !req.large() {
		return ep.speed.Wait(now) <= allowed && ep.oldestPending(now) <= allowed
	}
	constraints := p.routeConstraints(req)
	if constraints.hasMoreUrgent && ep.estimatedInFlight() > float64(ep.slots())*maxBusyShare {
		return false
	}
	if constraints.hasMoreUrgent {
		allowed = min(allowed, time.Duration(float64(constraints.objective)*responseShare))
	} else {
		allowed = time.Duration(float64(req.Deadline.Sub(now)) * remainingShare)
	}
	if req.PrefixUncached {
		allowed = min(allowed, time.Duration(float64(constraints.objective)*uncachedShare))
	}
	work := p.prefillTokens(req, ep, home && !req.PrefixUncached, now)
	prefilled := ep.speed.PrefillTime(ep.prefillTokens+work, now)
	if p.Holds(req) && !p.fitsBeside(req, ep, prefilled, now) {
		return false
	}
	return prefilled <= allowed
}

// oldestPending returns how long the oldest request without a response has
// waited.
func (s *endpointState) oldestPending(now time.Time) time.Duration {
	if len(s.pendingSince) == 0 {
		return 0
	}
	return now.Sub(s.pendingSince[0])
}

// estimatedInFlight estimates how many requests all daemons have in flight at
// the endpoint: the large ones come only from this daemon, the others in equal
// shares from all daemons that share the endpoint.
func (s *endpointState) estimatedInFlight() float64 {
	return float64(s.large) + float64(s.inFlight-s.large)*float64(max(s.peers, 1))
}

// routeConstraints describes the other routes that the engines of a request have
// to serve.
type routeConstraints struct {
	// objective is the shortest of the routes that are at least as urgent; an
	// engine prefills prompts in order of arrival, whatever their rank.
	objective time.Duration
	// hasMoreUrgent is true when some of these routes are more urgent.
	hasMoreUrgent bool
}

type routeConstraintsKey struct {
	service types.ServiceName
	rank    int
}

// routeConstraints derives the constraints from the routes to the request's
// service that the local region may serve.
func (p *Pool) routeConstraints(req RequestInfo) routeConstraints {
	key := routeConstraintsKey{service: req.Service, rank: req.Rank}
	if cached, found := p.constraintsCache[key]; found {
		return cached
	}
	found := routeConstraints{objective: req.Objective}
	if p.view != nil && p.view.Config != nil {
		for _, route := range p.view.Config.Routes {
			found.addRoute(route, req, p.region)
		}
	}
	p.constraintsCache[key] = found
	return found
}

func (u *routeConstraints) addRoute(route *catalog.Route, req RequestInfo, region types.Region) {
	if route.Rank > req.Rank || route.Objective <= 0 || !route.Allows(region) || !route.Uses(req.Service) {
		return
	}
	u.objective = min(u.objective, route.Objective)
	u.hasMoreUrgent = u.hasMoreUrgent || route.Rank < req.Rank
}
