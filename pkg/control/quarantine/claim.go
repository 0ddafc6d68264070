package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// CrashReport lists the contents that were running on an endpoint when it crashed.
type CrashReport struct {
	Endpoint types.EndpointID `json:"endpoint"`
	Contents []Hash           `json:"contents"`
	// AtMillis is the observer's time in milliseconds since 1970.
	AtMillis int64 `json:"at_ms"`
}

// Claim is a request to the owner of a content for permission to run it on an
// endpoint now.
type Claim struct {
	Content  Hash             `json:"content"`
	Endpoint types.EndpointID `json:"endpoint"`
	// DeadlineMillis is when the claim expires, in milliseconds since 1970.
	DeadlineMillis int64 `json:"deadline_ms"`
	// Known holds the claimant's entries about the content, so that an owner
	// that has just started learns them.
	Known []Entry `json:"known,omitempty"`
}

// maxClaimEntries limits the entries in Claim.Known.
const maxClaimEntries = 8

// NewClaim returns a claim that carries this daemon's entries about the content,
// those with the highest retention priority if there are more than
// maxClaimEntries.
func (t *Tracker) NewClaim(content request.Fingerprint, endpoint types.EndpointID, deadline time.Time) Claim {
	t.mu.Lock()
	defer t.mu.Unlock()
	entries := slices.SortedFunc(slices.Values(t.evidence.content[content]), compareEntries)
	return Claim{
		Content: Hash(content), Endpoint: endpoint,
		DeadlineMillis: deadline.UnixMilli(), Known: entries[:min(len(entries), maxClaimEntries)],
	}
}

// Outcome is how an attempt that held a claim ended.
type Outcome string

// The outcomes of an attempt.
const (
	// OutcomeCompleted: the complete response was received.
	OutcomeCompleted Outcome = "completed"
	// OutcomeEnded: the attempt ended in another way, without a crash of its
	// endpoint.
	OutcomeEnded Outcome = "ended"
)

// Release is a request to release a claim. After a crash, a CrashReport is sent
// instead.
type Release struct {
	Content Hash    `json:"content"`
	Outcome Outcome `json:"outcome"`
}

// AnswerKind is the kind of an owner's answer to a claim.
type AnswerKind string

// The answers to a claim.
const (
	// AnswerRun: the content may run on the endpoint named in the claim.
	AnswerRun AnswerKind = "run"
	// AnswerRunAt: the content may run on Answer.Endpoint only, where another
	// copy of it is running.
	AnswerRunAt AnswerKind = "run_at"
	// AnswerRunAlone: the content is a suspect and may run on the endpoint
	// named in the claim if the endpoint's owner grants a reservation; see
	// Reserve.
	AnswerRunAlone AnswerKind = "run_alone"
	// AnswerElsewhere: the endpoint is reserved for another suspect; the
	// claimant has to choose another endpoint.
	AnswerElsewhere AnswerKind = "elsewhere"
	// AnswerWait: the claimant has to claim again after Answer.WaitMillis.
	AnswerWait AnswerKind = "wait"
	// AnswerRefuse: the content is quarantined for Answer.WaitMillis.
	AnswerRefuse AnswerKind = "refuse"
)

// Answer is an owner's answer to a claim.
type Answer struct {
	Kind     AnswerKind       `json:"kind"`
	Endpoint types.EndpointID `json:"endpoint,omitempty"`
	// WaitMillis is the time to wait, in milliseconds; see AnswerWait and
	// AnswerRefuse.
	WaitMillis int64 `json:"wait_ms,omitempty"`
}

// claimRetryInterval is the wait before the next claim while a copy of a suspect
// is running, or while the owner holds too many claims.
const claimRetryInterval = 200 * time.Millisecond

// claim is a granted claim: its content may be running now and is not known to be
// harmless.
type claim struct {
	endpoint  types.EndpointID
	copies    int
	expiresAt time.Time
}

// reservation is the exclusive right of one suspect to run on an endpoint.
type reservation struct {
	content   Hash
	expiresAt time.Time
}

// Acquire answers a claim. It has to be called on the daemon that owns the
// content.
func (t *Tracker) Acquire(req Claim, now time.Time) Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	fingerprint := request.Fingerprint(req.Content)
	t.merge(req.Known[:min(len(req.Known), maxClaimEntries)], now)
	status := t.status(fingerprint, now)
	switch status.State {
	case StateQuarantined:
		return Answer{Kind: AnswerRefuse, WaitMillis: millisUntil(status.Until, now)}
	case StateHeld:
		return Answer{Kind: AnswerWait, WaitMillis: millisUntil(status.Until, now)}
	}
	runningClaim := t.runningClaim(fingerprint, now)
	if status.State == StateSuspect {
		return t.acquireSuspect(req, runningClaim, status, now)
	}
	if t.completed.contains(fingerprint) {
		return Answer{Kind: AnswerRun}
	}
	if runningClaim != nil {
		runningClaim.copies++
		runningClaim.expiresAt = later(runningClaim.expiresAt, time.UnixMilli(req.DeadlineMillis))
		return Answer{Kind: AnswerRunAt, Endpoint: runningClaim.endpoint}
	}
	return t.grant(req, now)
}

// millisUntil returns the milliseconds until a deadline, rounded up so that
// claimants do not claim again too early.
func millisUntil(deadline, now time.Time) int64 {
	return (deadline.Sub(now) + time.Millisecond - 1).Milliseconds()
}

func (t *Tracker) acquireSuspect(req Claim, runningClaim *claim, status Status, now time.Time) Answer {
	if runningClaim != nil {
		return Answer{Kind: AnswerWait, WaitMillis: claimRetryInterval.Milliseconds()}
	}
	answer := t.grant(req, now)
	if answer.Kind == AnswerRun && status.Isolated {
		answer.Kind = AnswerRunAlone
	}
	return answer
}

// grant records a claim. It answers AnswerWait if ClaimCapacity is reached.
func (t *Tracker) grant(req Claim, now time.Time) Answer {
	if len(t.claims) >= t.options.ClaimCapacity {
		t.removeExpiredClaims(now)
	}
	if len(t.claims) >= t.options.ClaimCapacity {
		return Answer{Kind: AnswerWait, WaitMillis: claimRetryInterval.Milliseconds()}
	}
	t.claims[request.Fingerprint(req.Content)] = &claim{
		endpoint: req.Endpoint, copies: 1,
		expiresAt: time.UnixMilli(req.DeadlineMillis),
	}
	return Answer{Kind: AnswerRun}
}

// Reserve answers a claim to run a suspect on an endpoint, which runs at most one
// suspect at a time. It has to be called on the daemon that owns the endpoint; all
// daemons of the endpoint's region have to choose the same one.
func (t *Tracker) Reserve(req Claim, now time.Time) Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.reserved, func(_ types.EndpointID, r reservation) bool { return !now.Before(r.expiresAt) })
	current, reserved := t.reserved[req.Endpoint]
	if reserved && current.content != req.Content {
		return Answer{Kind: AnswerElsewhere}
	}
	t.reserved[req.Endpoint] = reservation{req.Content, time.UnixMilli(req.DeadlineMillis)}
	return Answer{Kind: AnswerRun}
}

// Unreserve ends a reservation, regardless of how the attempt ended.
func (t *Tracker) Unreserve(endpoint types.EndpointID, content Hash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reserved[endpoint].content == content {
		delete(t.reserved, endpoint)
	}
}

// Release releases a claim. A completed content counts as harmless until it is in
// a crash.
func (t *Tracker) Release(release Release, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fingerprint := request.Fingerprint(release.Content)
	if current := t.claims[fingerprint]; current != nil {
		current.copies--
		if current.copies <= 0 || release.Outcome == OutcomeCompleted {
			delete(t.claims, fingerprint)
		}
	}
	if release.Outcome != OutcomeCompleted {
		return
	}
	t.completed.add(fingerprint)
	if len(t.evidence.content[fingerprint]) > 0 {
		t.evidence.add(Entry{Kind: KindCompleted, Fingerprint: release.Content, AtMillis: now.UnixMilli()})
	}
}

// runningClaim returns the unexpired claim of a content, or nil.
func (t *Tracker) runningClaim(fingerprint request.Fingerprint, now time.Time) *claim {
	current := t.claims[fingerprint]
	if current == nil || !now.Before(current.expiresAt) {
		return nil
	}
	return current
}

func (t *Tracker) removeExpiredClaims(now time.Time) {
	for fingerprint, current := range t.claims {
		if !now.Before(current.expiresAt) {
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

// Owners returns up to count daemons that own a caller's contents, ranked by
// rendezvous hashing, best first. Claims go to the first one that can be reached.
// The key is a hash of the caller's credential. If the caller's entries are ranked
// by the same function, its first entry owns its contents and needs no remote
// call to claim them.
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

// mix spreads the bits of a hash over the whole word (the finaliser of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
