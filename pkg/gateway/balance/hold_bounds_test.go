package balance_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
)

var _ = Describe("The hold of a long prompt", func() {
	const objective = 1200 * time.Millisecond
	// ownRead is how long the home takes at 55,000 tokens per second for the prompt of
	// longPrompt, of which 3,700 tokens are not in the prefix; wholeRead is for all of it.
	const ownRead = time.Second * 3_700 / 55_000
	const wholeRead = time.Second * 17_000 / 55_000
	const margin = 100 * time.Millisecond

	longPrompt := func(prefix uint64) balance.RequestInfo {
		req := withPrefix(prefix)
		req.Rank, req.Objective = 1, objective
		return req
	}
	// alone returns a pool of one engine.
	alone := func(maxHold time.Duration) *balance.Pool {
		v := mixConfig(objective)
		v.Endpoints[engines] = v.Endpoints[engines][:1]
		pool := balance.NewPool("north", "north-a", balance.Bounds{MaxHold: maxHold})
		pool.Update(v, balance.Membership{Self: "d0", PeakLive: 1})
		return pool
	}
	// heldFor returns how long a prompt is held at most.
	heldFor := func(pool *balance.Pool, req balance.RequestInfo) time.Duration {
		waiter, refusal := pool.Hold(req, start)
		ExpectWithOffset(1, refusal).To(BeNil())
		return waiter.ExpiresAt.Sub(start)
	}

	DescribeTable("is bounded by", func(bound time.Duration, maxHold time.Duration, change func(*balance.RequestInfo)) {
		pool, req := alone(maxHold), longPrompt(1)
		Expect(requestPermit(pool, req, start)).NotTo(BeNil())
		change(&req)
		Expect(heldFor(pool, req)).To(BeNumerically("~", bound, time.Millisecond))
	},
		Entry("its predicted wait", 2*ownRead+margin, maxHold, func(*balance.RequestInfo) {}),
		Entry("the pool", 90*time.Millisecond, 90*time.Millisecond, func(*balance.RequestInfo) {}),
		Entry("half of the time to its deadline", 90*time.Millisecond, maxHold, func(req *balance.RequestInfo) {
			req.Deadline = start.Add(180 * time.Millisecond)
		}),
		Entry("the time for which it was charged", 90*time.Millisecond, maxHold, func(req *balance.RequestInfo) {
			req.WaitLimit = 90 * time.Millisecond
		}),
		Entry("its slack", 960*time.Millisecond-800*time.Millisecond-ownRead, maxHold, func(req *balance.RequestInfo) {
			req.Arrived = start.Add(-800 * time.Millisecond)
		}),
		Entry("its slack where it has to be prefilled whole", 960*time.Millisecond-500*time.Millisecond-wholeRead, maxHold, func(req *balance.RequestInfo) {
			req.Arrived, req.PrefixUncached, req.Prefix = start.Add(-500*time.Millisecond), true, 9
		}),
	)

	It("is that of prompts with an objective that others precede", func() {
		v, req := mixConfig(objective), longPrompt(1)
		Expect(holdingPool(v).Holds(req)).To(BeTrue())
		patient := req
		patient.Objective = 0
		Expect(holdingPool(v).Holds(patient)).To(BeFalse())

		// Here the long prompts are those that must respond and end sooner.
		v.Config.Routes[0].Rank, v.Config.Routes[0].Objective = 2, 3*time.Second
		v.Config.Routes[1].Rank, v.Config.Routes[1].Objective = 0, time.Second
		v.Config.Routes[0].Timeout, v.Config.Routes[1].Timeout = v.Config.Routes[1].Timeout, v.Config.Routes[0].Timeout
		v.Config.Prepare()
		req.Rank, req.Objective = 0, time.Second
		Expect(v.Config.MixesObjectives(engines)).To(BeTrue())
		Expect(holdingPool(v).Holds(req)).To(BeFalse())
	})

	It("gives the prompt to another engine at its end, also while there is slack", func() {
		const patient = 2500 * time.Millisecond
		pool, req := holdingPool(mixConfig(patient)), longPrompt(1)
		req.Objective, req.PromptTokens = patient, 28_300
		first := requestPermit(pool, req, start)
		req.PromptTokens = 34_300
		Expect(requestPermit(pool, req, start)).To(BeNil())
		waiter, refusal := pool.Hold(req, start)
		Expect(refusal).To(BeNil())
		Expect(waiter.ExpiresAt).To(BeTemporally("<", start.Add(700*time.Millisecond)))
		permit, refusal := pool.EndHold(waiter, waiter.ExpiresAt)
		Expect(refusal).To(BeNil())
		Expect(permit.Endpoint.ID).NotTo(Equal(first.Endpoint.ID))
	})

	It("does not begin where room is predicted after its slack", func() {
		pool, req := alone(maxHold), longPrompt(1)
		req.PromptTokens = 33_300
		Expect(requestPermit(pool, req, start)).NotTo(BeNil())
		req.PromptTokens, req.Arrived = 17_000, start.Add(-600*time.Millisecond)
		_, refusal := pool.Hold(req, start)
		Expect(refusal).NotTo(BeNil())
	})

	It("counts only what is held for the same home with less slack", func() {
		v := mixConfig(objective)
		pool, other := holdingPool(v), uint64(2)
		home := func(prefix uint64) types.EndpointID {
			found, _ := balance.PrefixHome(v.Endpoints[engines], prefix, func(catalog.ActiveEndpoint) bool { return true })
			return found.ID
		}
		for home(other) == home(1) {
			other++
		}
		Expect(heldFor(pool, longPrompt(1))).To(BeNumerically("~", margin, time.Millisecond))
		Expect(heldFor(pool, longPrompt(other))).To(BeNumerically("~", margin, time.Millisecond))
		urgent := longPrompt(1)
		urgent.Arrived = start.Add(-100 * time.Millisecond)
		Expect(heldFor(pool, urgent)).To(BeNumerically("~", margin, time.Millisecond))
		Expect(heldFor(pool, longPrompt(1))).To(BeNumerically("~", 2*2*ownRead+margin, time.Millisecond))
	})

	It("is that of 64 prompts at most", func() {
		v := mixConfig(time.Hour)
		pool, req := holdingPool(v), longPrompt(1)
		req.Objective, req.Deadline = time.Hour, start.Add(2*time.Hour)
		for range 64 {
			Expect(heldFor(pool, req)).To(BeNumerically(">", 0))
		}
		waiter, refusal := pool.Hold(req, start)
		Expect(waiter).To(BeNil())
		Expect(refusal).NotTo(BeNil())
	})

	It("does not delay a prompt whose home has none of its prefix while another engine has room", func() {
		pool, req := holdingPool(mixConfig(objective)), longPrompt(1)
		req.PromptTokens = 33_300
		first := requestPermit(pool, req, start)
		req.PrefixUncached = true
		permit := requestPermit(pool, req, start)
		Expect(permit).NotTo(BeNil())
		Expect(permit.Endpoint.ID).NotTo(Equal(first.Endpoint.ID))
	})

	It("ends sooner at an engine to which no other requests have come for a second", func() {
		second := func(after time.Duration) *balance.Permit {
			pool, req := alone(maxHold), longPrompt(1)
			pool.Done(requestPermit(pool, newRequest(engines, 0), start), balance.Succeeded, start)
			now := start.Add(after)
			req.PromptTokens, req.Arrived, req.Deadline = 25_000, now, now.Add(5*time.Second)
			Expect(requestPermit(pool, req, now)).NotTo(BeNil())
			return requestPermit(pool, req, now)
		}
		Expect(second(990 * time.Millisecond)).To(BeNil())
		Expect(second(1010 * time.Millisecond)).NotTo(BeNil())
	})

	It("does not give a prompt with slack an engine before a request that waits", func() {
		v := mixConfig(objective)
		v.Endpoints[engines] = v.Endpoints[engines][:1]
		v.Config.Services[engines].Engine.CacheTokens = 110_000
		pool, req := holdingPool(v), longPrompt(1)
		req.PromptTokens = 33_300
		first := requestPermit(pool, req, start)
		held, refusal := pool.Hold(req, start)
		Expect(refusal).To(BeNil())
		short := newRequest(engines, 0)
		short.PromptTokens = 45_000
		running := requestPermit(pool, short, start)
		Expect(running).NotTo(BeNil())
		Expect(requestPermit(pool, short, start)).To(BeNil(), "the engine has no memory for it")
		waiting, refusal := pool.Enqueue(short, start)
		Expect(refusal).To(BeNil())
		pool.ResponseStarted(running, start.Add(10*time.Millisecond))
		Expect(waiting.Granted).NotTo(Receive())
		Expect(held.Granted).NotTo(Receive())
		// Now there is memory for either.
		pool.Done(first, balance.Succeeded, start.Add(50*time.Millisecond))
		Expect(waiting.Granted).To(Receive())
		Expect(held.Granted).NotTo(Receive())
	})

	It("does not begin for a home that has room but is worse than another engine", func() {
		pool, req := holdingPool(mixConfig(objective)), longPrompt(1)
		var home types.EndpointID
		for range 20 {
			permit := requestPermit(pool, req, start)
			home = permit.Endpoint.ID
			pool.Done(permit, balance.Invalid, start)
		}
		req.PromptTokens = 33_300
		Expect(requestPermit(pool, req, start).Endpoint.ID).To(Equal(home))
		permit := requestPermit(pool, longPrompt(1), start)
		Expect(permit).NotTo(BeNil())
		Expect(permit.Endpoint.ID).NotTo(Equal(home))
		// It is the score that turns it away, not a lack of room.
		found := pool.Explain(longPrompt(1), start)
		for _, ep := range found.Endpoints {
			if ep.Endpoint == home {
				Expect(ep.Drop).To(BeEmpty())
			}
		}
	})

	It("does not begin for a home that has no memory for it", func() {
		for _, count := range []int{1, 2} {
			v := mixConfig(objective)
			v.Config.Services[engines].Engine.CacheTokens = 60_000
			v.Endpoints[engines] = v.Endpoints[engines][:count]
			pool, req := holdingPool(v), longPrompt(1)
			home, _ := balance.PrefixHome(v.Endpoints[engines], req.Prefix, func(catalog.ActiveEndpoint) bool { return true })
			short := newRequest(engines, 0)
			short.PromptTokens = 50_000
			for _, ep := range v.Endpoints[engines] {
				if ep.ID != home.ID {
					short.Tried = append(short.Tried, ep.ID)
				}
			}
			pool.ResponseStarted(requestPermit(pool, short, start), start)
			permit := requestPermit(pool, req, start)
			if count > 1 {
				Expect(permit).NotTo(BeNil())
				Expect(permit.Endpoint.ID).NotTo(Equal(home.ID))
				continue
			}
			Expect(permit).To(BeNil())
			_, refusal := pool.Hold(req, start)
			Expect(refusal).NotTo(BeNil())
		}
	})

	It("is explained without having another engine checked", func() {
		v := mixConfig(objective)
		v.Endpoints[engines] = v.Endpoints[engines][:2]
		for i := range v.Endpoints[engines] {
			v.Endpoints[engines][i].Endpoint.StartedAt = 1
		}
		v.Config.Services[engines].HealthPath, v.Config.Services[engines].ColdPerSecond = "/well", 9.3
		v.Config.Prepare()
		explained := 0
		for _, self := range fleetOf(28) {
			pool, req := balance.NewPool("north", "north-a", balance.Bounds{MaxHold: maxHold, ColdOvershoot: 1.5, ColdSlack: 3}), longPrompt(1)
			pool.Update(v, balance.Membership{Self: self, Live: fleetOf(28), PeakLive: 28})
			home, _ := balance.PrefixHome(v.Endpoints[engines], 1, func(catalog.ActiveEndpoint) bool { return true })
			short := newRequest(engines, 0)
			short.Tried = []types.EndpointID{home.ID}
			permit, _ := pool.Permit(short, start)
			if permit == nil {
				continue
			}
			now := start.Add(time.Millisecond)
			permitted, _ := pool.Connected(permit, &playedConn{process: 1}, now)
			pool.Done(permit, balance.Abandoned, now)
			if permitted {
				continue
			}
			now = now.Add(1500 * time.Millisecond) // by then no request is meant for the engine in doubt
			req.Arrived, req.Deadline, req.PromptTokens = now, now.Add(5*time.Second), 33_300
			first := req
			first.Tried = []types.EndpointID{permit.Endpoint.ID}
			Expect(requestPermit(pool, first, now).Endpoint.ID).To(Equal(home.ID))
			found := pool.Explain(req, now)
			Expect(found.Held).To(BeTrue())
			_, pending := pool.DueConfirmations(now)
			Expect(pending).To(BeFalse())
			explained++
			// A prompt that is held has the engine checked.
			_, refusal := pool.Hold(req, now)
			Expect(refusal).To(BeNil())
			_, pending = pool.DueConfirmations(now)
			Expect(pending).To(BeTrue())
		}
		Expect(explained).To(BeNumerically(">", 0))
	})
})
