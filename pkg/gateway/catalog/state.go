package catalog

import (
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// tombstoneAge is how long a tombstone is kept, so that a lagging peer cannot
// restore the deleted item.
const tombstoneAge = 5 * time.Minute

// State is the merged content of all received records. It is not safe for
// concurrent use.
type State struct {
	byKey map[string]storedRecord
	// applied is the position up to which every change is known.
	applied Position
	// historyFrom is the revision of the era after which deletions are known.
	historyFrom uint64
	// eraEnteredAt is when the state entered the era of applied from an earlier one;
	// zero if it didn't.
	eraEnteredAt time.Time
	// restored tells of a restoration that was not consumed yet.
	restored *Restoration
	// config is the newest configuration ever received, by configRecord; an older
	// version never replaces it, in whatever era.
	config       *Config
	configRecord Record
	// evacuationEnded holds the time at which the last evacuation of each data
	// centre ended.
	evacuationEnded map[types.DataCentre]time.Time
	// evacuationLimit is the time within which an evacuated data centre must get
	// no more requests.
	evacuationLimit time.Duration
	// evacuationKeys holds the keys of the records of the evacuations in force.
	evacuationKeys map[string]bool
	// readings holds the last readings of the store, oldest first.
	readings []reading
	changed  bool
}

// storedRecord is a record with the time at which it was merged.
type storedRecord struct {
	Record
	mergedAt time.Time
	// coldUntil is the end of the cold time of the record's endpoint.
	coldUntil time.Time
	// graceEndpoint is the endpoint of a deleted record; it is used until
	// graceEnds.
	graceEndpoint *Endpoint
	graceEnds     time.Time
	// requestedAfter is a time before which the record's evacuation was not
	// requested; zero if none is known.
	requestedAfter time.Time
	// departed is the last known endpoint of a deleted record.
	departed *Endpoint
	// left is true if the record is the first of its era and shows an endpoint as ready
	// that was known to leave or to be gone; heldUntil is until when it gets no requests.
	left      bool
	heldUntil time.Time
}

// NewState returns an empty State.
func NewState() *State {
	return &State{
		byKey:           make(map[string]storedRecord),
		evacuationEnded: make(map[types.DataCentre]time.Time),
		evacuationKeys:  make(map[string]bool),
	}
}

// Applied returns the position up to which every change is known.
func (s *State) Applied() Position {
	return s.applied
}

// ConfigVersion returns the version of the newest configuration; zero if there is none.
func (s *State) ConfigVersion() uint64 {
	if s.config == nil {
		return 0
	}
	return s.config.Version
}

// ConfigRecord returns the record that brought the newest configuration; its Config is
// nil if there is none.
func (s *State) ConfigRecord() Record {
	return s.configRecord
}

// Delta holds every change of an era after revision From up to and including To.
type Delta struct {
	// Era is zero if the store has no eras.
	Era  uint64 `json:"era,omitempty"`
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	// Whole is true if Records is all that the sender knows, also from earlier eras.
	Whole bool `json:"whole,omitempty"`
	// EraAge is how long ago the sender entered the era from an earlier one; zero if it
	// didn't. It is measured when the delta is created.
	EraAge  time.Duration `json:"era_age,omitempty"`
	Records []Record      `json:"records,omitempty"`
}

// Apply merges a delta. It reports whether the state now includes every change
// up to delta.To. It returns false if changes before delta.From are missing, or
// if the delta contains an invalid configuration, in which case it is ignored.
func (s *State) Apply(delta Delta, now time.Time) bool {
	if slices.ContainsFunc(delta.Records, func(record Record) bool { return !record.Config.valid() }) {
		return false
	}
	ahead := s.applied.Before(Position{Era: delta.Era, Revision: delta.To})
	if delta.Whole {
		s.alignEra(delta, now)
	}
	for _, record := range delta.Records {
		if !s.outdated(record, delta) {
			s.mergeRecord(record, now)
		}
	}
	if delta.Whole && ahead {
		s.forgetUnknown(delta, now)
	}
	if delta.Era != s.applied.Era || delta.From > s.applied.Revision {
		return false
	}
	s.applied.Revision = max(s.applied.Revision, delta.To)
	return true
}

// outdated reports whether a record of a delta is of an item that is gone: the state
// includes every change up to a later one and does not have it in this era.
func (s *State) outdated(record Record, delta Delta) bool {
	stored, found := s.byKey[record.Key]
	inEra := found && stored.Era == s.applied.Era && stored.Revision > 0
	partOfHistory := delta.To > 0 && record.Config == nil
	return partOfHistory && !inEra && record.Era == s.applied.Era && record.Revision <= s.applied.Revision
}

// forgetUnknown removes the items of the era of a whole delta that the delta, which
// includes every change, does not have: what was received before the state entered the
// era, and what was deleted in a part of the history that the state has not seen.
func (s *State) forgetUnknown(delta Delta, now time.Time) {
	told := make(map[string]Position, len(delta.Records))
	for _, record := range delta.Records {
		if told[record.Key].Before(record.Position()) {
			told[record.Key] = record.Position()
		}
	}
	for key, stored := range s.byKey {
		position := stored.Position()
		if stored.Deleted || stored.Era != delta.Era || stored.Revision > delta.To || !told[key].Before(position) {
			continue
		}
		s.forget(key, stored, now)
	}
}

// forget removes an item that another daemon does not have. Whatever is written in this
// era, or was, has a later position: a daemon that missed a change must not hide it.
func (s *State) forget(key string, stored storedRecord, now time.Time) {
	next := s.nextRecord(Record{Key: key, Era: stored.Era, Deleted: true}, stored, now)
	next.heldUntil, next.left = stored.heldUntil, stored.left
	delete(s.evacuationKeys, key)
	if stored.Evacuated != "" {
		s.evacuationEnded[stored.Evacuated] = now
	}
	s.byKey[key] = next
	s.changed = true
}

// alignEra enters the era of a whole delta if it is later, as of the time at which the
// sender did.
func (s *State) alignEra(delta Delta, now time.Time) {
	enteredAt := now.Add(-max(delta.EraAge, 0))
	switch {
	case delta.Era > s.applied.Era:
		s.enterEra(delta.Era, enteredAt)
		s.historyFrom = delta.To
	case delta.Era < s.applied.Era:
		return
	}
	if delta.EraAge > 0 && s.eraEnteredAt.IsZero() {
		s.eraEnteredAt = enteredAt
	}
}

// Replace merges a full read of the store that includes at least every change
// up to base. Items of its era that it lacks were deleted; their endpoints are used
// for the grace time longer. Items of earlier eras that it lacks are kept for a while,
// in which they are written again. A read that is older than the state changes nothing.
func (s *State) Replace(records []Record, base Position, grace time.Duration, now time.Time) {
	if base.Before(s.applied) {
		return
	}
	if base.Era > s.applied.Era {
		s.enterEra(base.Era, now)
	}
	if s.applied.Revision == 0 {
		s.historyFrom = base.Revision
	}
	for _, record := range records {
		s.mergeRecord(record, now)
	}
	s.deleteAbsent(records, base, grace, now)
	s.applied = base
}

// deleteAbsent deletes the items of an era that its complete state at a position lacks.
func (s *State) deleteAbsent(records []Record, base Position, grace time.Duration, now time.Time) {
	present := make(map[string]bool, len(records))
	for _, record := range records {
		present[record.Key] = present[record.Key] || record.Era == base.Era
	}
	for key, stored := range s.byKey {
		if !stored.Deleted && !present[key] && stored.Era == base.Era && stored.Revision <= base.Revision {
			s.mergeRecord(Record{Key: key, Era: base.Era, Revision: base.Revision, Deleted: true, Grace: grace}, now)
		}
	}
}

// mergeRecord merges one record unless the state has it at the same or a later
// position, or it is of an earlier era and no longer kept.
func (s *State) mergeRecord(record Record, now time.Time) {
	s.adoptConfig(record)
	stored, found := s.byKey[record.Key]
	if found && !stored.Position().Before(record.Position()) {
		s.learnFromSame(record, stored, now)
		return
	}
	if record.Era < s.applied.Era && !s.kept(record, now) {
		return
	}
	next := s.nextRecord(record, stored, now)
	delete(s.evacuationKeys, record.Key)
	if record.Evacuated != "" {
		next.requestedAfter = s.evacuationStart(record, stored)
		s.evacuationKeys[record.Key] = true
	}
	if stored.Evacuated != "" && record.Evacuated == "" {
		s.evacuationEnded[stored.Evacuated] = now
	}
	s.byKey[record.Key] = next
	s.changed = true
}

// nextRecord returns what is stored of an endpoint's record, or of its deletion, in
// place of the stored one.
func (s *State) nextRecord(record Record, stored storedRecord, now time.Time) storedRecord {
	next := storedRecord{Record: record, mergedAt: now}
	if record.Deleted {
		next.departed = stored.lastKnown()
		inUse := stored.Endpoint != nil && !stored.Endpoint.Draining && stored.heldUntil.IsZero()
		if record.Grace > 0 && inUse {
			next.graceEndpoint, next.graceEnds = stored.Endpoint, now.Add(record.Grace)
		}
	}
	if record.Endpoint != nil && record.Endpoint.Cold > 0 {
		next.coldUntil = coldEnd(record.Endpoint, stored, now)
	}
	if record.Held > 0 {
		next.heldUntil = now.Add(min(record.Held, heldTime))
	}
	switch {
	case stored.Era < record.Era:
		next.carryOver(stored, now)
	case stored.forgotten():
		next.remember(stored)
	}
	return next
}

// AdoptConfig adopts a configuration that was in force before, without its record.
func (s *State) AdoptConfig(record Record) {
	s.adoptConfig(record)
}

// adoptConfig adopts the record's configuration if it is the newest one ever received.
func (s *State) adoptConfig(record Record) {
	if record.Config == nil || s.config != nil && record.Config.Version <= s.config.Version {
		return
	}
	record.Config.Prepare()
	s.config, s.configRecord = record.Config, record
	s.changed = true
}

// coldEnd returns the end of an endpoint's cold time. A record holds the time
// that was left when it was written and arrives later, so each end is computed
// too late and the earliest one applies, unless the endpoint became cold again.
func coldEnd(endpoint *Endpoint, stored storedRecord, now time.Time) time.Time {
	end := now.Add(endpoint.Cold)
	sameColdPeriod := stored.Endpoint != nil && stored.Endpoint.StartedAt == endpoint.StartedAt &&
		stored.Endpoint.Address == endpoint.Address && stored.coldUntil.After(now)
	if sameColdPeriod && stored.coldUntil.Before(end) && endpoint.Cold <= stored.Endpoint.Cold {
		return stored.coldUntil
	}
	return end
}

// Since returns the changes after a position, for a lagging peer: everything if the
// position is of an earlier era, or deletions after it are not known. It includes the newest configuration if the store
// shows an older one.
func (s *State) Since(position Position, now time.Time) Delta {
	if !position.Before(s.applied) {
		return Delta{Era: position.Era, From: position.Revision, To: position.Revision}
	}
	if position.Era < s.applied.Era || position.Revision < s.historyFrom {
		return s.Whole(now)
	}
	delta := Delta{Era: s.applied.Era, From: position.Revision, To: s.applied.Revision}
	delta.Records = s.recordsAfter(position, now)
	return delta
}

// Whole returns all that is known, for a peer that knows nothing or an earlier era.
func (s *State) Whole(now time.Time) Delta {
	delta := Delta{Era: s.applied.Era, To: s.applied.Revision, Whole: true, Records: s.recordsAfter(Position{}, now)}
	if !s.eraEnteredAt.IsZero() {
		delta.EraAge = max(now.Sub(s.eraEnteredAt), 1)
	}
	if s.config != nil && s.byKey[s.configRecord.Key].Config != s.config {
		delta.Records = append(delta.Records, s.configRecord)
	}
	return delta
}

// recordsAfter returns the stored records after a position, in order.
func (s *State) recordsAfter(position Position, now time.Time) []Record {
	var records []Record
	for _, stored := range s.byKey {
		if !position.Before(stored.Position()) {
			continue
		}
		record := stored.Record
		record.Grace = remaining(stored.graceEnds, now)
		record.Held = remaining(stored.heldUntil, now)
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b Record) int { return a.Position().compare(b.Position()) })
	return records
}

// remaining returns the time until end; zero if it is over or not set.
func remaining(end, now time.Time) time.Duration {
	if end.IsZero() {
		return 0
	}
	return max(end.Sub(now), 0)
}

// Expire removes old tombstones and the endpoints whose grace time has ended. It
// returns the keys of items that were kept after a restoration of the store and have
// not been written again. Call it a few times per second.
func (s *State) Expire(now time.Time) (dropped []string) {
	dropped = s.dropUnconfirmed(now)
	for key, stored := range s.byKey {
		if !stored.heldUntil.IsZero() && !now.Before(stored.heldUntil) {
			stored.heldUntil, stored.left = time.Time{}, false
			s.byKey[key] = stored
			s.changed = true
		}
		if stored.graceEndpoint != nil && !now.Before(stored.graceEnds) {
			stored.graceEndpoint = nil
			s.byKey[key] = stored
			s.changed = true
		}
		if stored.Deleted && stored.graceEndpoint == nil && now.Sub(stored.mergedAt) > tombstoneAge {
			delete(s.byKey, key)
		}
	}
	return dropped
}

// ConsumeChanged reports whether the state changed since the last call, and clears
// the flag.
func (s *State) ConsumeChanged() bool {
	changed := s.changed
	s.changed = false
	return changed
}
