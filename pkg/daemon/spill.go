package daemon

import (
	"context"
	"time"

	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/admission"
	"github.com/flamingomount/flamingomount/pkg/stage/relay"
	"github.com/flamingomount/flamingomount/pkg/stage/spill"
)

// bytesPerToken is the typical length of a prompt token, in bytes.
const bytesPerToken = 4

// trySpillover offers the request to another region before it is queued locally.
// served is false if the request stays in the local region. This includes a
// request that the other region refused: it was not run there and goes through
// local admission.
func (h *handler) trySpillover(ctx context.Context, req *request.Request, caller *relay.Caller) (result requestResult, served bool) {
	view := h.snapshot()
	if h.planner == nil || !req.Repeatable || view.Config == nil {
		return requestResult{}, false
	}
	decision, failure := h.planner.Decide(spill.Input{
		Request:         req,
		Snapshot:        view,
		LocalWait:       h.gates.predictWait(req),
		WarmTokens:      cachedTokens(req, view),
		NoLocalEndpoint: !hasEndpoint(req, view),
		Now:             h.now(),
	})
	if failure != nil || decision.Region == "" {
		return requestResult{}, false
	}
	summary, served := h.dispatcher.ForwardToRegion(ctx, req, decision.Region, caller)
	return requestResult{Summary: summary}, served
}

// hasEndpoint reports whether the local region has a ready endpoint for the
// request's service.
func hasEndpoint(req *request.Request, view *snapshot.Snapshot) bool {
	for _, endpoint := range view.Endpoints[req.Service.Name] {
		if endpoint.Region == view.Self.Region && endpoint.State == snapshot.EndpointReady {
			return true
		}
	}
	return false
}

// cachedTokens estimates how many leading prompt tokens are in the prefix caches
// of known endpoints. It counts leading blocks that have at least one holder.
func cachedTokens(req *request.Request, view *snapshot.Snapshot) int {
	if view.Prefixes == nil {
		return 0
	}
	blocks := 0
	for blocks < len(req.Prefix) && len(view.Prefixes.Holders(req.Prefix[blocks])) > 0 {
		blocks++
	}
	return blocks * request.PrefixBlockBytes / bytesPerToken
}

// predictWait returns how long the request is expected to queue; zero while there
// is free capacity.
func (g *gates) predictWait(req *request.Request) time.Duration {
	sg := g.gateFor(req.Service.Name)
	controller, ok := sg.admitter.(*admission.Controller)
	if !ok {
		return 0
	}
	hasCapacity, wait := false, time.Duration(0)
	sg.WithLock(func() {
		hasCapacity, wait = controller.Free(req.Rank) > 0, controller.Wait(req.Rank)
	})
	if hasCapacity {
		return 0
	}
	return sg.waits.Predict(req.Rank, wait, g.now())
}
