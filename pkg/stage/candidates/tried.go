package candidates

import (
	"slices"

	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Tried removes endpoints at which an attempt of this request already failed.
type Tried struct{}

var _ Filter = Tried{}

// Name returns "tried".
func (Tried) Name() string {
	return "tried"
}

// Keep reports whether no attempt was made at the endpoint.
func (Tried) Keep(in *route.Input, ep *snapshot.Endpoint) bool {
	return !slices.Contains(in.Tried, ep.ID)
}

// KeepsAll reports whether no endpoint has been tried.
func (Tried) KeepsAll(in *route.Input) bool {
	return len(in.Tried) == 0
}

// Code returns CodeNoEndpoint.
func (Tried) Code() types.Code {
	return types.CodeNoEndpoint
}

// Retain keeps the endpoints that pass.
func (f Tried) Retain(in *route.Input, eps []*snapshot.Endpoint) []*snapshot.Endpoint {
	return retain(eps, func(ep *snapshot.Endpoint) bool { return f.Keep(in, ep) })
}
