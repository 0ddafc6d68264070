package world_test

import (
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/tools/soak/world"
)

var _ = Describe("The waits of threads for a processor", func() {
	It("tell the longest wait of one thread since the last look, and don't add up threads", func() {
		longest := world.Waits()
		Expect(longest(map[string]time.Duration{"a": time.Second, "b": 300 * time.Millisecond})).To(Equal(time.Second))
		Expect(longest(map[string]time.Duration{"a": time.Second, "b": 600 * time.Millisecond})).To(Equal(300 * time.Millisecond))
		Expect(longest(map[string]time.Duration{"a": 1100 * time.Millisecond, "b": 700 * time.Millisecond, "c": 200 * time.Millisecond})).
			To(Equal(200 * time.Millisecond))
		Expect(longest(nil)).To(BeZero())
	})

	It("are the second number of a thread's statistics", func() {
		wait, ok := world.ParseWait("5000 700000000 3\n")
		Expect(ok).To(BeTrue())
		Expect(wait).To(Equal(700 * time.Millisecond))
		for _, bad := range []string{"", "5000", "5000 x 3"} {
			_, ok := world.ParseWait(bad)
			Expect(ok).To(BeFalse(), bad)
		}
	})

	It("are none of a process that doesn't run", func() {
		Expect(world.ReadWaits(os.Getpid())).NotTo(BeNil())
		Expect(world.ReadWaits(-1)).To(BeEmpty())
	})
})
