// Package gate lets goroutines ask a balance.Pool and wait for room.
package gate

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
)

// grantInterval is how often waiting requests are looked through beside the
// moments at which a place becomes free: cold rates and suspensions end by
// themselves.
const grantInterval = 50 * time.Millisecond

// Gate lets goroutines ask a Pool. It is safe for concurrent use.
type Gate struct {
	now  func() time.Time
	mu   sync.Mutex
	pool *balance.Pool
}

// New builds a gate before a pool, which the gate owns from now on.
func New(pool *balance.Pool, now func() time.Time) *Gate {
	return &Gate{pool: pool, now: now}
}

// Update takes what is published and which daemons share the endpoints.
func (g *Gate) Update(view *catalog.View, sharers balance.Membership) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.Update(view, sharers)
	g.pool.GrantAll(g.now())
}

// Try places a request that must not wait. Both results are nil when there is
// no room now.
func (g *Gate) Try(ask balance.RequestInfo) (*balance.Permit, *balance.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.Try(ask, g.now())
}

// Acquire places a request and waits for room if needed. It returns an error
// only when ctx ended.
func (g *Gate) Acquire(ctx context.Context, ask balance.RequestInfo) (*balance.Permit, *balance.Refusal, error) {
	place, waiter, refusal := g.enter(ask)
	if waiter == nil {
		return place, refusal, nil
	}
	timer := time.NewTimer(waiter.ExpiresAt.Sub(g.now()))
	defer timer.Stop()
	select {
	case place := <-waiter.Granted:
		return place, nil, nil
	case <-timer.C:
		place, refusal := g.leave(waiter)
		return place, refusal, nil
	case <-ctx.Done():
		if place, _ := g.leave(waiter); place != nil {
			g.Done(place, balance.Abandoned)
		}
		return nil, nil, ctx.Err()
	}
}

func (g *Gate) enter(ask balance.RequestInfo) (*balance.Permit, *balance.Waiter, *balance.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	place, refusal := g.pool.Try(ask, now)
	if place != nil || refusal != nil {
		return place, nil, refusal
	}
	waiter, refusal := g.pool.Enqueue(ask, now)
	return nil, waiter, refusal
}

// leave withdraws a waiting request, unless it was granted in the meantime.
func (g *Gate) leave(waiter *balance.Waiter) (*balance.Permit, *balance.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case place := <-waiter.Granted:
		return place, nil
	default:
		return nil, g.pool.CancelWait(waiter)
	}
}

// ResponseStarted notes that the endpoint began its answer.
func (g *Gate) ResponseStarted(place *balance.Permit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.ResponseStarted(place, g.now())
}

// Refuse refuses a request that found no room and must not wait.
func (g *Gate) Refuse(ask balance.RequestInfo) *balance.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.Refuse(ask)
}

// Done frees the place and gives it to a waiting request.
func (g *Gate) Done(place *balance.Permit, result balance.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.Done(place, result, g.now())
}

// Loads tells what this daemon has in flight and waiting, sorted by service.
func (g *Gate) Loads() []members.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	var loads []members.Load
	now := g.now()
	for service, count := range g.pool.InFlight() {
		load := members.Load{
			Service: service, InFlight: count, Waiting: g.pool.Waiting(service), Blocked: g.pool.Blocked(service, now),
		}
		if load.InFlight > 0 || load.Waiting > 0 || load.Blocked > 0 {
			loads = append(loads, load)
		}
	}
	slices.SortFunc(loads, func(a, b members.Load) int { return cmp.Compare(a.Service, b.Service) })
	return loads
}

// Run gives room to waiting requests until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	ticker := time.NewTicker(grantInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.grantWaiting()
		case <-ctx.Done():
			return
		}
	}
}

func (g *Gate) grantWaiting() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.GrantAll(g.now())
}
