// Package gate makes an admission controller usable from goroutines. It holds a
// lock for each event and delivers every decision to the goroutine that waits
// for it.
package gate

import (
	"context"
	"sync"
	"time"

	"github.com/flamingomount/flamingomount/pkg/stage/admission"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Clock returns the current time.
type Clock func() time.Time

// Gate admits the requests of one service. It is safe for concurrent use.
type Gate struct {
	clock    Clock
	mu       sync.Mutex
	admitter admission.Admitter
	waiting  map[admission.ID]chan admission.Decision
	lastID   admission.ID
}

// New returns a gate for the admitter. Only the gate may use the admitter from
// then on.
func New(admitter admission.Admitter, clock Clock) *Gate {
	return &Gate{admitter: admitter, clock: clock, waiting: map[admission.ID]chan admission.Decision{}}
}

// Permit is the permission to run one request. Release must be called once the
// request has ended.
type Permit struct {
	// OrgRunning is how many requests of the organisation run at this daemon,
	// including this one.
	OrgRunning int
	gate       *Gate
	id         admission.ID
	once       sync.Once
}

// Release frees the slot. Representative is false when the run time must not
// enter the estimate of how long requests hold a slot, for example because the
// attempt failed at once. Calls after the first do nothing.
func (p *Permit) Release(representative bool) {
	p.once.Do(func() {
		p.gate.handleEvent(func(now time.Time) []admission.Decision {
			return p.gate.admitter.Done(admission.Completion{ID: p.id, Representative: representative}, now)
		})
	})
}

// Acquire waits until the request may run. The gate sets the offer's ID. The
// failure has the verdict NotRun: the request was refused, or ctx ended while it
// waited.
func (g *Gate) Acquire(ctx context.Context, offer admission.Offer) (*Permit, *types.Failure) {
	decisions := make(chan admission.Decision, 1)
	g.handleEvent(func(now time.Time) []admission.Decision {
		g.lastID++
		offer.ID = g.lastID
		g.waiting[offer.ID] = decisions
		return g.admitter.Offer(offer, now)
	})
	select {
	case decision := <-decisions:
		return g.permit(decision)
	case <-ctx.Done():
		return nil, g.withdraw(ctx, offer.ID)
	}
}

func (g *Gate) permit(decision admission.Decision) (*Permit, *types.Failure) {
	if decision.Outcome == admission.Refused {
		return nil, decision.Failure
	}
	return &Permit{gate: g, id: decision.ID, OrgRunning: decision.OrgRunning}, nil
}

// withdraw cancels a request whose caller stopped waiting. If the request was
// started in the meantime, it frees the slot.
func (g *Gate) withdraw(ctx context.Context, id admission.ID) *types.Failure {
	g.handleEvent(func(now time.Time) []admission.Decision {
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
	g.handleEvent(func(now time.Time) []admission.Decision {
		return g.admitter.SetCapacity(slots, now)
	})
}

// Tick refuses waiting requests that can no longer meet their deadline. Call it
// a few times a second.
func (g *Gate) Tick() {
	g.handleEvent(g.admitter.Tick)
}

// WithLock calls the function while no event is handled, for example to read
// the controller's figures.
func (g *Gate) WithLock(read func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	read()
}

// handleEvent passes one event to the admitter and delivers the decisions.
func (g *Gate) handleEvent(event func(now time.Time) []admission.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, decision := range event(g.clock()) {
		if decision.Outcome == admission.Queued {
			continue
		}
		// The send never blocks: the channel has room for one decision, and each
		// request gets only one here.
		if waiter, found := g.waiting[decision.ID]; found {
			delete(g.waiting, decision.ID)
			waiter <- decision
		}
	}
}
