package catalog_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
)

var _ = Describe("Rules of a state of several eras", func() {
	const evacuationKey = "op/evacuate/north-a"
	var state *catalog.State
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	evacuation := func(revision uint64) catalog.Record {
		return catalog.Record{Key: evacuationKey, Revision: revision, Evacuated: "north-a"}
	}
	gone := func(revision uint64) catalog.Record {
		return catalog.Record{Key: "servers/e1", Revision: revision, Deleted: true}
	}
	started := func(at int64, cold time.Duration) func(*catalog.Endpoint) {
		return func(e *catalog.Endpoint) { e.StartedAt, e.Cold = at, cold }
	}

	BeforeEach(func() {
		state = catalog.NewState()
		state.Replace(inEra(1, endpointRecord("e1", 4, nil)), position(1, 18), 0, start)
	})

	It("keeps an evacuation of a later era that it has not entered", func() {
		state.Apply(catalog.Delta{Era: 2, Records: inEra(2, evacuation(17))}, at(1))
		Expect(state.Expire(at(60))).To(BeEmpty())
		Expect(usedBy(state, at(60))).To(BeEmpty())
	})

	It("keeps a change after the position of a full read that arrives late", func() {
		state.Apply(changes(1, 20, 21, endpointRecord("e2", 21, nil)), at(1))
		state.Replace(inEra(1, endpointRecord("e1", 4, nil)), position(1, 20), 0, at(1))
		Expect(usedBy(state, at(1))).To(HaveLen(2))
	})

	It("keeps a change after the position of the whole state by which it enters an era", func() {
		state.Apply(changes(2, 20, 21, endpointRecord("e2", 21, nil)), at(1))
		state.Apply(catalog.Delta{Era: 2, To: 20, Whole: true, Records: inEra(2, endpointRecord("e1", 4, nil))}, at(1))
		Expect(usedBy(state, at(1))).To(HaveLen(2))
	})

	It("keeps a change of its era that a whole state does not have", func() {
		state.Apply(changes(1, 18, 19, evacuation(19)), at(1))
		state.Apply(catalog.Delta{Era: 1, To: 19, Whole: true, Records: inEra(1, endpointRecord("e1", 4, nil))}, at(1))
		Expect(usedBy(state, at(1))).To(BeEmpty())
	})

	It("is told what the copy lacks also if its lost revision is below the copy's", func() {
		joined := catalog.NewState()
		joined.Replace(nil, position(2, 30), 0, at(1))
		state.Replace(nil, position(2, 30), 0, at(1))
		joined.Apply(state.Whole(at(2)), at(2))
		Expect(usedBy(joined, at(2))).To(HaveLen(1))
	})

	It("counts no time of an era that began in the future or that it has entered itself", func() {
		lacking := inEra(1, endpointRecord("e1", 4, nil))
		joined := catalog.NewState()
		joined.Apply(catalog.Delta{Era: 2, To: 18, Whole: true, EraAge: -time.Hour, Records: lacking}, at(1))
		Expect(joined.Settling(at(9))).To(BeFalse())
		entering := catalog.NewState()
		entering.Replace(lacking, position(1, 18), 0, start)
		entering.Apply(catalog.Delta{Era: 2, To: 18, Whole: true, EraAge: -time.Hour}, at(1))
		Expect(entering.Settling(at(6))).To(BeFalse())
		state.Replace(nil, position(2, 18), 0, at(1))
		state.Apply(catalog.Delta{Era: 2, To: 18, Whole: true, EraAge: time.Millisecond, Records: lacking}, at(3))
		Expect(state.Expire(at(3.2))).To(ConsistOf("servers/e1"))
	})

	It("keeps the cold time and the hold of a process in place of an earlier one", func() {
		state.Apply(changes(1, 18, 19, endpointRecord("e1", 19, started(7, 5*time.Second))), at(1))
		state.Replace(inEra(2, endpointRecord("e1", 4, started(5, 0))), position(2, 18), 0, at(2))
		Expect(state.View(at(2)).Endpoints[service][0].ColdUntil).To(BeTemporally("==", at(6)))

		state.Apply(changes(2, 18, 20, gone(20)), at(3))
		state.Replace(inEra(3, endpointRecord("e1", 4, started(7, 0))), position(3, 18), 0, at(4))
		state.Replace(inEra(4, endpointRecord("e1", 4, started(5, 0))), position(4, 18), 0, at(5))
		Expect(usedBy(state, at(10.9))).To(BeEmpty())
	})

	It("takes an entry with another address and no start time for another process", func() {
		state.Apply(changes(1, 18, 19, endpointRecord("e1", 19, draining)), at(1))
		state.Replace(inEra(2, endpointRecord("e1", 4, func(e *catalog.Endpoint) { e.Address = "10.0.0.2:80" })), position(2, 18), 0, at(2))
		Expect(usedBy(state, at(2))).To(HaveLen(1))
	})

	It("bounds the hold that a message tells, and does not prolong it by repetition", func() {
		held := inEra(2, endpointRecord("e1", 4, nil))
		held[0].Held = time.Hour
		joined := catalog.NewState()
		joined.Apply(catalog.Delta{Era: 2, To: 18, Whole: true, Records: held}, at(1))
		joined.Apply(catalog.Delta{Era: 2, To: 18, Whole: true, Records: held}, at(3))
		Expect(usedBy(joined, at(6.9))).To(BeEmpty())
		Expect(usedBy(joined, at(7))).To(HaveLen(1))
	})
})
