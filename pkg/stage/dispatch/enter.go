package dispatch

import (
	"context"

	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/sleep"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/isolate"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Isolator decides when and on which endpoint a request runs whose content may
// crash endpoints. Safe for concurrent use.
type Isolator interface {
	// Admit waits until the request may run. With reroute set, the caller must
	// route the request again. The permit may name another endpoint than the
	// given one.
	Admit(ctx context.Context, req *request.Request, endpoint *snapshot.Endpoint) (permit *isolate.Permit, reroute bool, failure *types.Failure)
}

var _ Isolator = (*isolate.Guard)(nil)

// permittedDecision is a routing decision with the isolator's permit for it;
// permit is nil when none is needed. With allowed false the request must be
// routed again.
type permittedDecision struct {
	decision route.Decision
	permit   *isolate.Permit
	allowed  bool
}

// acquirePermit asks the isolator for permission to attempt the request at an
// endpoint. Attempts at other daemons need no permit here, because the other
// daemon asks its own isolator.
func (r *run) acquirePermit(ctx context.Context, decision route.Decision) (permittedDecision, *types.Failure) {
	isolator := r.d.opts.Isolator
	if isolator == nil || decision.Endpoint == nil || r.req.Fingerprint == (request.Fingerprint{}) {
		return permittedDecision{decision: decision, allowed: true}, nil
	}
	permit, reroute, failure := isolator.Admit(ctx, r.req, decision.Endpoint)
	if failure != nil || reroute {
		return permittedDecision{}, failure
	}
	if permit.Endpoint == decision.Endpoint.ID {
		return permittedDecision{decision: decision, permit: permit, allowed: true}, nil
	}
	decision.Endpoint = findEndpoint(r.d.opts.Snapshot(), r.req, permit.Endpoint)
	if decision.Endpoint == nil {
		permit.Finish(isolate.Ended)
		sleep.For(ctx, rerouteDelay)
		return permittedDecision{}, nil
	}
	return permittedDecision{decision: decision, permit: permit, allowed: true}, nil
}

// findEndpoint returns the ready endpoint with this ID in the local region, or
// nil.
func findEndpoint(view *snapshot.Snapshot, req *request.Request, id types.EndpointID) *snapshot.Endpoint {
	for _, endpoint := range view.Endpoints[req.Service.Name] {
		if endpoint.ID != id {
			continue
		}
		if endpoint.State == snapshot.EndpointReady && endpoint.Region == view.Self.Region {
			return endpoint
		}
		return nil
	}
	return nil
}

// releasePermit returns the permit and reports how the attempt ended.
func (e permittedDecision) releasePermit(kind Kind) {
	if e.permit == nil {
		return
	}
	switch kind {
	case KindSucceeded:
		e.permit.Finish(isolate.Completed)
	case KindConnectionLost:
		e.permit.Finish(isolate.Crashed)
	default:
		e.permit.Finish(isolate.Ended)
	}
}
