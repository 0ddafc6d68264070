package candidates

import (
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Quarantine removes every endpoint for a request whose fingerprint is
// quarantined. A request without a fingerprint is never quarantined.
type Quarantine struct{}

var _ Filter = Quarantine{}

// Name returns "quarantine".
func (Quarantine) Name() string {
	return "quarantine"
}

// Keep reports whether the request may run anywhere.
func (f Quarantine) Keep(in *route.Input, _ *snapshot.Endpoint) bool {
	return f.KeepsAll(in)
}

// KeepsAll reports whether the request is not quarantined.
func (Quarantine) KeepsAll(in *route.Input) bool {
	if len(in.Snapshot.Quarantine) == 0 || in.Request.Fingerprint == (request.Fingerprint{}) {
		return true
	}
	until, found := in.Snapshot.Quarantine[in.Request.Fingerprint]
	return !found || !in.Now.Before(until)
}

// Code returns CodeQuarantined.
func (Quarantine) Code() types.Code {
	return types.CodeQuarantined
}

// Retain keeps the endpoints that pass.
func (f Quarantine) Retain(in *route.Input, eps []*snapshot.Endpoint) []*snapshot.Endpoint {
	return retain(eps, func(ep *snapshot.Endpoint) bool { return f.Keep(in, ep) })
}
