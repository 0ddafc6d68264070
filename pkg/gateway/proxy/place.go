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

// destination is the target of an attempt: an endpoint of the local region,
// another daemon, or one that has admitted the attempt already.
type destination struct {
	endpoint *balance.Permit
	member   members.Member
	handover *handover
}

// place selects a destination: the one that is reserved if there is one. A request with
// a large prefix goes to the home of the prefix. Any other one tries the local
// region, then another region with spare capacity, then waits for capacity in the
// local region.
func (r *run) place(snap *control.Snapshot) (destination, *types.Failure) {
	if permit := r.takeReserved(); permit != nil {
		return destination{endpoint: permit}, nil
	}
	if plan := r.takeHandover(); plan != nil {
		return destination{handover: plan}, nil
	}
	if r.req.PrefixTokens >= balance.MinLargePrefixTokens {
		return r.placeLargePrompt(snap)
	}
	if !r.req.allows(snap.Self.Region) {
		return r.placeRemotely(snap)
	}
	if member, found := r.soonerElsewhere(snap); found {
		return destination{member: member}, nil
	}
	balancerRequest := r.balancerRequest()
	place, refusal := r.h.opts.Gate.Try(balancerRequest)
	if place != nil {
		return destination{endpoint: place}, nil
	}
	if member, found := r.spillover(snap, refusal != nil); found {
		return destination{member: member}, nil
	}
	if refusal != nil {
		return destination{}, refusalFailure(refusal)
	}
	place, refusal, err := r.h.opts.Gate.Acquire(r.ctx, balancerRequest)
	if err != nil {
		return destination{}, r.contextFailure(types.NotRun)
	}
	if place != nil {
		return destination{endpoint: place}, nil
	}
	if member, found := r.spillover(snap, refusal.NoneHere()); found {
		return destination{member: member}, nil
	}
	return destination{}, refusalFailure(refusal)
}

// resumeWait bounds how long an interrupted stream waits for an endpoint to resume
// on; callers give up after a longer pause.
const resumeWait = 1500 * time.Millisecond

// balancerRequest describes the next attempt to the balancer. A stream that is resumed has
// already sent part of its response, so it has no objective for the first event
// and its deadline is at most 2*resumeWait away; the balancer lets it wait for half
// of that.
func (r *run) balancerRequest() balance.RequestInfo {
	balancerRequest := r.req.balancerRequest(r.excludedEndpoints())
	balancerRequest.PrefixUncached = r.req.PrefixUncached || len(r.homes) > 1
	balancerRequest.WaitLimit = r.waitLimit()
	if r.out.committed {
		now := r.h.opts.Now()
		balancerRequest.Arrived, balancerRequest.Objective = now, 0
		balancerRequest.Deadline = earlier(balancerRequest.Deadline, now.Add(2*resumeWait))
	}
	return balancerRequest
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// maxHomes is the maximum number of homes of a prefix tried for one request.
const maxHomes = 2

// placeLargePrompt selects the daemon that owns the home of the request's prefix:
// the endpoint that keeps the prefix in its cache. The whole fleet then prefills a
// prefix once, and a single daemon knows the prefill backlog of each endpoint, so
// it can refuse at once what would not be prefilled in time. After a refusal a
// second home is tried, in another region if possible.
func (r *run) placeLargePrompt(snap *control.Snapshot) (destination, *types.Failure) {
	if r.req.ForwardedBy != "" {
		return r.placeLocally(snap)
	}
	for len(r.homes) < maxHomes && r.hops < maxHops {
		home, found := r.nextHome(snap)
		if !found {
			break
		}
		r.homes = append(r.homes, home)
		owner, found := ownerOf(home, r.serving(snap, home.Region))
		if found && owner.VM != snap.Self.VM {
			return destination{member: owner}, nil
		}
		if dest, failure := r.placeLocally(snap); failure == nil {
			return dest, nil
		}
	}
	return r.placeLocally(snap)
}

// placeLocally selects an endpoint of the local region for a large prompt, which may be
// held until its engine has room.
func (r *run) placeLocally(snap *control.Snapshot) (destination, *types.Failure) {
	if !r.req.allows(snap.Self.Region) {
		return destination{}, notRunFailure(types.CodeResidency, "the route's data may not be used in this region", notReadyRetryAfter)
	}
	permit, refusal, held, err := r.h.opts.Gate.Hold(r.ctx, r.balancerRequest())
	r.held += held
	r.h.opts.Metrics.countHold(r.req.Service, held, permit != nil)
	switch {
	case err != nil:
		return destination{}, r.contextFailure(types.NotRun)
	case permit != nil:
		return destination{endpoint: permit}, nil
	}
	return destination{}, refusalFailure(refusal)
}

// nextHome returns the next home of the request's prefix: first the preferred
// home, then one in another region, since a whole region may be busy, then any
// other one. Endpoints that want no requests are no homes.
func (r *run) nextHome(snap *control.Snapshot) (catalog.ActiveEndpoint, bool) {
	usableRegion := r.usableRegion(snap)
	endpoints := r.h.opts.Gate.Taking(snap.View.Endpoints[r.req.Service])
	home, found := balance.PrefixHome(endpoints, r.req.Prefix, func(ep catalog.ActiveEndpoint) bool {
		return usableRegion(ep.Region) && !slices.ContainsFunc(r.homes, func(previous catalog.ActiveEndpoint) bool { return previous.Region == ep.Region })
	})
	if found {
		return home, true
	}
	return balance.PrefixHome(endpoints, r.req.Prefix, func(ep catalog.ActiveEndpoint) bool {
		return usableRegion(ep.Region) && !slices.ContainsFunc(r.homes, func(previous catalog.ActiveEndpoint) bool { return previous.ID == ep.ID })
	})
}

// usableRegion returns a predicate for the regions whose daemons may take the
// request.
func (r *run) usableRegion(snap *control.Snapshot) func(types.Region) bool {
	serving := r.servingRegions(snap)
	return func(region types.Region) bool {
		return serving[region] && r.req.allows(region)
	}
}

// serving returns the daemons of a region that may take the request: those that take the
// traffic once the ones that refused it because they leave are gone.
func (r *run) serving(snap *control.Snapshot, region types.Region) []members.Member {
	return snap.Leading(slices.DeleteFunc(snap.InRegion(region), func(daemon members.Member) bool {
		return slices.Contains(r.leavingDaemons, daemon.VM)
	}))
}

// servingRegions returns the regions with at least one daemon that may take the request.
func (r *run) servingRegions(snap *control.Snapshot) map[types.Region]bool {
	regions := snap.Serving()
	if len(r.leavingDaemons) == 0 {
		return regions
	}
	for region := range regions {
		regions[region] = len(r.serving(snap, region)) > 0
	}
	return regions
}

// ownerOf returns the daemon through which large prompts go to an endpoint.
func ownerOf(endpoint catalog.ActiveEndpoint, serving []members.Member) (members.Member, bool) {
	daemons := make([]balance.Daemon, 0, len(serving))
	for _, daemon := range serving {
		daemons = append(daemons, balance.Daemon{VM: daemon.VM, DataCentre: daemon.DataCentre})
	}
	owner, found := balance.LargePromptOwner(endpoint, daemons)
	if !found {
		return members.Member{}, false
	}
	index := slices.IndexFunc(serving, func(daemon members.Member) bool { return daemon.VM == owner })
	return serving[index], true
}

// placeRemotely selects a daemon for a request that may not run in this region.
func (r *run) placeRemotely(snap *control.Snapshot) (destination, *types.Failure) {
	if r.req.ForwardedBy != "" {
		return destination{}, notRunFailure(types.CodeResidency, "the route's data may not be used in this region", notReadyRetryAfter)
	}
	if r.hops < maxHops {
		if member, found := r.pickRemoteDaemon(snap, remoteOnlyMinFree); found {
			return destination{member: member}, nil
		}
	}
	return destination{}, notRunFailure(types.CodeNoEndpoint, "no region that may run the request can be reached", notReadyRetryAfter)
}

// soonerElsewhere selects a daemon of another region whose endpoints are predicted to
// respond sooner than those here, although there is capacity here.
func (r *run) soonerElsewhere(snap *control.Snapshot) (members.Member, bool) {
	if r.req.ForwardedBy != "" || r.hops > 0 || r.out.committed {
		return members.Member{}, false
	}
	loads := regions.Loads(snap.View, snap.Members, r.req.Service)
	here, slow := r.responseHere(snap, loads)
	if !slow {
		return members.Member{}, false
	}
	region, found := regions.PickSooner(loads, here, r.otherRegion(snap), r.h.opts.Rand)
	if !found {
		return members.Member{}, false
	}
	r.h.opts.Metrics.countSooner(r.req.Service)
	return r.randomDaemon(snap, region), true
}

// responseHere returns the time to the first event in the local region, and whether it is
// so long that another region may respond sooner.
func (r *run) responseHere(snap *control.Snapshot, loads map[types.Region]regions.Load) (here time.Duration, slow bool) {
	here = r.h.opts.Gate.Response(r.req.Service)
	slow = here > regions.RoundTrip
	if told := loads[snap.Self.Region].Response; told > 0 {
		here = told
	}
	return here, slow
}

// randomDaemon picks a daemon of a region that has some.
func (r *run) randomDaemon(snap *control.Snapshot, region types.Region) members.Member {
	serving := r.serving(snap, region)
	return serving[route.IntN(r.h.opts.Rand, len(serving))]
}

// spillover selects a daemon of another region for a request that finds no
// capacity here. noLocalEndpoint is true if no local endpoint may run the request,
// so that waiting would not help.
func (r *run) spillover(snap *control.Snapshot, noLocalEndpoint bool) (members.Member, bool) {
	switch {
	case r.req.ForwardedBy != "" || r.hops >= maxHops:
		return members.Member{}, false
	case noLocalEndpoint:
		return r.pickRemoteDaemon(snap, remoteOnlyMinFree)
	case r.hops > 0 || r.out.committed:
		return members.Member{}, false
	}
	return r.pickRemoteDaemon(snap, spilloverMinFree)
}

// Fractions of a region's slots that must be free.
const (
	// spilloverMinFree is for requests that could also wait here. Load reports of
	// the other region arrive late, and it keeps capacity for its own callers.
	spilloverMinFree = 0.2
	// remoteOnlyMinFree is for requests that can't run here.
	remoteOnlyMinFree = 0.0
)

// pickRemoteDaemon picks another region by its free slots and a random daemon in
// it.
func (r *run) pickRemoteDaemon(snap *control.Snapshot, minFree float64) (members.Member, bool) {
	loads := regions.Loads(snap.View, snap.Members, r.req.Service)
	region, found := regions.PickSpillover(loads, minFree, r.otherRegion(snap), r.h.opts.Rand)
	if !found {
		return members.Member{}, false
	}
	return r.randomDaemon(snap, region), true
}

// spilloverRegions returns the regions among which pickRemoteDaemon picks.
func (r *run) spilloverRegions(snap *control.Snapshot, minFree float64) []types.Region {
	return regions.Candidates(regions.Loads(snap.View, snap.Members, r.req.Service), minFree, r.otherRegion(snap))
}

// otherRegion returns a predicate for the other regions whose daemons may take the request.
func (r *run) otherRegion(snap *control.Snapshot) func(types.Region) bool {
	usableRegion := r.usableRegion(snap)
	return func(region types.Region) bool { return region != snap.Self.Region && usableRegion(region) }
}
