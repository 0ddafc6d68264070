package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// evidence is a bounded set of entries with indexes by fingerprint and by
// endpoint. Union with another set and the bound commute: the set always holds
// the entries most worth keeping of all that were added.
type evidence struct {
	capacity int
	entries  map[Entry]uint64 // to the local sequence number of arrival
	sequence uint64
	// arrivals lists entries in the order of arrival, removed ones too until
	// they are too many.
	arrivals []arrival
	content  map[request.Fingerprint][]Entry
	endpoint map[types.EndpointID][]Entry
}

// arrival is an entry with the number of its arrival.
type arrival struct {
	sequence uint64
	entry    Entry
}

func newEvidence(capacity int) *evidence {
	return &evidence{
		capacity: capacity,
		entries:  make(map[Entry]uint64),
		content:  make(map[request.Fingerprint][]Entry),
		endpoint: make(map[types.EndpointID][]Entry),
	}
}

func (e *evidence) add(entry Entry) {
	if _, known := e.entries[entry]; known {
		return
	}
	e.sequence++
	e.entries[entry] = e.sequence
	e.arrivals = append(e.arrivals, arrival{e.sequence, entry})
	fingerprint := request.Fingerprint(entry.Fingerprint)
	e.content[fingerprint] = append(e.content[fingerprint], entry)
	if entry.Kind == KindCrash {
		e.endpoint[entry.Endpoint] = append(e.endpoint[entry.Endpoint], entry)
	}
	if len(e.entries) > e.capacity {
		e.remove(e.least())
	}
}

// least returns the entry that is least worth keeping.
func (e *evidence) least() Entry {
	var least Entry
	first := true
	for entry := range e.entries {
		if first || compareEntries(entry, least) > 0 {
			least, first = entry, false
		}
	}
	return least
}

func (e *evidence) remove(entry Entry) {
	delete(e.entries, entry)
	if len(e.arrivals) > 2*e.capacity {
		e.arrivals = slices.DeleteFunc(e.arrivals, func(a arrival) bool { return !e.holds(a) })
	}
	fingerprint := request.Fingerprint(entry.Fingerprint)
	e.content[fingerprint] = without(e.content[fingerprint], entry)
	if len(e.content[fingerprint]) == 0 {
		delete(e.content, fingerprint)
	}
	if entry.Kind != KindCrash {
		return
	}
	e.endpoint[entry.Endpoint] = without(e.endpoint[entry.Endpoint], entry)
	if len(e.endpoint[entry.Endpoint]) == 0 {
		delete(e.endpoint, entry.Endpoint)
	}
}

func without(entries []Entry, entry Entry) []Entry {
	return slices.DeleteFunc(entries, func(other Entry) bool { return other == entry })
}

// expire drops entries made before a time.
func (e *evidence) expire(before time.Time) {
	for entry := range e.entries {
		if entry.at().Before(before) {
			e.remove(entry)
		}
	}
}

// since returns the entries that arrived after a cursor, oldest arrival first,
// at most limit of them, and the cursor behind them.
func (e *evidence) since(cursor uint64, limit int) ([]Entry, uint64) {
	start, _ := slices.BinarySearchFunc(e.arrivals, cursor+1, func(a arrival, sequence uint64) int {
		return cmp.Compare(a.sequence, sequence)
	})
	var found []Entry
	for _, next := range e.arrivals[start:] {
		if len(found) == limit {
			break
		}
		cursor = next.sequence
		if e.holds(next) {
			found = append(found, next.entry)
		}
	}
	return found, cursor
}

// holds reports whether an arrival has not been removed since.
func (e *evidence) holds(a arrival) bool {
	return e.entries[a.entry] == a.sequence
}

// crashes returns the crashes of a fingerprint that no later completion
// excuses, one for each crash of an endpoint, oldest first.
func (e *evidence) crashes(fingerprint request.Fingerprint) []Entry {
	var completedAt int64
	for _, entry := range e.content[fingerprint] {
		if entry.Kind == KindCompleted {
			completedAt = max(completedAt, entry.AtMillis)
		}
	}
	var found []Entry
	for _, entry := range e.content[fingerprint] {
		if entry.Kind == KindCrash && entry.AtMillis > completedAt {
			found = append(found, entry)
		}
	}
	slices.SortFunc(found, func(a, b Entry) int { return -compareEntries(a, b) })
	return distinct(found)
}

// distinct keeps one entry of those that tell of the same crash. Entries are
// sorted by time.
func distinct(entries []Entry) []Entry {
	last := make(map[types.EndpointID]time.Time)
	var kept []Entry
	for _, entry := range entries {
		at, seen := last[entry.Endpoint]
		if seen && entry.at().Sub(at) < sameCrash {
			continue
		}
		last[entry.Endpoint] = entry.at()
		kept = append(kept, entry)
	}
	return kept
}

// sharing returns the other fingerprints that were on the endpoint in the same
// crash.
func (e *evidence) sharing(crash Entry) []request.Fingerprint {
	var found []request.Fingerprint
	for _, other := range e.endpoint[crash.Endpoint] {
		if other.Fingerprint != crash.Fingerprint && near(other, crash, sameCrash) {
			found = append(found, request.Fingerprint(other.Fingerprint))
		}
	}
	return found
}

// widespread reports whether several endpoints crashed together with this one,
// as when a rack is lost.
func (e *evidence) widespread(crash Entry) bool {
	together := 0
	for _, crashes := range e.endpoint {
		if slices.ContainsFunc(crashes, func(other Entry) bool { return near(other, crash, togetherWindow) }) {
			together++
		}
	}
	return together >= widespreadCrashes
}

func near(a, b Entry, window time.Duration) bool {
	return a.at().Sub(b.at()).Abs() < window
}

// quarantinedAt returns the newest time at which the fingerprint was
// quarantined, and whether it was.
func (e *evidence) quarantinedAt(fingerprint request.Fingerprint) (time.Time, bool) {
	var newest int64
	for _, entry := range e.content[fingerprint] {
		if entry.Kind == KindQuarantined {
			newest = max(newest, entry.AtMillis)
		}
	}
	return time.UnixMilli(newest), newest != 0
}
