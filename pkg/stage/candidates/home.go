package candidates

import (
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Home keeps endpoints in the organisation's home region, if it has one. It
// fails closed: a request without an organisation is refused.
type Home struct{}

var _ Filter = Home{}

// Name returns "home".
func (Home) Name() string {
	return "home"
}

// Keep reports whether the organisation may run requests in the endpoint's
// region.
func (Home) Keep(in *route.Input, ep *snapshot.Endpoint) bool {
	org := in.Request.Org
	if org == nil {
		return false
	}
	return org.Home == "" || org.Home == ep.Region
}

// KeepsAll reports whether the organisation has no home region.
func (Home) KeepsAll(in *route.Input) bool {
	return in.Request.Org != nil && in.Request.Org.Home == ""
}

// Code returns CodeResidency.
func (Home) Code() types.Code {
	return types.CodeResidency
}

// Retain keeps the endpoints that pass.
func (f Home) Retain(in *route.Input, eps []*snapshot.Endpoint) []*snapshot.Endpoint {
	return retain(eps, func(ep *snapshot.Endpoint) bool { return f.Keep(in, ep) })
}
