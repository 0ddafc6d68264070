package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// evidence is a bounded set of entries with indexes by fingerprint and by
// endpoint. Merging and eviction commute: whatever the order of additions, the set
// holds the entries with the highest retention priority (see compareEntries).
type evidence struct {
	capacity int
	entries  map[Entry]uint64 // value: local sequence number of arrival
	sequence uint64
	// arrivals lists entries in order of arrival. It may include removed ones;
	// remove compacts it when it exceeds twice the capacity.
	arrivals []arrival
	content  map[request.Fingerprint][]Entry
	endpoint map[types.EndpointID][]Entry
}

// arrival is an entry with its local sequence number.
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
		e.remove(e.leastValuable())
	}
}

// leastValuable returns the entry with the lowest retention priority.
func (e *evidence) leastValuable() Entry {
	var leastValuable Entry
	first := true
	for entry := range e.entries {
		if first || compareEntries(entry, leastValuable) > 0 {
			leastValuable, first = entry, false
		}
	}
	return leastValuable
}

func (e *evidence) remove(entry Entry) {
	delete(e.entries, entry)
	if len(e.arrivals) > 2*e.capacity {
		e.arrivals = slices.DeleteFunc(e.arrivals, func(a arrival) bool { return !e.isCurrent(a) })
	}
	fingerprint := request.Fingerprint(entry.Fingerprint)
	e.content[fingerprint] = removeEntry(e.content[fingerprint], entry)
	if len(e.content[fingerprint]) == 0 {
		delete(e.content, fingerprint)
	}
	if entry.Kind != KindCrash {
		return
	}
	e.endpoint[entry.Endpoint] = removeEntry(e.endpoint[entry.Endpoint], entry)
	if len(e.endpoint[entry.Endpoint]) == 0 {
		delete(e.endpoint, entry.Endpoint)
	}
}

func removeEntry(entries []Entry, entry Entry) []Entry {
	return slices.DeleteFunc(entries, func(other Entry) bool { return other == entry })
}

// expire removes entries observed before a time.
func (e *evidence) expire(before time.Time) {
	for entry := range e.entries {
		if entry.observedAt().Before(before) {
			e.remove(entry)
		}
	}
}

// since returns up to limit entries that arrived after a cursor, in order of
// arrival, and the cursor of the last one.
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
		if e.isCurrent(next) {
			found = append(found, next.entry)
		}
	}
	return found, cursor
}

// isCurrent reports whether the entry of an arrival has not been removed since.
func (e *evidence) isCurrent(a arrival) bool {
	return e.entries[a.entry] == a.sequence
}

// crashes returns the crashes of a fingerprint since its last completion, one for
// each crash of an endpoint, oldest first.
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
	return deduplicate(found)
}

// deduplicate keeps the first of the entries that report the same crash. Entries
// must be sorted by time.
func deduplicate(entries []Entry) []Entry {
	last := make(map[types.EndpointID]time.Time)
	var kept []Entry
	for _, entry := range entries {
		observedAt, seen := last[entry.Endpoint]
		if seen && entry.observedAt().Sub(observedAt) < sameCrashWindow {
			continue
		}
		last[entry.Endpoint] = entry.observedAt()
		kept = append(kept, entry)
	}
	return kept
}

// otherContents returns the other fingerprints that were on the endpoint in the
// same crash.
func (e *evidence) otherContents(crash Entry) []request.Fingerprint {
	var found []request.Fingerprint
	for _, other := range e.endpoint[crash.Endpoint] {
		if other.Fingerprint != crash.Fingerprint && within(other, crash, sameCrashWindow) {
			found = append(found, request.Fingerprint(other.Fingerprint))
		}
	}
	return found
}

// widespread reports whether at least widespreadCrashes endpoints, including the
// one of this crash, crashed within widespreadWindow of it, as when a rack is
// lost.
func (e *evidence) widespread(crash Entry) bool {
	crashed := 0
	for _, crashes := range e.endpoint {
		if slices.ContainsFunc(crashes, func(other Entry) bool { return within(other, crash, widespreadWindow) }) {
			crashed++
		}
	}
	return crashed >= widespreadCrashes
}

func within(a, b Entry, window time.Duration) bool {
	return a.observedAt().Sub(b.observedAt()).Abs() < window
}

// quarantinedAt returns when the fingerprint was last quarantined, and false if it
// never was.
func (e *evidence) quarantinedAt(fingerprint request.Fingerprint) (time.Time, bool) {
	var newest int64
	for _, entry := range e.content[fingerprint] {
		if entry.Kind == KindQuarantined {
			newest = max(newest, entry.AtMillis)
		}
	}
	return time.UnixMilli(newest), newest != 0
}
