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

// handler runs accepted requests: through admission and dispatch, and for
// requests that may not be repeated under the guard.
type handler struct {
	snapshot   func() *snapshot.Snapshot
	gates      *gates
	dispatcher *dispatch.Dispatcher
	guard      *onceguard.Guard
	// planner decides what is sent to other regions; nil sends nothing.
	planner   *spill.Planner
	recorder  *recorder
	limits    relay.Limits
	floorSeen func(types.Revision)
	now       func() time.Time
}

var (
	_ ingress.Handler = (*handler)(nil)
	_ forward.Handler = (*handler)(nil)
)

// Handle runs one request and writes its answer.
func (h *handler) Handle(ctx context.Context, req *request.Request, caller *relay.Caller) {
	caller.SetEntryTranslator(h.callerAddress)
	if req.Repeatable {
		h.record(req, h.run(ctx, req, caller))
		return
	}
	h.handleOnce(ctx, req, caller)
}

// result is how a request ended.
type result struct {
	dispatch.Summary
	queued time.Duration
}

func (h *handler) record(req *request.Request, ended result) {
	h.recorder.record(req, ended, h.snapshot())
}

// run passes a request through admission and dispatch.
func (h *handler) run(ctx context.Context, req *request.Request, caller *relay.Caller) result {
	if ended, served := h.sendAway(ctx, req, caller); served {
		return ended
	}
	offered := h.now()
	pass, failure := h.gates.acquire(ctx, req)
	queued := h.now().Sub(offered)
	if failure != nil {
		caller.Fail(failure)
		return result{Summary: refused(failure), queued: queued}
	}
	req.OrgRunning = pass.OrgRunning
	summary := h.dispatcher.Run(ctx, req, caller)
	pass.Release(summary.Failure == nil)
	return result{Summary: summary, queued: queued}
}

func refused(failure *types.Failure) dispatch.Summary {
	return dispatch.Summary{Verdict: failure.Verdict, Failure: failure}
}

// handleOnce runs a request that may not be repeated. Its run goes on when the
// caller leaves, and its answer is kept for the caller's resends.
func (h *handler) handleOnce(ctx context.Context, req *request.Request, caller *relay.Caller) {
	ended := result{}
	outcome := h.guard.Do(ctx, req, h.snapshot(), func(ctx context.Context, _ types.Revision) once.Outcome {
		kept := newKeptAnswer(h.limits.MaxBufferedBytes)
		ran := h.run(ctx, req, relay.NewCaller(kept, req.ID, h.limits))
		h.record(req, ran)
		return kept.outcome(ran.Summary)
	})
	if h.floorSeen != nil && outcome.Floor > 0 {
		h.floorSeen(outcome.Floor)
	}
	switch {
	case outcome.Response != nil:
		h.replay(outcome.Response, caller)
	case !outcome.Forward.IsZero():
		ended.Summary = h.dispatcher.Forward(ctx, req, outcome.Forward, caller)
		h.record(req, ended)
	default:
		caller.Fail(outcome.Failure)
		if outcome.Failure.Code == types.CodeTicketRequired {
			h.record(req, result{Summary: refused(outcome.Failure)})
		}
	}
}

func (h *handler) replay(answer *once.Response, caller *relay.Caller) {
	header := http.Header(answer.Header).Clone()
	caller.SendResponse(answer.Status, header, answer.Body, types.Ran)
}

// callerAddress returns where callers reach the entry, by its VM.
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
