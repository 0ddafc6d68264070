package demand_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/demand"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestDemand(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "demand")
}

var _ = Describe("the counter", func() {
	var now time.Time
	var counter *demand.Counter
	BeforeEach(func() {
		now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		counter = demand.NewCounter(func() time.Time { return now })
	})
	record := func(route string, requests int) {
		for range requests {
			counter.Record(&catalog.Route{Name: route, AllowedRegions: []types.Region{"north"}})
		}
	}

	It("counts the requests of each route", func() {
		record("a", 3)
		record("b", 1)
		Expect(counter.Counts()).To(Equal(demand.Counts{"a": 3, "b": 1}))
	})

	It("leaves out routes whose data may be anywhere", func() {
		counter.Record(&catalog.Route{Name: "free"})
		Expect(counter.Counts()).To(BeEmpty())
	})

	It("keeps the requests of a whole window, and forgets those of two windows ago", func() {
		record("a", 3)
		now = now.Add(demand.Window)
		record("a", 2)
		Expect(counter.Counts()).To(Equal(demand.Counts{"a": 5}))
		now = now.Add(demand.Window)
		Expect(counter.Counts()).To(Equal(demand.Counts{"a": 2}))
	})

	It("forgets everything after two windows without a request", func() {
		record("a", 3)
		now = now.Add(2 * demand.Window)
		Expect(counter.Counts()).To(BeEmpty())
	})

	It("returns counts of its own", func() {
		record("a", 1)
		counter.Counts()["a"] = 9
		Expect(counter.Counts()).To(Equal(demand.Counts{"a": 1}))
	})

	It("reads the clock once for each request, and not for one that does not count", func() {
		reads := 0
		counter = demand.NewCounter(func() time.Time {
			reads++
			return now
		})
		reads = 0
		record("a", 5)
		Expect(reads).To(Equal(5))
		counter.Record(&catalog.Route{Name: "free"})
		Expect(reads).To(Equal(5))
	})

	It("leaves out requests while it is suspended", func() {
		record("a", 1)
		counter.Suspend(2 * time.Second)
		counter.Suspend(time.Second)
		now = now.Add(time.Second)
		record("a", 5)
		now = now.Add(time.Second)
		record("a", 2)
		Expect(counter.Counts()).To(Equal(demand.Counts{"a": 3}))
	})
})

var _ = Describe("the largest counts", func() {
	It("are those of the routes with the most requests, and a copy", func() {
		counts := demand.Counts{"a": 3, "b": 1, "c": 2}
		Expect(counts.Largest(2)).To(Equal(demand.Counts{"a": 3, "c": 2}))
		counts.Largest(3)["a"] = 9
		Expect(counts["a"]).To(Equal(uint64(3)))
	})
})

var _ = Describe("visitors", func() {
	It("are expected from when another region has lost its daemons until it has one, or for a minute", func() {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		var visitors demand.Visitors
		regions := func(names ...types.Region) map[types.Region]bool {
			serving := make(map[types.Region]bool)
			for _, name := range names {
				serving[name] = true
			}
			return serving
		}
		Expect(visitors.Expected("north", regions("north", "east"), now)).To(BeFalse())
		Expect(visitors.Expected("north", regions("east"), now)).To(BeFalse(), "the own region's callers are no visitors")
		Expect(visitors.Expected("north", regions("north"), now.Add(time.Second))).To(BeTrue())
		Expect(visitors.Expected("north", regions("north", "east"), now.Add(2*time.Second))).To(BeFalse())
		Expect(visitors.Expected("north", regions("north"), now.Add(time.Minute))).To(BeTrue())
		Expect(visitors.Expected("north", regions("north"), now.Add(time.Minute+3*time.Second))).To(BeFalse())
	})
})
