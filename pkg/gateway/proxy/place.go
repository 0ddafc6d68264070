package proxy

import (
	"cmp"
	"slices"

	"github.com/flamingomount/flamingomount/pkg/control/rendezvous"
	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// destination is where an attempt goes: an endpoint of the own region, or a
// daemon of another one.
type destination struct {
	endpoint *balance.Place
	member   members.Member
}

// place finds a destination: the home of a large prefix, else the own region,
// then another region with room, then a wait for room here.
func (r *run) place(snap *control.Snapshot) (destination, *types.Failure) {
	if !r.req.Route.Allows(snap.Self.Region) {
		return r.elsewhere(snap)
	}
	if member, found := r.prefixHome(snap); found {
		return destination{member: member}, nil
	}
	ask := r.req.ask(r.tried)
	place, refusal := r.h.opts.Gate.Try(ask)
	if place != nil {
		return destination{endpoint: place}, nil
	}
	if member, found := r.overflow(snap, refusal != nil); found {
		return destination{member: member}, nil
	}
	if refusal != nil {
		return destination{}, refusalFailure(refusal)
	}
	place, refusal, err := r.h.opts.Gate.Acquire(r.ctx, ask)
	if err != nil {
		return destination{}, r.timeUp(types.NotRun)
	}
	if refusal != nil {
		return destination{}, refusalFailure(refusal)
	}
	return destination{endpoint: place}, nil
}

// prefixHome finds the daemon that sends large prompts to the endpoint where the
// request's prefix is kept, unless that is this one or its region has no room.
// The whole fleet then reads a prefix once, and one daemon knows how much each
// endpoint has to read.
func (r *run) prefixHome(snap *control.Snapshot) (members.Member, bool) {
	if r.req.From != "" || r.hops > 0 || r.sent > 0 || r.req.PrefixTokens < balance.LargePrefix {
		return members.Member{}, false
	}
	home, found := balance.PrefixHome(snap.View.Endpoints[r.req.Service], r.req.Prefix, r.req.Route.Allows)
	if !found {
		return members.Member{}, false
	}
	if home.Region != snap.Self.Region && freePlaces(snap, r.req.Service)[home.Region].share() < homeRoom {
		return members.Member{}, false
	}
	owner, found := ownerOf(home.ID, snap.InRegion(home.Region))
	return owner, found && owner.VM != snap.Self.VM
}

// ownerOf picks the daemon that sends an endpoint its large prompts, so that one
// daemon knows how much the endpoint has to read.
func ownerOf(endpoint types.EndpointID, serving []members.Member) (members.Member, bool) {
	if len(serving) == 0 {
		return members.Member{}, false
	}
	return slices.MaxFunc(serving, func(a, b members.Member) int {
		return cmp.Compare(rendezvous.Weight(string(endpoint), a.VM), rendezvous.Weight(string(endpoint), b.VM))
	}), true
}

// elsewhere finds a daemon for a request that may not run in this region.
func (r *run) elsewhere(snap *control.Snapshot) (destination, *types.Failure) {
	if r.req.From != "" {
		return destination{}, notRun(types.CodeResidency, "the route's data may not be used in this region", notReadyRetry)
	}
	if r.hops < maxHops {
		if member, found := r.choose(snap, mustRoom); found {
			return destination{member: member}, nil
		}
	}
	return destination{}, notRun(types.CodeNoEndpoint, "no region that may run the request can be reached", notReadyRetry)
}

// overflow finds a daemon for a request that finds no room here; none is true
// when no endpoint here may run it, so that waiting would not help.
func (r *run) overflow(snap *control.Snapshot, none bool) (members.Member, bool) {
	switch {
	case r.req.From != "" || r.hops >= maxHops:
		return members.Member{}, false
	case none:
		return r.choose(snap, mustRoom)
	case r.hops > 0 || r.out.committed:
		return members.Member{}, false
	}
	return r.choose(snap, overflowRoom)
}

// Shares of a region's places that must be free.
const (
	// overflowRoom is for requests that could also wait here: news of the other
	// region are late, and it keeps room for its own callers.
	overflowRoom = 0.4
	// homeRoom is for requests whose prefix is kept in the region.
	homeRoom = 0.25
	// mustRoom is for requests that can't run here.
	mustRoom = 0.0
)

// choose picks a region by its free places and a daemon there at random.
func (r *run) choose(snap *control.Snapshot, leastFree float64) (members.Member, bool) {
	var chosen []members.Member
	var total float64
	for region, free := range freePlaces(snap, r.req.Service) {
		if region == snap.Self.Region || !r.req.Route.Allows(region) || free.share() <= leastFree && leastFree > 0 {
			continue
		}
		serving := snap.InRegion(region)
		if len(serving) == 0 {
			continue
		}
		weight := max(free.places, minWeight)
		total += weight
		if route.Float64(r.h.opts.Rand)*total < weight {
			chosen = serving
		}
	}
	if len(chosen) == 0 {
		return members.Member{}, false
	}
	return chosen[route.IntN(r.h.opts.Rand, len(chosen))], true
}

// minWeight keeps a region without free places in the draw.
const minWeight = 0.5

// room is what a region has for a service.
type room struct {
	slots  float64
	places float64
}

func (f room) share() float64 {
	if f.slots == 0 {
		return 0
	}
	return f.places / f.slots
}

// freePlaces estimates the free places of each region with endpoints of the
// service, from what the daemons there said last.
func freePlaces(snap *control.Snapshot, service types.ServiceName) map[types.Region]room {
	found := make(map[types.Region]room)
	for _, endpoint := range snap.View.Endpoints[service] {
		free := found[endpoint.Region]
		free.slots += float64(max(endpoint.Slots, 1))
		free.places = free.slots
		found[endpoint.Region] = free
	}
	for _, member := range snap.Members {
		free, known := found[member.Region]
		if !known {
			continue
		}
		for _, load := range member.Loads {
			if load.Service == service {
				free.places -= float64(load.InFlight + load.Waiting)
			}
		}
		found[member.Region] = free
	}
	return found
}
