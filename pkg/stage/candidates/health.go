package candidates

import (
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Health removes endpoints that are ejected or no longer published.
type Health struct{}

var _ Filter = Health{}

// Name returns "health".
func (Health) Name() string {
	return "health"
}

// Keep reports whether the endpoint is neither ejected nor gone.
func (Health) Keep(in *route.Input, ep *snapshot.Endpoint) bool {
	return ep.State != snapshot.EndpointEjected && ep.State != snapshot.EndpointGone
}

// KeepsAll returns false.
func (Health) KeepsAll(_ *route.Input) bool {
	return false
}

// Code returns CodeNoEndpoint.
func (Health) Code() types.Code {
	return types.CodeNoEndpoint
}

// Retain keeps the endpoints that pass.
func (f Health) Retain(in *route.Input, eps []*snapshot.Endpoint) []*snapshot.Endpoint {
	return retain(eps, func(ep *snapshot.Endpoint) bool { return f.Keep(in, ep) })
}
