package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/estimate"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Weights of the score, in seconds unless stated otherwise.
const (
	// slotCost is what a full endpoint adds to a request of a plain service.
	slotCost = 0.05
	// errorCost is what an endpoint that fails every request would add.
	errorCost = 1.0
	// stallAfter is how long an endpoint may start no response before it is
	// avoided; stallCost is what it then adds.
	stallAfter = 700 * time.Millisecond
	stallCost  = 2.0
	// coldCost keeps requests away from cold endpoints while others are as good.
	coldCost = 0.05
	// otherDCCost keeps requests in the local data centre until its endpoints
	// are clearly busier, since traffic between data centres is expensive.
	otherDCCost = 0.15
	// offHomeCost keeps large prompts at the home of their prefix while it
	// responds in time: prefilling a prefix a second time takes capacity from
	// other requests.
	offHomeCost = 1.0
	// otherDaemonsShare is the share of this daemon's own load that each other
	// daemon of the region is assumed to add.
	otherDaemonsShare = 0.6
	// MinLargePrefixTokens is the size, in tokens, from which a prefix has a
	// home.
	MinLargePrefixTokens = 1000
)

// cost predicts the seconds that the request would take at the endpoint in
// addition to what it takes at any endpoint.
func (p *Pool) cost(req RequestInfo, ep *endpointState, home bool, now time.Time) Cost {
	cost := Cost{Errors: ep.errorRate * errorCost, TieBreak: tieBreak(ep.idHash, now)}
	if ep.stalledFor(now) > stallAfter {
		cost.Stalled = stallCost
	}
	if ep.cold(now) {
		cost.Cold = coldCost
	}
	if ep.placed.DataCentre != p.dc {
		cost.OtherDataCentre = otherDCCost
	}
	if !ep.isEngine() {
		cost.Slots = slotCost * ep.assumedRunning() / float64(ep.slots())
	}
	if req.large() && !home {
		cost.OffHome = offHomeCost
	}
	cost.Work = p.firstEvent(req, ep, home, now)
	return cost
}

// firstEvent predicts the seconds until the response would start if the request were sent to
// the endpoint now.
func (p *Pool) firstEvent(req RequestInfo, ep *endpointState, home bool, now time.Time) float64 {
	return ep.speed.FirstEvent(p.work(req, ep, home, now), ep.load(), now)
}

// predict predicts what the request would see at an engine if it were sent there now.
func (p *Pool) predict(req RequestInfo, ep *endpointState, home bool, now time.Time) estimate.Prediction {
	return ep.speed.Predict(p.work(req, ep, home, now), ep.load(), now)
}

// work returns what the request asks of an engine.
func (p *Pool) work(req RequestInfo, ep *endpointState, home bool, now time.Time) estimate.Work {
	return estimate.Work{PrefillTokens: p.prefillTokens(req, ep, home, now), Large: req.large()}
}

// load returns what an engine has to do, as far as this daemon knows.
func (s *endpointState) load() estimate.Load {
	return estimate.Load{Running: s.assumedRunning(), BacklogTokens: s.prefillTokens, Plain: !s.isEngine()}
}

// assumedRunning returns how many requests of all daemons are assumed to run at the
// endpoint.
func (s *endpointState) assumedRunning() float64 {
	return float64(s.inFlight) * (1 + otherDaemonsShare*float64(max(s.peers, 1)-1))
}

// tieBreak spreads requests over endpoints of equal cost without a random
// source.
func tieBreak(idHash uint64, now time.Time) float64 {
	const smallest = 1e-6
	spread := (idHash ^ uint64(now.UnixNano())*0x9E3779B97F4A7C15) >> 40
	return float64(spread) / (1 << 24) * smallest
}

// prefillTokens returns how many prompt tokens the endpoint would have to
// prefill. A prefix counts as cached at its home even before this daemon has
// sent it there: another daemon may have, and the home should prefill it rather
// than any other endpoint. At a home that only stands in for another endpoint,
// the prefixes that this daemon has sent there count.
func (p *Pool) prefillTokens(req RequestInfo, ep *endpointState, home bool, now time.Time) float64 {
	cached := ep.cache.longestHeld(req)
	if home && !p.standsIn(req, ep, now) {
		cached = req.PrefixTokens
	}
	// An engine refuses a prompt that does not fit into its memory.
	return float64(min(max(req.PromptTokens-cached, 0), ep.memoryTokens()))
}

// standsIn reports whether an endpoint is the home of a large prefix only because
// the one that was is not used now: it is in the local region, or it gets no more
// requests.
func (p *Pool) standsIn(req RequestInfo, home *endpointState, now time.Time) bool {
	weight := prefixWeight(req.Prefix, home.idHash)
	precedes := func(other catalog.ActiveEndpoint) bool { return prefixWeight(req.Prefix, hashID(other.ID)) > weight }
	return slices.ContainsFunc(p.view.Leaving[req.Service], precedes) ||
		slices.ContainsFunc(p.view.Endpoints[req.Service], func(other catalog.ActiveEndpoint) bool {
			return (other.Region == p.region || !other.Accepts(now)) && precedes(other)
		})
}

// homeOf returns the home of a large prefix among the eligible endpoints, which
// every daemon computes alike; nil for other requests.
func homeOf(req RequestInfo, eligible []*endpointState) *endpointState {
	if !req.large() {
		return nil
	}
	home, _ := highestWeighted(req.Prefix, eligible, func(ep *endpointState) (uint64, bool) { return ep.idHash, true })
	return home
}

// PrefixHome returns the home endpoint of a large prefix among the allowed
// endpoints of any region. Within its region it is the one that a Pool prefers.
func PrefixHome(endpoints []catalog.ActiveEndpoint, prefix uint64, allowed func(catalog.ActiveEndpoint) bool) (catalog.ActiveEndpoint, bool) {
	return highestWeighted(prefix, endpoints, func(ep catalog.ActiveEndpoint) (uint64, bool) {
		if !allowed(ep) {
			return 0, false
		}
		return hashID(ep.ID), true
	})
}

// minFetchShare is the least rate, relative to the prefill rate of
// the service, at which copying a
// prefix is better than prefilling it: copies wait for each other on the links of
// both engines.
const minFetchShare = 1.5

// prefixSource returns the allowed endpoint of any region that most likely has a
// large prefix cached when the endpoint to lacks it, because its home has changed:
// its home if that is another endpoint, else the home in another region, which
// stands in while the data centre of to is not used. It returns false where copying
// is too slow.
func prefixSource(view *catalog.View, rate float64, service types.ServiceName, prefix uint64, to catalog.ActiveEndpoint, allowed func(catalog.ActiveEndpoint) bool) (catalog.ActiveEndpoint, bool) {
	if !copiesPrefixes(view, rate, service) {
		return catalog.ActiveEndpoint{}, false
	}
	candidates := slices.Concat(view.Endpoints[service], view.Leaving[service])
	home, found := PrefixHome(candidates, prefix, allowed)
	if !found || home.ID != to.ID {
		return home, found
	}
	return PrefixHome(candidates, prefix, func(ep catalog.ActiveEndpoint) bool { return allowed(ep) && ep.Region != to.Region })
}

// copiesPrefixes reports whether the engines of a service copy prefixes from each
// other fast enough beside prefilling them at a rate in tokens per second.
func copiesPrefixes(view *catalog.View, rate float64, service types.ServiceName) bool {
	if view.Config == nil || view.Config.Services[service] == nil {
		return false
	}
	engine := view.Config.Services[service].Engine
	return engine != nil && engine.FetchRate >= rate*minFetchShare
}

// highestWeighted returns the endpoint with the highest rendezvous weight for a
// prefix. Endpoints for which hashOf returns false are skipped.
func highestWeighted[E any](prefix uint64, endpoints []E, hashOf func(E) (idHash uint64, allowed bool)) (best E, found bool) {
	var highest uint64
	for _, ep := range endpoints {
		idHash, allowed := hashOf(ep)
		if !allowed {
			continue
		}
		if weight := prefixWeight(prefix, idHash); !found || weight > highest {
			best, highest, found = ep, weight, true
		}
	}
	return best, found
}

// hashID returns the hash of the ID of an endpoint.
func hashID(id types.EndpointID) uint64 {
	return xxhash.Sum64String(string(id))
}

// prefixWeight returns the rendezvous weight of an endpoint for a prefix.
func prefixWeight(prefix, idHash uint64) uint64 {
	hash := idHash ^ prefix
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}
