package candidates

import (
	"slices"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Version keeps endpoints with a model version that the service may use. If the
// caller requested a version, it keeps only endpoints with that one. Plain
// services may list no versions; then any version passes.
type Version struct{}

var _ Filter = Version{}

// Name returns "version".
func (Version) Name() string {
	return "version"
}

// Keep reports whether the endpoint's version may run the request.
func (Version) Keep(in *route.Input, ep *snapshot.Endpoint) bool {
	service := in.Request.Service
	if in.Request.Version != "" && ep.Version != in.Request.Version {
		return false
	}
	if service.Kind == published.KindPlain && len(service.Versions) == 0 {
		return true
	}
	return slices.Contains(service.Versions, ep.Version)
}

// KeepsAll returns false.
func (Version) KeepsAll(_ *route.Input) bool {
	return false
}

// Code returns CodeNoEndpoint.
func (Version) Code() types.Code {
	return types.CodeNoEndpoint
}

// Retain keeps the endpoints that pass.
func (f Version) Retain(in *route.Input, eps []*snapshot.Endpoint) []*snapshot.Endpoint {
	return retain(eps, func(ep *snapshot.Endpoint) bool { return f.Keep(in, ep) })
}
