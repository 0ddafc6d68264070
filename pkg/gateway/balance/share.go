package balance

import (
	"cmp"
	"slices"

	"github.com/flamingomount/flamingomount/pkg/control/rendezvous"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// daemonsPerEndpoint is how many daemons send short requests to one endpoint:
// enough that another one remains when one stops, and so few that each gets a
// useful share of the slots.
const daemonsPerEndpoint = 4

// minLearnedChoices and minChoices are the least numbers of endpoints, on average, among
// which each daemon chooses, where their speeds are learned and elsewhere.
const (
	minLearnedChoices = 2
	minChoices        = 1
)

// assignEndpoints distributes the endpoints of the local data centre over its
// daemons, evenly and with the same result at every daemon. Where there are few
// daemons, or too few endpoints for each to choose, all of them use all
// endpoints of the region, as does a daemon that is led no traffic.
func (p *Pool) assignEndpoints() {
	for _, states := range p.services {
		p.assignServiceEndpoints(states)
	}
}

func (p *Pool) assignServiceEndpoints(states []*endpointState) {
	for _, ep := range states {
		ep.coldRank = p.peers.coldRank(ep.placed.ID)
		owner, found := LargePromptOwner(ep.placed, p.peers.Serving)
		ep.owned = !found || owner == p.peers.Self
	}
	daemons := orderedDaemons(p.peers)
	useAll := p.peers.takesNothing() || len(daemons) <= daemonsPerEndpoint ||
		p.countLocalEndpoints(states)*daemonsPerEndpoint < len(daemons)*p.minChoices()
	next := 0
	for _, ep := range states {
		if useAll {
			ep.assigned, ep.peers = true, p.daemons
			continue
		}
		ep.assigned, ep.peers = false, daemonsPerEndpoint
		if ep.placed.DataCentre != p.dc {
			continue
		}
		for range daemonsPerEndpoint {
			if daemons[next%len(daemons)] == p.peers.Self {
				ep.assigned = true
			}
			next++
		}
		if p.speeds.learns && len(daemons)%daemonsPerEndpoint == 0 && next%len(daemons) == 0 {
			// Other daemons share the next endpoints, so that no group of daemons has
			// only slow ones.
			next++
		}
	}
}

// minChoices returns the least number of endpoints, on average, among which each daemon
// chooses.
func (p *Pool) minChoices() int {
	if p.speeds.learns {
		return minLearnedChoices
	}
	return minChoices
}

// countLocalEndpoints counts the endpoints of the local data centre.
func (p *Pool) countLocalEndpoints(states []*endpointState) int {
	count := 0
	for _, ep := range states {
		if ep.placed.DataCentre == p.dc {
			count++
		}
	}
	return count
}

// orderedDaemons returns the daemons of the data centre in an order that all of
// them compute alike and that is unrelated to the order of addresses.
func orderedDaemons(membership Membership) []types.VMID {
	daemons := slices.Clone(membership.SameDataCentre)
	if !slices.Contains(daemons, membership.Self) {
		daemons = append(daemons, membership.Self)
	}
	slices.SortFunc(daemons, func(a, b types.VMID) int {
		const key = "share"
		return cmp.Or(cmp.Compare(rendezvous.Weight(key, a), rendezvous.Weight(key, b)), cmp.Compare(a, b))
	})
	return daemons
}

// assignedEndpoints keeps the endpoints that are assigned to this daemon, or for
// large prompts those that it owns; it keeps all of them when there are none.
func assignedEndpoints(req RequestInfo, eligible []*endpointState, trace *Trace) []*endpointState {
	own := make([]*endpointState, 0, len(eligible))
	for _, ep := range eligible {
		if req.large() && ep.owned || !req.large() && ep.assigned {
			own = append(own, ep)
		}
	}
	if len(own) == 0 {
		return eligible
	}
	for _, ep := range eligible {
		if trace != nil && !slices.Contains(own, ep) {
			trace.drop(ep, DroppedUnassigned)
		}
	}
	return own
}

// LargePromptOwner picks the daemon that sends an endpoint its large prompts, so that one
// daemon knows the prefill backlog of the endpoint. It prefers a daemon of the
// data centre of the endpoint, since traffic between data centres is expensive.
func LargePromptOwner(endpoint catalog.ActiveEndpoint, serving []Daemon) (owner types.VMID, found bool) {
	var weight uint64
	ownerLocal := false
	for _, daemon := range serving {
		local := daemon.DataCentre == endpoint.DataCentre
		if ownerLocal && !local {
			continue
		}
		own := rendezvous.Weight(string(endpoint.ID), daemon.VM)
		if !found || local && !ownerLocal || own > weight {
			owner, weight, ownerLocal, found = daemon.VM, own, local, true
		}
	}
	return owner, found
}

// limit returns how many requests this daemon may keep in flight at the
// endpoint. Large prompts come only from the daemon that owns the endpoint,
// others from all daemons that share it.
func (p *Pool) limit(req RequestInfo, ep *endpointState) int {
	if req.large() {
		return max(ep.slots(), minInFlight)
	}
	return ep.limit(req.Rank, ep.peers)
}
