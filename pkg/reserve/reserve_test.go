package reserve_test

import (
	"math"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/reserve"
)

func TestReserve(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reserve")
}

var _ = Describe("a budget", func() {
	It("reserves up to its limit and again what was released", func() {
		budget := reserve.NewBudget(10)
		Expect(budget.TryReserve(7)).To(BeTrue())
		Expect(budget.TryReserve(4)).To(BeFalse())
		Expect(budget.TryReserve(3)).To(BeTrue())
		budget.Release(7)
		Expect(budget.TryReserve(7)).To(BeTrue())
		Expect(budget.Used()).To(BeEquivalentTo(10))
	})

	It("has no limit if that is zero", func() {
		Expect(reserve.NewBudget(0).TryReserve(math.MaxInt64)).To(BeTrue())
	})

	It("never gives more than its limit at once", func() {
		const limit = 5
		budget := reserve.NewBudget(limit)
		var callers conc.WaitGroup
		for range 8 {
			callers.Go(func() {
				for range 1000 {
					if budget.TryReserve(2) {
						budget.Release(2)
					}
				}
			})
		}
		callers.Wait()
		Expect(budget.Used()).To(BeZero())
	})
})
