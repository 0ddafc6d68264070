package catalog

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// tombstoneAge is how long a deletion is remembered, so that a peer that lags
// can't bring the item back.
const tombstoneAge = 5 * time.Minute

// State is the merged content of all records seen. It is used by one goroutine.
type State struct {
	items map[string]item
	// complete is the revision up to which every change is known.
	complete uint64
	// config is the newest configuration ever seen; it never goes back.
	config *Config
	// evacuationEnded holds when the evacuation of a data centre was lifted.
	evacuationEnded map[types.DataCentre]time.Time
	changed         bool
}

// item is a record with the time at which it was learnt.
type item struct {
	Record
	learnt time.Time
	// coldUntil is when the record's endpoint stops being cold.
	coldUntil time.Time
	// expired is the endpoint of a deleted record that is still used until
	// graceEnds.
	expired   *Endpoint
	graceEnds time.Time
}

// NewState returns an empty state.
func NewState() *State {
	return &State{items: make(map[string]item), evacuationEnded: make(map[types.DataCentre]time.Time)}
}

// AppliedRevision returns the revision up to which every change is known.
func (s *State) AppliedRevision() uint64 {
	return s.complete
}

// Delta is a run of changes: every change after From up to To.
type Delta struct {
	From    uint64   `json:"from"`
	To      uint64   `json:"to"`
	Records []Record `json:"records,omitempty"`
}

// Apply merges a delta. It reports whether the state now knows every change up
// to delta.To; false means that changes before delta.From are missing, or that
// the delta makes no sense and was ignored.
func (s *State) Apply(delta Delta, now time.Time) bool {
	if slices.ContainsFunc(delta.Records, func(record Record) bool { return !record.Config.sound() }) {
		return false
	}
	for _, record := range delta.Records {
		s.put(record, now)
	}
	if delta.From > s.complete {
		return false
	}
	s.complete = max(s.complete, delta.To)
	return true
}

// Replace merges a whole reading of the store that shows at least every change
// up to base. Items that it lacks were deleted; their endpoints are used for
// the time of grace more. An older reading than the state changes nothing.
func (s *State) Replace(records []Record, base uint64, grace time.Duration, now time.Time) {
	if base < s.complete {
		return
	}
	present := make(map[string]bool, len(records))
	for _, record := range records {
		present[record.Key] = true
		s.put(record, now)
	}
	for key, known := range s.items {
		if !known.Deleted && !present[key] && known.Revision <= base {
			s.put(Record{Key: key, Revision: base, Deleted: true, Grace: grace}, now)
		}
	}
	s.complete = max(s.complete, base)
}

// put merges one record; an older one than known is ignored.
func (s *State) put(record Record, now time.Time) {
	known, found := s.items[record.Key]
	if found && known.Revision >= record.Revision {
		return
	}
	next := item{Record: record, learnt: now}
	if record.Deleted && record.Grace > 0 && known.Endpoint != nil && !known.Endpoint.Draining {
		next.expired, next.graceEnds = known.Endpoint, now.Add(record.Grace)
	}
	if record.Endpoint != nil && record.Endpoint.Cold > 0 {
		next.coldUntil = coldEnd(record.Endpoint, known, now)
	}
	if known.Evacuated != "" && record.Evacuated == "" {
		s.evacuationEnded[known.Evacuated] = now
	}
	s.items[record.Key] = next
	s.changed = true
	if record.Config != nil && (s.config == nil || record.Config.Version > s.config.Version) {
		record.Config.Prepare()
		s.config = record.Config
	}
}

// coldEnd is when an endpoint stops being cold. Each record tells the time left
// when it was written, so news of it come late and the earliest end counts,
// unless the endpoint became cold anew.
func coldEnd(endpoint *Endpoint, known item, now time.Time) time.Time {
	end := now.Add(endpoint.Cold)
	sameSpell := known.Endpoint != nil && known.Endpoint.StartedAt == endpoint.StartedAt &&
		known.Endpoint.Address == endpoint.Address && known.coldUntil.After(now)
	if sameSpell && known.coldUntil.Before(end) && endpoint.Cold <= known.Endpoint.Cold {
		return known.coldUntil
	}
	return end
}

// Since returns the changes after a revision, for a peer that lags.
func (s *State) Since(revision uint64, now time.Time) Delta {
	delta := Delta{From: revision, To: s.complete}
	if revision >= s.complete {
		delta.To = revision
		return delta
	}
	for _, known := range s.items {
		if known.Revision <= revision {
			continue
		}
		record := known.Record
		record.Grace = max(known.graceEnds.Sub(now), 0)
		if known.graceEnds.IsZero() {
			record.Grace = 0
		}
		delta.Records = append(delta.Records, record)
	}
	slices.SortFunc(delta.Records, func(a, b Record) int { return cmp.Compare(a.Revision, b.Revision) })
	return delta
}

// Expire forgets old deletions and ends times of grace. Call it a few times a
// second.
func (s *State) Expire(now time.Time) {
	for key, known := range s.items {
		if known.expired != nil && !now.Before(known.graceEnds) {
			known.expired = nil
			s.items[key] = known
			s.changed = true
		}
		if known.Deleted && known.expired == nil && now.Sub(known.learnt) > tombstoneAge {
			delete(s.items, key)
		}
	}
}

// TakeChanged reports whether the state changed since the last call.
func (s *State) TakeChanged() bool {
	changed := s.changed
	s.changed = false
	return changed
}
