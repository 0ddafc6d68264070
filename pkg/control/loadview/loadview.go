// Package loadview recalls how many attempts a daemon had sent to an endpoint
// at an earlier time, so that a load report that arrives late can be corrected
// by the attempts since the moment it describes.
package loadview

import (
	"sort"
	"time"
)

// Counts is how many attempts had been sent and had ended by a time.
type Counts struct {
	At   time.Time
	Sent int64
	Done int64
}

// maxCounts bounds one history.
const maxCounts = 64

// History holds the counts of one endpoint, oldest first. It is not safe for
// concurrent use. The zero value is ready.
type History struct {
	counts []Counts
}

// Add notes the counts of now. Times must not go backwards; one that does is
// ignored.
func (h *History) Add(c Counts) {
	if n := len(h.counts); n > 0 && c.At.Before(h.counts[n-1].At) {
		return
	}
	if len(h.counts) == maxCounts {
		copy(h.counts, h.counts[1:])
		h.counts = h.counts[:maxCounts-1]
	}
	h.counts = append(h.counts, c)
}

// At returns the newest counts noted no later than the time, or the oldest ones
// known; false when none are known.
func (h *History) At(t time.Time) (Counts, bool) {
	if len(h.counts) == 0 {
		return Counts{}, false
	}
	after := sort.Search(len(h.counts), func(i int) bool { return h.counts[i].At.After(t) })
	return h.counts[max(after-1, 0)], true
}
