package candidates

import (
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Residency keeps endpoints in regions that the service may use. It fails
// closed: a service that lists no region, or an endpoint without a region, is
// refused.
type Residency struct{}

var _ Filter = Residency{}

// Name returns "residency".
func (Residency) Name() string {
	return "residency"
}

// Keep reports whether the service may use the endpoint's region.
func (Residency) Keep(in *route.Input, ep *snapshot.Endpoint) bool {
	return ep.Region != "" && in.Request.Service.Allows(ep.Region)
}

// KeepsAll returns false.
func (Residency) KeepsAll(_ *route.Input) bool {
	return false
}

// Code returns CodeResidency.
func (Residency) Code() types.Code {
	return types.CodeResidency
}

// Retain keeps the endpoints that pass.
func (f Residency) Retain(in *route.Input, eps []*snapshot.Endpoint) []*snapshot.Endpoint {
	return retain(eps, func(ep *snapshot.Endpoint) bool { return f.Keep(in, ep) })
}
