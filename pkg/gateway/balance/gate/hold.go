package gate

import (
	"context"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
)

// Hold places a large prompt that is held, if its service mixes kinds, until its engine
// has room. The permit and the refusal are those of Try followed by Refuse where nothing
// is held. Held is how long it was held; it is zero if it was not. Hold returns an error
// only when ctx ends.
func (g *Gate) Hold(ctx context.Context, req balance.RequestInfo) (permit *balance.Permit, refusal *balance.Refusal, held time.Duration, err error) {
	permit, waiter, refusal := g.tryOrHold(req)
	if waiter == nil {
		return permit, refusal, 0, nil
	}
	since := g.now()
	permit, refusal, err = g.await(ctx, waiter, g.pool.EndHold)
	return permit, refusal, g.now().Sub(since), err
}

func (g *Gate) tryOrHold(req balance.RequestInfo) (*balance.Permit, *balance.Waiter, *balance.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	permit, refusal := g.pool.Try(req, now)
	switch {
	case permit != nil || refusal != nil:
		return permit, nil, refusal
	case !g.pool.Holds(req):
		return nil, nil, g.pool.Refuse(req, now)
	}
	waiter, refusal := g.pool.Hold(req, now)
	return nil, waiter, refusal
}
