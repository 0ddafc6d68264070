package balance_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// playedRate is how many prompt tokens a played engine reads in a second.
const playedRate = 50_000

// playedEngine reads prompts one after the other, whatever their rank, and keeps
// the prefixes that it has read.
type playedEngine struct {
	freeAt time.Time
	held   map[uint64]bool
}

// read returns when the engine has read a prompt that arrives now.
func (e *playedEngine) read(one balance.RequestInfo, now time.Time) time.Time {
	tokens := one.PromptTokens
	if e.held[one.Prefix] {
		tokens -= one.PrefixTokens
	}
	e.held[one.Prefix] = true
	if e.freeAt.Before(now) {
		e.freeAt = now
	}
	e.freeAt = e.freeAt.Add(time.Duration(float64(tokens) / playedRate * float64(time.Second)))
	return e.freeAt
}

// running is a request at a played engine.
type running struct {
	place *balance.Permit
	// readAt is when its answer begins, endsAt when it is over.
	readAt, endsAt time.Time
	begun          bool
}

// played is the outcome of one kind of request.
type played struct {
	asked, inTime, late, refused int
}

// play sends asks to a pool before played engines at their times, and tells what
// callers got. Requests that find no room wait as the pool allows.
func play(pool *balance.Pool, asks []balance.RequestInfo) map[int]*played {
	const (
		step   = 5 * time.Millisecond
		stream = time.Second
	)
	engines := map[types.EndpointID]*playedEngine{}
	outcome := map[int]*played{}
	var open []*running
	var waiting []*balance.Waiter
	begin := func(place *balance.Permit, one balance.RequestInfo, now time.Time) {
		engine := engines[place.Endpoint.ID]
		if engine == nil {
			engine = &playedEngine{held: map[uint64]bool{}}
			engines[place.Endpoint.ID] = engine
		}
		readAt := engine.read(one, now)
		open = append(open, &running{place: place, readAt: readAt, endsAt: readAt.Add(stream)})
		if readAt.Sub(one.Arrived) <= one.Objective {
			outcome[one.Rank].inTime++
			return
		}
		outcome[one.Rank].late++
	}
	at := 0
	for now := start; at < len(asks) || len(open) > 0 || len(waiting) > 0; now = now.Add(step) {
		open = slices.DeleteFunc(open, func(one *running) bool {
			if !one.begun && !one.readAt.After(now) {
				one.begun = true
				pool.ResponseStarted(one.place, now)
			}
			if one.endsAt.After(now) {
				return false
			}
			pool.Done(one.place, balance.Succeeded, now)
			return true
		})
		pool.GrantAll(now)
		waiting = slices.DeleteFunc(waiting, func(one *balance.Waiter) bool {
			select {
			case place := <-one.Granted:
				begin(place, one.RequestInfo, now)
				return true
			default:
			}
			if one.ExpiresAt.After(now) {
				return false
			}
			pool.CancelWait(one)
			outcome[one.RequestInfo.Rank].refused++
			return true
		})
		for ; at < len(asks) && !asks[at].Arrived.After(now); at++ {
			one := asks[at]
			if outcome[one.Rank] == nil {
				outcome[one.Rank] = &played{}
			}
			outcome[one.Rank].asked++
			place, refusal := pool.Try(one, now)
			if place != nil {
				begin(place, one, now)
				continue
			}
			if one.PrefixTokens < balance.MinLargePrefixTokens && refusal == nil {
				if waiter, _ := pool.Enqueue(one, now); waiter != nil {
					waiting = append(waiting, waiter)
					continue
				}
			}
			outcome[one.Rank].refused++
		}
	}
	return outcome
}

var _ = Describe("Large prompts beyond what the engines can read", func() {
	const (
		engineCount  = 4
		seconds      = 12
		urgentRate   = 60
		prefixes     = 30
		shared, own  = 6_300, 2_890
		urgentPrompt = 800
	)

	// fleet is a pool whose engines serve an urgent kind of small prompts and a
	// lesser one of large prompts.
	fleet := func() *balance.Pool {
		v := view(engineCount, 0, nil)
		backends := []catalog.Backend{{Service: engines, Weight: 1}}
		v.Config.Routes = []*catalog.Route{
			{Name: "summaries", Rank: 0, Objective: 800 * time.Millisecond, Backends: backends},
			{Name: "reports", Rank: 2, Objective: 2 * time.Second, Backends: backends},
		}
		return newPool(v, 1)
	}

	// load is the small prompts and a number of large ones a second, evenly,
	// after seconds in which each prefix is asked for once.
	load := func(largeRate int) []balance.RequestInfo {
		const warmRate = 5
		warmUp := time.Duration(prefixes) * time.Second / warmRate
		var asks []balance.RequestInfo
		add := func(rate, count int, after time.Duration, build func(number int) balance.RequestInfo) {
			for number := range count {
				one := build(number)
				one.Service = engines
				one.Arrived = start.Add(after + time.Duration(number)*time.Second/time.Duration(rate))
				one.Deadline = one.Arrived.Add(10 * time.Second)
				asks = append(asks, one)
			}
		}
		add(urgentRate, urgentRate*seconds, warmUp, func(int) balance.RequestInfo {
			return balance.RequestInfo{Rank: 0, PromptTokens: urgentPrompt, Objective: 800 * time.Millisecond}
		})
		large := func(number int) balance.RequestInfo {
			return balance.RequestInfo{
				Rank: 2, PromptTokens: shared + own, PrefixTokens: shared, Prefix: uint64(number%prefixes + 1), Objective: 2 * time.Second,
			}
		}
		add(warmRate, prefixes, 0, large)
		add(largeRate, largeRate*seconds, warmUp, large)
		slices.SortStableFunc(asks, func(a, b balance.RequestInfo) int { return a.Arrived.Compare(b.Arrived) })
		return asks
	}

	// readable is how many large prompts with cached prefixes the engines can
	// read in a second beside the urgent ones.
	const readable = (engineCount*50_000 - urgentRate*urgentPrompt) / own

	It("are read as far as the engines can, in time, and leave the urgent ones theirs", func() {
		got := play(fleet(), load(2*readable))
		By(fmt.Sprintf("urgent %+v, large %+v", *got[0], *got[2]))
		Expect(float64(got[0].inTime)).To(BeNumerically(">=", 0.95*float64(got[0].asked)))
		Expect(float64(got[2].inTime)).To(BeNumerically(">=", 0.7*readable*seconds))
		Expect(got[2].late).To(BeNumerically("<=", got[2].asked/20))
	})

	It("are all read in time when the engines can", func() {
		got := play(fleet(), load(readable/2))
		Expect(got[2].refused).To(BeZero())
		Expect(float64(got[2].inTime)).To(BeNumerically(">=", 0.99*float64(got[2].asked)))
	})

	It("stay at the home of their prefix while it answers in time, whatever else waits there", func() {
		v := view(engineCount, 0, nil)
		pool := newPool(v, 1)
		one := withPrefix(7)
		one.Objective = 2 * time.Second
		home := place(pool, one, start).Endpoint.ID
		for range 3 {
			Expect(place(pool, one, start).Endpoint.ID).To(Equal(home))
		}
	})

	It("of absurd size take no more of an engine than its memory", func() {
		pool := newPool(view(1, 0, nil), 1)
		huge := withPrefix(1)
		huge.PromptTokens, huge.Objective = 1<<40, time.Minute
		huge.Deadline = start.Add(time.Hour)
		Expect(place(pool, huge, start)).NotTo(BeNil())
		after := withPrefix(2)
		after.Objective, after.Deadline = time.Minute, start.Add(time.Minute)
		Expect(place(pool, after, start)).NotTo(BeNil())
	})

	It("are read anew only where little is to be read", func() {
		pool := fleet()
		one := balance.RequestInfo{
			Service: engines, Rank: 2, PromptTokens: shared + own, PrefixTokens: shared,
			Arrived: start, Deadline: start.Add(6 * time.Second), Objective: 2 * time.Second,
		}
		count := func(anew bool) int {
			placed := 0
			one.PrefixUncached = anew
			for range 200 {
				one.Prefix++
				if found, _ := pool.Permit(one, start); found != nil {
					placed++
				}
			}
			return placed
		}
		Expect(count(true)).To(BeNumerically(">=", engineCount))
		Expect(count(true)).To(BeZero())
		Expect(count(false)).To(BeNumerically(">", 0))
	})
})

var _ = Describe("Small prompts", func() {
	It("go to the engines that begin their answers soonest", func() {
		pool := newPool(view(2, 0, nil), 1)
		now, counts := start, map[types.EndpointID]int{}
		for range 200 {
			one := ask(engines, 2)
			one.Arrived, one.Deadline = now, now.Add(5*time.Second)
			found := place(pool, one, now)
			counts[found.Endpoint.ID]++
			took := 20 * time.Millisecond
			if found.Endpoint.ID == "engines-0" {
				took = 300 * time.Millisecond
			}
			now = now.Add(took)
			pool.ResponseStarted(found, now)
			pool.Done(found, balance.Succeeded, now)
		}
		Expect(counts["engines-1"]).To(BeNumerically(">", 2*counts["engines-0"]))
	})

	It("are not sent to an engine that has left one unanswered beyond its objective", func() {
		pool := newPool(view(1, 0, nil), 1)
		place(pool, ask(engines, 0), start)
		later := ask(engines, 0)
		later.Arrived = start.Add(900 * time.Millisecond)
		found, refusal := pool.Permit(later, later.Arrived)
		Expect(found).To(BeNil())
		Expect(refusal).To(BeNil())
		Expect(pool.Blocked(engines, start.Add(3*time.Second))).To(BeNumerically(">", 0))
	})

	It("are kept from an engine that fails all of them at once, since it looks idle", func() {
		const perSecond, seconds = 200, 10
		pool := newPool(view(4, 0, nil), 1)
		type open struct {
			place  *balance.Permit
			result balance.Result
			endsAt time.Time
		}
		var running []open
		errors := 0
		for step := range perSecond * seconds {
			now := start.Add(time.Duration(step) * time.Second / perSecond)
			running = slices.DeleteFunc(running, func(one open) bool {
				if one.endsAt.After(now) {
					return false
				}
				pool.Done(one.place, one.result, one.endsAt)
				return true
			})
			one := ask(engines, 2)
			one.Arrived, one.Deadline = now, now.Add(5*time.Second)
			found := place(pool, one, now)
			if found == nil {
				continue
			}
			if found.Endpoint.ID == "engines-0" {
				errors++
				running = append(running, open{found, balance.ServerError, now.Add(2 * time.Millisecond)})
				continue
			}
			pool.ResponseStarted(found, now.Add(50*time.Millisecond))
			running = append(running, open{found, balance.Succeeded, now.Add(time.Second)})
		}
		Expect(errors).To(BeNumerically("<", perSecond*seconds/50))
	})

	It("are not kept from endpoints when most of them fail, since the requests are the likelier cause", func() {
		pool := newPool(view(4, 0, nil), 1)
		used := map[types.EndpointID]int{}
		for step := range 400 {
			now := start.Add(time.Duration(step) * 10 * time.Millisecond)
			one := place(pool, ask(engines, 2), now)
			used[one.Endpoint.ID]++
			pool.Done(one, balance.ServerError, now.Add(time.Millisecond))
		}
		Expect(used).To(HaveLen(4))
		for _, count := range used {
			Expect(count).To(BeNumerically(">", 20))
		}
	})

	It("use all places of an endpoint when the other daemons are gone", func() {
		v := view(1, 0, nil)
		pool := balance.NewPool("north", "north-a", balance.Bounds{})
		count := func(live ...types.VMID) int {
			pool.Update(v, balance.Membership{Self: "d0", Live: live, PeakLive: 2})
			placed := 0
			for place(pool, ask(engines, 2), start) != nil {
				placed++
			}
			return placed
		}
		both := count("d0", "d1")
		Expect(count("d0")).To(BeNumerically("~", both, 2))
	})
})
