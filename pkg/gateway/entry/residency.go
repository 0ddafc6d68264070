package entry

import (
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/demand"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	// maxLedOut is one in how many requests of restricted routes may be led to a region
	// that they may not enter.
	maxLedOut = 20
	// unknownRequests is added to the requests of each route: those of a short time may
	// leave out a route by chance, and with few of them each route counts.
	unknownRequests = 2
)

// residency weighs regions by the requests of a host's callers whose data may enter them.
type residency struct {
	routes []*catalog.Route
	// weights holds the weight of each route.
	weights []uint64
	total   uint64
}

// newResidency returns the residency of a host with these restricted routes, given the
// requests of its callers.
func newResidency(routes []*catalog.Route, requests demand.Counts) residency {
	r := residency{routes: routes}
	for _, route := range routes {
		weight := requests[route.Name] + unknownRequests
		r.weights = append(r.weights, weight)
		r.total += weight
	}
	return r
}

// allowed returns the weight of the routes whose data may be in the region.
func (r residency) allowed(region types.Region) uint64 {
	var allowed uint64
	for i, route := range r.routes {
		if route.Allows(region) {
			allowed += r.weights[i]
		}
	}
	return allowed
}

// permits reports whether the callers may be led to the region: nearly all of their
// restricted requests may enter it.
func (r residency) permits(region types.Region) bool {
	ledOut := r.total - r.allowed(region)
	return ledOut*maxLedOut <= r.total
}

// best returns the daemons of the regions that the most restricted requests may enter,
// of those in which there are daemons; none if all regions are closed to all of them.
func (r residency) best(daemons []members.Member) []members.Member {
	var most uint64
	for _, member := range daemons {
		most = max(most, r.allowed(member.Region))
	}
	if most == 0 {
		return nil
	}
	return inRegions(daemons, func(region types.Region) bool { return r.allowed(region) == most })
}
