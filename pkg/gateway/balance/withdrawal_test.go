package balance_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	startA = int64(1_000)
	startB = int64(2_000)
)

// deskView builds a view with plain endpoints, whose start time is startA.
func deskView(count int, change func(*catalog.ActiveEndpoint)) *catalog.View {
	return view(0, count, func(placed *catalog.ActiveEndpoint) {
		placed.StartedAt = startA
		if change != nil {
			change(placed)
		}
	})
}

func publish(pool *balance.Pool, v *catalog.View) {
	pool.Update(v, balance.Membership{Self: "d0", PeakLive: 1})
}

// withoutWait describes a request that may not wait.
func withoutWait(now time.Time) balance.RequestInfo {
	return balance.RequestInfo{Service: desk, Arrived: now, Deadline: now}
}

// withWait describes a request that may wait for a time.
func withWait(now time.Time, wait time.Duration) balance.RequestInfo {
	return balance.RequestInfo{Service: desk, Arrived: now, Deadline: now.Add(2 * wait)}
}

// expectKeptOut checks that an endpoint gets none of many requests.
func expectKeptOut(pool *balance.Pool, id types.EndpointID, now time.Time) {
	GinkgoHelper()
	for range 20 {
		permit, _ := pool.Permit(withoutWait(now), now)
		if permit == nil {
			return
		}
		Expect(permit.Endpoint.ID).NotTo(Equal(id))
	}
}

// expectUsed checks that the only endpoint gets a request.
func expectUsed(pool *balance.Pool, now time.Time) {
	GinkgoHelper()
	permit, _ := pool.Permit(withoutWait(now), now)
	Expect(permit).NotTo(BeNil())
	pool.Done(permit, balance.Succeeded, now)
}

var _ = Describe("an endpoint that says that it is leaving", func() {
	leaving := balance.Notice{Leaving: true}
	var v *catalog.View
	var pool *balance.Pool
	var first *catalog.Endpoint
	publishDesks := func(count int, change func(*catalog.ActiveEndpoint)) {
		v = deskView(count, change)
		publish(pool, v)
	}
	BeforeEach(func() {
		pool = balance.NewPool("north", "north-a", balance.Bounds{})
		publishDesks(2, nil)
		first = v.Endpoints[desk][0].Endpoint
	})

	It("gets no new request although it is published as ready", func() {
		Expect(pool.Note(first, leaving, start)).To(Equal(balance.Change{Leaving: true}))
		Expect(pool.Note(first, leaving, start)).To(BeZero())
		expectKeptOut(pool, first.ID, start)
	})

	It("is not the last resort while all others are suspended", func() {
		pool.Note(first, leaving, start)
		other, _ := pool.Permit(newRequest(desk, 0), start)
		pool.Done(other, balance.ConnectFailed, start)
		for at := start; at.Before(start.Add(5 * time.Second)); at = at.Add(10 * time.Millisecond) {
			expectKeptOut(pool, first.ID, at)
		}
	})

	It("is not used because more endpoints are ejected than not", func() {
		now := start
		for range 40 {
			permit, _ := pool.Permit(newRequest(desk, 0), now)
			if permit != nil {
				pool.Done(permit, balance.ServerError, now)
			}
			now = now.Add(5 * time.Second)
		}
		pool.Note(first, leaving, now)
		expectKeptOut(pool, first.ID, now)
	})

	DescribeTable("is kept out whatever the store says of it afterwards", func(news func()) {
		pool.Note(first, leaving, start)
		pool.GrantAll(start.Add(time.Second))
		news()
		expectKeptOut(pool, first.ID, start.Add(2*time.Second))
		expectKeptOut(pool, first.ID, start.Add(24*time.Hour))
	},
		Entry("it is published again as before", func() { publishDesks(2, nil) }),
		Entry("it vanishes and comes back", func() {
			publishDesks(0, nil)
			pool.GrantAll(start.Add(1500 * time.Millisecond))
			publishDesks(2, nil)
		}),
		Entry("it is draining and ready again", func() {
			publishDesks(0, nil)
			v.Leaving = map[types.ServiceName][]catalog.ActiveEndpoint{desk: {{Endpoint: first}}}
			publish(pool, v)
			publishDesks(2, nil)
		}),
		Entry("it has another address", func() {
			publishDesks(2, func(placed *catalog.ActiveEndpoint) { placed.Address = "elsewhere:" + string(placed.ID) })
		}),
		Entry("it has other slots and another cold time", func() {
			publishDesks(2, func(placed *catalog.ActiveEndpoint) {
				placed.Slots, placed.ColdUntil = 99, start.Add(time.Second)
			})
		}),
	)

	It("is remembered while it is away for a long time", func() {
		pool.Note(first, leaving, start)
		publishDesks(0, nil)
		for at := start; at.Before(start.Add(50 * time.Minute)); at = at.Add(time.Minute) {
			pool.GrantAll(at)
		}
		publishDesks(2, nil)
		expectKeptOut(pool, first.ID, start.Add(50*time.Minute))
	})

	DescribeTable("does not keep out a new incarnation", func(change func(*catalog.ActiveEndpoint)) {
		pool.Note(first, leaving, start)
		publishDesks(1, change)
		expectUsed(pool, start)
	},
		Entry("with the same ID and address", func(placed *catalog.ActiveEndpoint) { placed.StartedAt = startB }),
		Entry("with the same address", func(placed *catalog.ActiveEndpoint) { placed.ID, placed.StartedAt = "new", startB }),
		Entry("with the same address and start time", func(placed *catalog.ActiveEndpoint) { placed.ID = "new" }),
	)

	It("does not keep out the next incarnation when its last response comes late", func() {
		publishDesks(1, func(placed *catalog.ActiveEndpoint) { placed.StartedAt = startB })
		pool.Note(first, leaving, start)
		expectUsed(pool, start)
	})

	DescribeTable("and whose start time is unknown is kept out for ten minutes, not for ever", func(noted, published int64) {
		publishDesks(1, func(placed *catalog.ActiveEndpoint) { placed.StartedAt = noted })
		pool.Note(v.Endpoints[desk][0].Endpoint, leaving, start)
		publishDesks(1, func(placed *catalog.ActiveEndpoint) { placed.StartedAt = published })
		for at := start; at.Before(start.Add(10 * time.Minute)); at = at.Add(10 * time.Second) {
			pool.GrantAll(at)
			expectKeptOut(pool, first.ID, at)
		}
		expectUsed(pool, start.Add(10*time.Minute+time.Second))
	},
		Entry("always", int64(0), int64(0)),
		Entry("when it was noted", int64(0), startA),
		Entry("when it is published again", startA, int64(0)),
	)

	It("does not keep out an endpoint of unknown start time with another address", func() {
		publishDesks(1, func(placed *catalog.ActiveEndpoint) { placed.StartedAt = 0 })
		pool.Note(v.Endpoints[desk][0].Endpoint, leaving, start)
		publishDesks(1, func(placed *catalog.ActiveEndpoint) { placed.StartedAt, placed.Address = 0, "elsewhere:80" })
		expectUsed(pool, start)
	})

	It("gets no request that waited for it: it goes to another endpoint, or is refused at once", func() {
		publishDesks(1, nil)
		var running []*balance.Permit
		for {
			permit, _ := pool.Try(newRequest(desk, 0), start)
			if permit == nil {
				break
			}
			running = append(running, permit)
		}
		waiter, refusal := pool.Enqueue(newRequest(desk, 0), start)
		Expect(refusal).To(BeNil())
		pool.Note(first, leaving, start)
		for _, permit := range running {
			pool.Done(permit, balance.Succeeded, start)
		}
		Expect(waiter.Granted).NotTo(Receive())
		var refused *balance.Refusal
		Expect(waiter.Refused).To(Receive(&refused))
		Expect(refused.NoEndpoint).To(BeTrue())
		Expect(pool.Waiting(desk)).To(BeZero())
		_, refusal = pool.Try(newRequest(desk, 0), start)
		Expect(refusal.NoEndpoint).To(BeTrue())
	})

	It("is not checked, is no source of a prefix and counts as blocked", func() {
		v = view(2, 0, func(placed *catalog.ActiveEndpoint) {
			placed.StartedAt, placed.ColdAssumed, placed.ColdUntil = startA, true, start.Add(time.Minute)
		})
		v.Config.Services[engines].HealthPath, v.Config.Services[engines].ColdPerSecond = "/well", 0
		v.Config.Services[engines].Engine.FetchRate = 200_000
		publish(pool, v)
		Expect(pool.Blocked(engines, start)).To(BeZero())
		both := v.Endpoints[engines]
		pool.Note(both[0].Endpoint, leaving, start)
		Expect(pool.Blocked(engines, start)).To(Equal(64))
		for _, probe := range pool.DueProbes(start) {
			Expect(probe.Endpoint.ID).NotTo(Equal(both[0].ID))
		}
		anywhere := func(types.Region) bool { return true }
		for prefix := range uint64(50) {
			source, found := pool.PrefixSource(engines, prefix, both[1], anywhere, start)
			Expect(found && source.ID == both[0].ID).To(BeFalse())
		}
	})

	It("is forgotten an hour after it was last published, and of very many at once the oldest are", func() {
		const many = 6000
		for i := range many {
			gone := &catalog.Endpoint{ID: types.EndpointID(fmt.Sprint("gone-", i)), StartedAt: startA}
			pool.Note(gone, leaving, start.Add(time.Duration(i)))
		}
		pool.Note(first, leaving, start)
		remembered := func(at time.Time) (count int) {
			pool.GrantAll(at)
			for i := range many {
				if !pool.Takes(&catalog.Endpoint{ID: types.EndpointID(fmt.Sprint("gone-", i)), StartedAt: startA}, at) {
					count++
				}
			}
			return count
		}
		Expect(remembered(start.Add(time.Second))).To(Equal(4096))
		Expect(pool.Takes(&catalog.Endpoint{ID: types.EndpointID(fmt.Sprint("gone-", many-1)), StartedAt: startA}, start.Add(time.Second))).To(BeFalse())
		Expect(remembered(start.Add(2 * time.Hour))).To(BeZero())
		expectKeptOut(pool, first.ID, start.Add(2*time.Hour))
	})

	It("is the one that has the address, when it answers for another one", func() {
		Expect(pool.Successor(&catalog.Endpoint{ID: "old", Address: first.Address}).ID).To(Equal(first.ID))
		Expect(pool.Successor(first)).To(BeNil())
		publishDesks(2, func(placed *catalog.ActiveEndpoint) { placed.Address = "same:80" })
		Expect(pool.Successor(&catalog.Endpoint{ID: "old", Address: "same:80"})).To(BeNil())
	})
})

var _ = Describe("an endpoint that asks for a pause", func() {
	const pause = 2 * time.Second
	var v *catalog.View
	var pool *balance.Pool
	var only *catalog.Endpoint
	ask := func(length time.Duration, at time.Time) balance.Change {
		return pool.Note(only, balance.Notice{Backoff: length}, at)
	}
	BeforeEach(func() {
		pool = balance.NewPool("north", "north-a", balance.Bounds{})
		v = deskView(1, nil)
		publish(pool, v)
		only = v.Endpoints[desk][0].Endpoint
	})

	It("gets no request until the end of the pause", func() {
		Expect(ask(pause, start)).To(Equal(balance.Change{PausedUntil: start.Add(pause)}))
		for at := start; at.Before(start.Add(pause)); at = at.Add(time.Millisecond) {
			expectKeptOut(pool, only.ID, at)
		}
		expectUsed(pool, start.Add(pause))
	})

	It("gets its load back step by step", func() {
		ask(pause, start)
		room := func(at time.Time) int {
			var taken []*balance.Permit
			for {
				permit, _ := pool.Permit(withoutWait(at), at)
				if permit == nil {
					break
				}
				taken = append(taken, permit)
			}
			for _, permit := range taken {
				pool.Done(permit, balance.Succeeded, at)
			}
			return len(taken)
		}
		usual := room(start.Add(time.Hour))
		ask(pause, start.Add(time.Hour))
		end := start.Add(time.Hour + pause)
		Expect(room(end)).To(Equal(1))
		Expect(room(end.Add(500 * time.Millisecond))).To(BeNumerically("~", usual/2, 1))
		Expect(room(end.Add(time.Second))).To(Equal(usual))
	})

	It("gets nothing until the latest end of several pauses", func() {
		ask(3*time.Second, start)
		Expect(ask(time.Second, start.Add(time.Second))).To(BeZero())
		expectKeptOut(pool, only.ID, start.Add(2500*time.Millisecond))
		Expect(ask(time.Second, start.Add(2500*time.Millisecond)).PausedUntil).To(Equal(start.Add(3500 * time.Millisecond)))
		expectKeptOut(pool, only.ID, start.Add(3400*time.Millisecond))
		expectUsed(pool, start.Add(3500*time.Millisecond))
	})

	It("of a very long time gets nothing for as long as it lives, and its next incarnation is used", func() {
		const years = 10 * 365 * 24 * time.Hour
		ask(years, start)
		Expect(pool.LongestPause(start)).To(Equal(years))
		for at := start; at.Before(start.Add(72 * time.Hour)); at = at.Add(30 * time.Minute) {
			pool.GrantAll(at)
			expectKeptOut(pool, only.ID, at)
		}
		v = deskView(1, func(placed *catalog.ActiveEndpoint) { placed.StartedAt = startB })
		publish(pool, v)
		expectUsed(pool, start.Add(72*time.Hour))
	})

	It("keeps the pause while it vanishes from the store and comes back", func() {
		ask(pause, start)
		publish(pool, deskView(0, nil))
		publish(pool, deskView(1, nil))
		expectKeptOut(pool, only.ID, start.Add(pause-time.Millisecond))
		expectUsed(pool, start.Add(pause))
	})

	It("leaves the requests to others meanwhile", func() {
		v = deskView(2, nil)
		publish(pool, v)
		ask(pause, start)
		for range 5 {
			permit, refusal := pool.Permit(newRequest(desk, 0), start)
			Expect(refusal).To(BeNil())
			Expect(permit.Endpoint.ID).NotTo(Equal(only.ID))
		}
		Expect(pool.PauseLeft(desk, start)).To(BeZero())
	})

	It("gets the requests that can wait for the end of the pause, then", func() {
		ask(pause, start)
		req := withWait(start, pause+time.Second)
		permit, refusal := pool.Try(req, start)
		Expect(permit).To(BeNil())
		Expect(refusal).To(BeNil())
		waiter, refusal := pool.Enqueue(req, start)
		Expect(refusal).To(BeNil())
		for at := start; at.Before(start.Add(pause)); at = at.Add(10 * time.Millisecond) {
			pool.GrantAll(at)
			Expect(waiter.Granted).NotTo(Receive())
			Expect(waiter.Refused).NotTo(Receive())
		}
		pool.GrantAll(start.Add(pause))
		Expect(waiter.Granted).To(Receive())
	})

	It("makes requests that can't wait so long be refused at once, with the time until the end, spread", func() {
		ask(pause, start)
		at := start.Add(500 * time.Millisecond)
		delays := map[time.Duration]bool{}
		for range 20 {
			_, refusal := pool.Try(withWait(at, time.Second), at)
			Expect(refusal).NotTo(BeNil())
			Expect(refusal.Paused).To(BeTrue())
			Expect(refusal.NoneHere()).To(BeTrue())
			Expect(refusal.RetryAfter).To(BeNumerically("~", 1875*time.Millisecond, 376*time.Millisecond))
			delays[refusal.RetryAfter] = true
		}
		Expect(len(delays)).To(Equal(20))
	})

	It("refuses those that wait already and can't wait for its end", func() {
		for {
			if permit, _ := pool.Try(newRequest(desk, 0), start); permit == nil {
				break
			}
		}
		waiter, refusal := pool.Enqueue(withWait(start, time.Second), start)
		Expect(refusal).To(BeNil())
		ask(pause, start)
		var refused *balance.Refusal
		Expect(waiter.Refused).To(Receive(&refused))
		Expect(refused.Paused).To(BeTrue())
	})

	It("names the end of the pause also to a request that it turned away itself", func() {
		ask(pause, start)
		req := withWait(start, 10*time.Second)
		req.Tried = []types.EndpointID{only.ID}
		_, refusal := pool.Try(req, start)
		Expect(refusal.Paused).To(BeTrue())
		Expect(refusal.RetryAfter).To(BeNumerically(">=", pause))
	})

	It("names the soonest end of several endpoints", func() {
		v = deskView(3, nil)
		publish(pool, v)
		for i, length := range []time.Duration{5 * time.Second, 3 * time.Second, 4 * time.Second} {
			pool.Note(v.Endpoints[desk][i].Endpoint, balance.Notice{Backoff: length}, start)
		}
		Expect(pool.PauseLeft(desk, start)).To(Equal(3 * time.Second))
		Expect(pool.LongestPause(start)).To(Equal(5 * time.Second))
		pool.Note(v.Endpoints[desk][1].Endpoint, balance.Notice{Leaving: true}, start)
		Expect(pool.PauseLeft(desk, start)).To(Equal(4 * time.Second))
	})

	It("changes nothing when it asks for none", func() {
		Expect(ask(0, start)).To(BeZero())
		Expect(ask(-time.Second, start)).To(BeZero())
		expectUsed(pool, start)
	})
})

var _ = Describe("endpoints that leave, pause, restart and vanish at random", func() {
	DescribeTable("get no request that they do not want", func(seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 33))
		pool := balance.NewPool("north", "north-a", balance.Bounds{})
		const endpoints = 6
		var starts [endpoints]int64
		// closedUntil is the model: when each incarnation takes requests again.
		closedUntil := map[string]time.Time{}
		never := start.Add(1000 * time.Hour)
		key := func(id types.EndpointID, startedAt int64) string { return fmt.Sprint(id, "/", startedAt) }
		var running []*balance.Permit
		now := start
		for range 4000 {
			now = now.Add(time.Duration(rng.IntN(40)) * time.Millisecond)
			switch i := rng.IntN(endpoints); rng.IntN(12) {
			case 0:
				starts[i] = now.UnixMilli()
			case 1:
				published := deskView(endpoints, func(placed *catalog.ActiveEndpoint) {
					var number int
					_, _ = fmt.Sscanf(string(placed.ID), "desk-%d", &number)
					placed.StartedAt = 1 + starts[number]
				})
				if rng.IntN(3) == 0 {
					published.Endpoints[desk] = published.Endpoints[desk][:rng.IntN(endpoints)]
				}
				publish(pool, published)
			case 2, 3, 4:
				if len(running) == 0 {
					continue
				}
				chosen := rng.IntN(len(running))
				permit := running[chosen]
				running = append(running[:chosen], running[chosen+1:]...)
				notice := balance.Notice{Leaving: rng.IntN(20) == 0}
				if rng.IntN(4) == 0 {
					notice.Backoff = time.Duration(rng.IntN(3000)) * time.Millisecond
				}
				incarnation := key(permit.Endpoint.ID, permit.Endpoint.StartedAt)
				if until := now.Add(notice.Backoff); until.After(closedUntil[incarnation]) {
					closedUntil[incarnation] = until
				}
				if notice.Leaving {
					closedUntil[incarnation] = never
				}
				pool.Note(permit.Endpoint.Endpoint, notice, now)
				results := []balance.Result{balance.Succeeded, balance.Refused, balance.ServerError, balance.ConnectFailed, balance.Interrupted}
				pool.Done(permit, results[rng.IntN(len(results))], now)
			default:
				pool.GrantAll(now)
				if permit, _ := pool.Try(withoutWait(now), now); permit != nil {
					until := closedUntil[key(permit.Endpoint.ID, permit.Endpoint.StartedAt)]
					Expect(now.Before(until)).To(BeFalse(), "%s got a request %s too soon", permit.Endpoint.ID, until.Sub(now))
					running = append(running, permit)
				}
			}
		}
	},
		Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)), Entry("seed 3", uint64(3)), Entry("seed 4", uint64(4)),
	)
})
