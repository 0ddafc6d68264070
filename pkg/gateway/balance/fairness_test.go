package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// caller is an organisation whose requests come at a rate.
type caller struct {
	name      types.OrgName
	perSecond float64
	rank      int
}

// played is what the callers of one organisation got.
type played struct {
	asked, served, refused int
	// advice is the sum of the delays advised to refused callers.
	advice time.Duration
}

// heldPermit ends at a time.
type heldPermit struct {
	permit *balance.Permit
	ends   time.Time
}

// callerWaiter is a waiting request of a caller.
type callerWaiter struct {
	waiter *balance.Waiter
	by     *played
}

// overload plays callers that ask more of two endpoints of 6 slots than these can serve.
type overload struct {
	pool    *balance.Pool
	held    []heldPermit
	waiting []callerWaiter
	got     map[types.OrgName]*played
}

const (
	// servedIn is the time that a request holds its endpoint.
	servedIn   = 100 * time.Millisecond
	playedStep = time.Millisecond
	playedFor  = 20 * time.Second
)

func playOverload(seed uint64, callers ...caller) map[types.OrgName]*played {
	o := &overload{pool: newPool(view(0, 2, nil), 1), got: map[types.OrgName]*played{}}
	source := rand.New(rand.NewPCG(seed, 1))
	for now := start; now.Before(start.Add(playedFor)); now = now.Add(playedStep) {
		o.finish(now)
		for _, c := range callers {
			if o.got[c.name] == nil {
				o.got[c.name] = &played{}
			}
			// The arrivals of a step are few.
			for expected := c.perSecond * playedStep.Seconds(); expected > 0; expected-- {
				if source.Float64() < expected {
					o.arrive(c, now)
				}
			}
		}
	}
	return o.got
}

func (o *overload) arrive(c caller, now time.Time) {
	req := newRequest(desk, c.rank)
	req.Organisation, req.Arrived, req.Deadline = c.name, now, now.Add(5*time.Second)
	got := o.got[c.name]
	got.asked++
	permit, refusal := o.pool.Try(req, now)
	var waiter *balance.Waiter
	if permit == nil && refusal == nil {
		waiter, refusal = o.pool.Enqueue(req, now)
	}
	switch {
	case permit != nil:
		o.serve(permit, got, now)
	case refusal != nil:
		got.refuse(refusal)
	default:
		o.waiting = append(o.waiting, callerWaiter{waiter: waiter, by: got})
		o.settle(now)
	}
}

func (p *played) refuse(refusal *balance.Refusal) {
	p.refused++
	p.advice += refusal.RetryAfter
}

func (o *overload) serve(permit *balance.Permit, got *played, now time.Time) {
	got.served++
	o.held = append(o.held, heldPermit{permit: permit, ends: now.Add(servedIn)})
}

// finish ends the requests that are done, and the waits that are over.
func (o *overload) finish(now time.Time) {
	held := o.held
	o.held = nil
	for _, h := range held {
		if h.ends.After(now) {
			o.held = append(o.held, h)
		} else {
			o.pool.Done(h.permit, balance.Succeeded, now)
		}
	}
	o.settle(now)
	o.waiting = slices.DeleteFunc(o.waiting, func(w callerWaiter) bool {
		if w.waiter.ExpiresAt.After(now) {
			return false
		}
		w.by.refuse(o.pool.CancelWait(w.waiter, now))
		return true
	})
}

// settle takes what waiting requests were granted or refused.
func (o *overload) settle(now time.Time) {
	o.waiting = slices.DeleteFunc(o.waiting, func(w callerWaiter) bool {
		select {
		case permit := <-w.waiter.Granted:
			o.serve(permit, w.by, now)
		case refusal := <-w.waiter.Refused:
			w.by.refuse(refusal)
		default:
			return false
		}
		return true
	})
}

// others are organisations that ask for less than their share.
func others(rank int) []caller {
	var callers []caller
	for i := range 4 {
		callers = append(callers, caller{name: types.OrgName(fmt.Sprintf("other-%d", i)), perSecond: 20, rank: rank})
	}
	return callers
}

var _ = Describe("organisations that share endpoints", func() {
	for seed := range uint64(3) {
		It(fmt.Sprintf("get what they got before while another one floods the endpoints, seed %d", seed), func() {
			before := playOverload(seed, others(1)...)
			during := playOverload(seed, append(others(1), caller{name: "flood", perSecond: 600, rank: 1})...)
			for name, got := range before {
				share := float64(during[name].served) / float64(during[name].asked)
				Expect(share).To(BeNumerically(">=", 0.95*float64(got.served)/float64(got.asked)), "the share served of %s", name)
			}
			Expect(during["flood"].served).To(BeNumerically(">", 0), "what the others leave goes to the one that floods")
			refusedOthers := 0
			for _, c := range others(1) {
				refusedOthers += during[c.name].refused
			}
			Expect(during["flood"].refused).To(BeNumerically(">", 20*refusedOthers))
		})
	}

	It("use all room when only one of them asks", func() {
		alone := playOverload(1, caller{name: "flood", perSecond: 600, rank: 1})
		nameless := playOverload(1, caller{perSecond: 600, rank: 1})
		Expect(alone["flood"].served).To(Equal(nameless[""].served))
	})

	It("share alike when all of them flood, and none is starved", func() {
		got := playOverload(2, caller{name: "a", perSecond: 150, rank: 1}, caller{name: "b", perSecond: 600, rank: 1}, caller{name: "c", perSecond: 300, rank: 1})
		total := got["a"].served + got["b"].served + got["c"].served
		for _, name := range []types.OrgName{"a", "b", "c"} {
			Expect(got[name].served).To(BeNumerically("~", total/3, total/15), string(name))
		}
	})

	It("are served by rank before they share", func() {
		got := playOverload(2, caller{name: "a", perSecond: 80, rank: 0}, caller{name: "b", perSecond: 600, rank: 2})
		Expect(got["a"].served).To(BeNumerically(">=", got["a"].asked*95/100))
	})

	It("are refused by turns, not the small one, when the queue is full", func() {
		pool := newPool(view(0, 2, nil), 1)
		for {
			if permit, _ := pool.Try(newRequest(desk, 1), start); permit == nil {
				break
			}
		}
		patient := func(name types.OrgName) (*balance.Waiter, *balance.Refusal) {
			req := newRequest(desk, 1)
			req.Organisation, req.Objective, req.Deadline = name, 0, start.Add(time.Hour)
			return pool.Enqueue(req, start)
		}
		var flood []*balance.Waiter
		for {
			waiter, refusal := patient("flood")
			if refusal != nil {
				break
			}
			flood = append(flood, waiter)
		}
		small, refusal := patient("small")
		Expect(refusal).To(BeNil())
		Expect(flood[len(flood)-1].Refused).To(Receive())
		Expect(pool.Waiting(desk)).To(Equal(len(flood)))
		Expect(small.Refused).NotTo(Receive())
	})

	It("cost nothing once they no longer wait", func() {
		pool := newPool(view(0, 2, nil), 1)
		permit, _ := pool.Try(newRequest(desk, 1), start)
		for {
			if more, _ := pool.Try(newRequest(desk, 1), start); more == nil {
				break
			}
		}
		for i := range 5000 {
			req := newRequest(desk, 1)
			req.Organisation = types.OrgName(fmt.Sprint("organisation ", i))
			if waiter, _ := pool.Enqueue(req, start); waiter != nil {
				pool.CancelWait(waiter, start)
			}
		}
		pool.Done(permit, balance.Succeeded, start)
		Expect(pool.Flows()).To(BeZero())
	})

	It("are bounded in number while they are served and others wait", func() {
		pool := newPool(view(0, 2, nil), 1)
		var held *balance.Permit
		for {
			permit, _ := pool.Try(newRequest(desk, 1), start)
			if permit == nil {
				break
			}
			held = permit
		}
		blocked := newRequest(desk, 1)
		blocked.Tried, blocked.Organisation = []types.EndpointID{held.Endpoint.ID}, "blocked"
		_, refusal := pool.Enqueue(blocked, start)
		Expect(refusal).To(BeNil())
		for i := range 5000 {
			pool.Done(held, balance.Succeeded, start)
			req := newRequest(desk, 0)
			req.Organisation = types.OrgName(fmt.Sprint("organisation ", i))
			held, _ = pool.Try(req, start)
			Expect(held).NotTo(BeNil())
		}
		Expect(pool.Flows()).To(BeNumerically("<=", 1025))
		Expect(pool.Flows()).To(BeNumerically(">", 100))
	})

	It("are ordered as one if the configuration has none", func() {
		pool := newPool(view(0, 2, func(p *catalog.ActiveEndpoint) { p.Slots = 6 }), 1)
		var held []*balance.Permit
		for {
			permit, _ := pool.Try(newRequest(desk, 1), start)
			if permit == nil {
				break
			}
			held = append(held, permit)
		}
		source := rand.New(rand.NewPCG(5, 1))
		var waiters []*balance.Waiter
		for range 20 {
			req := newRequest(desk, 1)
			req.Deadline = start.Add(time.Duration(2000+source.IntN(4000)) * time.Millisecond)
			if waiter, _ := pool.Enqueue(req, start); waiter != nil {
				waiters = append(waiters, waiter)
			}
		}
		slices.SortStableFunc(waiters, func(a, b *balance.Waiter) int { return a.RequestInfo.Deadline.Compare(b.RequestInfo.Deadline) })
		for i, waiter := range waiters[:min(len(waiters), len(held))] {
			pool.Done(held[i], balance.Succeeded, start)
			Expect(waiter.Granted).To(HaveLen(1), "waiter %d", i)
		}
	})
})
