// Package crashes connects the quarantine tracker to the control state: it gossips
// the tracker's entries to peers and reports changes of the set of quarantined
// contents.
package crashes

import (
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/event"
	"github.com/flamingomount/flamingomount/pkg/control/node"
	"github.com/flamingomount/flamingomount/pkg/control/quarantine"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/request"
)

const (
	// sendsPerEntry is the number of messages that carry a new entry.
	sendsPerEntry = 12
	// maxNewEntries limits the new entries of one message.
	maxNewEntries = 16
	// resentPerMessage is the number of known entries that a message carries
	// besides the new ones, round robin, so that a daemon that has just started
	// learns all of them.
	resentPerMessage = 2
	// maxQueued limits the entries that wait to be sent; further ones are not
	// sent as new.
	maxQueued = 1024
)

// Gossiper exchanges the tracker's entries with peers for the control state. The
// control goroutine owns it; other goroutines may use the tracker at the same time.
type Gossiper struct {
	tracker *quarantine.Tracker
	// cursor is the position after the last entry that was queued.
	cursor uint64
	queue  []queuedEntry
	// resendCursor is the position after the last entry that was resent.
	resendCursor uint64
	// active holds the quarantined contents as of the last Tick, with the end of
	// each quarantine.
	active map[request.Fingerprint]time.Time
}

// queuedEntry is an entry with the number of messages that still have to carry it.
type queuedEntry struct {
	entry     quarantine.Entry
	sendsLeft int
}

var _ node.Quarantine = (*Gossiper)(nil)

// New returns a gossiper for a tracker.
func New(tracker *quarantine.Tracker) *Gossiper {
	return &Gossiper{tracker: tracker}
}

// Observe does nothing and returns false: the stage that runs the attempts reports
// to the tracker itself.
func (*Gossiper) Observe(event.AttemptFinished) bool {
	return false
}

// SetPolicy passes the published quarantine limits to the tracker.
func (g *Gossiper) SetPolicy(policy published.Policy) {
	g.tracker.SetPolicy(policy.QuarantineAfter, policy.QuarantineFor)
}

// Active returns the fingerprints that were quarantined at the last Tick and when
// their quarantines end.
func (g *Gossiper) Active(time.Time) map[request.Fingerprint]time.Time {
	return g.active
}

// NextGossip returns the entries to attach to the next message: up to maxNewEntries
// new ones, and resentPerMessage known ones, round robin.
func (g *Gossiper) NextGossip() []quarantine.Entry {
	var entries []quarantine.Entry
	for i := range g.queue[:min(len(g.queue), maxNewEntries)] {
		g.queue[i].sendsLeft--
		entries = append(entries, g.queue[i].entry)
	}
	g.queue = slices.DeleteFunc(g.queue, func(queued queuedEntry) bool { return queued.sendsLeft <= 0 })
	return append(entries, g.resend()...)
}

// resend returns the next known entries of the round robin. At the end of a round, it
// returns none once and starts again.
func (g *Gossiper) resend() []quarantine.Entry {
	digest := g.tracker.DigestN(g.resendCursor, resentPerMessage)
	g.resendCursor = digest.Next
	if len(digest.Entries) == 0 {
		g.resendCursor = 0
	}
	return digest.Entries
}

// Merge adds a peer's entries and reports whether the set of quarantined contents
// changed.
func (g *Gossiper) Merge(now time.Time, entries []quarantine.Entry) bool {
	if len(entries) == 0 {
		return false
	}
	g.tracker.Merge(quarantine.Digest{Entries: entries}, now)
	return g.Tick(now)
}

// Tick queues the entries that the tracker learned since the last call and reports
// whether the set of quarantined contents changed.
func (g *Gossiper) Tick(now time.Time) bool {
	active := g.tracker.Quarantined(now)
	g.queueNewEntries()
	changed := len(active) != len(g.active)
	for fingerprint := range active {
		_, known := g.active[fingerprint]
		changed = changed || !known
	}
	g.active = active
	return changed
}

// queueNewEntries queues the entries that the tracker learned since the last call,
// from this daemon or from a peer, for sending.
func (g *Gossiper) queueNewEntries() {
	for {
		digest := g.tracker.Digest(g.cursor)
		if len(digest.Entries) == 0 {
			return
		}
		g.cursor = digest.Next
		for _, entry := range digest.Entries {
			if len(g.queue) < maxQueued {
				g.queue = append(g.queue, queuedEntry{entry: entry, sendsLeft: sendsPerEntry})
			}
		}
	}
}
