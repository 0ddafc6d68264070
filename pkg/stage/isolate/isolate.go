// Package isolate keeps a request that crashes endpoints from crashing many. It
// asks, before each attempt, whether the content may run on the endpoint now,
// and tells how the attempt ended. The daemon that the caller's key ranks first
// in the region answers for the caller's contents, so that copies of one request
// at several daemons meet; a caller that uses its first entry costs no message. A
// content that was in a crash asks its owner in the whole fleet too, so that it
// runs in one region at a time.
//
// When no owner can be reached the daemon answers itself: a partition inside a
// region weakens the bound on lost endpoints, never the service.
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
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	// maxOwners is how many owners are tried before the daemon answers itself.
	maxOwners = 2
	// askTimeout bounds one question.
	askTimeout = 500 * time.Millisecond
	// againAfter is the wait before another endpoint is sought.
	againAfter = 100 * time.Millisecond
)

// Sender asks another daemon. Safe for concurrent use.
type Sender interface {
	Call(ctx context.Context, to types.VMID, question quarantine.Question) (quarantine.Answer, error)
}

// Options configures a Guard. All must be set.
type Options struct {
	Tracker  *quarantine.Tracker
	Snapshot func() *snapshot.Snapshot
	Sender   Sender
	Now      func() time.Time
}

// Guard decides for one daemon. It is safe for concurrent use.
type Guard struct {
	opts Options
	// telling holds reports on their way to other daemons.
	telling conc.WaitGroup
}

// New returns a guard.
func New(opts Options) *Guard {
	return &Guard{opts: opts}
}

// Permit allows one attempt. Leave must be called when the attempt has ended.
type Permit struct {
	// Endpoint is where the attempt may run; it may differ from the endpoint
	// that was asked for.
	Endpoint types.EndpointID
	guard    *Guard
	claim    quarantine.Claim
	key      string
	owner    types.VMID
	// fleet is the suspect's owner in the whole fleet while it holds a claim.
	fleet types.VMID
	alone bool
}

// AttemptOutcome is how an attempt ended.
type AttemptOutcome uint8

// The endings of an attempt.
const (
	// Completed: the whole answer was received.
	Completed AttemptOutcome = iota
	// Ended: it ended otherwise, without a sign of a crash.
	Ended
	// Crashed: the connection broke, as it does when the endpoint crashes.
	Crashed
)

// Admit waits until the request may run and returns where. Elsewhere is true
// when another endpoint has to be chosen. Failures have the verdict NotRun.
func (g *Guard) Admit(ctx context.Context, req *request.Request, endpoint *snapshot.Endpoint) (permit *Permit, elsewhere bool, failure *types.Failure) {
	claim := g.opts.Tracker.NewClaim(req.Fingerprint, endpoint.ID, req.Deadline)
	for {
		owner, answer := g.acquire(ctx, req, claim)
		permit := &Permit{Endpoint: endpoint.ID, guard: g, claim: claim, key: keyOf(req), owner: owner}
		switch answer.Kind {
		case quarantine.AnswerRun:
			return permit, false, nil
		case quarantine.AnswerRunAt:
			permit.Endpoint = answer.Endpoint
			permit.claim.Endpoint = answer.Endpoint
			return permit, false, nil
		case quarantine.AnswerRunAlone:
			return g.enterAlone(ctx, permit)
		case quarantine.AnswerRefuse:
			return nil, false, refused(answer)
		case quarantine.AnswerElsewhere:
			return nil, true, waitFor(ctx, againAfter)
		}
		if failure := waitFor(ctx, time.Duration(answer.WaitMillis)*time.Millisecond); failure != nil {
			return nil, false, failure
		}
	}
}

// enterAlone lets a suspect run in one region of the fleet at a time and as the
// only suspect on its endpoint.
func (g *Guard) enterAlone(ctx context.Context, permit *Permit) (*Permit, bool, *types.Failure) {
	if answer := g.claimInFleet(ctx, permit); answer.Kind != quarantine.AnswerRun {
		permit.Finish(Ended)
		if answer.Kind == quarantine.AnswerRefuse {
			return nil, false, refused(answer)
		}
		wait := max(time.Duration(answer.WaitMillis)*time.Millisecond, againAfter)
		return nil, true, waitFor(ctx, wait)
	}
	answer := g.ask(ctx, g.endpointOwner(permit.Endpoint), quarantine.Question{Reserve: &permit.claim})
	if answer.Kind == quarantine.AnswerRun {
		permit.alone = true
		return permit, false, nil
	}
	permit.Finish(Ended)
	return nil, true, waitFor(ctx, againAfter)
}

// claimInFleet asks the suspect's owner in the whole fleet; the answer is
// AnswerRun when it may run. While no such owner can be reached the region
// decides alone.
func (g *Guard) claimInFleet(ctx context.Context, permit *Permit) quarantine.Answer {
	question := quarantine.Question{Acquire: &permit.claim}
	for _, owner := range g.fleetOwners(permit.key) {
		if owner == permit.owner {
			break
		}
		answer, err := g.askOne(ctx, owner, question)
		if err != nil {
			continue
		}
		return permit.inFleet(owner, answer)
	}
	return quarantine.Answer{Kind: quarantine.AnswerRun}
}

// inFleet notes what the fleet's owner answered.
func (p *Permit) inFleet(owner types.VMID, answer quarantine.Answer) quarantine.Answer {
	switch answer.Kind {
	case quarantine.AnswerRun, quarantine.AnswerRunAlone:
		p.fleet = owner
		return quarantine.Answer{Kind: quarantine.AnswerRun}
	case quarantine.AnswerRunAt:
		// A first copy runs elsewhere; this one was counted and is given back.
		p.fleet = owner
	}
	return answer
}

// askOne asks a daemon, which may be this one.
func (g *Guard) askOne(ctx context.Context, to types.VMID, question quarantine.Question) (quarantine.Answer, error) {
	if to == g.self() {
		return g.opts.Tracker.Ask(question, g.opts.Now()), nil
	}
	return g.send(ctx, to, question)
}

// fleetOwners ranks the daemons of all regions for a key. Those of other regions
// are known from the published list only, so the first may be gone.
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

// told lists who hears of a crash: this daemon, the owner that was asked, the
// owners of the endpoint and of the suspect in the fleet, and the caller's owner
// in every region.
func (g *Guard) told(p *Permit) []types.VMID {
	list := append(g.fleetOwners(p.key), g.self(), p.owner, g.endpointOwner(p.Endpoint))
	view := g.opts.Snapshot()
	regions := map[types.Region]bool{}
	for i := range view.Members {
		regions[view.Members[i].Region] = true
	}
	for region := range regions {
		list = append(list, g.ownersIn(region, p.key, 1)...)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

func refused(answer quarantine.Answer) *types.Failure {
	failure := types.NewFailure(types.NotRun, types.CodeQuarantined, "the request crashed endpoints and is quarantined")
	failure.RetryAfter = time.Duration(answer.WaitMillis) * time.Millisecond
	return failure
}

func waitFor(ctx context.Context, wait time.Duration) *types.Failure {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
	}
	if ctx.Err() == context.DeadlineExceeded {
		return types.NewFailure(types.NotRun, types.CodeDeadline, "the deadline passed while a request suspected of crashing endpoints was held")
	}
	return types.NewFailure(types.NotRun, types.CodeCallerGone, "the caller stopped waiting")
}

// acquire asks the owners of the caller's contents, best first, and this daemon
// itself when none answers.
func (g *Guard) acquire(ctx context.Context, req *request.Request, claim quarantine.Claim) (types.VMID, quarantine.Answer) {
	question := quarantine.Question{Acquire: &claim}
	self := g.self()
	for _, owner := range g.owners(keyOf(req), maxOwners) {
		if owner == self {
			break
		}
		answer, err := g.send(ctx, owner, question)
		if err == nil {
			return owner, answer
		}
	}
	return self, g.opts.Tracker.Ask(question, g.opts.Now())
}

// keyOf returns the key that ranks the owners of the request's content.
func keyOf(req *request.Request) string {
	if req.CallerKey != "" {
		return req.CallerKey
	}
	return string(req.Org.Name)
}

// owners ranks the daemons of this region for a key as GET /v1/entries does.
func (g *Guard) owners(key string, limit int) []types.VMID {
	return g.ownersIn(g.opts.Snapshot().Self.Region, key, limit)
}

func (g *Guard) ownersIn(region types.Region, key string, limit int) []types.VMID {
	view := g.opts.Snapshot()
	ranked := entries.List(view, entries.Query{
		Caller:  key,
		Allowed: []types.Region{region},
		Limit:   limit,
	})
	owners := make([]types.VMID, 0, limit)
	for _, entry := range ranked.Entries {
		owners = append(owners, entry.VM)
	}
	return owners
}

func (g *Guard) endpointOwner(endpoint types.EndpointID) types.VMID {
	owners := g.owners("endpoint/"+string(endpoint), 1)
	if len(owners) == 0 {
		return g.self()
	}
	return owners[0]
}

func (g *Guard) self() types.VMID {
	return g.opts.Snapshot().Self.Incarnation.VM
}

// ask asks a daemon, or this one when that one can't be reached.
func (g *Guard) ask(ctx context.Context, to types.VMID, question quarantine.Question) quarantine.Answer {
	if to != g.self() {
		answer, err := g.send(ctx, to, question)
		if err == nil {
			return answer
		}
	}
	return g.opts.Tracker.Ask(question, g.opts.Now())
}

func (g *Guard) send(ctx context.Context, to types.VMID, question quarantine.Question) (quarantine.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return g.opts.Sender.Call(ctx, to, question)
}

// Finish tells how the attempt ended. It does not wait for other daemons.
func (p *Permit) Finish(ending AttemptOutcome) {
	g := p.guard
	now := g.opts.Now()
	if ending == Crashed {
		report := quarantine.CrashReport{
			Endpoint: p.Endpoint, Contents: []quarantine.Hash{p.claim.Content}, AtMillis: now.UnixMilli(),
		}
		g.tell(quarantine.Question{Crash: &report}, g.told(p)...)
		return
	}
	outcome := quarantine.OutcomeEnded
	if ending == Completed {
		outcome = quarantine.OutcomeCompleted
	}
	release := quarantine.Release{Content: p.claim.Content, Outcome: outcome}
	g.tell(quarantine.Question{Release: &release}, p.owner)
	if p.fleet != "" {
		g.tell(quarantine.Question{Release: &release}, p.fleet)
	}
	if p.alone {
		g.tell(quarantine.Question{Unreserve: &p.claim}, g.endpointOwner(p.Endpoint))
	}
}

// tell passes a report to daemons, each once; a lost one is made up for by the
// claim's deadline and by what peers tell each other.
func (g *Guard) tell(question quarantine.Question, to ...types.VMID) {
	self := g.self()
	for i, daemon := range to {
		if daemon == self {
			g.opts.Tracker.Ask(question, g.opts.Now())
			continue
		}
		if i > 0 && daemon == to[i-1] {
			continue
		}
		g.telling.Go(func() { _, _ = g.send(context.Background(), daemon, question) })
	}
}

// Wait waits until every report that is on its way has been sent.
func (g *Guard) Wait() {
	g.telling.Wait()
}
