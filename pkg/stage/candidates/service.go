package candidates

import (
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Service keeps endpoints that serve the request's service.
type Service struct{}

var _ Filter = Service{}

// Name returns "service".
func (Service) Name() string {
	return "service"
}

// Keep reports whether the endpoint serves the request's service.
func (Service) Keep(in *route.Input, ep *snapshot.Endpoint) bool {
	return ep.Service == in.Request.Service.Name
}

// KeepsAll returns false.
func (Service) KeepsAll(_ *route.Input) bool {
	return false
}

// Code returns CodeNoEndpoint.
func (Service) Code() types.Code {
	return types.CodeNoEndpoint
}

// Retain keeps the endpoints that pass.
func (f Service) Retain(in *route.Input, eps []*snapshot.Endpoint) []*snapshot.Endpoint {
	return retain(eps, func(ep *snapshot.Endpoint) bool { return f.Keep(in, ep) })
}
