package admission

import (
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// item is one waiting request.
type item struct {
	offer Offer
	// seq numbers the offers of a controller.
	seq uint64
}

// flow is what one organisation has waiting in one rank.
type flow struct {
	org   types.OrgName
	share float64
	// waiting is sorted: by deadline in the urgent rank, by arrival in the
	// patient rank.
	waiting []*item
	// start is the virtual time at which the first waiting request may start;
	// finish is the one at which the last started request ends.
	start  float64
	finish float64
	pos    [orderCount]int
}

func newFlow(org types.OrgName, share float64) *flow {
	f := &flow{org: org, share: share}
	for i := range f.pos {
		f.pos[i] = notInHeap
	}
	return f
}

// rankQueue is the queue of one rank: start-time fair queueing between
// organisations, bounded in requests and bytes.
type rankQueue struct {
	rank  types.Rank
	flows map[types.OrgName]*flow
	items map[ID]*item
	// byStart orders flows with waiting requests by start, byLength by their
	// length per share, longest first, and idle orders empty flows by finish.
	byStart  *flowHeap
	byLength *flowHeap
	idle     *flowHeap
	virtual  float64
	shares   float64
	bytes    int64
}

func newRankQueue(rank types.Rank) *rankQueue {
	return &rankQueue{
		rank:     rank,
		flows:    map[types.OrgName]*flow{},
		items:    map[ID]*item{},
		byStart:  newFlowHeap(orderStart, func(a, b *flow) bool { return before(a.start, b.start, a, b) }),
		byLength: newFlowHeap(orderLength, func(a, b *flow) bool { return before(-a.length(), -b.length(), a, b) }),
		idle:     newFlowHeap(orderIdle, func(a, b *flow) bool { return before(a.finish, b.finish, a, b) }),
	}
}

// before orders by key, then by name, so that ties do not depend on history.
func before(x, y float64, a, b *flow) bool {
	if x != y {
		return x < y
	}
	return a.org < b.org
}

func (f *flow) length() float64 {
	return float64(len(f.waiting)) / f.share
}

func (q *rankQueue) len() int {
	return len(q.items)
}

// add queues an offer.
func (q *rankQueue) add(o Offer, seq uint64) {
	f := q.flows[o.Org]
	if f == nil {
		f = newFlow(o.Org, o.Share)
		q.flows[o.Org] = f
	}
	if len(f.waiting) == 0 {
		f.share = o.Share
		f.start = max(q.virtual, f.finish)
		q.shares += f.share
		q.idle.remove(f)
	}
	it := &item{offer: o, seq: seq}
	at, _ := slices.BinarySearchFunc(f.waiting, it, q.compare)
	f.waiting = slices.Insert(f.waiting, at, it)
	q.items[o.ID] = it
	q.bytes += o.Bytes
	q.byStart.put(f)
	q.byLength.put(f)
}

// compare orders the requests of one organisation.
func (q *rankQueue) compare(a, b *item) int {
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

// head returns the request that fair sharing starts next, or nil.
func (q *rankQueue) head() *item {
	f := q.byStart.first()
	if f == nil {
		return nil
	}
	return f.waiting[0]
}

// charge takes the request out and charges its organisation for it.
func (q *rankQueue) charge(it *item) {
	f := q.flows[it.offer.Org]
	q.virtual = max(q.virtual, f.start)
	f.finish = f.start + it.offer.Cost/f.share
	f.start = f.finish
	q.take(it)
}

// take removes a waiting request.
func (q *rankQueue) take(it *item) {
	f := q.flows[it.offer.Org]
	at, found := slices.BinarySearchFunc(f.waiting, it, q.compare)
	if !found {
		return
	}
	f.waiting = removeAt(f.waiting, at)
	delete(q.items, it.offer.ID)
	q.bytes -= it.offer.Bytes
	if len(f.waiting) > 0 {
		q.byStart.put(f)
		q.byLength.put(f)
		return
	}
	q.retire(f)
}

// removeAt removes an element; the first one without moving the others.
func removeAt(waiting []*item, at int) []*item {
	if at == 0 {
		waiting[0] = nil
		return waiting[1:]
	}
	return slices.Delete(waiting, at, at+1)
}

// retire forgets an empty flow once its past service no longer counts, and
// every other flow of which that became true.
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
		if oldest == nil || oldest.finish > q.virtual {
			return
		}
		q.idle.remove(oldest)
		delete(q.flows, oldest.org)
	}
}

// reset starts a new busy period: nothing waits, so nobody is owed anything.
func (q *rankQueue) reset() {
	clear(q.flows)
	q.idle.flows = nil
	q.virtual = 0
	q.shares = 0
	q.bytes = 0
}

// longest returns the last request of the organisation with the longest queue
// per share, or nil.
func (q *rankQueue) longest() *item {
	f := q.byLength.first()
	if f == nil {
		return nil
	}
	return f.waiting[len(f.waiting)-1]
}

// expired returns a waiting request that is past its latest start, or nil. It
// looks at the first request of each organisation.
func (q *rankQueue) expired(latest time.Time) *item {
	for _, f := range q.byStart.flows {
		if !f.waiting[0].offer.Deadline.After(latest) {
			return f.waiting[0]
		}
	}
	return nil
}
