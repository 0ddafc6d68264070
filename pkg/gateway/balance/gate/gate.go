// Package gate makes a balance.Pool usable from goroutines, which can wait for
// capacity.
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
	"github.com/flamingomount/flamingomount/pkg/types"
)

// grantInterval is how often waiting requests are checked in addition to when a
// permit is released: cold rates, suspensions and pauses end without an event.
const grantInterval = 50 * time.Millisecond

// Gate gives goroutines access to a Pool. It is safe for concurrent use.
type Gate struct {
	now  func() time.Time
	mu   sync.Mutex
	pool *balance.Pool
	// connecting holds the attempts that have no connection yet.
	connecting map[*Connecting]bool
	observe    Observer
	onDoubt    func()
}

// New returns a gate for a pool, which the gate owns from then on.
func New(pool *balance.Pool, now func() time.Time) *Gate {
	return &Gate{pool: pool, now: now, connecting: make(map[*Connecting]bool)}
}

// Update applies the published view and the daemons that share the endpoints. It
// returns the endpoints that have started again.
func (g *Gate) Update(view *catalog.View, membership balance.Membership) []balance.Restart {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.pool.Update(view, membership)
	restarts := g.pool.TakeRestarts(now)
	g.pool.GrantAll(now)
	return restarts
}

// OnDoubt sets a function that is called when an endpoint may have started again
// unnoticed, so that its health is to be checked. It must not block. Call OnDoubt before
// the gate is used.
func (g *Gate) OnDoubt(call func()) {
	g.onDoubt = call
}

// connected tells the pool of the connection of an attempt.
func (g *Gate) connected(permit *balance.Permit, conn balance.Connection) (permitted, doubtful bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.Connected(permit, conn, g.now())
}

// RecordNews records when the published state was read from the store.
func (g *Gate) RecordNews(readAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.RecordNews(readAt, g.now())
}

// Try places a request that must not wait. Both results are nil when there is no
// capacity now.
func (g *Gate) Try(req balance.RequestInfo) (*balance.Permit, *balance.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.Try(req, g.now())
}

// Acquire places a request and waits for capacity if needed. It returns an error
// only when ctx ends.
func (g *Gate) Acquire(ctx context.Context, req balance.RequestInfo) (*balance.Permit, *balance.Refusal, error) {
	permit, waiter, refusal := g.tryOrEnqueue(req)
	if waiter == nil {
		return permit, refusal, nil
	}
	return g.await(ctx, waiter, func(waiter *balance.Waiter, now time.Time) (*balance.Permit, *balance.Refusal) {
		return nil, g.pool.CancelWait(waiter, now)
	})
}

// endWait ends the wait of a request that was neither granted nor refused.
type endWait func(waiter *balance.Waiter, now time.Time) (*balance.Permit, *balance.Refusal)

// await waits until a request is granted or refused, its wait is over, or ctx ends, which
// is its only error.
func (g *Gate) await(ctx context.Context, waiter *balance.Waiter, end endWait) (*balance.Permit, *balance.Refusal, error) {
	timer := time.NewTimer(waiter.ExpiresAt.Sub(g.now()))
	defer timer.Stop()
	select {
	case permit := <-waiter.Granted:
		return permit, nil, nil
	case refusal := <-waiter.Refused:
		return nil, refusal, nil
	case <-timer.C:
		permit, refusal := g.withdraw(waiter, end)
		return permit, refusal, nil
	case <-ctx.Done():
		if permit, _ := g.withdraw(waiter, end); permit != nil {
			g.Done(permit, balance.Abandoned)
		}
		return nil, nil, ctx.Err()
	}
}

func (g *Gate) tryOrEnqueue(req balance.RequestInfo) (*balance.Permit, *balance.Waiter, *balance.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	permit, refusal := g.pool.Try(req, now)
	if permit != nil || refusal != nil {
		return permit, nil, refusal
	}
	waiter, refusal := g.pool.Enqueue(req, now)
	return nil, waiter, refusal
}

// withdraw removes a waiting request, unless it was granted or refused in the
// meantime.
func (g *Gate) withdraw(waiter *balance.Waiter, end endWait) (*balance.Permit, *balance.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case permit := <-waiter.Granted:
		return permit, nil
	case refusal := <-waiter.Refused:
		return nil, refusal
	default:
		return end(waiter, g.now())
	}
}

// ResponseStarted records that the endpoint started the response of a request that it runs.
func (g *Gate) ResponseStarted(permit *balance.Permit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.ResponseStarted(permit, g.now())
}

// ResponseFailed records that the endpoint started a response to a request that failed.
func (g *Gate) ResponseFailed(permit *balance.Permit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.ResponseFailed(permit, g.now())
}

// DueProbes returns the endpoints whose health is to be checked now.
func (g *Gate) DueProbes() []balance.Probe {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.DueProbes(g.now())
}

// DueConfirmations returns the endpoints that may turn cold at any moment and are to be
// checked now, and whether there may be others later without a new view.
func (g *Gate) DueConfirmations() (due []balance.Probe, pending bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.DueConfirmations(g.now())
}

// RecordProbe records that a health check found an endpoint cold until a time,
// and grants the capacity to waiting requests.
func (g *Gate) RecordProbe(probe balance.Probe, coldUntil time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.RecordProbe(probe, coldUntil)
	g.pool.Grant(probe.Endpoint.Service, g.now())
}

// Refuse refuses a request for which there is no capacity and that must not
// wait.
func (g *Gate) Refuse(req balance.RequestInfo) *balance.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.Refuse(req, g.now())
}

// Done records the result of the attempt, releases the permit and grants the
// capacity to waiting requests.
func (g *Gate) Done(permit *balance.Permit, result balance.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.Done(permit, result, g.now())
}

// LimitedAsCold reports whether requests to an endpoint count towards the rate that it
// takes while it is cold.
func (g *Gate) LimitedAsCold(endpoint types.EndpointID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.LimitedAsCold(endpoint, g.now())
}

// Loads returns the numbers of requests of this daemon in flight and waiting and
// of its blocked slots, sorted by service.
func (g *Gate) Loads() []members.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	var loads []members.Load
	now := g.now()
	for service, count := range g.pool.InFlight() {
		load := members.Load{
			Service: service, InFlight: count, Waiting: g.pool.Waiting(service), Blocked: g.pool.Blocked(service, now),
			ResponseMillis: int(g.pool.Response(service, now).Milliseconds()),
		}
		if load.InFlight > 0 || load.Waiting > 0 || load.Blocked > 0 || load.ResponseMillis > 0 {
			loads = append(loads, load)
		}
	}
	slices.SortFunc(loads, func(a, b members.Load) int { return cmp.Compare(a.Service, b.Service) })
	return loads
}

// Response returns the average time until the responses to small requests of a service
// started lately in the local region; zero if this daemon saw none.
func (g *Gate) Response(service types.ServiceName) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.Response(service, g.now())
}

// Run grants capacity to waiting requests until ctx ends.
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
