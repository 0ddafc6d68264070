package balance_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
)

var _ = Describe("Long prompts beside short ones", func() {
	const seeds = 4

	It("are not held where the engines serve no more urgent route", func() {
		v := mixConfig(time.Second)
		v.Config.Routes = v.Config.Routes[1:]
		v.Config.Prepare()
		pool := holdingPool(v)
		req := withPrefix(1)
		req.Rank = 1
		Expect(pool.Holds(req)).To(BeFalse())
		v = mixConfig(time.Second)
		pool = holdingPool(v)
		Expect(pool.Holds(req)).To(BeTrue())
		req.PrefixTokens = 0
		Expect(pool.Holds(req)).To(BeFalse())
		req.PrefixTokens = 13_300
		Expect(newPool(v, 1).Holds(req)).To(BeFalse())
	})

	It("are placed as if none were held where no urgent route must respond sooner", func() {
		load := mixLoad{shortRate: steady(120), longRate: steady(50)}
		const objective = 800 * time.Millisecond // that of the short ones
		for seed := range uint64(seeds) {
			held, before := runMix(load, seed, objective, true), runMix(load, seed, objective, false)
			Expect(held.decisions).To(Equal(before.decisions))
			Expect(before.decisions).To(ContainElement(ContainSubstring("refused")))
		}
	})

	It("wait for the home of their prefix while it begins in time, and then go elsewhere", func() {
		pool := holdingPool(mixConfig(1200 * time.Millisecond))
		req := withPrefix(1)
		req.Rank, req.Objective, req.PromptTokens = 1, 1200*time.Millisecond, 33_300
		first := requestPermit(pool, req, start)
		Expect(requestPermit(pool, req, start)).To(BeNil())
		waiter, refusal := pool.Hold(req, start)
		Expect(refusal).To(BeNil())
		Expect(pool.Held(engines)).To(Equal(1))
		Expect(waiter.Granted).NotTo(Receive())

		late := waiter.ExpiresAt
		elsewhere, refusal := pool.EndHold(waiter, late)
		Expect(refusal).To(BeNil())
		Expect(elsewhere.Endpoint.ID).NotTo(Equal(first.Endpoint.ID))
		Expect(pool.Held(engines)).To(BeZero())
	})

	It("do not wait for a home that has room but is better avoided", func() {
		pool := holdingPool(mixConfig(1200 * time.Millisecond))
		req := withPrefix(1)
		req.Rank, req.Objective, req.PromptTokens = 1, 1200*time.Millisecond, 33_300
		home := requestPermit(pool, req, start).Endpoint.ID
		later := req
		later.Arrived = start.Add(800 * time.Millisecond)
		later.Deadline = later.Arrived.Add(5 * time.Second)
		other := requestPermit(pool, later, later.Arrived)
		Expect(other).NotTo(BeNil())
		Expect(other.Endpoint.ID).NotTo(Equal(home))
	})

	It("are not held at endpoints that run no engine", func() {
		v := mixConfig(1200 * time.Millisecond)
		v.Config.Services[engines].Engine = nil
		v.Config.Prepare()
		pool := holdingPool(v)
		req := withPrefix(1)
		req.Rank = 1
		Expect(pool.Holds(req)).To(BeFalse())
		for range 5 {
			Expect(requestPermit(pool, req, start)).NotTo(BeNil())
		}
	})

	// crowd sends short requests to one engine, of which all but the last have responses.
	crowd := func(pool *balance.Pool, v *catalog.View, home types.EndpointID, count int) {
		short := newRequest(engines, 0)
		for _, ep := range v.Endpoints[engines] {
			if ep.ID != home {
				short.Tried = append(short.Tried, ep.ID)
			}
		}
		for i := range count {
			permit := requestPermit(pool, short, start)
			Expect(permit).NotTo(BeNil())
			if i < count-1 {
				pool.ResponseStarted(permit, start)
			}
		}
	}
	homeIn := func(v *catalog.View, req balance.RequestInfo) types.EndpointID {
		home, _ := balance.PrefixHome(v.Endpoints[engines], req.Prefix, func(catalog.ActiveEndpoint) bool { return true })
		return home.ID
	}

	It("are not held for a home that is busy with many requests, but go elsewhere at once", func() {
		v := mixConfig(1200 * time.Millisecond)
		pool, req := holdingPool(v), withPrefix(1)
		req.Rank, req.Objective = 1, 1200*time.Millisecond
		crowd(pool, v, homeIn(v, req), 20)
		permit := requestPermit(pool, req, start)
		Expect(permit).NotTo(BeNil())
		Expect(permit.Endpoint.ID).NotTo(Equal(homeIn(v, req)))
	})

	It("are refused at once where only an engine that is busy with many requests is left", func() {
		v := mixConfig(1200 * time.Millisecond)
		v.Endpoints[engines] = v.Endpoints[engines][:1]
		pool, req := holdingPool(v), withPrefix(1)
		req.Rank, req.Objective = 1, 1200*time.Millisecond
		crowd(pool, v, homeIn(v, req), 20)
		Expect(requestPermit(pool, req, start)).To(BeNil())
		waiter, refusal := pool.Hold(req, start)
		Expect(waiter).To(BeNil())
		Expect(refusal).NotTo(BeNil())
	})

	It("are refused at once by a home that has stalled", func() {
		v := mixConfig(1200 * time.Millisecond)
		v.Endpoints[engines] = v.Endpoints[engines][:1]
		pool, req := holdingPool(v), withPrefix(1)
		req.Rank, req.Objective, req.PromptTokens = 1, 1200*time.Millisecond, 33_300
		Expect(requestPermit(pool, req, start)).NotTo(BeNil())
		req.Arrived = start.Add(time.Second)
		req.Deadline = req.Arrived.Add(5 * time.Second)
		waiter, refusal := pool.Hold(req, req.Arrived)
		Expect(waiter).To(BeNil())
		Expect(refusal).NotTo(BeNil())
	})

	It("are not given to an engine that is busy with many requests when their slack is used up", func() {
		v := mixConfig(1200 * time.Millisecond)
		v.Endpoints[engines] = v.Endpoints[engines][:1]
		pool, req := holdingPool(v), withPrefix(1)
		req.Rank, req.Objective, req.PromptTokens = 1, 1200*time.Millisecond, 33_300
		first := requestPermit(pool, req, start)
		waiter, refusal := pool.Hold(req, start)
		Expect(refusal).To(BeNil())
		crowd(pool, v, homeIn(v, req), 20)
		pool.ResponseStarted(first, start.Add(100*time.Millisecond))
		permit, refusal := pool.EndHold(waiter, waiter.ExpiresAt)
		Expect(permit).To(BeNil())
		Expect(refusal).NotTo(BeNil())
	})

	It("are let go as soon as the home has prefilled what it had, the one with the least slack first", func() {
		pool := holdingPool(mixConfig(2500 * time.Millisecond))
		req := withPrefix(1)
		req.Rank, req.Objective, req.PromptTokens = 1, 2500*time.Millisecond, 33_300
		requestPermit(pool, newRequest(engines, 0), start)
		first := requestPermit(pool, req, start)
		patient, refusal := pool.Hold(req, start)
		Expect(refusal).To(BeNil())
		req.Arrived = start.Add(-100 * time.Millisecond)
		urgent, refusal := pool.Hold(req, start)
		Expect(refusal).To(BeNil())
		pool.ResponseStarted(first, start.Add(350*time.Millisecond))
		var permit *balance.Permit
		Expect(urgent.Granted).To(Receive(&permit))
		Expect(permit.Endpoint.ID).To(Equal(first.Endpoint.ID))
		Expect(patient.Granted).NotTo(Receive())
	})

	It("are refused at once when the home has too much to prefill before them", func() {
		pool := holdingPool(mixConfig(1200 * time.Millisecond))
		req := withPrefix(1)
		req.Rank, req.Objective, req.PromptTokens = 1, 1200*time.Millisecond, 33_300
		held := 0
		for range 10 {
			if waiter, _ := pool.Hold(req, start); waiter != nil {
				held++
			}
		}
		Expect(held).To(BeNumerically("~", 2, 1))
		Expect(pool.Held(engines)).To(Equal(held))
	})

	DescribeTable("are in time more often when they are held, and leave the short ones in time", func(l mixLoad, longObjective time.Duration) {
		var with, without [2]mixTally
		add := func(sums *[2]mixTally, outcomes map[int]*mixTally) {
			for rank, tally := range outcomes {
				sums[rank].sent += tally.sent
				sums[rank].inTime += tally.inTime
				sums[rank].late += tally.late
				sums[rank].refused += tally.refused
			}
		}
		for seed := range uint64(seeds) {
			held := playMix(l, seed, longObjective, true)
			add(&with, held)
			add(&without, playMix(l, seed, longObjective, false))
			Expect(held[0].starved()).To(BeZero(), "short prompts are starved")
			Expect(held[1].starved()).To(BeZero(), "long prompts are starved")
		}
		report := func(t mixTally) string {
			return fmt.Sprintf("%d sent, %.3f in time, %d late, %d refused", t.sent, t.share(), t.late, t.refused)
		}
		AddReportEntry("shares", fmt.Sprintf("short: held %s; before %s\nlong: held %s; before %s", report(with[0]), report(without[0]), report(with[1]), report(without[1])))
		Expect(with[0].share()).To(BeNumerically(">=", without[0].share()-0.01))
		Expect(with[1].share()).To(BeNumerically(">=", without[1].share()))
	},
		Entry("both kinds", mixLoad{shortRate: steady(120), longRate: steady(50)}, 1200*time.Millisecond),
		Entry("both kinds, patient long ones", mixLoad{shortRate: steady(120), longRate: steady(50)}, 2500*time.Millisecond),
		Entry("a burst of long ones", mixLoad{shortRate: steady(100), longRate: during(15, 70, 4*time.Second, 6*time.Second)}, 1200*time.Millisecond),
		Entry("only long ones", mixLoad{longRate: steady(60)}, 1200*time.Millisecond),
		Entry("a mix that turns within seconds", mixLoad{
			shortRate: during(200, 20, 4*time.Second, 8*time.Second), longRate: during(5, 65, 4*time.Second, 8*time.Second),
		}, 1200*time.Millisecond),
		Entry("engines lost at the peak", mixLoad{shortRate: steady(120), longRate: steady(22), lostAt: 6 * time.Second}, 1200*time.Millisecond),
		Entry("several daemons with views of their own", mixLoad{shortRate: steady(120), longRate: steady(45), daemons: 4}, 1200*time.Millisecond),
	)
})
