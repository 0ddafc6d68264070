package estimate_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/estimate"
)

var _ = Describe("A prediction for an endpoint of which nothing is known", func() {
	firstEvent := func(work estimate.Work, load estimate.Load) time.Duration {
		return estimate.New().Predict(work, load, start).FirstEvent
	}

	It("lets a small prompt wait for the prompt work before it", func() {
		Expect(firstEvent(estimate.Work{}, estimate.Load{BacklogTokens: 55_000})).To(BeNumerically("~", second, 10*time.Millisecond))
	})

	It("lets a large prompt take longer beside requests that run", func() {
		alone := firstEvent(estimate.Work{PrefillTokens: 5500, Large: true}, estimate.Load{})
		Expect(alone).To(BeNumerically("~", 100*time.Millisecond, time.Millisecond))
		Expect(firstEvent(estimate.Work{PrefillTokens: 5500, Large: true}, estimate.Load{Running: 10}) - alone).
			To(BeNumerically("~", 20*time.Millisecond, time.Millisecond))
	})

	It("counts the request itself among those that run", func() {
		Expect(estimate.New().Predict(estimate.Work{}, estimate.Load{}, start).Gap).To(BeNumerically("~", 2*time.Millisecond, 100*time.Microsecond))
	})
})

var _ = Describe("One observation", func() {
	It("of a long pause is predicted for a moment", func() {
		known := estimate.New()
		known.ObservePace(1, 30*time.Millisecond, 500*time.Millisecond, start)
		gap := func(after time.Duration) time.Duration {
			return known.Predict(estimate.Work{}, estimate.Load{Running: 1}, start.Add(after)).Gap
		}
		Expect(gap(second)).To(Equal(500 * time.Millisecond))
		Expect(gap(2 * second)).To(BeNumerically("<", 50*time.Millisecond))
	})

	It("of a very late response to a small prompt counts as five seconds", func() {
		known := estimate.New()
		known.ObserveFirstEvent(300, 1, false, time.Hour, start)
		Expect(known.Wait(start)).To(Equal(5 * second))
	})

	It("of a very late response to a large prompt changes the speed little, and the moment by a factor of eight", func() {
		known := estimate.New()
		known.ObserveFirstEvent(10_000, 1, true, time.Hour, start)
		Expect(known.Slowdown(start)).To(BeNumerically("~", 8, 0.01))
		known = estimate.New()
		now := engine{55_000}.observe(known, start, 20, func() float64 { return 10_000 })
		usual := known.PrefillRate(now)
		known.ObserveFirstEvent(10_000, 1, true, time.Hour, now)
		Expect(known.PrefillRate(now)).To(BeNumerically(">", 0.8*usual))
	})

	DescribeTable("that can't be says nothing", func(observe func(*estimate.Endpoint)) {
		known := estimate.New()
		observe(known)
		Expect(known.Predict(estimate.Work{}, estimate.Load{}, start).Certainty).To(BeZero())
		Expect(known.Wait(start)).To(BeZero())
	},
		Entry("a response in no time", func(e *estimate.Endpoint) { e.ObserveFirstEvent(1000, 1, true, 0, start) }),
		Entry("a small response in no time", func(e *estimate.Endpoint) { e.ObserveFirstEvent(300, 1, false, -second, start) }),
		Entry("negative work", func(e *estimate.Endpoint) { e.ObserveFirstEvent(-1, 1, true, second, start) }),
		Entry("a longest pause below the mean", func(e *estimate.Endpoint) { e.ObservePace(1, 50*time.Millisecond, 10*time.Millisecond, start) }),
		Entry("a request that failed", func(e *estimate.Endpoint) { e.ObserveFailure(300, 1, false, second, start) }))
})

var _ = Describe("What is known of a service", func() {
	It("stays within a factor of sixteen of the start value, however slow its endpoints are", func() {
		service := estimate.NewService()
		work := 1000.0
		engine{500}.observe(service.NewEndpoint(), start, 300, func() float64 { work = 20_000 - work; return work })
		Expect(service.PrefillRate(start.Add(30 * second))).To(BeNumerically(">=", 55_000.0/16-1))
	})

	It("does not outweigh what was seen of one endpoint", func() {
		service := estimate.NewService()
		usual, slow := service.NewEndpoint(), service.NewEndpoint()
		now := start
		for i := range 300 {
			now = now.Add(10 * time.Millisecond)
			usual.ObservePace(float64(i%5), 30*time.Millisecond, 30*time.Millisecond, now)
			usual.ObserveFirstEvent(300, float64(i%5), false, 30*time.Millisecond, now)
		}
		for i := range 20 {
			now = now.Add(10 * time.Millisecond)
			slow.ObservePace(float64(i%5), 90*time.Millisecond, 90*time.Millisecond, now)
			slow.ObserveFirstEvent(300, float64(i%5), false, 200*time.Millisecond, now)
		}
		later := slow.Predict(estimate.Work{}, estimate.Load{Running: 2}, now.Add(2*second))
		Expect(later.Gap).To(BeNumerically(">", 75*time.Millisecond))
		Expect(later.FirstEvent).To(BeNumerically(">", 140*time.Millisecond))
	})
})
