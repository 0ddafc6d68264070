package balance

import (
	"cmp"
	"slices"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// rankKey is the urgency of a request: the rank of its caller, then its own.
type rankKey struct {
	caller, request int
}

func rankOf(req RequestInfo) rankKey {
	return rankKey{caller: req.CallerRank, request: req.Rank}
}

func (k rankKey) compare(other rankKey) int {
	return cmp.Or(cmp.Compare(k.caller, other.caller), cmp.Compare(k.request, other.request))
}

// flowKey names the requests of one organisation in one rank.
type flowKey struct {
	rank         rankKey
	organisation types.OrgName
}

func flowOf(req RequestInfo) flowKey {
	return flowKey{rank: rankOf(req), organisation: req.Organisation}
}

// maxFlows bounds the flows of which state is kept. At most maxWaiting of them have waiting
// requests.
const maxFlows = 2 * maxWaiting

// flow holds the state of one organisation's requests in one rank.
type flow struct {
	waiting int
	// finish is the virtual time at which its next request may start at the earliest.
	finish float64
}

// fairShares orders requests that wait by start-time fair queueing between organisations
// inside a rank, each with the same weight: a request takes one unit of virtual time of its
// flow, and the request whose unit begins first is next. State is kept only while requests
// wait, for the organisations that wait or were served meanwhile.
type fairShares struct {
	flows map[flowKey]*flow
	// virtual is the time of each rank: the beginning of the unit served last.
	virtual map[rankKey]float64
}

func newFairShares() fairShares {
	return fairShares{flows: make(map[flowKey]*flow), virtual: make(map[rankKey]float64)}
}

func (s *fairShares) flow(key flowKey) *flow {
	f := s.flows[key]
	if f == nil {
		f = &flow{}
		s.flows[key] = f
	}
	return f
}

// startOf returns the virtual time at which the next request of a flow starts.
func (s *fairShares) startOf(key flowKey) float64 {
	start := s.virtual[key.rank]
	if f := s.flows[key]; f != nil {
		start = max(start, f.finish)
	}
	return start
}

// enter counts a request that waits.
func (s *fairShares) enter(req RequestInfo) {
	s.flow(flowOf(req)).waiting++
}

// leave counts a request that waits no longer.
func (s *fairShares) leave(req RequestInfo) {
	s.flow(flowOf(req)).waiting--
}

// charge takes a unit of virtual time for a request that was served while others wait.
func (s *fairShares) charge(req RequestInfo) {
	key := flowOf(req)
	start := s.startOf(key)
	s.virtual[key.rank] = start
	s.flow(key).finish = start + 1
	if len(s.flows) > maxFlows {
		s.forgetIdle()
	}
}

// forgetIdle forgets the flows without waiting requests. Their last service would have
// delayed each by one request at most.
func (s *fairShares) forgetIdle() {
	for key, f := range s.flows {
		if f.waiting == 0 {
			delete(s.flows, key)
		}
	}
}

// reset forgets all service when no request waits any more.
func (s *fairShares) reset() {
	clear(s.flows)
	clear(s.virtual)
}

// ahead counts the waiting requests that precede a new one.
func (s *fairShares) ahead(req RequestInfo) int {
	key := flowOf(req)
	own := 0
	if f := s.flows[key]; f != nil {
		own = f.waiting
	}
	start := s.startOf(key) + float64(own)
	count := own
	for other, f := range s.flows {
		switch compared := other.rank.compare(key.rank); {
		case other == key || compared > 0 || f.waiting == 0:
		case compared < 0:
			count += f.waiting
		default:
			first := s.startOf(other)
			count += min(f.waiting, max(int(start-first)+1, 0))
		}
	}
	return count
}

// shared reports whether requests of several organisations wait.
func (s *fairShares) shared() bool {
	seen, waiting := types.OrgName(""), false
	for key, f := range s.flows {
		if f.waiting > 0 && waiting && key.organisation != seen {
			return true
		}
		if f.waiting > 0 {
			seen, waiting = key.organisation, true
		}
	}
	return false
}

// order returns waiting requests, which are sorted by urgency and deadline, in the order in
// which they are next.
func (s *fairShares) order(waiting []*Waiter) []*Waiter {
	if !s.shared() {
		return waiting
	}
	starts := make(map[flowKey]float64, len(s.flows))
	tags := make(map[*Waiter]float64, len(waiting))
	for _, waiter := range waiting {
		key := flowOf(waiter.RequestInfo)
		start, found := starts[key]
		if !found {
			start = s.startOf(key)
		}
		tags[waiter], starts[key] = start, start+1
	}
	ordered := slices.Clone(waiting)
	slices.SortStableFunc(ordered, func(a, b *Waiter) int {
		return cmp.Or(rankOf(a.RequestInfo).compare(rankOf(b.RequestInfo)), cmp.Compare(tags[a], tags[b]))
	})
	return ordered
}

// crowding returns the flow that must make room for a new request when the queue is full:
// of those no more urgent, the one with the most waiting requests, if it is of another
// organisation and has more than the request's own would have then.
func (s *fairShares) crowding(req RequestInfo) (flowKey, bool) {
	key := flowOf(req)
	own := 0
	if f := s.flows[key]; f != nil {
		own = f.waiting
	}
	var longest flowKey
	most := own + 1
	for other, f := range s.flows {
		if other.organisation == key.organisation || other.rank.compare(key.rank) < 0 || f.waiting <= own+1 {
			continue
		}
		if f.waiting > most || f.waiting == most && other.organisation < longest.organisation {
			longest, most = other, f.waiting
		}
	}
	return longest, most > own+1
}
