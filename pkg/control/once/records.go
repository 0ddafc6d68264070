package once

import (
	"container/heap"
	"container/list"
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/ticket"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// record is the owner's state of one ticket.
type record struct {
	id      ticket.ID
	org     types.OrgName
	content ContentHash
	startBy time.Time
	running bool
	outcome Outcome
	// responseElement is the element of records.responses; nil when no response
	// is stored.
	responseElement *list.Element
	// index is the position in the expiry heap.
	index int
}

// mayHaveRun reports whether the request is running, has run or may have run.
// Dropping such a record would hide that run from later sends of the ticket.
func (r *record) mayHaveRun() bool {
	return r.running || r.outcome.Verdict != types.NotRun
}

// records holds the records of all tickets and a bounded amount of responses.
type records struct {
	byID          map[ticket.ID]*record
	byOrg         map[types.OrgName]int // number of records
	expiry        expiryHeap
	responses     *list.List // of *record, oldest response first
	responseBytes int
	// latestForgotten is the latest StartBy of a dropped record that may have run.
	latestForgotten time.Time
}

func newRecords() *records {
	return &records{byID: make(map[ticket.ID]*record), byOrg: make(map[types.OrgName]int), responses: list.New()}
}

func (s *records) add(r *record) {
	s.byID[r.id] = r
	s.byOrg[r.org]++
	heap.Push(&s.expiry, r)
}

// keepResponse stores the record's response and evicts the oldest responses
// above the limit. The records stay, so that no request runs again.
func (s *records) keepResponse(r *record, maxBytes int) {
	if r.outcome.Response == nil {
		return
	}
	r.responseElement = s.responses.PushBack(r)
	s.responseBytes += r.outcome.Response.Size()
	for s.responseBytes > maxBytes {
		oldest, _ := s.responses.Front().Value.(*record)
		s.dropResponse(oldest)
	}
}

func (s *records) dropResponse(r *record) {
	if r.responseElement == nil {
		return
	}
	s.responses.Remove(r.responseElement)
	s.responseBytes -= r.outcome.Response.Size()
	r.responseElement = nil
	r.outcome = responseForgotten()
}

// purge drops the records of tickets whose StartBy has passed. A record of a
// request that may have run is dropped only after the retention time. purge goes
// in StartBy order and stops at the first record that has to stay, such as that
// of a running request, so the records after it stay too.
func (s *records) purge(now time.Time, retention time.Duration) {
	for len(s.expiry) > 0 {
		earliest := s.expiry[0]
		keepFor := time.Duration(0)
		if earliest.mayHaveRun() {
			keepFor = retention
		}
		if earliest.running || earliest.startBy.Add(keepFor).After(now) {
			return
		}
		s.drop(earliest)
	}
}

func (s *records) drop(r *record) {
	if r.mayHaveRun() && r.startBy.After(s.latestForgotten) {
		s.latestForgotten = r.startBy
	}
	s.dropResponse(r)
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
