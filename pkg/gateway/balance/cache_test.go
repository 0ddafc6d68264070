package balance

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the model of an engine's cache", func() {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	const capacity = 100_000
	var held cache
	BeforeEach(func() { held = cache{} })
	insert := func(prefix uint64, tokens int) {
		now = now.Add(time.Second)
		held.insert(prefix, tokens, capacity, now)
	}

	It("holds what fits", func() {
		for prefix := range uint64(7) {
			insert(prefix, 13_000)
		}
		for prefix := range uint64(7) {
			Expect(held.holds(prefix)).To(BeTrue())
		}
	})

	It("drops what was used least recently", func() {
		for prefix := range uint64(7) {
			insert(prefix, 13_000)
		}
		insert(0, 13_000)
		insert(7, 13_000)
		Expect(held.holds(0)).To(BeTrue())
		Expect(held.holds(1)).To(BeFalse())
		Expect(held.holds(7)).To(BeTrue())
	})

	It("holds the last prefix, however large", func() {
		insert(1, 13_000)
		insert(2, 2*capacity)
		Expect(held.holds(1)).To(BeFalse())
		Expect(held.holds(2)).To(BeTrue())
	})

	It("is empty after a restart of the engine", func() {
		ep := endpointState{}
		ep.cache.insert(1, 13_000, capacity, now)
		ep.recordResult(ConnectFailed, now)
		ep.recordResult(Succeeded, now)
		Expect(ep.cache.holds(1)).To(BeFalse())
	})
})
