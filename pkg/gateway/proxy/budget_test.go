package proxy_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/proxy"
	"github.com/flamingomount/flamingomount/pkg/types"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// spendAll takes retries until the budget is spent and returns their number.
func spendAll(budgets *proxy.RetryBudgets, service types.ServiceName, now time.Time) int {
	count := 0
	for budgets.Allow(service, now) {
		count++
	}
	return count
}

var _ = Describe("RetryBudgets", func() {
	const (
		service = types.ServiceName("desk")
		ratio   = 0.2
		fixed   = 212.0
		window  = 10 * time.Second
	)

	It("spend no more than the fixed number together, however many daemons there are", func() {
		for _, daemons := range []int{8, 86, 160} {
			sum := 0
			for range daemons {
				budgets := proxy.NewRetryBudgets(ratio, fixed, window)
				budgets.SetFleetSize(daemons)
				sum += spendAll(budgets, service, noon)
			}
			Expect(float64(sum)).To(BeNumerically("<=", fixed))
		}
	})

	It("are small while the other daemons are not known", func() {
		sum := 0
		for range 86 {
			sum += spendAll(proxy.NewRetryBudgets(ratio, fixed, window), service, noon)
		}
		Expect(float64(sum)).To(BeNumerically("<=", fixed))
	})

	It("withdraw what a smaller share of the fixed number does not cover", func() {
		const offered = 100
		budgets := proxy.NewRetryBudgets(ratio, fixed, window)
		budgets.SetFleetSize(8)
		for range offered {
			budgets.RecordRequest(service, noon)
		}
		budgets.SetFleetSize(86)
		Expect(float64(spendAll(budgets, service, noon))).To(BeNumerically("<=", ratio*offered+fixed/86))
	})

	It("let many streams resume that break off at once after quiet seconds", func() {
		const perSecond, broken = 100, 120
		budgets := proxy.NewRetryBudgets(ratio, fixed, window)
		budgets.SetFleetSize(8)
		now := noon
		for range 10 * perSecond {
			now = now.Add(time.Second / perSecond)
			budgets.RecordRequest(service, now)
		}
		Expect(spendAll(budgets, service, now)).To(BeNumerically(">=", broken))
	})

	It("keep within the ratio and the fixed number in any window", func() {
		const perSecond, seconds = 50, 60
		budgets := proxy.NewRetryBudgets(ratio, fixed, window)
		budgets.SetFleetSize(1)
		var offered, retries []time.Time
		for step := range perSecond * seconds {
			now := noon.Add(time.Duration(step) * time.Second / perSecond)
			// In every other period of 10 seconds no request is offered.
			if step/perSecond%20 < 10 {
				budgets.RecordRequest(service, now)
				offered = append(offered, now)
			}
			if step/perSecond%7 > 3 && budgets.Allow(service, now) {
				retries = append(retries, now)
			}
		}
		countInWindow := func(times []time.Time, from time.Time) float64 {
			count := 0.0
			for _, t := range times {
				if !t.Before(from) && t.Before(from.Add(window)) {
					count++
				}
			}
			return count
		}
		Expect(retries).NotTo(BeEmpty())
		for step := range 10 * seconds {
			from := noon.Add(time.Duration(step) * time.Second / 10)
			maxOffered := max(countInWindow(offered, from), countInWindow(offered, from.Add(-window/2)), countInWindow(offered, from.Add(-window)))
			Expect(countInWindow(retries, from)).To(BeNumerically("<=", ratio*maxOffered+fixed))
		}
	})

	It("spend no more than the fixed number together when all daemons restart within a window", func() {
		const daemons = 8
		sum := 0
		for run := range 3 {
			started := noon.Add(time.Duration(run) * 3 * time.Second)
			for range daemons {
				budgets := proxy.NewRetryBudgets(ratio, fixed, window)
				budgets.SetFleetSize(daemons)
				sum += spendAll(budgets, service, started.Add(time.Second))
			}
		}
		Expect(float64(sum)).To(BeNumerically("<=", fixed))
	})

	It("spend no more than a small fixed number together, however many daemons there are", func() {
		sum := 0
		for range 300 {
			budgets := proxy.NewRetryBudgets(ratio, 54, window)
			budgets.SetFleetSize(300)
			sum += spendAll(budgets, service, noon)
		}
		Expect(sum).To(BeNumerically("<=", 54))
	})

	It("spend no more than the fixed number in a window that begins inside one of their buckets", func() {
		budgets := proxy.NewRetryBudgets(ratio, fixed, window)
		budgets.SetFleetSize(1)
		budgets.RecordRequest("other", noon)
		Expect(budgets.Allow(service, noon)).To(BeTrue())
		first := 1 + spendAll(budgets, service, noon.Add(490*time.Millisecond))
		second := spendAll(budgets, service, noon.Add(window+10*time.Millisecond))
		Expect(float64(first - 1 + second)).To(BeNumerically("<=", fixed))
	})
})
