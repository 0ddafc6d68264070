// Package quarantine keeps one fatal request from crashing endpoint after
// endpoint. It counts in how many crashes a content was running, tells innocent
// neighbours from the cause, and decides whether a content may run, where and
// when.
//
// A content that was on a crashed endpoint is held until the daemons have told
// each other, then run again as the only suspect on its endpoint. It is
// quarantined when it is the only content that was in QuarantineAfter crashes,
// or was in one more than that, whoever else was. A crash that it shared with a
// quarantined content is otherwise not held against it.
//
// Copies of one content at several daemons of a region ask one owner, see Owners,
// which lets them run on a single endpoint at a time until the content has run to
// its end. A suspect asks its owner in the whole fleet as well, so that it runs in
// one region at a time. A crash is told to the caller's owner in every region, to
// the fleet's owner and to the endpoint's; a daemon that starts takes over what
// another one knows before it answers. With that, one content costs at most one
// endpoint in each region that runs it before the first crash is heard of there,
// and at least After in all; with three regions that is three.
package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	// sameCrash is the time within which reports of an endpoint's crash tell
	// of the same one; a crashed engine takes longer to come back.
	sameCrash = 5 * time.Second
	// togetherWindow and widespreadCrashes tell a common cause from single
	// crashes.
	togetherWindow    = 2 * time.Second
	widespreadCrashes = 3
)

// Options configures a Tracker. A zero field takes its default.
type Options struct {
	// CrashThreshold is published.Policy.QuarantineAfter; default 2 crashes.
	CrashThreshold int
	// QuarantineTime is published.Policy.QuarantineFor; default 1 hour.
	QuarantineTime time.Duration
	// HoldTime is how long a content is held after a crash; it has to exceed
	// the time in which a crash report reaches the owner; default 500 ms.
	HoldTime time.Duration
	// Capacity bounds the entries kept; default 4096.
	Capacity int
	// ClaimCapacity bounds the contents with a claim; default 16384.
	ClaimCapacity int
}

func (o Options) withDefaults() Options {
	if o.CrashThreshold == 0 {
		o.CrashThreshold = 2
	}
	if o.QuarantineTime == 0 {
		o.QuarantineTime = time.Hour
	}
	if o.HoldTime == 0 {
		o.HoldTime = 500 * time.Millisecond
	}
	if o.Capacity == 0 {
		o.Capacity = 4096
	}
	if o.ClaimCapacity == 0 {
		o.ClaimCapacity = 16384
	}
	return o
}

// State is what a daemon holds of a content.
type State uint8

// The states of a content, in growing order of suspicion.
const (
	// StateClear: nothing speaks against the content.
	StateClear State = iota
	// StateSuspect: it was in a crash and may run on one endpoint at a time.
	StateSuspect
	// StateHeld: it was in a crash a moment ago and waits for reports.
	StateHeld
	// StateQuarantined: it does not run.
	StateQuarantined
)

// Status is the state of a content at a moment.
type Status struct {
	State State
	// Until ends a hold or a quarantine.
	Until time.Time
	// Crashes counts the crashes held against the content.
	Crashes int
	// Isolated is true when a suspect shares no endpoint with other suspects.
	Isolated bool
}

// Tracker holds one daemon's evidence and, for the contents that it owns, the
// claims. It is safe for concurrent use.
type Tracker struct {
	options Options

	mu       sync.Mutex
	evidence *evidence
	claims   map[request.Fingerprint]*claim
	reserved map[types.EndpointID]reservation
	proven   *provenSet
}

// New returns a tracker without evidence.
func New(options Options) *Tracker {
	options = options.withDefaults()
	return &Tracker{
		options:  options,
		evidence: newEvidence(options.Capacity),
		claims:   make(map[request.Fingerprint]*claim),
		reserved: make(map[types.EndpointID]reservation),
		proven:   newProvenSet(),
	}
}

// Status returns the state of a content.
func (t *Tracker) Status(fingerprint request.Fingerprint, now time.Time) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.standing(fingerprint, now)
}

func (t *Tracker) standing(fingerprint request.Fingerprint, now time.Time) Status {
	if at, ok := t.evidence.quarantinedAt(fingerprint); ok && now.Before(at.Add(t.options.QuarantineTime)) {
		return Status{State: StateQuarantined, Until: at.Add(t.options.QuarantineTime)}
	}
	all := t.recent(fingerprint, now)
	crashes := t.unexcused(all)
	if len(all) > t.options.CrashThreshold {
		crashes = all
	}
	if len(crashes) == 0 {
		return Status{}
	}
	last := crashes[len(crashes)-1]
	settled := last.at().Add(t.options.HoldTime)
	if now.Before(settled) {
		return Status{State: StateHeld, Until: settled, Crashes: len(crashes)}
	}
	if t.convicts(crashes, now) {
		t.evidence.add(Entry{Kind: KindQuarantined, Fingerprint: Hash(fingerprint), AtMillis: now.UnixMilli()})
		return Status{State: StateQuarantined, Until: now.Add(t.options.QuarantineTime), Crashes: len(crashes)}
	}
	isolated := len(crashes) > 1 || !t.evidence.widespread(last)
	return Status{State: StateSuspect, Crashes: len(crashes), Isolated: isolated}
}

// recent returns the crashes of a content that have not expired.
func (t *Tracker) recent(fingerprint request.Fingerprint, now time.Time) []Entry {
	return slices.DeleteFunc(t.evidence.crashes(fingerprint), func(crash Entry) bool {
		return now.Sub(crash.at()) >= t.options.QuarantineTime
	})
}

// unexcused returns the crashes that were not shared with a quarantined content.
func (t *Tracker) unexcused(crashes []Entry) []Entry {
	var found []Entry
	for _, crash := range crashes {
		if !t.excused(crash) {
			found = append(found, crash)
		}
	}
	return found
}

func (t *Tracker) excused(crash Entry) bool {
	for _, other := range t.evidence.sharing(crash) {
		if _, quarantined := t.evidence.quarantinedAt(other); quarantined {
			return true
		}
	}
	return false
}

// convicts reports whether the crashes suffice to quarantine their content:
// After of them if no other content was in as many, one more otherwise.
func (t *Tracker) convicts(crashes []Entry, now time.Time) bool {
	if len(crashes) > t.options.CrashThreshold {
		return true
	}
	if len(crashes) < t.options.CrashThreshold {
		return false
	}
	for _, crash := range crashes {
		if !t.hasRival(crash, now) {
			return true
		}
	}
	return false
}

// hasRival reports whether another content that shared the crash was in enough
// crashes itself.
func (t *Tracker) hasRival(crash Entry, now time.Time) bool {
	for _, other := range t.evidence.sharing(crash) {
		if len(t.unexcused(t.recent(other, now))) >= t.options.CrashThreshold {
			return true
		}
	}
	return false
}

// RecordCrash records that attempts with these contents broke off when an endpoint
// crashed. The daemon reports it to the owners of the contents and of the
// endpoint as well.
func (t *Tracker) RecordCrash(report CrashReport, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, hash := range report.Contents {
		t.evidence.add(Entry{
			Kind: KindCrash, Fingerprint: hash,
			Endpoint: report.Endpoint, AtMillis: report.AtMillis,
		})
		delete(t.claims, request.Fingerprint(hash))
		t.proven.remove(request.Fingerprint(hash))
	}
	delete(t.reserved, report.Endpoint)
	t.evidence.expire(now.Add(-t.options.QuarantineTime))
}

// Merge takes in what another daemon knows. Entries of an unknown kind are
// left out, and so are entries from further ahead than clocks may differ.
func (t *Tracker) Merge(digest Digest, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.merge(digest.Entries[:min(len(digest.Entries), MaxDigestEntries)], now)
	t.evidence.expire(now.Add(-t.options.QuarantineTime))
}

func (t *Tracker) merge(entries []Entry, now time.Time) {
	latest := now.Add(maxClockSkew)
	for _, entry := range entries {
		known := entry.Kind == KindCrash || entry.Kind == KindCompleted || entry.Kind == KindQuarantined
		if known && !entry.at().After(latest) {
			t.evidence.add(entry)
		}
	}
}

// maxClockSkew bounds how far another daemon's clock may be ahead.
const maxClockSkew = 10 * time.Second

// Digest returns what this daemon learned since a cursor, which starts at zero.
func (t *Tracker) Digest(after uint64) Digest {
	return t.DigestN(after, MaxDigestEntries)
}

// DigestN is Digest with another bound on the entries.
func (t *Tracker) DigestN(after uint64, limit int) Digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	entries, next := t.evidence.since(after, limit)
	return Digest{Entries: entries, Next: next}
}

// Quarantined returns the quarantined contents and the ends of their
// quarantines, for the snapshot.
func (t *Tracker) Quarantined(now time.Time) map[request.Fingerprint]time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := make(map[request.Fingerprint]time.Time)
	for fingerprint := range t.evidence.content {
		standing := t.standing(fingerprint, now)
		if standing.State == StateQuarantined {
			found[fingerprint] = standing.Until
		}
	}
	return found
}
