// Package crashes joins the quarantine tracker to the control state: it spreads
// what the tracker learns to peers and tells when the quarantine has changed.
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
	// copies is how many messages carry a new entry.
	copies = 12
	// maxFresh bounds the entries of one message.
	maxFresh = 16
	// repeated is how many known entries a message carries besides the new
	// ones, in turn, so that a daemon that has just started learns them all.
	repeated = 2
	// maxWaiting bounds the entries that wait to be passed on.
	maxWaiting = 1024
)

// Gossiper is the control state's view of the tracker. The control goroutine owns
// it; the tracker may be used by others at the same time.
type Gossiper struct {
	tracker *quarantine.Tracker
	// cursor is behind the last entry that was taken from the tracker.
	cursor uint64
	fresh  []passing
	// repeatedTo is behind the last entry that was repeated.
	repeatedTo uint64
	active     map[request.Fingerprint]time.Time
}

// passing is an entry that still has to be passed on.
type passing struct {
	entry quarantine.Entry
	left  int
}

var _ node.Quarantine = (*Gossiper)(nil)

// New returns the view of a tracker.
func New(tracker *quarantine.Tracker) *Gossiper {
	return &Gossiper{tracker: tracker}
}

// Observe does nothing: the stage that makes attempts tells the tracker itself.
func (*Gossiper) Observe(event.AttemptFinished) bool {
	return false
}

// SetPolicy takes the published limits.
func (s *Gossiper) SetPolicy(policy published.Policy) {
	s.tracker.SetPolicy(policy.QuarantineAfter, policy.QuarantineFor)
}

// Active returns the quarantined fingerprints and their end.
func (s *Gossiper) Active(time.Time) map[request.Fingerprint]time.Time {
	return s.active
}

// NextGossip returns the entries to attach to the next message: new ones, and a few
// known ones in turn.
func (s *Gossiper) NextGossip() []quarantine.Entry {
	var entries []quarantine.Entry
	for i := range s.fresh[:min(len(s.fresh), maxFresh)] {
		s.fresh[i].left--
		entries = append(entries, s.fresh[i].entry)
	}
	s.fresh = slices.DeleteFunc(s.fresh, func(p passing) bool { return p.left <= 0 })
	return append(entries, s.repeat()...)
}

// repeat returns the next entries of the round through all that is known.
func (s *Gossiper) repeat() []quarantine.Entry {
	digest := s.tracker.DigestN(s.repeatedTo, repeated)
	s.repeatedTo = digest.Next
	if len(digest.Entries) == 0 {
		s.repeatedTo = 0
	}
	return digest.Entries
}

// Merge takes what a peer knows; true when the quarantine changed.
func (s *Gossiper) Merge(now time.Time, entries []quarantine.Entry) bool {
	if len(entries) == 0 {
		return false
	}
	s.tracker.Merge(quarantine.Digest{Entries: entries}, now)
	return s.Tick(now)
}

// Tick takes up what the tracker learned; true when the quarantine changed.
func (s *Gossiper) Tick(now time.Time) bool {
	active := s.tracker.Quarantined(now)
	s.takeUp()
	changed := len(active) != len(s.active)
	for fingerprint := range active {
		_, known := s.active[fingerprint]
		changed = changed || !known
	}
	s.active = active
	return changed
}

// takeUp queues the entries that the tracker learned since the last call,
// whether here or from a peer, to be passed on.
func (s *Gossiper) takeUp() {
	for {
		digest := s.tracker.Digest(s.cursor)
		if len(digest.Entries) == 0 {
			return
		}
		s.cursor = digest.Next
		for _, entry := range digest.Entries {
			if len(s.fresh) < maxWaiting {
				s.fresh = append(s.fresh, passing{entry: entry, left: copies})
			}
		}
	}
}
