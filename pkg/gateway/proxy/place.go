package proxy

import (
	"slices"
	"time"

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
	endpoint *balance.Permit
	member   members.Member
}

// place finds a destination: the home of a large prefix, else the own region,
// then another region with room, then a wait for room here.
func (r *run) place(snap *control.Snapshot) (destination, *types.Failure) {
	if r.req.PrefixTokens >= balance.MinLargePrefixTokens {
		return r.placeLarge(snap)
	}
	if !r.req.Route.Allows(snap.Self.Region) {
		return r.elsewhere(snap)
	}
	ask := r.ask()
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
	if place != nil {
		return destination{endpoint: place}, nil
	}
	if member, found := r.overflow(snap, false); found {
		return destination{member: member}, nil
	}
	return destination{}, refusalFailure(refusal)
}

// resumeWait bounds the wait of a stream that broke off for an endpoint where it
// goes on; callers give up after a longer pause.
const resumeWait = 1500 * time.Millisecond

// ask is what the next attempt asks of the endpoints. A stream that goes on has
// begun its answer already and waits as long as its caller bears.
func (r *run) ask() balance.RequestInfo {
	ask := r.req.ask(r.avoid())
	ask.PrefixUncached = r.req.PrefixUncached || len(r.homes) > 1
	if r.out.committed {
		now := r.h.opts.Now()
		ask.Arrived, ask.Objective = now, 0
		ask.Deadline = earlier(ask.Deadline, now.Add(2*resumeWait))
	}
	return ask
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// maxHomes is how many homes of a prefix are asked for one request.
const maxHomes = 2

// placeLarge finds the daemon that sends large prompts to the endpoint where the
// request's prefix is kept. The whole fleet then reads a prefix once, and one
// daemon knows how much each endpoint has to read; that one refuses at once what
// would not be read in time. Then a second home is asked, in another region if
// possible.
func (r *run) placeLarge(snap *control.Snapshot) (destination, *types.Failure) {
	if r.req.ForwardedBy != "" {
		return r.placeHere(snap)
	}
	for len(r.homes) < maxHomes && r.hops < maxHops {
		home, found := r.nextHome(snap)
		if !found {
			break
		}
		r.homes = append(r.homes, home)
		owner, found := ownerOf(home, snap.InRegion(home.Region))
		if found && owner.VM != snap.Self.VM {
			return destination{member: owner}, nil
		}
		if where, failure := r.placeHere(snap); failure == nil {
			return where, nil
		}
	}
	return r.placeHere(snap)
}

// placeHere places a request at an endpoint of the own region without a wait.
func (r *run) placeHere(snap *control.Snapshot) (destination, *types.Failure) {
	if !r.req.Route.Allows(snap.Self.Region) {
		return destination{}, notRun(types.CodeResidency, "the route's data may not be used in this region", notReadyRetry)
	}
	ask := r.ask()
	place, refusal := r.h.opts.Gate.Try(ask)
	if place != nil {
		return destination{endpoint: place}, nil
	}
	if refusal == nil {
		refusal = r.h.opts.Gate.Refuse(ask)
	}
	return destination{}, refusalFailure(refusal)
}

// nextHome returns the next home of the request's prefix: the first one, then
// one of another region, since a whole region may be busy, then any other one.
func (r *run) nextHome(snap *control.Snapshot) (catalog.ActiveEndpoint, bool) {
	usable := r.usable(snap)
	endpoints := snap.View.Endpoints[r.req.Service]
	home, found := balance.PrefixHome(endpoints, r.req.Prefix, func(one catalog.ActiveEndpoint) bool {
		return usable(one.Region) && !slices.ContainsFunc(r.homes, func(asked catalog.ActiveEndpoint) bool { return asked.Region == one.Region })
	})
	if found {
		return home, true
	}
	return balance.PrefixHome(endpoints, r.req.Prefix, func(one catalog.ActiveEndpoint) bool {
		return usable(one.Region) && !slices.ContainsFunc(r.homes, func(asked catalog.ActiveEndpoint) bool { return asked.ID == one.ID })
	})
}

// usable tells the regions whose daemons may take the request.
func (r *run) usable(snap *control.Snapshot) func(types.Region) bool {
	serving := snap.Serving()
	return func(region types.Region) bool {
		return serving[region] && r.req.Route.Allows(region)
	}
}

// ownerOf picks the daemon that sends an endpoint its large prompts.
func ownerOf(endpoint catalog.ActiveEndpoint, serving []members.Member) (members.Member, bool) {
	daemons := make([]balance.Daemon, 0, len(serving))
	for _, one := range serving {
		daemons = append(daemons, balance.Daemon{VM: one.VM, DataCentre: one.DataCentre})
	}
	owner, found := balance.OwnerOf(endpoint, daemons)
	if !found {
		return members.Member{}, false
	}
	at := slices.IndexFunc(serving, func(one members.Member) bool { return one.VM == owner })
	return serving[at], true
}

// elsewhere finds a daemon for a request that may not run in this region.
func (r *run) elsewhere(snap *control.Snapshot) (destination, *types.Failure) {
	if r.req.ForwardedBy != "" {
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
	case r.req.ForwardedBy != "" || r.hops >= maxHops:
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
	region, found := regions.PickSpillover(loads, leastFree, func(region types.Region) bool {
		return region != snap.Self.Region && usable(region)
	}, r.h.opts.Rand)
	if !found {
		return members.Member{}, false
	}
	serving := snap.InRegion(region)
	return serving[route.IntN(r.h.opts.Rand, len(serving))], true
}
