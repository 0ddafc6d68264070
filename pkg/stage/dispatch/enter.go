package dispatch

import (
	"context"

	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/isolate"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Isolator decides whether a content that may crash endpoints runs now, and on
// which endpoint. Safe for concurrent use.
type Isolator interface {
	// Enter waits until the request may run; elsewhere is true when another
	// endpoint has to be chosen.
	Enter(ctx context.Context, req *request.Request, endpoint *snapshot.Endpoint) (permit *isolate.Permit, elsewhere bool, failure *types.Failure)
}

var _ Isolator = (*isolate.Guard)(nil)

// entered is a decision with the permit to carry it out; permit is nil when
// none is needed.
type entered struct {
	decision route.Decision
	permit   *isolate.Permit
	allowed  bool
}

// enter asks the isolator about an attempt at an endpoint. Attempts at other
// daemons are asked about there.
func (r *run) enter(ctx context.Context, decision route.Decision) (entered, *types.Failure) {
	isolator := r.d.opts.Isolator
	if isolator == nil || decision.Endpoint == nil || r.req.Fingerprint == (request.Fingerprint{}) {
		return entered{decision: decision, allowed: true}, nil
	}
	permit, elsewhere, failure := isolator.Enter(ctx, r.req, decision.Endpoint)
	if failure != nil || elsewhere {
		return entered{}, failure
	}
	if permit.Endpoint == decision.Endpoint.ID {
		return entered{decision: decision, permit: permit, allowed: true}, nil
	}
	decision.Endpoint = findEndpoint(r.d.opts.Snapshot(), r.req, permit.Endpoint)
	if decision.Endpoint == nil {
		permit.Leave(isolate.Ended)
		wait(ctx, elsewhereDelay)
		return entered{}, nil
	}
	return entered{decision: decision, permit: permit, allowed: true}, nil
}

// findEndpoint returns a ready endpoint of this region by its ID; nil when
// there is none.
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

// leave tells how the attempt ended.
func (e entered) leave(kind Kind) {
	if e.permit == nil {
		return
	}
	switch kind {
	case KindSucceeded:
		e.permit.Leave(isolate.Completed)
	case KindConnectionLost:
		e.permit.Leave(isolate.Crashed)
	default:
		e.permit.Leave(isolate.Ended)
	}
}
