// Package quarantine keeps one fatal request from crashing endpoint after
// endpoint. It counts the crashes in which each content was running, separates
// the content that caused a crash from the others on the endpoint, and decides
// whether, where and when a content may run.
//
// A content (the part of a request that an endpoint sees, identified by its
// fingerprint) that was on a crashed endpoint is held until crash reports have
// reached its owner, then run again as the only suspect on its endpoint. It is
// quarantined if it is the only content that was in Options.CrashThreshold crashes,
// or if it was in more than that, regardless of the other contents. Up to the
// threshold, a crash that it shared with a quarantined content does not count
// against it.
//
// All daemons of a region that hold copies of a content send their claims to one
// owner (see Owners), which lets the copies run on a single endpoint at a time
// until one has run to completion. For a suspect, they also need a claim from its
// owner in the whole fleet, so that it runs in one region at a time. A crash is
// reported to the caller's owner in every region, to the caller's owner in the
// fleet and to the endpoint's owner. A daemon that starts copies the entries of
// another one before it answers claims. As a result, one content crashes at most
// one endpoint in each region that runs it before the report of the first crash
// arrives there, and at least CrashThreshold in all; with three regions that is
// three.
package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	// sameCrashWindow is the time within which crash reports of an endpoint are
	// taken as the same crash; a crashed engine takes longer to restart.
	sameCrashWindow = 5 * time.Second
	// If at least widespreadCrashes endpoints crash within widespreadWindow, the
	// crashes are taken to have a common cause.
	widespreadWindow  = 2 * time.Second
	widespreadCrashes = 3
)

// Options configures a Tracker. A zero field takes its default.
type Options struct {
	// CrashThreshold is published.Policy.QuarantineAfter, the number of crashes
	// after which a content may be quarantined; default 2.
	CrashThreshold int
	// QuarantineTime is published.Policy.QuarantineFor, the length of a quarantine
	// and the age at which crashes expire; default 1 hour.
	QuarantineTime time.Duration
	// HoldTime is how long a content is held after a crash; it has to exceed
	// the time in which a crash report reaches the owner; default 500 ms.
	HoldTime time.Duration
	// Capacity limits the entries kept; default 4096.
	Capacity int
	// ClaimCapacity limits the contents with a claim; default 16384.
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

// State is a daemon's assessment of a content.
type State uint8

// The states of a content, in increasing order of suspicion.
const (
	// StateClear: no crash counts against the content.
	StateClear State = iota
	// StateSuspect: it was in a crash and may run on one endpoint at a time.
	StateSuspect
	// StateHeld: it was in a crash less than HoldTime ago and waits until crash
	// reports have arrived.
	StateHeld
	// StateQuarantined: it may not run.
	StateQuarantined
)

// Status is the state of a content at a moment.
type Status struct {
	State State
	// Until is the end of the hold or quarantine.
	Until time.Time
	// Crashes is the number of crashes that count against the content.
	Crashes int
	// Isolated is true if a suspect may not share an endpoint with other
	// suspects. It is false for a suspect whose only crash was part of a
	// widespread one.
	Isolated bool
}

// Tracker holds one daemon's evidence, the claims of the contents that it owns
// and the reservations of the endpoints that it owns. It is safe for concurrent
// use.
type Tracker struct {
	options Options

	mu        sync.Mutex
	evidence  *evidence
	claims    map[request.Fingerprint]*claim
	reserved  map[types.EndpointID]reservation
	completed *completedSet
}

// New returns a tracker without evidence.
func New(options Options) *Tracker {
	options = options.withDefaults()
	return &Tracker{
		options:   options,
		evidence:  newEvidence(options.Capacity),
		claims:    make(map[request.Fingerprint]*claim),
		reserved:  make(map[types.EndpointID]reservation),
		completed: newCompletedSet(),
	}
}

// Status returns the state of a content.
func (t *Tracker) Status(fingerprint request.Fingerprint, now time.Time) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.status(fingerprint, now)
}

func (t *Tracker) status(fingerprint request.Fingerprint, now time.Time) Status {
	if observedAt, ok := t.evidence.quarantinedAt(fingerprint); ok && now.Before(observedAt.Add(t.options.QuarantineTime)) {
		return Status{State: StateQuarantined, Until: observedAt.Add(t.options.QuarantineTime)}
	}
	unexpired := t.unexpiredCrashes(fingerprint, now)
	crashes := t.unexplained(unexpired)
	if len(unexpired) > t.options.CrashThreshold {
		crashes = unexpired
	}
	if len(crashes) == 0 {
		return Status{}
	}
	last := crashes[len(crashes)-1]
	settled := last.observedAt().Add(t.options.HoldTime)
	if now.Before(settled) {
		return Status{State: StateHeld, Until: settled, Crashes: len(crashes)}
	}
	if t.shouldQuarantine(crashes, now) {
		t.evidence.add(Entry{Kind: KindQuarantined, Fingerprint: Hash(fingerprint), AtMillis: now.UnixMilli()})
		return Status{State: StateQuarantined, Until: now.Add(t.options.QuarantineTime), Crashes: len(crashes)}
	}
	isolated := len(crashes) > 1 || !t.evidence.widespread(last)
	return Status{State: StateSuspect, Crashes: len(crashes), Isolated: isolated}
}

// unexpiredCrashes returns the crashes of a content that have not expired.
func (t *Tracker) unexpiredCrashes(fingerprint request.Fingerprint, now time.Time) []Entry {
	return slices.DeleteFunc(t.evidence.crashes(fingerprint), func(crash Entry) bool {
		return now.Sub(crash.observedAt()) >= t.options.QuarantineTime
	})
}

// unexplained returns the crashes that were not shared with another content that
// has been quarantined.
func (t *Tracker) unexplained(crashes []Entry) []Entry {
	var found []Entry
	for _, crash := range crashes {
		if !t.explained(crash) {
			found = append(found, crash)
		}
	}
	return found
}

func (t *Tracker) explained(crash Entry) bool {
	for _, other := range t.evidence.otherContents(crash) {
		if _, quarantined := t.evidence.quarantinedAt(other); quarantined {
			return true
		}
	}
	return false
}

// shouldQuarantine reports whether the crashes suffice to quarantine their
// content: CrashThreshold of them if at least one was not shared with another
// content that was in as many, one more otherwise.
func (t *Tracker) shouldQuarantine(crashes []Entry, now time.Time) bool {
	if len(crashes) > t.options.CrashThreshold {
		return true
	}
	if len(crashes) < t.options.CrashThreshold {
		return false
	}
	for _, crash := range crashes {
		if !t.hasOtherCandidate(crash, now) {
			return true
		}
	}
	return false
}

// hasOtherCandidate reports whether another content that shared the crash was in
// CrashThreshold unexplained crashes itself.
func (t *Tracker) hasOtherCandidate(crash Entry, now time.Time) bool {
	for _, other := range t.evidence.otherContents(crash) {
		if len(t.unexplained(t.unexpiredCrashes(other, now))) >= t.options.CrashThreshold {
			return true
		}
	}
	return false
}

// RecordCrash records that attempts with these contents were interrupted by a crash
// of their endpoint. The daemon also has to send the report to the owners of the
// contents and of the endpoint.
func (t *Tracker) RecordCrash(report CrashReport, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, hash := range report.Contents {
		t.evidence.add(Entry{
			Kind: KindCrash, Fingerprint: hash,
			Endpoint: report.Endpoint, AtMillis: report.AtMillis,
		})
		delete(t.claims, request.Fingerprint(hash))
		t.completed.remove(request.Fingerprint(hash))
	}
	delete(t.reserved, report.Endpoint)
	t.evidence.expire(now.Add(-t.options.QuarantineTime))
}

// Merge adds the entries of another daemon. It ignores entries of an unknown kind
// and entries that are more than maxClockSkew in the future.
func (t *Tracker) Merge(digest Digest, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.merge(digest.Entries[:min(len(digest.Entries), MaxDigestEntries)], now)
	t.evidence.expire(now.Add(-t.options.QuarantineTime))
}

func (t *Tracker) merge(entries []Entry, now time.Time) {
	latest := now.Add(maxClockSkew)
	for _, entry := range entries {
		knownKind := entry.Kind == KindCrash || entry.Kind == KindCompleted || entry.Kind == KindQuarantined
		if knownKind && !entry.observedAt().After(latest) {
			t.evidence.add(entry)
		}
	}
}

// maxClockSkew is how far another daemon's clock may be ahead of this one's.
const maxClockSkew = 10 * time.Second

// Digest returns the entries that this daemon learned since a cursor, which starts
// at zero, at most MaxDigestEntries.
func (t *Tracker) Digest(cursor uint64) Digest {
	return t.DigestN(cursor, MaxDigestEntries)
}

// DigestN is like Digest, with a given limit on the number of entries.
func (t *Tracker) DigestN(cursor uint64, limit int) Digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	entries, next := t.evidence.since(cursor, limit)
	return Digest{Entries: entries, Next: next}
}

// Quarantined returns the quarantined contents and when their quarantines end, for
// the snapshot.
func (t *Tracker) Quarantined(now time.Time) map[request.Fingerprint]time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := make(map[request.Fingerprint]time.Time)
	for fingerprint := range t.evidence.content {
		status := t.status(fingerprint, now)
		if status.State == StateQuarantined {
			found[fingerprint] = status.Until
		}
	}
	return found
}
