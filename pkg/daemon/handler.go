package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/once"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/dispatch"
	"github.com/flamingomount/flamingomount/pkg/stage/forward"
	"github.com/flamingomount/flamingomount/pkg/stage/ingress"
	"github.com/flamingomount/flamingomount/pkg/stage/onceguard"
	"github.com/flamingomount/flamingomount/pkg/stage/relay"
	"github.com/flamingomount/flamingomount/pkg/stage/spill"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// handler passes accepted requests through admission and dispatch. It runs
// requests that may not be repeated under the guard.
type handler struct {
	snapshot   func() *snapshot.Snapshot
	gates      *gates
	dispatcher *dispatch.Dispatcher
	guard      *onceguard.Guard
	// planner decides which requests spill over to other regions; nil disables
	// spillover.
	planner         *spill.Planner
	recorder        *recorder
	limits          relay.Limits
	onRevisionFloor func(types.Revision)
	now             func() time.Time
}

var (
	_ ingress.Handler = (*handler)(nil)
	_ forward.Handler = (*handler)(nil)
)

// Handle runs one request and writes its response.
func (h *handler) Handle(ctx context.Context, req *request.Request, caller *relay.Caller) {
	caller.SetEntryTranslator(h.callerAddress)
	if req.Repeatable {
		h.record(req, h.run(ctx, req, caller))
		return
	}
	h.handleOnce(ctx, req, caller)
}

// requestResult is the outcome of a request and the time it was queued.
type requestResult struct {
	dispatch.Summary
	queued time.Duration
}

func (h *handler) record(req *request.Request, result requestResult) {
	h.recorder.record(req, result, h.snapshot())
}

// run sends a request to another region if the planner decides so; otherwise it
// passes the request through local admission and dispatch.
func (h *handler) run(ctx context.Context, req *request.Request, caller *relay.Caller) requestResult {
	if result, served := h.trySpillover(ctx, req, caller); served {
		return result
	}
	enqueuedAt := h.now()
	permit, failure := h.gates.acquire(ctx, req)
	queued := h.now().Sub(enqueuedAt)
	if failure != nil {
		caller.Fail(failure)
		return requestResult{Summary: failedSummary(failure), queued: queued}
	}
	req.OrgRunning = permit.OrgRunning
	summary := h.dispatcher.Run(ctx, req, caller)
	permit.Release(summary.Failure == nil)
	return requestResult{Summary: summary, queued: queued}
}

func failedSummary(failure *types.Failure) dispatch.Summary {
	return dispatch.Summary{Verdict: failure.Verdict, Failure: failure}
}

// handleOnce runs a request that may not be repeated. The run continues when the
// caller disconnects, and the response is kept for the caller's resends.
func (h *handler) handleOnce(ctx context.Context, req *request.Request, caller *relay.Caller) {
	result := requestResult{}
	outcome := h.guard.Do(ctx, req, h.snapshot(), func(ctx context.Context, _ types.Revision) once.Outcome {
		buffer := newBufferedResponse(h.limits.MaxBufferedBytes)
		runResult := h.run(ctx, req, relay.NewCaller(buffer, req.ID, h.limits))
		h.record(req, runResult)
		return buffer.outcome(runResult.Summary)
	})
	if h.onRevisionFloor != nil && outcome.Floor > 0 {
		h.onRevisionFloor(outcome.Floor)
	}
	switch {
	case outcome.Response != nil:
		h.replay(outcome.Response, caller)
	case !outcome.Forward.IsZero():
		result.Summary = h.dispatcher.Forward(ctx, req, outcome.Forward, caller)
		h.record(req, result)
	default:
		caller.Fail(outcome.Failure)
		if outcome.Failure.Code == types.CodeTicketRequired {
			h.record(req, requestResult{Summary: failedSummary(outcome.Failure)})
		}
	}
}

func (h *handler) replay(response *once.Response, caller *relay.Caller) {
	header := http.Header(response.Header).Clone()
	caller.SendResponse(response.Status, header, response.Body, types.Ran)
}

// callerAddress returns the address at which callers reach the entry on a VM, or
// the VM's ID if the address is unknown.
func (h *handler) callerAddress(vm types.VMID) types.VMID {
	view := h.snapshot()
	if view.Self.Incarnation.VM == vm {
		return types.VMID(view.Self.CallerAddress)
	}
	for i := range view.Members {
		if view.Members[i].Incarnation.VM == vm && view.Members[i].CallerAddress != "" {
			return types.VMID(view.Members[i].CallerAddress)
		}
	}
	return vm
}
