package catalog

import (
	"cmp"
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
	// appliedRevision is the revision up to which every change is known.
	appliedRevision uint64
	// config is the newest configuration ever received; an older version never
	// replaces it.
	config *Config
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
}

// NewState returns an empty State.
func NewState() *State {
	return &State{
		byKey:           make(map[string]storedRecord),
		evacuationEnded: make(map[types.DataCentre]time.Time),
		evacuationKeys:  make(map[string]bool),
	}
}

// AppliedRevision returns the revision up to which every change is known.
func (s *State) AppliedRevision() uint64 {
	return s.appliedRevision
}

// Delta holds every change after revision From up to and including To.
type Delta struct {
	From    uint64   `json:"from"`
	To      uint64   `json:"to"`
	Records []Record `json:"records,omitempty"`
}

// Apply merges a delta. It reports whether the state now includes every change
// up to delta.To. It returns false if changes before delta.From are missing, or
// if the delta contains an invalid configuration, in which case it is ignored.
func (s *State) Apply(delta Delta, now time.Time) bool {
	if slices.ContainsFunc(delta.Records, func(record Record) bool { return !record.Config.valid() }) {
		return false
	}
	for _, record := range delta.Records {
		if !s.outdated(record, delta) {
			s.mergeRecord(record, now)
		}
	}
	if delta.From > s.appliedRevision {
		return false
	}
	s.appliedRevision = max(s.appliedRevision, delta.To)
	return true
}

// outdated reports whether a record of a delta is of an item that is gone: the state
// includes every change up to a later one and does not have it.
func (s *State) outdated(record Record, delta Delta) bool {
	_, found := s.byKey[record.Key]
	partOfHistory := delta.To > 0 && record.Config == nil
	return partOfHistory && !found && record.Revision <= s.appliedRevision
}

// Replace merges a full read of the store that includes at least every change
// up to base. Items that it lacks were deleted; their endpoints are used for
// the grace time longer. A read that is older than the state changes nothing.
func (s *State) Replace(records []Record, base uint64, grace time.Duration, now time.Time) {
	if base < s.appliedRevision {
		return
	}
	present := make(map[string]bool, len(records))
	for _, record := range records {
		present[record.Key] = true
		s.mergeRecord(record, now)
	}
	for key, stored := range s.byKey {
		if !stored.Deleted && !present[key] && stored.Revision <= base {
			s.mergeRecord(Record{Key: key, Revision: base, Deleted: true, Grace: grace}, now)
		}
	}
	s.appliedRevision = max(s.appliedRevision, base)
}

// mergeRecord merges one record unless the state has the same or a later revision
// of it.
func (s *State) mergeRecord(record Record, now time.Time) {
	stored, found := s.byKey[record.Key]
	if found && stored.Revision >= record.Revision {
		return
	}
	next := storedRecord{Record: record, mergedAt: now}
	if record.Deleted && record.Grace > 0 && stored.Endpoint != nil && !stored.Endpoint.Draining {
		next.graceEndpoint, next.graceEnds = stored.Endpoint, now.Add(record.Grace)
	}
	if record.Endpoint != nil && record.Endpoint.Cold > 0 {
		next.coldUntil = coldEnd(record.Endpoint, stored, now)
	}
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
	if record.Config != nil && (s.config == nil || record.Config.Version > s.config.Version) {
		record.Config.Prepare()
		s.config = record.Config
	}
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

// Since returns the changes after a revision, for a lagging peer.
func (s *State) Since(revision uint64, now time.Time) Delta {
	delta := Delta{From: revision, To: s.appliedRevision}
	if revision >= s.appliedRevision {
		delta.To = revision
		return delta
	}
	for _, stored := range s.byKey {
		if stored.Revision <= revision {
			continue
		}
		record := stored.Record
		record.Grace = max(stored.graceEnds.Sub(now), 0)
		if stored.graceEnds.IsZero() {
			record.Grace = 0
		}
		delta.Records = append(delta.Records, record)
	}
	slices.SortFunc(delta.Records, func(a, b Record) int { return cmp.Compare(a.Revision, b.Revision) })
	return delta
}

// Expire removes old tombstones and the endpoints whose grace time has ended.
// Call it a few times per second.
func (s *State) Expire(now time.Time) {
	for key, stored := range s.byKey {
		if stored.graceEndpoint != nil && !now.Before(stored.graceEnds) {
			stored.graceEndpoint = nil
			s.byKey[key] = stored
			s.changed = true
		}
		if stored.Deleted && stored.graceEndpoint == nil && now.Sub(stored.mergedAt) > tombstoneAge {
			delete(s.byKey, key)
		}
	}
}

// ConsumeChanged reports whether the state changed since the last call, and clears
// the flag.
func (s *State) ConsumeChanged() bool {
	changed := s.changed
	s.changed = false
	return changed
}
