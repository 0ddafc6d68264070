// Package onceguard runs requests that may not be repeated, at most once each,
// as decided by a once.Ledger. It is the only place where the ledger is used
// concurrently: it holds the ledger's lock, lets duplicates wait for the first
// attempt, and lets a run finish when its caller has disconnected.
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
// the outcome. The context ends at the request's deadline, not when the caller
// disconnects. floor is the configuration revision that the ticket carries.
type Run func(ctx context.Context, floor types.Revision) once.Outcome

// Result is the result of Do. Exactly one of Response, Failure and Forward is set.
type Result struct {
	// Response is the complete response; its verdict is types.Ran.
	Response *once.Response
	// Replayed is true when Response comes from an earlier send of the request.
	Replayed bool
	// Failure is the error to return to the caller.
	Failure *types.Failure
	// Forward is the owner that the request must be forwarded to, once.
	Forward types.Incarnation
	// Floor is the configuration revision that the ticket carries.
	Floor types.Revision
}

// Options configures a Guard; Self and Keyring are required.
type Options struct {
	Self    types.Incarnation
	Keyring *ticket.Keyring
	Ledger  once.Options
	// Window is how long a ticket may be used to start a request; zero means
	// ticket.DefaultWindow.
	Window time.Duration
	// Now reads the clock; nil means time.Now.
	Now func() time.Time
	// NewID generates ticket IDs; nil means random IDs from crypto/rand.
	NewID func() ticket.ID
}

// Guard runs requests that may not be repeated for one incarnation of a daemon.
// It is safe for concurrent use.
type Guard struct {
	options Options
	runs    conc.WaitGroup

	mu       sync.Mutex
	ledger   *once.Ledger
	issuer   ticket.Issuer
	attempts map[ticket.ID]*attempt
}

// attempt is a run in progress. outcome is set before done is closed.
type attempt struct {
	done    chan struct{}
	outcome once.Outcome
}

// New returns a Guard with an empty ledger for a new incarnation.
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
	_, _ = rand.Read(id[:]) // never returns an error, see crypto/rand
	return id
}

// SetKeyring replaces the signing keys after a rotation.
func (g *Guard) SetKeyring(keyring *ticket.Keyring) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.SetKeyring(keyring)
	g.issuer.Keyring = keyring
}

// Ticket issues a new ticket that is bound to the owner. The caller should be
// directed to the owner's entry.
func (g *Guard) Ticket(org types.OrgName, owner types.Incarnation, floor types.Revision) (string, error) {
	return g.issue(ticket.Request{ID: g.options.NewID(), Org: org, Owner: owner, Floor: floor})
}

func (g *Guard) issue(req ticket.Request) (string, error) {
	g.mu.Lock()
	issuer := g.issuer
	g.mu.Unlock()
	return issuer.Issue(g.options.Now(), req)
}

// InFlight returns the number of runs in progress.
func (g *Guard) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.attempts)
}

// Counts holds the sizes of a guard's records.
type Counts struct {
	// Running and Finished count the requests in progress and the finished
	// requests that are still remembered.
	Running  int
	Finished int
	// ResponseBytes is the memory that stored responses take, in bytes.
	ResponseBytes int
}

// Counts returns the current sizes of the guard's records.
func (g *Guard) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Counts{
		Running:       len(g.attempts),
		Finished:      max(g.ledger.Len()-len(g.attempts), 0),
		ResponseBytes: g.ledger.ResponseBytes(),
	}
}

// Wait blocks until every run has ended. Do must not be called before
// Wait returns.
func (g *Guard) Wait() {
	g.runs.Wait()
}

// Do runs the request if this daemon owns its ticket and has not run it yet. A
// duplicate waits for the first attempt until ctx ends. When ctx ends before the
// run does, Do returns the failure once.InProgress and the run goes on.
func (g *Guard) Do(ctx context.Context, r *request.Request, view *snapshot.Snapshot, run Run) Result {
	info := once.RequestInfoOf(r)
	decision, current := g.begin(ctx, r, info, view, run)
	replayed := true
	if current != nil {
		replayed = decision.Action == once.ActionWait
		select {
		case <-current.done:
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
	return Result{Failure: g.refusal(decision, info, view), Floor: decision.Floor}
}

// begin asks the ledger for a decision and starts the run if the ledger allows
// it. It returns the attempt whose outcome decides the request; nil when the
// decision is final.
func (g *Guard) begin(
	ctx context.Context, r *request.Request, info once.RequestInfo, view *snapshot.Snapshot, run Run,
) (once.Decision, *attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	decision := g.ledger.Begin(g.options.Now(), info, view)
	switch decision.Action {
	case once.ActionWait:
		return decision, g.attempts[decision.ID]
	case once.ActionRun:
		current := &attempt{done: make(chan struct{})}
		g.attempts[decision.ID] = current
		detached, release := context.WithoutCancel(ctx), holdBody(r)
		g.runs.Go(func() {
			defer release()
			g.execute(detached, r, decision, run, current)
		})
		return decision, current
	}
	return decision, nil
}

// holdBody keeps the memory of a request's body for a run that may outlast the caller.
func holdBody(r *request.Request) (release func()) {
	if r.HoldBody == nil {
		return func() {}
	}
	return r.HoldBody()
}

// execute runs the request and records its outcome in the ledger. A panic is
// recorded as MayHaveRun.
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
	close(current.done)
}

// refusal returns a copy of the decision's failure, with a new ticket if the
// decision asks to reissue one.
func (g *Guard) refusal(decision once.Decision, info once.RequestInfo, view *snapshot.Snapshot) *types.Failure {
	failure := *decision.Failure
	if !decision.Reissue {
		return &failure
	}
	id := g.options.NewID()
	owner, ok := once.OwnerFor(id, info.Service, view)
	if !ok {
		return &failure
	}
	newTicket, err := g.issue(ticket.Request{ID: id, Org: info.Org, Owner: owner, Floor: revisionOf(view.Config)})
	if err != nil {
		failure.Cause = err
		return &failure
	}
	failure.Ticket = newTicket
	failure.Entries = []types.VMID{owner.VM}
	return &failure
}

func revisionOf(config *published.Configuration) types.Revision {
	if config == nil {
		return 0
	}
	return config.Revision
}
