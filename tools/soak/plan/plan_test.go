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
