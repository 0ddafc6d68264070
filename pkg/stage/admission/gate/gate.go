// Package gate lets goroutines wait for an admission controller. It holds the
// controller's lock for each event and hands every decision to the goroutine
// that waits for it.
package gate

import (
	"context"
	"sync"
	"time"

	"github.com/flamingomount/flamingomount/pkg/stage/admission"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Clock returns the present time.
type Clock func() time.Time

// Gate admits the requests of one service. It is safe for concurrent use.
type Gate struct {
	clock    Clock
	mu       sync.Mutex
	admitter admission.Admitter
	waiting  map[admission.ID]chan admission.Decision
	lastID   admission.ID
}

// New builds a gate before an admitter, which the gate owns from now on.
func New(admitter admission.Admitter, clock Clock) *Gate {
	return &Gate{admitter: admitter, clock: clock, waiting: map[admission.ID]chan admission.Decision{}}
}

// Permit is the permission to run one request. Release must be called once the
// request has ended.
type Permit struct {
	// OrgRunning is how many requests of the organisation run at this daemon,
	// this one included.
	OrgRunning int
	gate       *Gate
	id         admission.ID
	once       sync.Once
}

// Release frees the slot. Useful is false when the time that the request ran
// says nothing about others, for example because its attempt failed at once.
// Calls after the first do nothing.
func (p *Permit) Release(useful bool) {
	p.once.Do(func() {
		p.gate.update(func(now time.Time) []admission.Decision {
			return p.gate.admitter.Done(admission.Completion{ID: p.id, Representative: useful}, now)
		})
	})
}

// Acquire waits until the request may run. The offer's ID is set by the gate.
// The failure has the verdict NotRun: the request was refused, or ctx ended
// while it waited.
func (g *Gate) Acquire(ctx context.Context, offer admission.Offer) (*Permit, *types.Failure) {
	decisions := make(chan admission.Decision, 1)
	g.update(func(now time.Time) []admission.Decision {
		g.lastID++
		offer.ID = g.lastID
		g.waiting[offer.ID] = decisions
		return g.admitter.Offer(offer, now)
	})
	select {
	case decision := <-decisions:
		return g.pass(decision)
	case <-ctx.Done():
		return nil, g.abandon(ctx, offer.ID)
	}
}

func (g *Gate) pass(decision admission.Decision) (*Permit, *types.Failure) {
	if decision.Outcome == admission.Refused {
		return nil, decision.Failure
	}
	return &Permit{gate: g, id: decision.ID, OrgRunning: decision.OrgRunning}, nil
}

// abandon withdraws a request whose caller stopped waiting. It frees the slot
// too, if the request was started in the meantime.
func (g *Gate) abandon(ctx context.Context, id admission.ID) *types.Failure {
	g.update(func(now time.Time) []admission.Decision {
		delete(g.waiting, id)
		return g.admitter.Cancel(id, now)
	})
	code, message := types.CodeCallerGone, "the caller stopped waiting"
	if ctx.Err() == context.DeadlineExceeded {
		code, message = types.CodeDeadline, "the deadline passed while the request waited"
	}
	failure := types.NewFailure(types.NotRun, code, message)
	failure.Cause = ctx.Err()
	return failure
}

// SetCapacity sets how many requests may run at once.
func (g *Gate) SetCapacity(slots int) {
	g.update(func(now time.Time) []admission.Decision {
		return g.admitter.SetCapacity(slots, now)
	})
}

// Tick refuses waiting requests that can't meet their deadline any more. Call
// it a few times a second.
func (g *Gate) Tick() {
	g.update(g.admitter.Tick)
}

// WithLock runs a function while no event is handled, for example to read figures
// of the controller.
func (g *Gate) WithLock(read func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	read()
}

// update handles one event and hands out its decisions.
func (g *Gate) update(event func(now time.Time) []admission.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, decision := range event(g.clock()) {
		if decision.Outcome == admission.Queued {
			continue
		}
		// The channel holds one decision, and a request gets no second one.
		if waiter, found := g.waiting[decision.ID]; found {
			delete(g.waiting, decision.ID)
			waiter <- decision
		}
	}
}
