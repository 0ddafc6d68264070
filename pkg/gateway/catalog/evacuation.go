package catalog

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// evacuationMargin is how long before the end of the time limit the endpoints of
// an evacuated data centre get their last request: requests need time to arrive.
const evacuationMargin = 500 * time.Millisecond

// maxReadings bounds the readings of the store that are remembered.
const maxReadings = 8

// reading tells that the store was asked at a time and answered with the state
// of a position. Every later revision of its era was written after that time.
type reading struct {
	position Position
	askedAt  time.Time
}

// EvacuationAge tells how long ago an evacuation can have been requested at
// most.
type EvacuationAge struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Era      uint64 `json:"era,omitempty"`
	// Age is measured when the message that holds it is created.
	Age time.Duration `json:"age"`
}

// SetEvacuationLimit sets the time within which an evacuated data centre must
// get no more requests. Zero, the default, means at once.
func (s *State) SetEvacuationLimit(limit time.Duration) {
	s.evacuationLimit = limit
}

// RecordReading records that the store was asked at askedAt and answered with
// the state of a position. Call it after the records of the answer were applied.
func (s *State) RecordReading(position Position, askedAt time.Time) {
	s.readings = append(s.readings, reading{position: position, askedAt: askedAt})
	if len(s.readings) > maxReadings {
		s.readings = s.readings[1:]
	}
}

// notBefore returns a time before which the record of a position was not written; zero
// if none is known. A record of a copy may be older than every reading of earlier eras.
func (s *State) notBefore(position Position) time.Time {
	var latest time.Time
	for _, reading := range s.readings {
		sameEra := reading.position.Era == position.Era
		if sameEra && reading.position.Before(position) && reading.askedAt.After(latest) {
			latest = reading.askedAt
		}
	}
	return latest
}

// evacuationStart returns a time before which the evacuation of a record was not
// requested; zero if none is known. A repeated request does not extend one that
// is already in force.
func (s *State) evacuationStart(record Record, stored storedRecord) time.Time {
	if stored.Evacuated != "" {
		return stored.requestedAfter
	}
	return s.notBefore(record.Position())
}

// EvacuationAges returns the ages of the evacuations in force whose age is known.
func (s *State) EvacuationAges(now time.Time) []EvacuationAge {
	var ages []EvacuationAge
	for key := range s.evacuationKeys {
		if stored := s.byKey[key]; !stored.requestedAfter.IsZero() {
			ages = append(ages, EvacuationAge{
				Key: key, Revision: stored.Revision, Era: stored.Era, Age: now.Sub(stored.requestedAfter),
			})
		}
	}
	return ages
}

// ConfirmEvacuations merges the ages that another daemon returned in its reply to
// a message sent at askedAt. The reply was created later, so that the true ages
// are at most those plus the time since askedAt, whatever the network delay.
func (s *State) ConfirmEvacuations(ages []EvacuationAge, askedAt time.Time) {
	for _, age := range ages {
		stored, found := s.byKey[age.Key]
		same := found && s.evacuationKeys[age.Key] && stored.Position() == Position{Era: age.Era, Revision: age.Revision}
		if !same || age.Age < 0 {
			continue
		}
		if requestedAfter := askedAt.Add(-age.Age); requestedAfter.After(stored.requestedAfter) {
			stored.requestedAfter = requestedAfter
			s.byKey[age.Key] = stored
			s.changed = true
		}
	}
}

// NewRecords returns the records that the state does not have at this or a later
// position.
func (s *State) NewRecords(records []Record) []Record {
	var unknown []Record
	for _, record := range records {
		if stored, found := s.byKey[record.Key]; !found || stored.Position().Before(record.Position()) {
			unknown = append(unknown, record)
		}
	}
	return unknown
}

// lastRequestAt returns when the endpoints of the record's data centre get their
// last request; zero means that this time is over or unknown.
func (s *State) lastRequestAt(stored storedRecord) time.Time {
	if stored.requestedAfter.IsZero() || s.evacuationLimit <= evacuationMargin {
		return time.Time{}
	}
	return stored.requestedAfter.Add(s.evacuationLimit - evacuationMargin)
}

// evacuations returns the data centres that are being evacuated and, for each,
// when its endpoints get their last request.
func (s *State) evacuations() map[types.DataCentre]time.Time {
	byDC := make(map[types.DataCentre]time.Time)
	for key := range s.evacuationKeys {
		stored := s.byKey[key]
		last := s.lastRequestAt(stored)
		if earlier, found := byDC[stored.Evacuated]; !found || last.Before(earlier) {
			byDC[stored.Evacuated] = last
		}
	}
	return byDC
}

// NextEvacuation returns the next time after now at which a data centre gets its
// last request; zero if there is none.
func (s *State) NextEvacuation(now time.Time) time.Time {
	var next time.Time
	for _, last := range s.evacuations() {
		if last.After(now) && (next.IsZero() || last.Before(next)) {
			next = last
		}
	}
	return next
}
