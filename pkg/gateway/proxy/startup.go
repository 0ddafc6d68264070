package proxy

import (
	"context"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
)

// Limits on waiting after the start of the daemon. All callers of a fleet come
// back within moments of its restart, when the configuration and the other
// daemons become known a few round trips later.
const (
	// startupTime is how long after its start the daemon lets requests wait. A
	// daemon that knows too little by then can't tell how long it will take.
	startupTime = time.Second
	// maxStartupWait bounds the wait of one request.
	maxStartupWait = 400 * time.Millisecond
)

// awaitStartup waits, shortly after the start of the daemon, until a snapshot
// meets the condition. It returns the newest snapshot, which may not meet it.
func (h *Handler) awaitStartup(ctx context.Context, condition func(*control.Snapshot) bool) *control.Snapshot {
	snap := h.opts.Snapshot()
	now := h.opts.Now()
	wait := min(maxStartupWait, h.startedAt.Add(startupTime).Sub(now))
	if h.opts.NextSnapshot == nil || wait <= 0 || condition(snap) {
		return snap
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		snap, replaced := h.opts.NextSnapshot()
		if condition(snap) {
			return snap
		}
		select {
		case <-replaced:
		case <-timer.C:
			return snap
		case <-ctx.Done():
			return snap
		}
	}
}

func hasConfig(snap *control.Snapshot) bool {
	return snap.View.Config != nil
}

// reachable reports whether an endpoint that may run the request is in a region
// with a daemon that serves. A daemon that leaves still reaches its own region.
func (r *run) reachable(snap *control.Snapshot) bool {
	usable := r.usableRegion(snap)
	leaving := snap.Self.State == members.Leaving
	now := r.h.opts.Now()
	for _, endpoint := range snap.View.Endpoints[r.req.Service] {
		own := leaving && endpoint.Region == snap.Self.Region && r.req.allows(endpoint.Region)
		if (own || usable(endpoint.Region)) && endpoint.Accepts(now) {
			return true
		}
	}
	return false
}
