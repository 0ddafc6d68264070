package proxy_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/proxy"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// spend takes extra attempts until none is left.
func spend(budgets *proxy.Budgets, service types.ServiceName) int {
	count := 0
	for budgets.Take(service) {
		count++
	}
	return count
}

var _ = Describe("Budgets", func() {
	const service = types.ServiceName("desk")
	const fixed = 212.0

	It("spend no more than the fixed number together, however many daemons there are", func() {
		for _, daemons := range []int{8, 86, 160} {
			sum := 0
			for range daemons {
				budgets := proxy.NewBudgets(0.2, fixed)
				budgets.Divide(daemons)
				sum += spend(budgets, service)
			}
			Expect(float64(sum)).To(BeNumerically("<=", fixed))
		}
	})

	It("are small while the other daemons are not known", func() {
		sum := 0
		for range 86 {
			sum += spend(proxy.NewBudgets(0.2, fixed), service)
		}
		Expect(float64(sum)).To(BeNumerically("<=", fixed))
	})

	It("take back what a smaller part does not cover", func() {
		budgets := proxy.NewBudgets(0.2, fixed)
		budgets.Divide(8)
		for range 1000 {
			budgets.Offered(service)
		}
		budgets.Divide(86)
		Expect(spend(budgets, service)).To(BeNumerically("<=", 2))
	})
})
