package admission

import (
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// queuedRequest is one waiting request.
type queuedRequest struct {
	offer Offer
	// seq is the position of the offer in the controller's order of arrival.
	seq uint64
}

// flow holds the waiting requests of one organisation in one rank.
type flow struct {
	org   types.OrgName
	share float64
	// waiting is sorted: by deadline in the urgent rank, by arrival in the
	// patient rank.
	waiting []*queuedRequest
	// startTag is the virtual time at which the first waiting request may start;
	// finishTag is the virtual time at which the last started request ends.
	startTag  float64
	finishTag float64
	pos       [orderCount]int
}

func newFlow(org types.OrgName, share float64) *flow {
	f := &flow{org: org, share: share}
	for i := range f.pos {
		f.pos[i] = notInHeap
	}
	return f
}

// rankQueue is the queue of one rank: start-time fair queueing (SFQ) between
// organisations, limited in requests and bytes.
type rankQueue struct {
	rank  types.Rank
	flows map[types.OrgName]*flow
	byID  map[ID]*queuedRequest
	// byStart orders flows with waiting requests by start tag. byLength orders
	// them by weighted length, longest first. idle orders empty flows by finish
	// tag.
	byStart     *flowHeap
	byLength    *flowHeap
	idle        *flowHeap
	virtualTime float64
	shares      float64
	bytes       int64
}

func newRankQueue(rank types.Rank) *rankQueue {
	return &rankQueue{
		rank:     rank,
		flows:    map[types.OrgName]*flow{},
		byID:     map[ID]*queuedRequest{},
		byStart:  newFlowHeap(orderStart, func(a, b *flow) bool { return before(a.startTag, b.startTag, a, b) }),
		byLength: newFlowHeap(orderLength, func(a, b *flow) bool { return before(-a.weightedLength(), -b.weightedLength(), a, b) }),
		idle:     newFlowHeap(orderIdle, func(a, b *flow) bool { return before(a.finishTag, b.finishTag, a, b) }),
	}
}

// before orders flows by key, then by organisation name, so that ties do not
// depend on the order of earlier events.
func before(x, y float64, a, b *flow) bool {
	if x != y {
		return x < y
	}
	return a.org < b.org
}

func (f *flow) weightedLength() float64 {
	return float64(len(f.waiting)) / f.share
}

func (q *rankQueue) len() int {
	return len(q.byID)
}

func (q *rankQueue) add(o Offer, seq uint64) {
	f := q.flows[o.Org]
	if f == nil {
		f = newFlow(o.Org, o.Share)
		q.flows[o.Org] = f
	}
	if len(f.waiting) == 0 {
		f.share = o.Share
		f.startTag = max(q.virtualTime, f.finishTag)
		q.shares += f.share
		q.idle.remove(f)
	}
	queued := &queuedRequest{offer: o, seq: seq}
	index, _ := slices.BinarySearchFunc(f.waiting, queued, q.compare)
	f.waiting = slices.Insert(f.waiting, index, queued)
	q.byID[o.ID] = queued
	q.bytes += o.Bytes
	q.byStart.put(f)
	q.byLength.put(f)
}

// compare orders the requests of one organisation: by deadline in the urgent
// rank, then by arrival.
func (q *rankQueue) compare(a, b *queuedRequest) int {
	if q.rank == types.RankUrgent {
		if c := a.offer.Deadline.Compare(b.offer.Deadline); c != 0 {
			return c
		}
	}
	if a.seq < b.seq {
		return -1
	}
	if a.seq > b.seq {
		return 1
	}
	return 0
}

// head returns the next request in fair-queueing order, or nil.
func (q *rankQueue) head() *queuedRequest {
	f := q.byStart.first()
	if f == nil {
		return nil
	}
	return f.waiting[0]
}

// charge removes the request to start it and charges its cost to the
// organisation's flow.
func (q *rankQueue) charge(queued *queuedRequest) {
	f := q.flows[queued.offer.Org]
	q.virtualTime = max(q.virtualTime, f.startTag)
	f.finishTag = f.startTag + queued.offer.Cost/f.share
	f.startTag = f.finishTag
	q.remove(queued)
}

// remove removes a waiting request without charging for it.
func (q *rankQueue) remove(queued *queuedRequest) {
	f := q.flows[queued.offer.Org]
	index, found := slices.BinarySearchFunc(f.waiting, queued, q.compare)
	if !found {
		return
	}
	f.waiting = removeAt(f.waiting, index)
	delete(q.byID, queued.offer.ID)
	q.bytes -= queued.offer.Bytes
	if len(f.waiting) > 0 {
		q.byStart.put(f)
		q.byLength.put(f)
		return
	}
	q.retire(f)
}

// removeAt removes an element. Removing the first element, the usual case, moves
// no other.
func removeAt(waiting []*queuedRequest, index int) []*queuedRequest {
	if index == 0 {
		waiting[0] = nil
		return waiting[1:]
	}
	return slices.Delete(waiting, index, index+1)
}

// retire makes a flow without waiting requests idle. It then deletes every idle
// flow whose finish tag is not after the virtual time, because its past service
// no longer delays it.
func (q *rankQueue) retire(f *flow) {
	f.waiting = nil
	q.shares -= f.share
	q.byStart.remove(f)
	q.byLength.remove(f)
	q.idle.put(f)
	if q.byStart.Len() == 0 {
		q.reset()
		return
	}
	for {
		oldest := q.idle.first()
		if oldest == nil || oldest.finishTag > q.virtualTime {
			return
		}
		q.idle.remove(oldest)
		delete(q.flows, oldest.org)
	}
}

// reset starts a new busy period. With no request waiting, the past service of
// flows no longer counts.
func (q *rankQueue) reset() {
	clear(q.flows)
	q.idle.flows = nil
	q.virtualTime = 0
	q.shares = 0
	q.bytes = 0
}

// lastOfLongest returns the last request of the organisation with the greatest
// weighted queue length, or nil.
func (q *rankQueue) lastOfLongest() *queuedRequest {
	f := q.byLength.first()
	if f == nil {
		return nil
	}
	return f.waiting[len(f.waiting)-1]
}

// expired returns a waiting request whose deadline is not after latest, or nil.
// It examines only the first request of each organisation.
func (q *rankQueue) expired(latest time.Time) *queuedRequest {
	for _, f := range q.byStart.flows {
		if !f.waiting[0].offer.Deadline.After(latest) {
			return f.waiting[0]
		}
	}
	return nil
}
