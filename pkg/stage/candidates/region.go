package candidates

import (
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Region keeps endpoints in the local region. Other regions are reached through
// their own daemons.
type Region struct{}

var _ Filter = Region{}

// Name returns "region".
func (Region) Name() string {
	return "region"
}

// Keep reports whether the endpoint is in the local region.
func (Region) Keep(in *route.Input, ep *snapshot.Endpoint) bool {
	return ep.Region == in.Snapshot.Self.Region
}

// KeepsAll returns false.
func (Region) KeepsAll(_ *route.Input) bool {
	return false
}

// Code returns CodeNoEndpoint.
func (Region) Code() types.Code {
	return types.CodeNoEndpoint
}

// Retain keeps the endpoints that pass.
func (f Region) Retain(in *route.Input, eps []*snapshot.Endpoint) []*snapshot.Endpoint {
	return retain(eps, func(ep *snapshot.Endpoint) bool { return f.Keep(in, ep) })
}
