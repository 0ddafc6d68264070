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

// bytesPerToken is the usual length of a token in a prompt.
const bytesPerToken = 4

// sendAway offers the request to another region before it queues here. Served
// is false when it stays, also after the other region refused it: it was not
// run there and is admitted here.
func (h *handler) sendAway(ctx context.Context, req *request.Request, caller *relay.Caller) (ended result, served bool) {
	view := h.snapshot()
	if h.planner == nil || !req.Repeatable || view.Config == nil {
		return result{}, false
	}
	decision, failure := h.planner.Decide(spill.Input{
		Request:         req,
		Snapshot:        view,
		LocalWait:       h.gates.predict(req),
		WarmTokens:      warmTokens(req, view),
		NoLocalEndpoint: !hasEndpoint(req, view),
		Now:             h.now(),
	})
	if failure != nil || decision.Region == "" {
		return result{}, false
	}
	summary, served := h.dispatcher.ForwardToRegion(ctx, req, decision.Region, caller)
	return result{Summary: summary}, served
}

// hasEndpoint reports whether a ready endpoint of this region serves the
// request's service.
func hasEndpoint(req *request.Request, view *snapshot.Snapshot) bool {
	for _, endpoint := range view.Endpoints[req.Service.Name] {
		if endpoint.Region == view.Self.Region && endpoint.State == snapshot.EndpointReady {
			return true
		}
	}
	return false
}

// warmTokens returns how much of the prompt some endpoint here holds in its
// prefix cache.
func warmTokens(req *request.Request, view *snapshot.Snapshot) int {
	if view.Prefixes == nil {
		return 0
	}
	blocks := 0
	for blocks < len(req.Prefix) && len(view.Prefixes.Holders(req.Prefix[blocks])) > 0 {
		blocks++
	}
	return blocks * request.PrefixBlockBytes / bytesPerToken
}

// predict returns how long the request would wait to start; zero while there
// is room.
func (g *gates) predict(req *request.Request) time.Duration {
	one := g.of(req.Service.Name)
	controller, ok := one.admitter.(*admission.Controller)
	if !ok {
		return 0
	}
	room, wait := false, time.Duration(0)
	one.WithLock(func() {
		room, wait = controller.Free(req.Rank) > 0, controller.Wait(req.Rank)
	})
	if room {
		return 0
	}
	return one.waits.Predict(req.Rank, wait, g.now())
}
