package proxy

import (
	"cmp"
	"slices"

	"github.com/flamingomount/flamingomount/pkg/control/rendezvous"
	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/gateway/regions"
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
// request's prefix is kept, unless that is this one. The whole fleet then reads
// a prefix once, and one daemon knows how much each endpoint has to read. A home
// is not left because its region is busy: elsewhere the prefix would be read
// anew, which costs a busy fleet more than it saves.
func (r *run) prefixHome(snap *control.Snapshot) (members.Member, bool) {
	if r.req.From != "" || r.hops > 0 || r.sent > 0 || r.req.PrefixTokens < balance.LargePrefix {
		return members.Member{}, false
	}
	home, found := balance.PrefixHome(snap.View.Endpoints[r.req.Service], r.req.Prefix, r.usable(snap))
	if !found {
		return members.Member{}, false
	}
	owner, found := ownerOf(home, snap.InRegion(home.Region))
	return owner, found && owner.VM != snap.Self.VM
}

// usable tells the regions whose daemons may take the request.
func (r *run) usable(snap *control.Snapshot) func(types.Region) bool {
	return func(region types.Region) bool {
		return r.req.Route.Allows(region) && len(snap.InRegion(region)) > 0
	}
}

// ownerOf picks the daemon that sends an endpoint its large prompts, so that one
// daemon knows how much the endpoint has to read: one of the endpoint's own data
// centre, if any serves, since bytes between data centres are dear.
func ownerOf(endpoint catalog.Placed, serving []members.Member) (members.Member, bool) {
	inside := slices.DeleteFunc(slices.Clone(serving), func(one members.Member) bool { return one.DataCentre != endpoint.DataCentre })
	if len(inside) > 0 {
		serving = inside
	}
	if len(serving) == 0 {
		return members.Member{}, false
	}
	return slices.MaxFunc(serving, func(a, b members.Member) int {
		return cmp.Compare(rendezvous.Weight(string(endpoint.ID), a.VM), rendezvous.Weight(string(endpoint.ID), b.VM))
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
	overflowRoom = 0.2
	// mustRoom is for requests that can't run here.
	mustRoom = 0.0
)

// choose picks another region by its free places and a daemon there at random.
func (r *run) choose(snap *control.Snapshot, leastFree float64) (members.Member, bool) {
	usable := r.usable(snap)
	loads := regions.Loads(snap.View, snap.Members, r.req.Service)
	region, found := regions.Overflow(loads, leastFree, func(region types.Region) bool {
		return region != snap.Self.Region && usable(region)
	}, r.h.opts.Rand)
	if !found {
		return members.Member{}, false
	}
	serving := snap.InRegion(region)
	return serving[route.IntN(r.h.opts.Rand, len(serving))], true
}
