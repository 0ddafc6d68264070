package proxy_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/proxy"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// longAgo is a start of a daemon before which no budget was spent.
var longAgo = noon.Add(-time.Hour)

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
				budgets := proxy.NewRetryBudgets(ratio, fixed, window, longAgo)
				budgets.SetFleetSize(daemons)
				sum += spendAll(budgets, service, noon)
			}
			Expect(float64(sum)).To(BeNumerically("<=", fixed))
		}
	})

	It("are small while the other daemons are not known", func() {
		sum := 0
		for range 86 {
			sum += spendAll(proxy.NewRetryBudgets(ratio, fixed, window, longAgo), service, noon)
		}
		Expect(float64(sum)).To(BeNumerically("<=", fixed))
	})

	It("withdraw what a smaller share of the fixed number does not cover", func() {
		const offered = 100
		budgets := proxy.NewRetryBudgets(ratio, fixed, window, longAgo)
		budgets.SetFleetSize(8)
		for range offered {
			budgets.RecordRequest(service, noon)
		}
		budgets.SetFleetSize(86)
		Expect(float64(spendAll(budgets, service, noon))).To(BeNumerically("<=", ratio*offered+fixed/86))
	})

	It("let many streams resume that break off at once after quiet seconds", func() {
		const perSecond, seconds, broken = 100, 20, 120
		budgets := proxy.NewRetryBudgets(ratio, fixed, window, longAgo)
		budgets.SetFleetSize(8)
		now := noon
		for range seconds * perSecond {
			now = now.Add(time.Second / perSecond)
			budgets.RecordRequest(service, now)
		}
		Expect(spendAll(budgets, service, now)).To(BeNumerically(">=", broken))
	})

	It("let some requests be retried soon after the start of a daemon", func() {
		budgets := proxy.NewRetryBudgets(ratio, fixed, window, noon)
		for i := range 200 {
			budgets.RecordRequest(service, noon.Add(time.Duration(i)*10*time.Millisecond))
		}
		Expect(spendAll(budgets, service, noon.Add(2*time.Second))).To(BeNumerically(">=", 5))
	})

	It("are whole again after a window in which retries were spent", func() {
		budgets := proxy.NewRetryBudgets(ratio, fixed, window, longAgo)
		budgets.SetFleetSize(1)
		first := spendAll(budgets, service, noon)
		Expect(float64(first)).To(BeNumerically(">=", 0.8*fixed))
		Expect(spendAll(budgets, service, noon.Add(window+1400*time.Millisecond))).To(BeZero())
		Expect(spendAll(budgets, service, noon.Add(window+3*time.Second))).To(Equal(first))
	})

	It("take back a retry that was not sent", func() {
		budgets := proxy.NewRetryBudgets(ratio, fixed, window, longAgo)
		budgets.SetFleetSize(1)
		spendAll(budgets, service, noon)
		later := noon.Add(1200 * time.Millisecond)
		budgets.Refund(service, noon, later)
		Expect(spendAll(budgets, service, later)).To(Equal(1))
		budgets.Refund(service, noon.Add(-time.Hour), later)
		Expect(spendAll(budgets, service, later)).To(BeZero())
	})

	It("keep within the ratio and the fixed number in any window", func() {
		const perSecond, seconds = 50, 60
		budgets := proxy.NewRetryBudgets(ratio, fixed, window, longAgo)
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
			return float64(countWithin(times, from, window))
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
		for _, started := range []time.Time{longAgo, noon.Add(3 * time.Second), noon.Add(6 * time.Second)} {
			now := started.Add(time.Second)
			if started == longAgo {
				now = noon
			}
			for range daemons {
				budgets := proxy.NewRetryBudgets(ratio, fixed, window, started)
				budgets.SetFleetSize(daemons)
				sum += spendAll(budgets, service, now)
			}
		}
		Expect(float64(sum)).To(BeNumerically("<=", fixed))
		Expect(float64(sum)).To(BeNumerically(">=", fixed/2))
	})

	It("spend no more than a small fixed number together, however many daemons there are", func() {
		sum := 0
		for range 300 {
			budgets := proxy.NewRetryBudgets(ratio, 54, window, longAgo)
			budgets.SetFleetSize(300)
			sum += spendAll(budgets, service, noon)
		}
		Expect(sum).To(BeNumerically("<=", 54))
	})

	It("spend no more than the fixed number in a window that begins inside one of their buckets", func() {
		budgets := proxy.NewRetryBudgets(ratio, fixed, window, longAgo)
		budgets.SetFleetSize(1)
		budgets.RecordRequest("other", noon)
		Expect(budgets.Allow(service, noon)).To(BeTrue())
		first := 1 + spendAll(budgets, service, noon.Add(490*time.Millisecond))
		second := spendAll(budgets, service, noon.Add(window+10*time.Millisecond))
		Expect(float64(first - 1 + second)).To(BeNumerically("<=", fixed))
	})

	// The load moves between two halves of the fleet, daemons restart, and retries
	// arrive up to a second after they were permitted.
	DescribeTable("keep the fleet within its bound in any window", func(seed uint64) {
		const (
			daemons, seconds = 6, 60
			step             = 10 * time.Millisecond
			small            = 20.0
		)
		random := rand.New(rand.NewPCG(seed, 1))
		fleet := make([]*proxy.RetryBudgets, daemons)
		start := func(i int, at time.Time) {
			fleet[i] = proxy.NewRetryBudgets(ratio, small, window, at)
			fleet[i].SetFleetSize(daemons)
		}
		for i := range fleet {
			start(i, longAgo)
		}
		var offered, arrivals []time.Time
		load, failing := make([]float64, daemons), 0.0
		for now := noon; now.Before(noon.Add(seconds * time.Second)); now = now.Add(step) {
			if random.Float64() < 0.002 {
				busy := random.IntN(daemons)
				for i := range load {
					load[i] = 0
					if i%2 == busy%2 {
						load[i] = 1
					}
				}
			}
			if random.Float64() < 0.005 {
				failing = float64(random.IntN(2))
			}
			if random.Float64() < 0.0005 {
				for i := range fleet {
					start(i, now)
				}
			}
			for i, budgets := range fleet {
				if random.Float64() < load[i] {
					budgets.RecordRequest(service, now)
					offered = append(offered, now)
				}
				if random.Float64() < failing && budgets.Allow(service, now) {
					arrivals = append(arrivals, now.Add(time.Duration(random.Float64()*float64(time.Second))))
				}
			}
		}
		Expect(len(arrivals)).To(BeNumerically(">", 50))
		for from := noon; from.Before(noon.Add(seconds * time.Second)); from = from.Add(100 * time.Millisecond) {
			most := max(countWithin(offered, from, window), countWithin(offered, from.Add(-window/2), window), countWithin(offered, from.Add(-window), window))
			Expect(float64(countWithin(arrivals, from, window))).To(BeNumerically("<=", ratio*float64(most)+small))
		}
	}, seeds(8))
})

// countWithin counts the times in a window.
func countWithin(times []time.Time, from time.Time, window time.Duration) int {
	count := 0
	for _, t := range times {
		if !t.Before(from) && t.Before(from.Add(window)) {
			count++
		}
	}
	return count
}

// seeds returns one table entry for each of the first seeds.
func seeds(count int) []TableEntry {
	var entries []TableEntry
	for seed := range count {
		entries = append(entries, Entry(fmt.Sprintf("seed %d", seed), uint64(seed)))
	}
	return entries
}
