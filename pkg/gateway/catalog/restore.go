package catalog

import (
	"slices"
	"time"
)

// Times after the begin of an era, in which what the store has lost is written again.
const (
	// SettleTime is how long entries of live endpoints may be missing after the store's
	// return.
	SettleTime = 2200 * time.Millisecond
	// evacuationKeepTime is how long an evacuation that the copy lacks stays in force.
	evacuationKeepTime = 5 * time.Second
	// heldTime is how long an endpoint that is known to be gone gets no requests though
	// the copy shows it: within that time its entry expires or is removed again.
	heldTime = 6 * time.Second
)

// Restoration tells of the begin of an era: the store came back from a copy.
type Restoration struct {
	// From is the position that the state had before, To the one that it has since.
	From, To Position
	// Version is the version of the configuration in the copy, and InForce the newest
	// one ever received; zero means none.
	Version, InForce uint64
	// Missing lists the keys of items that the store lacks and that are kept for a while.
	Missing []string
	// Left lists the keys of endpoints that the store shows as ready and that are known
	// to leave or to be gone.
	Left []string
}

// enterEra begins a later era. Records of earlier ones are kept for a while, and what is
// held stays held, since their entries get new time to expire.
func (s *State) enterEra(era uint64, at time.Time) {
	s.restored, s.eraEnteredAt = nil, time.Time{}
	if s.applied != (Position{}) {
		s.restored, s.eraEnteredAt = &Restoration{From: s.applied}, at
	}
	s.applied = Position{Era: era}
	for key, stored := range s.byKey {
		if !stored.heldUntil.IsZero() {
			stored.heldUntil = at.Add(heldTime)
			s.byKey[key] = stored
		}
	}
}

// ConsumeRestoration returns the restoration since the last call; nil if there was
// none.
func (s *State) ConsumeRestoration() *Restoration {
	restored := s.restored
	if restored == nil {
		return nil
	}
	s.restored = nil
	restored.To, restored.InForce = s.applied, s.ConfigVersion()
	for key, stored := range s.byKey {
		if stored.Config != nil && stored.Era == s.applied.Era {
			restored.Version = stored.Config.Version
		}
		if !stored.Deleted && stored.Era < s.applied.Era {
			restored.Missing = append(restored.Missing, key)
		}
		if stored.left {
			restored.Left = append(restored.Left, key)
		}
	}
	slices.Sort(restored.Missing)
	slices.Sort(restored.Left)
	return restored
}

// ShowsAll reports whether a store that was asked at askedAt, and answered with a position,
// showed all that it had acknowledged: it does not just after it came back from a copy, nor
// if this state has not seen its era begin.
func (s *State) ShowsAll(position Position, askedAt time.Time) bool {
	settled := s.eraEnteredAt.IsZero() || !askedAt.Before(s.eraEnteredAt.Add(SettleTime))
	return settled && position.Era == s.applied.Era
}

// Settling reports whether records of earlier eras are kept.
func (s *State) Settling(now time.Time) bool {
	return !s.eraEnteredAt.IsZero() && now.Before(s.eraEnteredAt.Add(evacuationKeepTime))
}

// kept reports whether a record of an earlier era still holds though the store lacks it.
func (s *State) kept(record Record, now time.Time) bool {
	keep := SettleTime
	if record.Evacuated != "" {
		keep = evacuationKeepTime
	}
	return !s.eraEnteredAt.IsZero() && now.Before(s.eraEnteredAt.Add(keep))
}

// dropUnconfirmed removes the records of earlier eras that were not written again in
// time, and returns their keys.
func (s *State) dropUnconfirmed(now time.Time) []string {
	var dropped []string
	for key, stored := range s.byKey {
		if stored.Deleted || stored.Era >= s.applied.Era || s.kept(stored.Record, now) {
			continue
		}
		dropped = append(dropped, key)
		// Whatever is written in this era has a later position.
		s.mergeRecord(Record{Key: key, Era: s.applied.Era, Deleted: true}, now)
	}
	slices.Sort(dropped)
	return dropped
}

// carryOver keeps what is known of an endpoint when the first record of it in a later
// era arrives, which may be older than what is known.
func (r *storedRecord) carryOver(stored storedRecord, now time.Time) {
	known := stored.lastKnown()
	if r.Endpoint == nil || known == nil {
		return
	}
	earlierRun := r.Endpoint.StartedAt > 0 && r.Endpoint.StartedAt < known.StartedAt
	switch {
	case stored.Deleted && stored.graceEndpoint == nil && (earlierRun || sameRun(r.Endpoint, known)):
		r.heldUntil, r.left = now.Add(heldTime), true
		r.keepDraining(known)
	case earlierRun:
		r.Endpoint, r.coldUntil, r.heldUntil, r.left = known, stored.coldUntil, stored.heldUntil, stored.left
	case sameRun(r.Endpoint, known):
		if stored.heldUntil.After(r.heldUntil) {
			r.heldUntil = stored.heldUntil
		}
		r.left = !r.heldUntil.IsZero()
		r.carryCold(stored)
		r.keepDraining(known)
	}
}

// learnFromSame merges what another daemon knows of an endpoint better than the entry
// at the stored record's position says: that it leaves, is gone or has started again.
func (s *State) learnFromSame(record Record, stored storedRecord, now time.Time) {
	if record.Position() != stored.Position() || record.Endpoint == nil || stored.Endpoint == nil {
		return
	}
	next := stored
	if record.Endpoint.StartedAt > stored.Endpoint.StartedAt {
		next = s.nextRecord(record, storedRecord{}, now)
		// It may be the start that is known to be gone.
		next.heldUntil, next.left = stored.heldUntil, stored.left
	}
	next.keepDraining(record.Endpoint)
	if record.Held > 0 && next.heldUntil.IsZero() {
		next.heldUntil, next.left = now.Add(min(record.Held, heldTime)), true
	}
	if next.Endpoint != stored.Endpoint || !next.heldUntil.Equal(stored.heldUntil) {
		s.byKey[record.Key] = next
		s.changed = true
	}
}

// forgotten reports whether the record stands for an item that was removed because
// another daemon did not have it.
func (r *storedRecord) forgotten() bool {
	return r.Deleted && r.Revision == 0
}

// remember keeps what is known of an endpoint that was forgotten and is told of again.
func (r *storedRecord) remember(stored storedRecord) {
	if r.Endpoint == nil || stored.departed == nil || !sameRun(r.Endpoint, stored.departed) {
		return
	}
	if stored.heldUntil.After(r.heldUntil) {
		r.heldUntil, r.left = stored.heldUntil, true
	}
	r.keepDraining(stored.departed)
}

// lastKnown returns the record's endpoint, or the one that it had before its deletion.
func (r *storedRecord) lastKnown() *Endpoint {
	if r.Endpoint != nil {
		return r.Endpoint
	}
	return r.departed
}

// carryCold keeps the end of the cold time of an endpoint whose record may be older than
// the stored one.
func (r *storedRecord) carryCold(stored storedRecord) {
	known := stored.Endpoint != nil && *r.Endpoint == *stored.Endpoint
	if known || stored.coldUntil.After(r.coldUntil) {
		r.coldUntil = stored.coldUntil
	}
}

// keepDraining makes the record's endpoint a draining one if the known run of it was.
func (r *storedRecord) keepDraining(known *Endpoint) {
	if known.Draining && !r.Endpoint.Draining && sameRun(r.Endpoint, known) {
		draining := *r.Endpoint
		draining.Draining = true
		r.Endpoint, r.left = &draining, true
	}
}

// sameRun reports whether two entries are of the same process.
func sameRun(a, b *Endpoint) bool {
	return a.StartedAt == b.StartedAt && a.Address == b.Address
}
