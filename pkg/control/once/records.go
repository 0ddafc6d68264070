package once

import (
	"container/heap"
	"container/list"
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/ticket"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// record is what the owner remembers of one ticket.
type record struct {
	id      ticket.ID
	org     types.OrgName
	content ContentHash
	startBy time.Time
	running bool
	outcome Outcome
	// answer is the element of records.answers; nil when no answer is held.
	answer *list.Element
	// index is the position in the expiry heap.
	index int
}

// ranOrMay reports whether the record holds a run that forgetting would hide.
func (r *record) ranOrMay() bool {
	return r.running || r.outcome.Verdict != types.NotRun
}

// records holds the remembered tickets and a bounded amount of answers.
type records struct {
	byID    map[ticket.ID]*record
	byOrg   map[types.OrgName]int // number of records
	expiry  expiryHeap
	answers *list.List // of *record, oldest answer first
	bytes   int
	// forgotten is the latest StartBy of a dropped record that may have run.
	forgotten time.Time
}

func newRecords() *records {
	return &records{byID: make(map[ticket.ID]*record), byOrg: make(map[types.OrgName]int), answers: list.New()}
}

func (s *records) add(r *record) {
	s.byID[r.id] = r
	s.byOrg[r.org]++
	heap.Push(&s.expiry, r)
}

// keepAnswer remembers the record's answer and drops the oldest answers over
// the bound. The records stay, so that nothing runs again.
func (s *records) keepAnswer(r *record, maxBytes int) {
	if r.outcome.Response == nil {
		return
	}
	r.answer = s.answers.PushBack(r)
	s.bytes += r.outcome.Response.Size()
	for s.bytes > maxBytes {
		oldest, _ := s.answers.Front().Value.(*record)
		s.dropAnswer(oldest)
	}
}

func (s *records) dropAnswer(r *record) {
	if r.answer == nil {
		return
	}
	s.answers.Remove(r.answer)
	s.bytes -= r.outcome.Response.Size()
	r.answer = nil
	r.outcome = answerForgotten()
}

// purge drops records whose ticket can no longer start anything: those that
// may have run after the retention, the others at once. A running record
// stays, and so do those that expire after it.
func (s *records) purge(clock time.Time, retain time.Duration) {
	for len(s.expiry) > 0 {
		first := s.expiry[0]
		keep := time.Duration(0)
		if first.ranOrMay() {
			keep = retain
		}
		if first.running || first.startBy.Add(keep).After(clock) {
			return
		}
		s.drop(first)
	}
}

func (s *records) drop(r *record) {
	if r.ranOrMay() && r.startBy.After(s.forgotten) {
		s.forgotten = r.startBy
	}
	s.dropAnswer(r)
	heap.Remove(&s.expiry, r.index)
	delete(s.byID, r.id)
	s.byOrg[r.org]--
	if s.byOrg[r.org] == 0 {
		delete(s.byOrg, r.org)
	}
}

// expiryHeap orders records by StartBy.
type expiryHeap []*record

var _ heap.Interface = (*expiryHeap)(nil)

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].startBy.Before(h[j].startBy) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	r, _ := x.(*record)
	r.index = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return r
}
