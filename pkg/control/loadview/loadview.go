// Package loadview records how many attempts a daemon has sent to each endpoint over
// time. A load report describes a moment before its arrival; these records allow
// it to be corrected by the attempts made since that moment.
package loadview

import (
	"sort"
	"time"
)

// Counts holds the number of attempts that had been sent and that had ended at a time.
type Counts struct {
	At   time.Time
	Sent int64
	Done int64
}

// maxCounts bounds the samples of one history.
const maxCounts = 64

// History holds samples of the counts of one endpoint, oldest first. It is not safe
// for concurrent use. The zero value is ready to use.
type History struct {
	counts []Counts
}

// Add appends a sample. It ignores a sample that is older than the last one. When the
// history is full, the oldest sample is dropped.
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

// At returns the latest sample taken at or before t, or the oldest sample if all are
// later. It returns false if there are no samples.
func (h *History) At(t time.Time) (Counts, bool) {
	if len(h.counts) == 0 {
		return Counts{}, false
	}
	after := sort.Search(len(h.counts), func(i int) bool { return h.counts[i].At.After(t) })
	return h.counts[max(after-1, 0)], true
}
