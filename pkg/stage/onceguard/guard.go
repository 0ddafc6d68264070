// Package onceguard runs requests that may not be repeated under a once.Ledger.
// It is the only place where the ledger meets goroutines: it holds the lock,
// lets duplicates wait for the first attempt and keeps a run going when its
// caller has gone.
package onceguard

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"

	"github.com/flamingomount/flamingomount/pkg/control/once"
	"github.com/flamingomount/flamingomount/pkg/control/ticket"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Run runs a request, with as many attempts as its verdicts allow, and returns
// how it ended. The context ends at the request's deadline and not when the
// caller leaves. Floor is the revision that the ticket carries.
type Run func(ctx context.Context, floor types.Revision) once.Outcome

// Result is what the caller of Do passes on. Exactly one of Answer, Failure and
// Forward is set.
type Result struct {
	// Response is the whole answer; its verdict is types.Ran.
	Response *once.Response
	// Replayed is true when the answer was remembered from an earlier send.
	Replayed bool
	// Failure ends the request.
	Failure *types.Failure
	// Forward is the owner that the request must be sent to, once.
	Forward types.Incarnation
	// Floor is the configuration revision that the ticket carries.
	Floor types.Revision
}

// Options tunes a Guard; Self and Keyring are required.
type Options struct {
	Self    types.Incarnation
	Keyring *ticket.Keyring
	Ledger  once.Options
	// Window is how long a ticket may be used to start a request; zero means
	// ticket.DefaultWindow.
	Window time.Duration
	// Now reads the clock; nil means time.Now.
	Now func() time.Time
	// NewID draws ticket IDs; nil means crypto/rand.
	NewID func() ticket.ID
}

// Guard is safe for concurrent use.
type Guard struct {
	options Options
	runs    conc.WaitGroup

	mu       sync.Mutex
	ledger   *once.Ledger
	issuer   ticket.Issuer
	attempts map[ticket.ID]*attempt
}

// attempt is a run in progress. The outcome is set before end is closed.
type attempt struct {
	end     chan struct{}
	outcome once.Outcome
}

// New returns the guard of a new incarnation.
func New(options Options) *Guard {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.NewID == nil {
		options.NewID = randomID
	}
	return &Guard{
		options:  options,
		ledger:   once.NewLedger(options.Self, options.Keyring, options.Ledger),
		issuer:   ticket.Issuer{Keyring: options.Keyring, Self: options.Self, Window: options.Window},
		attempts: make(map[ticket.ID]*attempt),
	}
}

func randomID() ticket.ID {
	var id ticket.ID
	_, _ = rand.Read(id[:]) // never fails: see crypto/rand
	return id
}

// SetKeyring replaces the signing keys after a rotation.
func (g *Guard) SetKeyring(keyring *ticket.Keyring) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.SetKeyring(keyring)
	g.issuer.Keyring = keyring
}

// Ticket returns a fresh ticket that binds to the owner. The entry that a
// caller is sent to should be the owner.
func (g *Guard) Ticket(org types.OrgName, owner types.Incarnation, floor types.Revision) (string, error) {
	return g.issue(ticket.Request{ID: g.options.NewID(), Org: org, Owner: owner, Floor: floor})
}

func (g *Guard) issue(req ticket.Request) (string, error) {
	g.mu.Lock()
	issuer := g.issuer
	g.mu.Unlock()
	return issuer.Issue(g.options.Now(), req)
}

// InFlight returns the number of runs that have not ended.
func (g *Guard) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.attempts)
}

// Counts is what a guard remembers.
type Counts struct {
	// Running and Finished count requests.
	Running  int
	Finished int
	// ResponseBytes is the memory of remembered answers, in bytes.
	ResponseBytes int
}

// Counts returns what the guard remembers now.
func (g *Guard) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Counts{
		Running:       len(g.attempts),
		Finished:      max(g.ledger.Len()-len(g.attempts), 0),
		ResponseBytes: g.ledger.ResponseBytes(),
	}
}

// Wait returns when every run has ended. Do must not be called meanwhile.
func (g *Guard) Wait() {
	g.runs.Wait()
}

// Do runs the request if this daemon owns its ticket and has not run it yet.
// A duplicate waits for the first attempt until ctx ends.
func (g *Guard) Do(ctx context.Context, r *request.Request, view *snapshot.Snapshot, run Run) Result {
	order := once.RequestInfoOf(r)
	decision, current := g.begin(ctx, r, order, view, run)
	replayed := true
	if current != nil {
		replayed = decision.Action == once.ActionWait
		select {
		case <-current.end:
			decision = current.outcome.Decision(decision.ID, decision.Floor)
		case <-ctx.Done():
			return Result{Failure: once.InProgress(), Floor: decision.Floor}
		}
	}
	switch decision.Action {
	case once.ActionReplay:
		return Result{Response: decision.Response, Replayed: replayed, Floor: decision.Floor}
	case once.ActionForward:
		return Result{Forward: decision.Owner, Floor: decision.Floor}
	}
	return Result{Failure: g.refusal(decision, order, view), Floor: decision.Floor}
}

// begin asks the ledger and starts the run that it allows. It returns the
// attempt that decides the request; nil when the decision stands by itself.
func (g *Guard) begin(
	ctx context.Context, r *request.Request, order once.RequestInfo, view *snapshot.Snapshot, run Run,
) (once.Decision, *attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	decision := g.ledger.Begin(g.options.Now(), order, view)
	switch decision.Action {
	case once.ActionWait:
		return decision, g.attempts[decision.ID]
	case once.ActionRun:
		current := &attempt{end: make(chan struct{})}
		g.attempts[decision.ID] = current
		detached := context.WithoutCancel(ctx)
		g.runs.Go(func() { g.execute(detached, r, decision, run, current) })
		return decision, current
	}
	return decision, nil
}

// execute runs the request and records its end, also after a panic.
func (g *Guard) execute(ctx context.Context, r *request.Request, decision once.Decision, run Run, current *attempt) {
	if !r.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.Deadline.Sub(g.options.Now()))
		defer cancel()
	}
	if recovered := panics.Try(func() { current.outcome = run(ctx, decision.Floor) }); recovered != nil {
		current.outcome = once.Outcome{Verdict: types.MayHaveRun, Failure: types.AsFailure(recovered.AsError())}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Finish(g.options.Now(), decision.ID, current.outcome)
	delete(g.attempts, decision.ID)
	close(current.end)
}

// refusal returns a copy of the decision's failure, with a fresh ticket where
// one is due.
func (g *Guard) refusal(decision once.Decision, order once.RequestInfo, view *snapshot.Snapshot) *types.Failure {
	failure := *decision.Failure
	if !decision.Reissue {
		return &failure
	}
	id := g.options.NewID()
	owner, ok := once.OwnerFor(id, order.Service, view)
	if !ok {
		return &failure
	}
	text, err := g.issue(ticket.Request{ID: id, Org: order.Org, Owner: owner, Floor: revisionOf(view.Config)})
	if err != nil {
		failure.Cause = err
		return &failure
	}
	failure.Ticket = text
	failure.Entries = []types.VMID{owner.VM}
	return &failure
}

func revisionOf(config *published.Configuration) types.Revision {
	if config == nil {
		return 0
	}
	return config.Revision
}
