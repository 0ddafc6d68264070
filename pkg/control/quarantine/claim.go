package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// CrashReport says which contents were lost in an endpoint's crash.
type CrashReport struct {
	Endpoint types.EndpointID `json:"endpoint"`
	Contents []Hash           `json:"contents"`
	// AtMillis is the observer's time in milliseconds since 1970.
	AtMillis int64 `json:"at_ms"`
}

// Claim asks the owner of a content whether it may run on an endpoint now.
type Claim struct {
	Content  Hash             `json:"content"`
	Endpoint types.EndpointID `json:"endpoint"`
	// DeadlineMillis ends the claim, in milliseconds since 1970.
	DeadlineMillis int64 `json:"deadline_ms"`
	// Known is what the claimant knows of the content, so that an owner that
	// has just started learns it.
	Known []Entry `json:"known,omitempty"`
}

// maxKnown bounds the entries that go with a claim.
const maxKnown = 8

// NewClaim returns a claim with what this daemon knows of the content.
func (t *Tracker) NewClaim(content request.Fingerprint, endpoint types.EndpointID, deadline time.Time) Claim {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := slices.SortedFunc(slices.Values(t.evidence.content[content]), compareEntries)
	return Claim{
		Content: Hash(content), Endpoint: endpoint,
		DeadlineMillis: deadline.UnixMilli(), Known: known[:min(len(known), maxKnown)],
	}
}

// Outcome tells how an attempt that had a claim ended.
type Outcome string

// The outcomes of an attempt.
const (
	// OutcomeCompleted: the whole answer was received.
	OutcomeCompleted Outcome = "completed"
	// OutcomeEnded: it ended otherwise, without a crash of its endpoint.
	OutcomeEnded Outcome = "ended"
)

// Release gives a claim back. A crash is told by a CrashReport instead.
type Release struct {
	Content Hash    `json:"content"`
	Outcome Outcome `json:"outcome"`
}

// AnswerKind is the owner's answer to a claim.
type AnswerKind string

// The answers to a claim.
const (
	// AnswerRun: the content may run on the endpoint that was named.
	AnswerRun AnswerKind = "run"
	// AnswerRunAt: it may run on Answer.Endpoint only, where a copy runs.
	AnswerRunAt AnswerKind = "run_at"
	// AnswerRunAlone: it is a suspect and may run on the endpoint that was
	// named if the endpoint's owner reserves it, see Reserve.
	AnswerRunAlone AnswerKind = "run_alone"
	// AnswerElsewhere: the endpoint has another suspect; name another.
	AnswerElsewhere AnswerKind = "elsewhere"
	// AnswerWait: ask again after Answer.Wait.
	AnswerWait AnswerKind = "wait"
	// AnswerRefuse: it is quarantined for Answer.Wait.
	AnswerRefuse AnswerKind = "refuse"
)

// Answer is what an owner says to a claim.
type Answer struct {
	Kind     AnswerKind       `json:"kind"`
	Endpoint types.EndpointID `json:"endpoint,omitempty"`
	// Wait is the time in milliseconds after which to ask again.
	WaitMillis int64 `json:"wait_ms,omitempty"`
}

// claimPoll is how soon to ask again while a copy is running.
const claimPoll = 200 * time.Millisecond

// claim is a content that runs now and is not known to be harmless.
type claim struct {
	endpoint types.EndpointID
	copies   int
	until    time.Time
}

// reservation is an endpoint that runs a suspect.
type reservation struct {
	content Hash
	until   time.Time
}

// Acquire answers a claim. Only the content's owner is asked.
func (t *Tracker) Acquire(asked Claim, now time.Time) Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	fingerprint := request.Fingerprint(asked.Content)
	t.merge(asked.Known[:min(len(asked.Known), maxKnown)], now)
	standing := t.standing(fingerprint, now)
	switch standing.State {
	case StateQuarantined:
		return Answer{Kind: AnswerRefuse, WaitMillis: waitUntil(standing.Until, now)}
	case StateHeld:
		return Answer{Kind: AnswerWait, WaitMillis: waitUntil(standing.Until, now)}
	}
	running := t.running(fingerprint, now)
	if standing.State == StateSuspect {
		return t.acquireSuspect(asked, running, standing, now)
	}
	if t.proven.contains(fingerprint) {
		return Answer{Kind: AnswerRun}
	}
	if running != nil {
		running.copies++
		running.until = later(running.until, time.UnixMilli(asked.DeadlineMillis))
		return Answer{Kind: AnswerRunAt, Endpoint: running.endpoint}
	}
	return t.grant(asked, now)
}

// waitUntil returns the milliseconds until a time, rounded up, so that nobody
// asks again too early.
func waitUntil(end, now time.Time) int64 {
	return (end.Sub(now) + time.Millisecond - 1).Milliseconds()
}

func (t *Tracker) acquireSuspect(asked Claim, running *claim, standing Status, now time.Time) Answer {
	if running != nil {
		return Answer{Kind: AnswerWait, WaitMillis: claimPoll.Milliseconds()}
	}
	answer := t.grant(asked, now)
	if answer.Kind == AnswerRun && standing.Isolated {
		answer.Kind = AnswerRunAlone
	}
	return answer
}

// grant records a claim. When there are too many the caller waits.
func (t *Tracker) grant(asked Claim, now time.Time) Answer {
	if len(t.claims) >= t.options.ClaimCapacity {
		t.dropExpired(now)
	}
	if len(t.claims) >= t.options.ClaimCapacity {
		return Answer{Kind: AnswerWait, WaitMillis: claimPoll.Milliseconds()}
	}
	t.claims[request.Fingerprint(asked.Content)] = &claim{
		endpoint: asked.Endpoint, copies: 1,
		until: time.UnixMilli(asked.DeadlineMillis),
	}
	return Answer{Kind: AnswerRun}
}

// Reserve answers a claim to run a suspect on an endpoint, which runs one
// suspect at a time. Only the endpoint's owner is asked, that is the first of
// Owners(EndpointKey(endpoint)) in the endpoint's region.
func (t *Tracker) Reserve(asked Claim, now time.Time) Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	held, reserved := t.reserved[asked.Endpoint]
	if reserved && held.content != asked.Content && now.Before(held.until) {
		return Answer{Kind: AnswerElsewhere}
	}
	t.reserved[asked.Endpoint] = reservation{asked.Content, time.UnixMilli(asked.DeadlineMillis)}
	return Answer{Kind: AnswerRun}
}

// Unreserve ends a reservation, however the attempt ended.
func (t *Tracker) Unreserve(endpoint types.EndpointID, content Hash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reserved[endpoint].content == content {
		delete(t.reserved, endpoint)
	}
}

// EndpointKey is the key under which Owners ranks the owners of an endpoint.
func EndpointKey(endpoint types.EndpointID) uint64 {
	return xxhash.Sum64String(string(endpoint))
}

// Release takes a claim back.
func (t *Tracker) Release(release Release, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fingerprint := request.Fingerprint(release.Content)
	if held := t.claims[fingerprint]; held != nil {
		held.copies--
		if held.copies <= 0 || release.Outcome == OutcomeCompleted {
			delete(t.claims, fingerprint)
		}
	}
	if release.Outcome != OutcomeCompleted {
		return
	}
	t.proven.add(fingerprint)
	if len(t.evidence.content[fingerprint]) > 0 {
		t.evidence.add(Entry{Kind: KindCompleted, Fingerprint: release.Content, AtMillis: now.UnixMilli()})
	}
}

// running returns the claim of a content that has not run out, or nil.
func (t *Tracker) running(fingerprint request.Fingerprint, now time.Time) *claim {
	held := t.claims[fingerprint]
	if held == nil || !now.Before(held.until) {
		return nil
	}
	return held
}

func (t *Tracker) dropExpired(now time.Time) {
	for fingerprint, held := range t.claims {
		if !now.Before(held.until) {
			delete(t.claims, fingerprint)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Owners returns the daemons that own a caller's contents, best first, by
// rendezvous hashing. The first one that can be reached is asked. The key is a
// hash of the caller's credential; when a caller's entries are ranked by the
// same function, its first entry owns its contents and asks nobody.
func Owners(key uint64, members []types.VMID, count int) []types.VMID {
	type weighted struct {
		member types.VMID
		weight uint64
	}
	ranked := make([]weighted, len(members))
	for i, member := range members {
		ranked[i] = weighted{member: member, weight: mix(key ^ xxhash.Sum64String(string(member)))}
	}
	slices.SortFunc(ranked, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.member, b.member))
	})
	owners := make([]types.VMID, 0, count)
	for _, candidate := range ranked[:min(count, len(ranked))] {
		owners = append(owners, candidate.member)
	}
	return owners
}

// mix spreads the bits of a hash (the finaliser of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
