package catalog_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
)

var _ = Describe("What a daemon tells others after the store came back from a copy", func() {
	var knowing, other *catalog.State
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	copied := inEra(2, configRecord(3, 2), endpointRecord("e1", 4, nil))

	BeforeEach(func() {
		knowing, other = catalog.NewState(), catalog.NewState()
		for _, state := range []*catalog.State{knowing, other} {
			state.Replace(inEra(1, configRecord(3, 2), endpointRecord("e1", 4, nil)), position(1, 18), 0, start)
		}
	})

	It("holds an endpoint that is gone at a daemon that knows its entry of the earlier era only", func() {
		knowing.Apply(changes(1, 18, 21, catalog.Record{Key: "servers/e1", Revision: 21, Deleted: true}), at(1))
		knowing.Replace(copied, position(2, 18), 0, at(2))
		Expect(other.Apply(knowing.Since(other.Applied(), at(3)), at(3))).To(BeTrue())
		Expect(usedBy(other, at(7.9))).To(BeEmpty())
		Expect(usedBy(other, at(8))).To(ConsistOf(types.EndpointID("e1")))
	})

	It("keeps an endpoint draining at a daemon that has read the same copy", func() {
		knowing.Apply(changes(1, 18, 21, endpointRecord("e1", 21, draining)), at(1))
		knowing.Replace(copied, position(2, 18), 0, at(2))
		started := catalog.NewState()
		started.Replace(copied, position(2, 18), 0, at(2.5))
		Expect(started.Apply(knowing.Whole(at(3)), at(3))).To(BeTrue())
		Expect(usedBy(started, at(3))).To(BeEmpty())
		Expect(started.ConsumeChanged()).To(BeTrue())
	})

	It("holds an endpoint that is gone at a daemon that has read the same copy", func() {
		knowing.Apply(changes(1, 18, 21, catalog.Record{Key: "servers/e1", Revision: 21, Deleted: true}), at(1))
		knowing.Replace(copied, position(2, 18), 0, at(2))
		started := catalog.NewState()
		started.Replace(copied, position(2, 18), 0, at(2.5))
		started.Apply(knowing.Whole(at(3)), at(3))
		Expect(usedBy(started, at(7.9))).To(BeEmpty())
		Expect(usedBy(started, at(8))).To(HaveLen(1))
	})

	It("brings the later process of an endpoint to a daemon that has read the same copy", func() {
		knowing.Apply(changes(1, 18, 21, endpointRecord("e1", 21, func(e *catalog.Endpoint) { e.StartedAt, e.Address = 7, "10.0.0.2:80" })), at(1))
		copied := inEra(2, endpointRecord("e1", 4, func(e *catalog.Endpoint) { e.StartedAt = 5 }))
		knowing.Replace(copied, position(2, 18), 0, at(2))
		started := catalog.NewState()
		started.Replace(copied, position(2, 18), 0, at(2.5))
		started.Apply(knowing.Whole(at(3)), at(3))
		Expect(started.View(at(3)).Endpoints[service]).To(HaveExactElements(HaveField("Address", "10.0.0.2:80")))
	})

	It("ends an evacuation that another daemon has read in the new era before that one learned of the era", func() {
		other.Apply(catalog.Delta{Era: 2, Records: inEra(2, catalog.Record{Key: "op/evacuate/north-a", Revision: 17, Evacuated: "north-a"})}, at(2))
		Expect(usedBy(other, at(2))).To(BeEmpty())
		knowing.Replace(copied, position(2, 19), 0, at(2.5))
		Expect(other.Apply(knowing.Since(other.Applied(), at(3)), at(3))).To(BeTrue())
		other.Expire(at(60))
		Expect(usedBy(other, at(60))).To(HaveLen(1))
	})

	It("removes an endpoint of the new era of which another daemon knew before it learned of the era", func() {
		other.Apply(changes(2, 18, 19, endpointRecord("e2", 19, nil)), at(2))
		knowing.Replace(copied, position(2, 20), 0, at(2.5))
		Expect(other.Apply(knowing.Since(other.Applied(), at(3)), at(3))).To(BeTrue())
		other.Expire(at(60))
		Expect(usedBy(other, at(60))).To(ConsistOf(types.EndpointID("e1")))
	})

	It("keeps an evacuation that is read after the whole state of a daemon that missed it", func() {
		knowing.Replace(copied, position(2, 19), 0, at(2))
		evacuated := catalog.Delta{Era: 2, Records: inEra(2, catalog.Record{Key: "op/evacuate/north-a", Revision: 17, Evacuated: "north-a"})}
		other.Apply(evacuated, at(2))
		other.Apply(knowing.Since(other.Applied(), at(3)), at(3))
		Expect(other.NewRecords(evacuated.Records)).To(HaveLen(1))
		other.Apply(evacuated, at(4))
		Expect(usedBy(other, at(4))).To(BeEmpty())
	})
})
