package balance

import (
	"cmp"
	"slices"

	"github.com/flamingomount/flamingomount/pkg/control/rendezvous"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// sharersPerEndpoint is how many daemons send short requests to one endpoint. A
// few are enough for one to be there when another goes, and so few that the
// slots of an endpoint make a useful share for each.
const sharersPerEndpoint = 4

// divide deals the endpoints of the own data centre out to its daemons, evenly
// and at every daemon alike. Where there are few daemons, or too few endpoints
// for each to get one, all of them use all endpoints of the region.
func (p *Pool) divide() {
	for _, states := range p.services {
		p.divideService(states)
	}
}

func (p *Pool) divideService(states []*state) {
	for _, one := range states {
		owner, found := OwnerOf(one.placed, p.sharers.Serving)
		one.owned = !found || owner == p.sharers.Self
	}
	daemons := byWeight(p.sharers)
	everyone := len(daemons) <= sharersPerEndpoint || p.inside(states)*sharersPerEndpoint < len(daemons)
	at := 0
	for _, one := range states {
		if everyone {
			one.shared, one.sharers = true, p.daemons
			continue
		}
		one.shared, one.sharers = false, sharersPerEndpoint
		if one.placed.DataCentre != p.dc {
			continue
		}
		for range sharersPerEndpoint {
			if daemons[at%len(daemons)] == p.sharers.Self {
				one.shared = true
			}
			at++
		}
	}
}

// inside counts the endpoints of the own data centre.
func (p *Pool) inside(states []*state) int {
	count := 0
	for _, one := range states {
		if one.placed.DataCentre == p.dc {
			count++
		}
	}
	return count
}

// byWeight returns the daemons of the data centre in an order that they all
// find alike and that follows no order of addresses.
func byWeight(sharers Membership) []types.VMID {
	daemons := slices.Clone(sharers.SameDataCentre)
	if !slices.Contains(daemons, sharers.Self) {
		daemons = append(daemons, sharers.Self)
	}
	slices.SortFunc(daemons, func(a, b types.VMID) int {
		const key = "share"
		return cmp.Or(cmp.Compare(rendezvous.Weight(key, a), rendezvous.Weight(key, b)), cmp.Compare(a, b))
	})
	return daemons
}

// ownShare keeps the endpoints that this daemon has a share of, for large prompts
// those that it owns; all of them when there are none.
func ownShare(ask RequestInfo, eligible []*state) []*state {
	var own []*state
	for _, one := range eligible {
		if ask.large() && one.owned || !ask.large() && one.shared {
			own = append(own, one)
		}
	}
	if len(own) == 0 {
		return eligible
	}
	return own
}

// OwnerOf picks the daemon that sends an endpoint its large prompts, so that one
// daemon knows how much the endpoint has to read: one of the endpoint's own data
// centre, if any serves, since bytes between data centres are dear.
func OwnerOf(endpoint catalog.ActiveEndpoint, serving []Daemon) (owner types.VMID, found bool) {
	var weight uint64
	beside := false
	for _, one := range serving {
		inside := one.DataCentre == endpoint.DataCentre
		if beside && !inside {
			continue
		}
		own := rendezvous.Weight(string(endpoint.ID), one.VM)
		if !found || inside && !beside || own > weight {
			owner, weight, beside, found = one.VM, own, inside, true
		}
	}
	return owner, found
}

// limit is how many requests this daemon may keep at the endpoint. Large prompts
// come from the one daemon that owns the endpoint, others from its sharers.
func (p *Pool) limit(ask RequestInfo, one *state) int {
	if ask.large() {
		return max(one.slots(), minCap)
	}
	return one.limit(ask.Rank, one.sharers)
}
