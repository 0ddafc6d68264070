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
})
