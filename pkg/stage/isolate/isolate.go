// Package isolate limits the number of endpoints that a request can crash.
// Before each attempt it asks the owner of the request's content whether the
// content may run on the endpoint now, and it reports to the owner how the
// attempt ended.
//
// The owner is the daemon of the region that ranks first for the caller's key,
// so copies of one request that reach several daemons are decided in one place.
// A caller that uses its first entry causes no message, because that entry is
// the owner. A content that was involved in a crash also needs a claim from its
// owner in the whole fleet, so that it runs in one region at a time.
//
// When no owner can be reached, the daemon decides itself: a partition inside a
// region weakens the bound on crashed endpoints but does not stop the service.
package isolate

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/control/entries"
	"github.com/flamingomount/flamingomount/pkg/control/quarantine"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/sleep"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	// maxOwners is how many owners are tried before the daemon decides itself.
	maxOwners = 2
	// callTimeout bounds one call to another daemon.
	callTimeout = 500 * time.Millisecond
	// retryDelay is the wait before another endpoint is chosen.
	retryDelay = 100 * time.Millisecond
)

// Sender sends questions and reports to other daemons. It is safe for
// concurrent use.
type Sender interface {
	Call(ctx context.Context, to types.VMID, question quarantine.OwnerRequest) (quarantine.Answer, error)
}

// Options configures a Guard. All must be set.
type Options struct {
	Tracker  *quarantine.Tracker
	Snapshot func() *snapshot.Snapshot
	Sender   Sender
	Now      func() time.Time
}

// Guard admits the attempts of one daemon. It is safe for concurrent use.
type Guard struct {
	opts Options
	// pendingReports tracks the reports that are being sent to other daemons.
	pendingReports conc.WaitGroup
}

// New returns a Guard. All fields of opts must be set.
func New(opts Options) *Guard {
	return &Guard{opts: opts}
}

// Permit allows one attempt. The caller must call Finish when the attempt has
// ended.
type Permit struct {
	// Endpoint is where the attempt may run; it may differ from the requested
	// endpoint.
	Endpoint types.EndpointID
	guard    *Guard
	claim    quarantine.Claim
	key      string
	owner    types.VMID
	// fleetOwner is the fleet-wide owner that holds a claim of this attempt; empty
	// if there is none.
	fleetOwner types.VMID
	// reserved is true when the endpoint is reserved for this suspect.
	reserved bool
}

// AttemptOutcome says how an attempt ended.
type AttemptOutcome uint8

// The outcomes of an attempt.
const (
	// Completed: the complete response was received.
	Completed AttemptOutcome = iota
	// Ended: the attempt ended in another way, with no sign of a crash.
	Ended
	// Crashed: the connection was lost, as happens when the endpoint crashes.
	Crashed
)

// Admit waits until the request may run and returns a permit that names the
// endpoint. elsewhere is true when the caller must choose another endpoint.
// Failures have the verdict NotRun.
func (g *Guard) Admit(ctx context.Context, req *request.Request, endpoint *snapshot.Endpoint) (permit *Permit, elsewhere bool, failure *types.Failure) {
	claim := g.opts.Tracker.NewClaim(req.Fingerprint, endpoint.ID, req.Deadline)
	for {
		owner, answer := g.acquire(ctx, req, claim)
		permit := &Permit{Endpoint: endpoint.ID, guard: g, claim: claim, key: ownershipKey(req), owner: owner}
		switch answer.Kind {
		case quarantine.AnswerRun:
			return permit, false, nil
		case quarantine.AnswerRunAt:
			permit.Endpoint = answer.Endpoint
			permit.claim.Endpoint = answer.Endpoint
			return permit, false, nil
		case quarantine.AnswerRunAlone:
			return g.admitAlone(ctx, permit)
		case quarantine.AnswerRefuse:
			return nil, false, quarantinedFailure(answer)
		case quarantine.AnswerElsewhere:
			return nil, true, waitFor(ctx, retryDelay)
		}
		if failure := waitFor(ctx, time.Duration(answer.WaitMillis)*time.Millisecond); failure != nil {
			return nil, false, failure
		}
	}
}

// admitAlone admits a suspect, which may run in one region of the fleet at a
// time and only as the single suspect on its endpoint.
func (g *Guard) admitAlone(ctx context.Context, permit *Permit) (*Permit, bool, *types.Failure) {
	if answer := g.claimInFleet(ctx, permit); answer.Kind != quarantine.AnswerRun {
		permit.Finish(Ended)
		if answer.Kind == quarantine.AnswerRefuse {
			return nil, false, quarantinedFailure(answer)
		}
		wait := max(time.Duration(answer.WaitMillis)*time.Millisecond, retryDelay)
		return nil, true, waitFor(ctx, wait)
	}
	answer := g.askWithFallback(ctx, g.endpointOwner(permit.Endpoint), quarantine.OwnerRequest{Reserve: &permit.claim})
	if answer.Kind == quarantine.AnswerRun {
		permit.reserved = true
		return permit, false, nil
	}
	permit.Finish(Ended)
	return nil, true, waitFor(ctx, retryDelay)
}

// claimInFleet requests a claim from the suspect's owner in the whole fleet and
// returns AnswerRun when the suspect may run. When no such owner can be reached,
// the region decides on its own.
func (g *Guard) claimInFleet(ctx context.Context, permit *Permit) quarantine.Answer {
	question := quarantine.OwnerRequest{Acquire: &permit.claim}
	for _, owner := range g.fleetOwners(permit.key) {
		if owner == permit.owner {
			break
		}
		answer, err := g.askDaemon(ctx, owner, question)
		if err != nil {
			continue
		}
		return permit.recordFleetAnswer(owner, answer)
	}
	return quarantine.Answer{Kind: quarantine.AnswerRun}
}

// recordFleetAnswer stores the owner in the permit if the owner now holds a claim
// of this attempt, and returns the answer that applies to this daemon.
func (p *Permit) recordFleetAnswer(owner types.VMID, answer quarantine.Answer) quarantine.Answer {
	switch answer.Kind {
	case quarantine.AnswerRun, quarantine.AnswerRunAlone:
		p.fleetOwner = owner
		return quarantine.Answer{Kind: quarantine.AnswerRun}
	case quarantine.AnswerRunAt:
		// Another copy is already running. The owner has counted this copy too, so
		// its claim must be released.
		p.fleetOwner = owner
	}
	return answer
}

// askDaemon sends the question to a daemon, which may be this one.
func (g *Guard) askDaemon(ctx context.Context, to types.VMID, question quarantine.OwnerRequest) (quarantine.Answer, error) {
	if to == g.self() {
		return g.opts.Tracker.Handle(question, g.opts.Now()), nil
	}
	return g.send(ctx, to, question)
}

// fleetOwners returns the first maxOwners daemons of all regions for a key, best
// first. Daemons of other regions are known only from the published list, so the
// first one may no longer be running.
func (g *Guard) fleetOwners(key string) []types.VMID {
	view := g.opts.Snapshot()
	usable := []types.VMID{view.Self.Incarnation.VM}
	for i := range view.Members {
		state := view.Members[i].State
		if state == snapshot.MemberAlive || state == snapshot.MemberListed {
			usable = append(usable, view.Members[i].Incarnation.VM)
		}
	}
	return quarantine.Owners(xxhash.Sum64String(key), usable, maxOwners)
}

// crashRecipients returns the daemons that receive a crash report: this daemon,
// the owner that answered the claim, the endpoint's owner, the suspect's owners in
// the fleet, and the caller's owner in every region. The list is sorted and has
// no duplicates.
func (g *Guard) crashRecipients(p *Permit) []types.VMID {
	recipients := append(g.fleetOwners(p.key), g.self(), p.owner, g.endpointOwner(p.Endpoint))
	view := g.opts.Snapshot()
	regions := map[types.Region]bool{}
	for i := range view.Members {
		regions[view.Members[i].Region] = true
	}
	for region := range regions {
		recipients = append(recipients, g.ownersIn(region, p.key, 1)...)
	}
	slices.Sort(recipients)
	return slices.Compact(recipients)
}

func quarantinedFailure(answer quarantine.Answer) *types.Failure {
	failure := types.NewFailure(types.NotRun, types.CodeQuarantined, "the request crashed endpoints and is quarantined")
	failure.RetryAfter = time.Duration(answer.WaitMillis) * time.Millisecond
	return failure
}

func waitFor(ctx context.Context, wait time.Duration) *types.Failure {
	if sleep.For(ctx, wait) {
		return nil
	}
	if ctx.Err() == context.DeadlineExceeded {
		return types.NewFailure(types.NotRun, types.CodeDeadline, "the deadline passed while a request suspected of crashing endpoints was held")
	}
	return types.NewFailure(types.NotRun, types.CodeCallerGone, "the caller stopped waiting")
}

// acquire requests a claim from the owners of the caller's contents, best first,
// and from this daemon when none of them answers. It returns the daemon that
// answered.
func (g *Guard) acquire(ctx context.Context, req *request.Request, claim quarantine.Claim) (types.VMID, quarantine.Answer) {
	question := quarantine.OwnerRequest{Acquire: &claim}
	self := g.self()
	for _, owner := range g.localOwners(ownershipKey(req), maxOwners) {
		if owner == self {
			break
		}
		answer, err := g.send(ctx, owner, question)
		if err == nil {
			return owner, answer
		}
	}
	return self, g.opts.Tracker.Handle(question, g.opts.Now())
}

// ownershipKey returns the key by which the owners of the request's content are
// ranked: the caller's key, or the organisation's name without one.
func ownershipKey(req *request.Request) string {
	if req.CallerKey != "" {
		return req.CallerKey
	}
	return string(req.Org.Name)
}

// localOwners ranks the daemons of the local region for a key, as GET /v1/entries
// does.
func (g *Guard) localOwners(key string, limit int) []types.VMID {
	return g.ownersIn(g.opts.Snapshot().Self.Region, key, limit)
}

func (g *Guard) ownersIn(region types.Region, key string, limit int) []types.VMID {
	view := g.opts.Snapshot()
	ranked := entries.List(view, entries.Query{
		Caller:         key,
		AllowedRegions: []types.Region{region},
		Limit:          limit,
	})
	owners := make([]types.VMID, 0, limit)
	for _, entry := range ranked.Entries {
		owners = append(owners, entry.VM)
	}
	return owners
}

func (g *Guard) endpointOwner(endpoint types.EndpointID) types.VMID {
	localOwners := g.localOwners("endpoint/"+string(endpoint), 1)
	if len(localOwners) == 0 {
		return g.self()
	}
	return localOwners[0]
}

func (g *Guard) self() types.VMID {
	return g.opts.Snapshot().Self.Incarnation.VM
}

// askWithFallback sends the question to a daemon, or to this one when that daemon
// can't be reached.
func (g *Guard) askWithFallback(ctx context.Context, to types.VMID, question quarantine.OwnerRequest) quarantine.Answer {
	if to != g.self() {
		answer, err := g.send(ctx, to, question)
		if err == nil {
			return answer
		}
	}
	return g.opts.Tracker.Handle(question, g.opts.Now())
}

func (g *Guard) send(ctx context.Context, to types.VMID, question quarantine.OwnerRequest) (quarantine.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return g.opts.Sender.Call(ctx, to, question)
}

// Finish reports how the attempt ended. It does not wait for other daemons.
func (p *Permit) Finish(ending AttemptOutcome) {
	g := p.guard
	now := g.opts.Now()
	if ending == Crashed {
		report := quarantine.CrashReport{
			Endpoint: p.Endpoint, Contents: []quarantine.Hash{p.claim.Content}, AtMillis: now.UnixMilli(),
		}
		g.notify(quarantine.OwnerRequest{Crash: &report}, g.crashRecipients(p)...)
		return
	}
	outcome := quarantine.OutcomeEnded
	if ending == Completed {
		outcome = quarantine.OutcomeCompleted
	}
	release := quarantine.Release{Content: p.claim.Content, Outcome: outcome}
	g.notify(quarantine.OwnerRequest{Release: &release}, p.owner)
	if p.fleetOwner != "" {
		g.notify(quarantine.OwnerRequest{Release: &release}, p.fleetOwner)
	}
	if p.reserved {
		g.notify(quarantine.OwnerRequest{Unreserve: &p.claim}, g.endpointOwner(p.Endpoint))
	}
}

// notify sends a report to each daemon once. If a report is lost, the claim's
// deadline and the gossip between daemons make up for it.
func (g *Guard) notify(question quarantine.OwnerRequest, to ...types.VMID) {
	self := g.self()
	for i, daemon := range to {
		if daemon == self {
			g.opts.Tracker.Handle(question, g.opts.Now())
			continue
		}
		if i > 0 && daemon == to[i-1] {
			continue
		}
		g.pendingReports.Go(func() { _, _ = g.send(context.Background(), daemon, question) })
	}
}

// Wait blocks until every pending report has been sent or has failed.
func (g *Guard) Wait() {
	g.pendingReports.Wait()
}
