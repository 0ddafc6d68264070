package entry

import (
	"math"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/demand"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// maxLedOut is one in how many requests of restricted routes may be led to a region that
// they may not enter.
const maxLedOut = 20

// residency weighs regions by the requests of a host's callers whose data may enter them.
type residency struct {
	routes []*catalog.Route
	// requests holds the known requests of each route, and known their sum.
	requests []uint64
	known    uint64
}

// newResidency returns the residency of a host with these restricted routes, given the
// requests of its callers.
func newResidency(routes []*catalog.Route, requests demand.Counts) residency {
	r := residency{routes: routes}
	for _, route := range routes {
		r.requests = append(r.requests, requests[route.Name])
		r.known += requests[route.Name]
	}
	return r
}

// permits reports whether the callers may be led to the region: nearly all of their
// restricted requests may enter it. The requests are known from a sample: those that may
// not enter are taken as more by the standard error of their number, and by one for each
// of their routes at least, so that few requests permit only what all routes allow.
func (r residency) permits(region types.Region) bool {
	var ledOut, closed uint64
	for i, route := range r.routes {
		if !route.Allows(region) {
			ledOut += r.requests[i]
			closed++
		}
	}
	margin := max(float64(closed), math.Sqrt(float64(ledOut)))
	return (float64(ledOut)+margin)*maxLedOut <= float64(r.known)
}

// allowed returns the weight of the requests that may enter the region, in which each
// route counts a little.
func (r residency) allowed(region types.Region) uint64 {
	var allowed uint64
	for i, route := range r.routes {
		if route.Allows(region) {
			allowed += r.requests[i] + 1
		}
	}
	return allowed
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
