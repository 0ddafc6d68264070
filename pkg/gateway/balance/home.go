package balance

import (
	"math"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// PrefixHomeBySpeed returns the home endpoint of a large prefix among the allowed
// endpoints of any region. Each endpoint is the home of prefixes in proportion to its
// speed, and a change of one speed moves only prefixes to or from that endpoint. Daemons
// that know the same speeds agree on the home.
func PrefixHomeBySpeed(endpoints []catalog.ActiveEndpoint, prefix uint64, speeds members.Speeds, allowed func(catalog.ActiveEndpoint) bool) (catalog.ActiveEndpoint, bool) {
	if !speeds.Known() {
		return PrefixHome(endpoints, prefix, allowed)
	}
	return nearest(prefix, endpoints, speeds, func(ep catalog.ActiveEndpoint) types.EndpointID {
		if !allowed(ep) {
			return ""
		}
		return ep.ID
	})
}

// homeOf returns the home of a large prefix among the eligible endpoints, which
// every daemon computes alike; nil for other requests.
func (p *Pool) homeOf(req RequestInfo, eligible []*endpointState) *endpointState {
	if !req.large() {
		return nil
	}
	idOf := func(ep *endpointState) types.EndpointID { return ep.placed.ID }
	if !p.peers.Speeds.Known() {
		home, _ := highestWeighted(req.Prefix, eligible, idOf)
		return home
	}
	home, _ := nearest(req.Prefix, eligible, p.peers.Speeds, idOf)
	return home
}

// nearest returns the endpoint at the least distance from a prefix. Endpoints without an
// ID are skipped.
func nearest[E any](prefix uint64, endpoints []E, speeds members.Speeds, idOf func(E) types.EndpointID) (best E, found bool) {
	least := math.Inf(1)
	for _, ep := range endpoints {
		id := idOf(ep)
		if id == "" {
			continue
		}
		if distance := prefixDistance(prefix, id, speeds); !found || distance < least {
			best, least, found = ep, distance, true
		}
	}
	return best, found
}

// prefixDistance is the distance between a prefix and an endpoint in weighted rendezvous
// hashing: exponentially distributed, with the weight of the endpoint as its rate. With
// equal weights the least distance is that of the highest prefixWeight.
func prefixDistance(prefix uint64, id types.EndpointID, speeds members.Speeds) float64 {
	const mantissaBits = 53
	uniform := (float64(prefixWeight(prefix, id)>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -math.Log(uniform) / speeds.Weight(id)
}

// precedes reports whether an endpoint would be the home of a prefix rather than another.
func (p *Pool) precedes(prefix uint64, id, other types.EndpointID) bool {
	if !p.peers.Speeds.Known() {
		return prefixWeight(prefix, id) > prefixWeight(prefix, other)
	}
	return prefixDistance(prefix, id, p.peers.Speeds) < prefixDistance(prefix, other, p.peers.Speeds)
}

// Speeds returns the speeds of the engines of a service whose large prompts this daemon
// sends, as far as it knows them; none where the configuration asks for no predictions.
func (p *Pool) Speeds(service types.ServiceName, now time.Time) []members.Speed {
	if p.view == nil || p.view.Config == nil || !p.view.Config.MixesObjectives(service) {
		return nil
	}
	var speeds []members.Speed
	for _, ep := range p.services[service] {
		if !ep.owned {
			continue
		}
		ep.speedLevel, ep.speedKnown = ep.speed.SpeedLevel(ep.speedLevel, ep.speedKnown, now)
		if ep.speedKnown {
			speeds = append(speeds, members.Speed{Endpoint: ep.placed.ID, Level: ep.speedLevel})
		}
	}
	return speeds
}
