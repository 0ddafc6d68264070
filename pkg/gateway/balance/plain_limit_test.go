package balance_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Many daemons at few plain endpoints", func() {
	It("together keep no more requests there than the slots and a queue of four times as many", func() {
		const daemons, endpoints, slots, queue = 26, 3, 6, 24
		placed := 0
		for _, pool := range newFleet(view(0, endpoints, nil), daemons) {
			for requestPermit(pool, newRequest(desk, 2), start) != nil {
				placed++
			}
		}
		Expect(placed).To(BeNumerically(">=", daemons))
		Expect(placed).To(BeNumerically("<=", endpoints*(slots+queue)))
	})
})
