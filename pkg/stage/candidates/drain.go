package candidates

import (
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Drain removes endpoints that are leaving.
type Drain struct{}

var _ Filter = Drain{}

// Name returns "drain".
func (Drain) Name() string {
	return "drain"
}

// Keep reports whether the endpoint is not leaving.
func (Drain) Keep(in *route.Input, ep *snapshot.Endpoint) bool {
	return ep.State != snapshot.EndpointLeaving
}

// KeepsAll returns false.
func (Drain) KeepsAll(_ *route.Input) bool {
	return false
}

// Code returns CodeNoEndpoint.
func (Drain) Code() types.Code {
	return types.CodeNoEndpoint
}

// Retain keeps the endpoints that pass.
func (f Drain) Retain(in *route.Input, eps []*snapshot.Endpoint) []*snapshot.Endpoint {
	return retain(eps, func(ep *snapshot.Endpoint) bool { return f.Keep(in, ep) })
}
