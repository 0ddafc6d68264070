package plan_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/tools/soak/plan"
)

func TestPlan(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "plan")
}

var _ = Describe("New", func() {
	It("draws the same plan from the same seed, and another from another one", func() {
		Expect(plan.New(5, time.Minute)).To(Equal(plan.New(5, time.Minute)))
		Expect(plan.New(5, time.Minute)).NotTo(Equal(plan.New(6, time.Minute)))
	})

	It("draws planned work only from every fourth seed", func() {
		for _, step := range plan.New(8, time.Minute) {
			Expect(step.Kind.Planned()).To(BeTrue())
		}
	})

	It("draws every kind sooner or later, within the length", func() {
		seen := map[plan.Kind]bool{}
		for seed := range uint64(40) {
			for _, step := range plan.New(seed, time.Minute) {
				seen[step.Kind] = true
				Expect(step.At).To(BeNumerically("<", time.Minute))
			}
		}
		Expect(seen).To(HaveLen(19))
	})
})

var regions = [][]int{{0, 1, 2}, {3, 4, 5}, {6, 7}}

var _ = Describe("Homes", func() {
	It("draws the same plan from the same seed, and another from another one", func() {
		Expect(plan.Homes(5, regions, time.Minute)).To(Equal(plan.Homes(5, regions, time.Minute)))
		Expect(plan.Homes(5, regions, time.Minute)).NotTo(Equal(plan.Homes(6, regions, time.Minute)))
	})

	It("stops all daemons of a region within a stop, and of all regions, with planned work only", func() {
		const grace = 4 * time.Second
		last := map[int]time.Duration{}
		stops := map[int][]time.Duration{}
		for _, step := range plan.Homes(7, regions, time.Minute) {
			Expect(step.Kind.Planned()).To(BeTrue())
			if step.Kind != plan.Stop && step.Kind != plan.Replace {
				continue
			}
			if before, found := last[step.Target]; found {
				Expect(step.At - before).To(BeNumerically(">", grace))
			}
			last[step.Target] = step.At
			stops[step.Target/3] = append(stops[step.Target/3], step.At)
		}
		Expect(stops).To(HaveLen(len(regions)))
		for region, daemons := range regions {
			for at := 0; at+len(daemons) <= len(stops[region]); at += len(daemons) {
				Expect(stops[region][at+len(daemons)-1] - stops[region][at]).To(BeNumerically("<", grace))
			}
		}
	})
})

var _ = Describe("Restarts", func() {
	It("draws the same plan from the same seed, and another from another one", func() {
		Expect(plan.Restarts(5, time.Minute)).To(Equal(plan.Restarts(5, time.Minute)))
		Expect(plan.Restarts(5, time.Minute)).NotTo(Equal(plan.Restarts(6, time.Minute)))
	})

	It("lets endpoints be away for 0.3 to 4 s, also at the same time, with other steps beside them", func() {
		seen, overlaps := map[plan.Kind]bool{}, 0
		for seed := range uint64(10) {
			var until time.Duration
			for _, step := range plan.Restarts(seed, time.Minute) {
				seen[step.Kind] = true
				if step.Kind != plan.Revive {
					continue
				}
				Expect(step.For).To(And(BeNumerically(">=", 300*time.Millisecond), BeNumerically("<=", 4*time.Second)))
				if step.At < until {
					overlaps++
				}
				until = max(until, step.At+step.For)
			}
		}
		Expect(seen).To(HaveLen(11))
		Expect(overlaps).To(BeNumerically(">", 20))
	})
})

var _ = Describe("Restored", func() {
	It("draws the same plan from the same seed, and another from another one", func() {
		Expect(plan.Restored(5, time.Minute)).To(Equal(plan.Restored(5, time.Minute)))
		Expect(plan.Restored(5, time.Minute)).NotTo(Equal(plan.Restored(6, time.Minute)))
	})

	It("has the store come back from copies some seconds old, with records that are lost, and copies that overlap", func() {
		seen, overlaps := map[plan.Kind]bool{}, 0
		for seed := range uint64(20) {
			var gone time.Duration
			for _, step := range plan.Restored(seed, time.Minute) {
				seen[step.Kind] = true
				if step.Kind != plan.Restore {
					continue
				}
				Expect(step.For).To(And(BeNumerically(">=", time.Second), BeNumerically("<=", 5*time.Second)))
				if step.At < gone {
					overlaps++
				}
				gone = step.At + step.For
			}
		}
		Expect(seen).To(HaveLen(12))
		Expect(overlaps).To(BeNumerically(">", 2))
	})
})

var _ = Describe("Rolling", func() {

	It("draws the same plan from the same seed, and another from another one", func() {
		Expect(plan.Rolling(5, regions, time.Minute)).To(Equal(plan.Rolling(5, regions, time.Minute)))
		Expect(plan.Rolling(5, regions, time.Minute)).NotTo(Equal(plan.Rolling(6, regions, time.Minute)))
	})

	It("stops one daemon of a region at a time, all in turn, with planned work only", func() {
		last := map[int]plan.Step{}
		stopped := map[int]bool{}
		for _, step := range plan.Rolling(7, regions, time.Minute) {
			Expect(step.Kind.Planned()).To(BeTrue())
			if step.Kind != plan.Stop && step.Kind != plan.Replace {
				continue
			}
			region := step.Target / 3
			if before, found := last[region]; found {
				Expect(step.At - before.At).To(BeNumerically(">", 8*time.Second))
			}
			last[region] = step
			stopped[step.Target] = true
		}
		Expect(stopped).To(HaveLen(8))
	})
})
