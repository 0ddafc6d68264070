package balance

import (
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Limits on what is remembered of endpoints that want no requests.
const (
	// maxWithdrawals bounds the remembered endpoints that are not published.
	maxWithdrawals = 4096
	// withdrawalTTL is how long an endpoint is remembered after it was last
	// published, so that a late record of it does not bring it back.
	withdrawalTTL = time.Hour
	// unknownStartTTL is how long after its last notice an endpoint without a
	// known start time is kept out: a later start of it looks the same.
	unknownStartTTL = 10 * time.Minute
	// maxRamp bounds the time after a pause within which the limit of the endpoint
	// grows to its usual value; after a shorter pause it takes as long as the pause.
	maxRamp = time.Second
	// withdrawalExpiryInterval is the time between two checks for expired entries.
	withdrawalExpiryInterval = time.Second
)

// Notice is what an endpoint says of itself in a response.
type Notice struct {
	// Leaving is true if the endpoint wants no further request.
	Leaving bool
	// Backoff is how long the endpoint wants no request from this daemon; zero if
	// it asks for no pause.
	Backoff time.Duration
}

// Empty reports whether the notice says nothing.
func (n Notice) Empty() bool {
	return !n.Leaving && n.Backoff <= 0
}

// Change is the change of state that a notice caused; the zero value is none.
type Change struct {
	// Leaving is true if the endpoint was not known to be leaving before.
	Leaving bool
	// PausedUntil is the end of the pause if the notice made it later; zero
	// otherwise.
	PausedUntil time.Time
}

// incarnation identifies one start of an endpoint.
type incarnation struct {
	id types.EndpointID
	// startedAt is zero if the start time is unknown.
	startedAt int64
	address   string
}

func incarnationOf(endpoint *catalog.Endpoint) incarnation {
	return incarnation{id: endpoint.ID, startedAt: endpoint.StartedAt, address: endpoint.Address}
}

// mayEqual reports whether both may be the same start of an endpoint with this ID.
// A known start time tells, whatever address a record names; without one the
// address has to be the same.
func (i incarnation) mayEqual(other incarnation) bool {
	if i.startedAt != 0 && other.startedAt != 0 {
		return i.startedAt == other.startedAt
	}
	return i.address == other.address
}

// identical reports whether both are the same start of an endpoint with this ID,
// as far as can be known.
func (i incarnation) identical(other incarnation) bool {
	return i.startedAt == other.startedAt && i.mayEqual(other)
}

// withdrawal is what one incarnation of an endpoint said of itself. It outlives
// the published record, which may vanish and come back.
type withdrawal struct {
	incarnation
	leaving bool
	// pausedUntil is the latest end of the pauses that it asked for; pausedFrom is
	// when the first of those that overlap began.
	pausedFrom  time.Time
	pausedUntil time.Time
	notedAt     time.Time
	// lastPublished is when the incarnation was last known to be published.
	lastPublished time.Time
}

// note adds a notice.
func (w *withdrawal) note(notice Notice, now time.Time) {
	w.notedAt, w.lastPublished = now, now
	w.leaving = w.leaving || notice.Leaving
	if notice.Backoff <= 0 {
		return
	}
	if !now.Before(w.pausedUntil) {
		w.pausedFrom = now
	}
	if until := now.Add(notice.Backoff); until.After(w.pausedUntil) {
		w.pausedUntil = until
	}
}

// expired reports whether the entry has no effect any more.
func (w *withdrawal) expired(now time.Time) bool {
	if now.Sub(w.lastPublished) > withdrawalTTL || w.startedAt == 0 && now.Sub(w.notedAt) > unknownStartTTL {
		return true
	}
	return !w.leaving && now.Sub(w.pausedUntil) > maxRamp
}

// availability is what an endpoint said of whether it takes requests.
type availability struct {
	leaving     bool
	pausedFrom  time.Time
	pausedUntil time.Time
}

func (a availability) paused(now time.Time) bool {
	return now.Before(a.pausedUntil)
}

// closed reports whether the endpoint gets no request now.
func (a availability) closed(now time.Time) bool {
	return a.leaving || a.paused(now)
}

// ramp returns the share of its usual limit that the endpoint is given, from 0 at
// the end of a pause to 1.
func (a availability) ramp(now time.Time) float64 {
	if a.pausedUntil.IsZero() {
		return 1
	}
	length := min(a.pausedUntil.Sub(a.pausedFrom), maxRamp)
	since := now.Sub(a.pausedUntil)
	if length <= 0 || since >= length {
		return 1
	}
	return max(since.Seconds()/length.Seconds(), 0)
}

// merge adds what another entry for the endpoint says.
func (a availability) merge(w *withdrawal) availability {
	a.leaving = a.leaving || w.leaving
	if w.pausedUntil.After(a.pausedUntil) {
		a.pausedFrom, a.pausedUntil = w.pausedFrom, w.pausedUntil
	}
	return a
}

// withdrawals remembers the endpoints that are leaving or asked for a pause.
type withdrawals struct {
	byID  map[types.EndpointID][]*withdrawal
	count int
	// nextExpiry is when expired entries are looked for again.
	nextExpiry time.Time
}

// of returns what an endpoint said of whether it takes requests.
func (s *withdrawals) of(endpoint *catalog.Endpoint, now time.Time) availability {
	var found availability
	entries := s.byID[endpoint.ID]
	if len(entries) == 0 {
		return found
	}
	key := incarnationOf(endpoint)
	for _, entry := range entries {
		certain := key.startedAt != 0 && entry.startedAt != 0
		if entry.mayEqual(key) && (certain || now.Sub(entry.notedAt) <= unknownStartTTL) {
			found = found.merge(entry)
		}
	}
	return found
}

// note records a notice of an endpoint and returns the change that it caused.
func (s *withdrawals) note(endpoint *catalog.Endpoint, notice Notice, now time.Time) Change {
	before := s.of(endpoint, now)
	s.entry(incarnationOf(endpoint)).note(notice, now)
	after := s.of(endpoint, now)
	change := Change{Leaving: after.leaving && !before.leaving}
	if after.pausedUntil.After(before.pausedUntil) {
		change.PausedUntil = after.pausedUntil
	}
	return change
}

// entry returns the entry of an incarnation, which is created if there is none.
func (s *withdrawals) entry(key incarnation) *withdrawal {
	for _, entry := range s.byID[key.id] {
		if entry.identical(key) {
			return entry
		}
	}
	if s.byID == nil {
		s.byID = make(map[types.EndpointID][]*withdrawal)
	}
	entry := &withdrawal{incarnation: key}
	s.byID[key.id] = append(s.byID[key.id], entry)
	s.count++
	return entry
}

// expire removes expired entries, and the ones that were published longest ago
// while there are too many. Published names the incarnations that are published.
func (s *withdrawals) expire(published func(incarnation) bool, now time.Time) {
	if s.count == 0 || now.Before(s.nextExpiry) {
		return
	}
	s.nextExpiry = now.Add(withdrawalExpiryInterval)
	var unpublished []*withdrawal
	for _, entries := range s.byID {
		for _, entry := range entries {
			if published(entry.incarnation) {
				entry.lastPublished = now
			} else {
				unpublished = append(unpublished, entry)
			}
		}
	}
	slices.SortFunc(unpublished, func(a, b *withdrawal) int { return b.lastPublished.Compare(a.lastPublished) })
	excess := make(map[*withdrawal]bool)
	for _, entry := range unpublished[min(len(unpublished), maxWithdrawals):] {
		excess[entry] = true
	}
	s.removeIf(func(entry *withdrawal) bool { return excess[entry] || entry.expired(now) })
}

func (s *withdrawals) removeIf(drop func(*withdrawal) bool) {
	s.count = 0
	for id, entries := range s.byID {
		kept := slices.DeleteFunc(entries, drop)
		if len(kept) == 0 {
			delete(s.byID, id)
			continue
		}
		s.byID[id] = kept
		s.count += len(kept)
	}
}

// longestPause returns the time until the last end of a pause; zero if none is in
// force.
func (s *withdrawals) longestPause(now time.Time) time.Duration {
	var longest time.Duration
	for _, entries := range s.byID {
		for _, entry := range entries {
			longest = max(longest, entry.pausedUntil.Sub(now))
		}
	}
	return longest
}
