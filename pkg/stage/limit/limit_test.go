package limit_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/stage/limit"
)

func TestLimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "limit")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// converge simulates daemons that always use their whole limit at one shared
// endpoint, and returns the sum of the limits at the last report.
func converge(slots int, limits []*limit.AIMD) float64 {
	sum := 0.0
	for i := range 400 {
		now := start.Add(time.Duration(i) * 250 * time.Millisecond)
		sum = 0
		for _, l := range limits {
			sum += l.Share()
		}
		running := min(int(sum), slots)
		for _, l := range limits {
			l.Report(limit.Report{
				TakenAt: now, Slots: slots, Running: running, Queued: int(sum) - running,
				InFlight: l.Limit(), Daemons: len(limits),
			}, now)
		}
	}
	return sum
}

var _ = Describe("AIMD", func() {
	It("converges to limits whose sum is close to the slots, from above and below", func() {
		for _, assumedDaemons := range []int{4, 12, 40} {
			var limits []*limit.AIMD
			for range 12 {
				limits = append(limits, limit.NewAIMD(limit.Options{}, 16, assumedDaemons))
			}
			Expect(converge(16, limits)).To(BeNumerically("~", 16, 2), "%d daemons assumed", assumedDaemons)
		}
	})

	It("decreases once for one queue, however many reports show it", func() {
		l := limit.NewAIMD(limit.Options{}, 16, 1)
		for range 10 {
			l.Report(limit.Report{TakenAt: start, Slots: 16, Running: 16, Queued: 4, InFlight: 16, Daemons: 4}, start)
		}
		// One decrease takes (4 - 0.8) / 16 of the limit.
		Expect(l.Share()).To(BeNumerically("~", 16*0.8, 0.001))
	})

	It("keeps the fair share during a short queue and falls below it during a lasting one", func() {
		l := limit.NewAIMD(limit.Options{}, 16, 1)
		report := func(second int) {
			now := start.Add(time.Duration(second) * time.Second)
			l.Report(limit.Report{TakenAt: now, Slots: 16, Running: 16, Queued: 8, InFlight: 16, Daemons: 1}, now)
		}
		for second := range 10 {
			report(second)
			Expect(l.Share()).To(Equal(16.0))
		}
		// A daemon that wrongly assumes it is alone falls to MinShare in the end.
		for second := 10; second < 40; second++ {
			report(second)
		}
		Expect(l.Share()).To(Equal(4.0))
	})

	It("does not raise a limit that is not in use", func() {
		l := limit.NewAIMD(limit.Options{}, 16, 4)
		l.Report(limit.Report{TakenAt: start, Slots: 16, Daemons: 4}, start)
		Expect(l.Share()).To(Equal(4.0))
	})
})

var _ = Describe("Pace", func() {
	It("keeps half of a deviation for the half-life, however often it is read", func() {
		for _, step := range []time.Duration{30 * time.Second, time.Second, 100 * time.Millisecond} {
			var pace limit.Pace
			pace.At(start)
			for range 50 {
				pace.Observe(3*time.Second, time.Second, start)
			}
			deviation := pace.At(start) - 1000
			for elapsed := step; elapsed <= 30*time.Second; elapsed += step {
				pace.At(start.Add(elapsed))
			}
			Expect(pace.At(start.Add(30*time.Second))-1000).To(BeNumerically("~", deviation/2, 10), step.String())
		}
	})

	It("rises for a slow endpoint and decays while nothing is measured", func() {
		var pace limit.Pace
		now := start
		for range 50 {
			now = now.Add(time.Second)
			pace.Observe(3*time.Second, time.Second, now)
		}
		slow := pace.At(now)
		Expect(slow).To(BeNumerically(">", 2000))
		Expect(pace.At(now.Add(10 * time.Minute))).To(BeNumerically("<", 1200))
	})
})
