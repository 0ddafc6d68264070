package naive

import (
	"sync/atomic"

	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Router takes the healthy endpoints of a service in turn. It knows neither
// residency nor load.
type Router struct {
	next atomic.Uint64
}

var _ route.Router = (*Router)(nil)

// Route returns the next endpoint of the region that is not ejected or gone.
func (r *Router) Route(in route.Input) (route.Decision, *types.Failure) {
	eps := in.Snapshot.Endpoints[in.Request.Service.Name]
	for range eps {
		ep := eps[r.next.Add(1)%uint64(len(eps))]
		if ep.Region != in.Snapshot.Self.Region {
			continue
		}
		if ep.State == snapshot.EndpointEjected || ep.State == snapshot.EndpointGone {
			continue
		}
		return route.Decision{Endpoint: ep, Reason: "round robin"}, nil
	}
	return route.Decision{}, types.NewFailure(types.NotRun, types.CodeNoEndpoint, "no healthy endpoint")
}
