package estimate_test

import (
	"math/rand/v2"
	"testing"
	"time"
	"unsafe"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/estimate"
)

func TestEstimate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "estimate")
}

var start = time.Unix(1_700_000_000, 0)

const second = time.Second

// engine is a fake engine with a prefill rate in tokens per second.
type engine struct{ rate float64 }

// prefill returns how long the engine takes for prompt work.
func (e engine) prefill(tokens float64) time.Duration {
	return time.Duration(tokens / e.rate * float64(second))
}

// observe lets known see prompts of the engine, ten a second, and returns the time after
// them.
func (e engine) observe(known *estimate.Endpoint, from time.Time, prompts int, tokens func() float64) time.Time {
	now := from
	for range prompts {
		now = now.Add(100 * time.Millisecond)
		work := tokens()
		known.ObserveFirstEvent(work, 1, true, e.prefill(work), now)
	}
	return now
}

var _ = Describe("What is known of an endpoint", func() {
	random := rand.New(rand.NewPCG(57, 1))
	promptWork := func() float64 { return 3000 + 14_000*random.Float64() }

	DescribeTable("approaches its prefill rate", func(rate float64) {
		known := estimate.New()
		now := engine{rate}.observe(known, start, 20, promptWork)
		Expect(known.PrefillRate(now)).To(BeNumerically("~", rate, rate*0.15))
		Expect(known.Predict(estimate.Work{PrefillTokens: 10_000, Large: true}, estimate.Load{BacklogTokens: 10_000}, now).FirstEvent).
			To(BeNumerically("~", engine{rate}.prefill(20_000), engine{rate}.prefill(4000)))
	},
		Entry("a slow one", 26_500.0), Entry("a usual one", 37_900.0), Entry("one above it", 62_400.0), Entry("a fast one", 106_000.0))

	It("tells the time that each response takes from the time of its prompt", func() {
		known := estimate.New()
		now := start
		for range 60 {
			now = now.Add(100 * time.Millisecond)
			work := promptWork()
			known.ObserveFirstEvent(work, 1, true, 120*time.Millisecond+engine{62_400}.prefill(work), now)
		}
		Expect(known.PrefillRate(now)).To(BeNumerically("~", 62_400, 6500))
		Expect(known.PrefillTime(0, now)).To(BeNumerically("~", 120*time.Millisecond, 20*time.Millisecond))
	})

	It("begins with what is known of its service", func() {
		service := estimate.NewService()
		now := engine{37_900}.observe(service.NewEndpoint(), start, 50, promptWork)
		Expect(service.NewEndpoint().PrefillRate(now)).To(BeNumerically("~", 37_900, 3000))
		Expect(service.NewEndpoint().Successor().(*estimate.Endpoint).PrefillRate(now)).To(BeNumerically("~", 37_900, 3000))
		Expect(service.NewEndpoint().Predict(estimate.Work{}, estimate.Load{}, now).Certainty).To(BeZero())
	})

	It("tells the endpoints of a service apart", func() {
		service := estimate.NewService()
		slow, fast := service.NewEndpoint(), service.NewEndpoint()
		now := start
		for range 30 {
			engine{43_700}.observe(slow, now, 1, promptWork)
			now = engine{106_000}.observe(fast, now, 1, promptWork)
		}
		Expect(fast.PrefillRate(now) / slow.PrefillRate(now)).To(BeNumerically("~", 106.0/43.7, 0.4))
	})

	It("follows a slow moment at once and forgets it when it has ended", func() {
		known := estimate.New()
		now := engine{60_000}.observe(known, start, 100, promptWork)
		usual := known.PrefillTime(17_000, now)
		now = engine{24_000}.observe(known, now, 4, promptWork)
		Expect(known.PrefillTime(17_000, now)).To(BeNumerically(">", usual*3/2))
		Expect(known.PrefillRate(now)).To(BeNumerically(">", 45_000))
		now = engine{60_000}.observe(known, now, 10, promptWork)
		Expect(known.PrefillTime(17_000, now)).To(BeNumerically("~", usual, usual/4))
	})

	It("is not led astray by prompts that were cached or waited long", func() {
		known := estimate.New()
		now := engine{60_000}.observe(known, start, 50, promptWork)
		for i := range 20 {
			now = engine{60_000}.observe(known, now, 4, promptWork)
			took := 5 * time.Millisecond
			if i%2 == 0 {
				took = 5 * second
			}
			known.ObserveFirstEvent(17_000, 1, true, took, now)
		}
		Expect(known.PrefillRate(now)).To(BeNumerically("~", 60_000, 15_000))
	})

	It("goes back to the average of the service without news", func() {
		service := estimate.NewService()
		slow := service.NewEndpoint()
		now := start
		for range 30 {
			engine{20_000}.observe(slow, now, 1, promptWork)
			for range 4 {
				engine{60_000}.observe(service.NewEndpoint(), now, 1, promptWork)
			}
			now = now.Add(100 * time.Millisecond)
		}
		before := slow.PrefillRate(now)
		now = now.Add(60 * second)
		Expect(slow.PrefillRate(now)).To(BeNumerically(">", before))
		Expect(slow.Predict(estimate.Work{}, estimate.Load{}, now).Certainty).To(BeNumerically("<", 0.05))
	})

	It("learns how the pace falls with what runs", func() {
		known := estimate.New()
		now := start
		for i := range 60 {
			now = now.Add(50 * time.Millisecond)
			running := float64(1 + i%20)
			pace := 33*time.Millisecond + time.Duration(running*800)*time.Microsecond
			known.ObservePace(running, pace, pace*3/2, now)
		}
		Expect(known.StepGrowth(now)).To(BeNumerically("~", 800*time.Microsecond, 150*time.Microsecond))
		gap := known.Predict(estimate.Work{}, estimate.Load{Running: 10}, now.Add(2*second)).Gap
		Expect(gap).To(BeNumerically("~", 42*time.Millisecond, 3*time.Millisecond))
	})

	It("counts the wait of small prompts where others fill the engine", func() {
		known := estimate.New()
		now := start
		for range 30 {
			now = now.Add(100 * time.Millisecond)
			known.ObserveFirstEvent(300, 1, false, 100*time.Millisecond, now)
		}
		small := estimate.Work{PrefillTokens: 300}
		Expect(known.Predict(small, estimate.Load{Running: 1}, now).FirstEvent).To(BeNumerically("~", 100*time.Millisecond, 10*time.Millisecond))
		for range 4 {
			now = now.Add(50 * time.Millisecond)
			known.ObserveFirstEvent(300, 1, false, 400*time.Millisecond, now)
		}
		Expect(known.Predict(small, estimate.Load{Running: 1}, now).FirstEvent).To(BeNumerically(">", 250*time.Millisecond))
		Expect(known.Predict(small, estimate.Load{Running: 1}, now.Add(2*second)).FirstEvent).To(BeNumerically("<", 180*time.Millisecond))
	})

	It("learns what each running request adds to the wait of small prompts", func() {
		known := estimate.New()
		now := start
		for i := range 60 {
			now = now.Add(20 * time.Millisecond)
			running := float64(i % 8)
			known.ObserveFirstEvent(300, running, false, 30*time.Millisecond+time.Duration(running*20)*time.Millisecond, now)
		}
		now = now.Add(second)
		Expect(known.Predict(estimate.Work{PrefillTokens: 300}, estimate.Load{Running: 10}, now).FirstEvent).
			To(BeNumerically("~", 230*time.Millisecond, 30*time.Millisecond))
	})

	It("stays finite whatever it is told", func() {
		known := estimate.New()
		now := start
		for _, work := range []float64{0, 1, 1e3, 1e12} {
			for _, took := range []time.Duration{-second, 0, 1, 1000 * time.Hour} {
				known.ObserveFirstEvent(work, 1, true, took, now)
				known.ObservePace(work, took, took, now)
				now = now.Add(-second)
			}
		}
		Expect(known.PrefillRate(now)).To(And(BeNumerically(">", 1000), BeNumerically("<", 1e7)))
		Expect(known.Predict(estimate.Work{PrefillTokens: 1000}, estimate.Load{Running: 10}, now).FirstEvent).To(BeNumerically(">", 0))
	})

	It("is not led astray by one response that its caller read slowly", func() {
		known := estimate.New()
		now := start
		for i := range 60 {
			now = now.Add(50 * time.Millisecond)
			running := float64(1 + i%20)
			pace := 33*time.Millisecond + time.Duration(running*800)*time.Microsecond
			known.ObservePace(running, pace, pace*3/2, now)
		}
		usual := known.StepGrowth(now)
		known.ObservePace(40, 30*second, 60*second, now)
		Expect(known.StepGrowth(now)).To(BeNumerically("<", 5*usual))
	})

	It("bounds one time until the response to a small request started", func() {
		service := estimate.NewService()
		now := start
		for range 10 {
			now = now.Add(20 * time.Millisecond)
			service.ObserveResponse(50*time.Millisecond, now)
		}
		service.ObserveResponse(-time.Hour, now)
		Expect(service.Response(now)).To(BeNumerically("~", 50*time.Millisecond, time.Millisecond))
		service.ObserveResponse(time.Hour, now)
		Expect(service.Response(now)).To(BeNumerically("<=", 1100*time.Millisecond))
	})

	It("takes less than 2 KB", func() {
		Expect(int(unsafe.Sizeof(estimate.Endpoint{}))).To(BeNumerically("<", 2048))
	})
})
