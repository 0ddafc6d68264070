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
	timer := time.NewTimer(waiter.ExpiresAt.Sub(since))
	defer timer.Stop()
	select {
	case permit = <-waiter.Granted:
	case refusal = <-waiter.Refused:
	case <-timer.C:
		permit, refusal = g.endHold(waiter)
	case <-ctx.Done():
		if permit, _ = g.endHold(waiter); permit != nil {
			g.Done(permit, balance.Abandoned)
		}
		return nil, nil, g.now().Sub(since), ctx.Err()
	}
	return permit, refusal, g.now().Sub(since), nil
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

// endHold ends the wait of a held prompt, unless it was granted or refused in the
// meantime.
func (g *Gate) endHold(waiter *balance.Waiter) (*balance.Permit, *balance.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case permit := <-waiter.Granted:
		return permit, nil
	case refusal := <-waiter.Refused:
		return nil, refusal
	default:
		return g.pool.EndHold(waiter, g.now())
	}
}
