package catalog_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestCatalog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "catalog")
}

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

const service = types.ServiceName("quotes")

func endpointRecord(id string, revision uint64, change func(*catalog.Endpoint)) catalog.Record {
	endpoint := &catalog.Endpoint{
		ID: types.EndpointID(id), Service: service, Address: "10.0.0.1:80", DataCentre: "north-a", Region: "north", Slots: 4,
	}
	if change != nil {
		change(endpoint)
	}
	return catalog.Record{Key: "servers/" + id, Revision: revision, Endpoint: endpoint}
}

func deltaOf(from uint64, records ...catalog.Record) catalog.Delta {
	return catalog.Delta{From: from, To: records[len(records)-1].Revision, Records: records}
}

func configRecord(version, revision uint64) catalog.Record {
	return catalog.Record{Key: "op/config", Revision: revision, Config: &catalog.Config{
		Version:  version,
		Routes:   []*catalog.Route{{Name: "r", Host: "a.example", Prefix: "/a/"}, {Name: "longer", Host: "a.example", Prefix: "/a/b/"}},
		Services: map[types.ServiceName]*catalog.Service{service: {Name: service, ColdStart: 3 * time.Second, ColdPerSecond: 9}},
	}}
}

var _ = Describe("State", func() {
	var state *catalog.State

	BeforeEach(func() { state = catalog.NewState() })

	It("keeps the newest configuration when an older one arrives late", func() {
		state.Apply(deltaOf(0, configRecord(7, 10)), start)
		state.Apply(deltaOf(0, configRecord(5, 4)), start)
		state.Apply(deltaOf(0, configRecord(6, 12)), start)
		Expect(state.View(start).Config.Version).To(BeEquivalentTo(7))
	})

	It("does not advance its revision across a gap", func() {
		Expect(state.Apply(deltaOf(0, endpointRecord("e1", 3, nil)), start)).To(BeTrue())
		Expect(state.Apply(deltaOf(5, endpointRecord("e2", 6, nil)), start)).To(BeFalse())
		Expect(state.Applied().Revision).To(BeEquivalentTo(3))
		Expect(state.View(start).Endpoints[service]).To(HaveLen(2))
	})

	It("does not bring back an endpoint that was deleted at a later revision", func() {
		state.Apply(deltaOf(0, endpointRecord("e1", 3, nil)), start)
		state.Apply(catalog.Delta{From: 3, To: 5, Records: []catalog.Record{{Key: "servers/e1", Revision: 5, Deleted: true}}}, start)
		state.Apply(catalog.Delta{From: 0, To: 3, Records: []catalog.Record{endpointRecord("e1", 3, nil)}}, start)
		Expect(state.View(start).Endpoints[service]).To(BeEmpty())
	})

	It("does not bring back an endpoint that a full read lacked and that a lagging peer still has", func() {
		state.Replace([]catalog.Record{configRecord(1, 2)}, catalog.Position{Revision: 9}, 0, start)
		state.Apply(deltaOf(0, endpointRecord("e1", 3, nil)), start)
		Expect(state.View(start).Endpoints[service]).To(BeEmpty())
	})

	It("removes an endpoint that a full read lacks, as after a loss of the history", func() {
		state.Apply(deltaOf(0, endpointRecord("e1", 3, nil), endpointRecord("e2", 4, nil)), start)
		state.Replace([]catalog.Record{endpointRecord("e2", 4, nil)}, catalog.Position{Revision: 9}, 0, start)
		Expect(state.View(start).Endpoints[service]).To(HaveLen(1))
		Expect(state.Applied().Revision).To(BeEquivalentTo(9))
	})

	It("ignores a full read that is older than the state", func() {
		state.Apply(deltaOf(0, endpointRecord("e1", 3, nil)), start)
		state.Replace(nil, catalog.Position{Revision: 2}, 0, start)
		Expect(state.View(start).Endpoints[service]).To(HaveLen(1))
	})

	It("uses an endpoint whose entry expired in an outage until the grace ends", func() {
		state.Apply(deltaOf(0, endpointRecord("e1", 3, nil)), start)
		state.Replace(nil, catalog.Position{Revision: 9}, 2*time.Second, start)
		Expect(state.View(start).Endpoints[service]).To(HaveLen(1))
		state.Expire(start.Add(1900 * time.Millisecond))
		Expect(state.View(start).Endpoints[service]).To(HaveLen(1))
		state.Expire(start.Add(2 * time.Second))
		Expect(state.View(start).Endpoints[service]).To(BeEmpty())
	})

	It("gives no grace to an endpoint that was draining", func() {
		state.Apply(deltaOf(0, endpointRecord("e1", 3, func(e *catalog.Endpoint) { e.Draining = true })), start)
		state.Replace(nil, catalog.Position{Revision: 9}, 2*time.Second, start)
		Expect(state.View(start).Endpoints[service]).To(BeEmpty())
	})

	It("sends the remaining grace time to peers", func() {
		state.Apply(deltaOf(0, endpointRecord("e1", 3, nil)), start)
		state.Replace(nil, catalog.Position{Revision: 9}, 2*time.Second, start)
		later := start.Add(1500 * time.Millisecond)
		peer := catalog.NewState()
		peer.Apply(deltaOf(0, endpointRecord("e1", 3, nil)), start)
		Expect(peer.Apply(state.Since(catalog.Position{Revision: 3}, later), later)).To(BeTrue())
		Expect(peer.View(start).Endpoints[service]).To(HaveLen(1))
		peer.Expire(later.Add(500 * time.Millisecond))
		Expect(peer.View(start).Endpoints[service]).To(BeEmpty())
	})

	It("uses no endpoint of a data centre that is being evacuated, and treats them as cold afterwards", func() {
		state.Apply(deltaOf(0, configRecord(1, 2), endpointRecord("e1", 3, nil)), start)
		state.Apply(catalog.Delta{From: 3, To: 4, Records: []catalog.Record{{Key: "op/evacuate/north-a", Revision: 4, Evacuated: "north-a"}}}, start)
		Expect(state.View(start).Endpoints[service]).To(BeEmpty())
		back := start.Add(8 * time.Second)
		state.Apply(catalog.Delta{From: 4, To: 5, Records: []catalog.Record{{Key: "op/evacuate/north-a", Revision: 5, Deleted: true}}}, back)
		Expect(state.View(start).Endpoints[service]).To(HaveLen(1))
		Expect(state.View(start).Endpoints[service][0].ColdUntil).To(BeTemporally(">=", back.Add(3*time.Second)))
		Expect(state.View(start).Endpoints[service][0].ColdAssumed).To(BeTrue())
		state.Apply(deltaOf(5, endpointRecord("e1", 6, func(e *catalog.Endpoint) { e.Cold = 9 * time.Second })), back)
		Expect(state.View(start).Endpoints[service][0].ColdAssumed).To(BeFalse())
	})

	Describe("an evacuated data centre", func() {
		const limit = 5 * time.Second
		at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
		evacuation := func(revision uint64) catalog.Delta {
			return deltaOf(revision-1, catalog.Record{Key: "op/evacuate/north-a", Revision: revision, Evacuated: "north-a"})
		}
		end := func(revision uint64) catalog.Delta {
			return deltaOf(revision-1, catalog.Record{Key: "op/evacuate/north-a", Revision: revision, Deleted: true})
		}
		used := func(now time.Time) int {
			view := state.View(now)
			Expect(len(view.Endpoints[service]) + len(view.Leaving[service])).To(Equal(1))
			return len(view.Endpoints[service])
		}

		BeforeEach(func() {
			state.SetEvacuationLimit(limit)
			state.Apply(deltaOf(0, configRecord(1, 2), endpointRecord("e1", 3, nil)), start)
		})

		It("is used until shortly before the limit, counted from the last reading without the record", func() {
			state.RecordReading(catalog.Position{Revision: 3}, at(0))
			state.RecordReading(catalog.Position{Revision: 3}, at(1))
			state.Apply(evacuation(4), at(1.5))
			state.RecordReading(catalog.Position{Revision: 4}, at(1.6))
			Expect(used(at(5.4))).To(Equal(1))
			Expect(state.View(at(2)).Endpoints[service][0].Accepts(at(5.4))).To(BeTrue())
			Expect(state.View(at(2)).Endpoints[service][0].Accepts(at(6))).To(BeFalse())
			Expect(state.NextEvacuation(at(2))).To(BeTemporally("<", at(6)))
			Expect(used(at(6))).To(BeZero())
		})

		It("gets nothing at once when nothing tells how old the record is", func() {
			state.Apply(evacuation(4), at(1))
			state.RecordReading(catalog.Position{Revision: 4}, at(1))
			Expect(used(at(1))).To(BeZero())
		})

		It("gets nothing at once when the reading was of a later revision", func() {
			state.RecordReading(catalog.Position{Revision: 9}, at(1))
			state.Apply(evacuation(4), at(1.1))
			Expect(used(at(1.2))).To(BeZero())
		})

		It("gets no more time when the evacuation is requested again", func() {
			state.RecordReading(catalog.Position{Revision: 3}, at(0))
			state.Apply(evacuation(4), at(0.5))
			state.RecordReading(catalog.Position{Revision: 4}, at(3))
			state.Apply(evacuation(6), at(3.5))
			Expect(used(at(5))).To(BeZero())
		})

		It("gets its time again when it is evacuated anew", func() {
			state.RecordReading(catalog.Position{Revision: 3}, at(0))
			state.Apply(evacuation(4), at(0.5))
			state.Apply(end(5), at(10))
			state.RecordReading(catalog.Position{Revision: 5}, at(11))
			state.Apply(evacuation(6), at(11.5))
			Expect(used(at(15))).To(Equal(1))
			Expect(used(at(16))).To(BeZero())
		})

		It("is used for the time that a reply of another daemon confirms, whatever the delay of the reply", func() {
			other := catalog.NewState()
			other.SetEvacuationLimit(limit)
			other.RecordReading(catalog.Position{Revision: 3}, at(1))
			other.Apply(evacuation(4), at(1.5))
			state.Apply(evacuation(4), at(2))
			Expect(used(at(2))).To(BeZero())

			ages := other.EvacuationAges(at(2.4))
			state.ConfirmEvacuations(ages, at(2.1))
			Expect(used(at(5))).To(Equal(1))
			Expect(used(at(6))).To(BeZero())
		})

		It("gets no time from an age of another revision or key, or one that is negative", func() {
			state.Apply(evacuation(4), at(2))
			state.ConfirmEvacuations([]catalog.EvacuationAge{
				{Key: "op/evacuate/north-a", Revision: 3},
				{Key: "op/evacuate/south-a", Revision: 4},
				{Key: "servers/e1", Revision: 3},
				{Key: "op/evacuate/north-a", Revision: 4, Age: -time.Hour},
			}, at(2))
			Expect(used(at(2))).To(BeZero())
		})

		It("is not named by a record without a data centre or of an unknown one", func() {
			state.RecordReading(catalog.Position{Revision: 3}, at(0))
			for i := range 300 {
				dc := types.DataCentre("")
				if i > 0 {
					dc = types.DataCentre(fmt.Sprintf("unknown-%d", i))
				}
				state.Apply(deltaOf(3, catalog.Record{Key: fmt.Sprintf("op/evacuate/%s", dc), Revision: uint64(4 + i), Evacuated: dc}), at(1))
			}
			Expect(used(at(9))).To(Equal(1))
		})
	})

	Describe("the cold time", func() {
		cold := func(left time.Duration) func(*catalog.Endpoint) {
			return func(e *catalog.Endpoint) { e.Cold = left }
		}
		coldUntil := func() time.Time { return state.View(start).Endpoints[service][0].ColdUntil }

		It("does not change when a later entry reports less time left", func() {
			state.Apply(deltaOf(0, endpointRecord("e1", 3, cold(3*time.Second))), start)
			later := start.Add(1300 * time.Millisecond)
			state.Apply(deltaOf(3, endpointRecord("e1", 4, cold(1700*time.Millisecond))), later)
			Expect(coldUntil()).To(BeTemporally("==", start.Add(3*time.Second)))
		})

		It("restarts when the endpoint becomes cold again", func() {
			state.Apply(deltaOf(0, endpointRecord("e1", 3, cold(time.Second))), start)
			later := start.Add(5 * time.Second)
			state.Apply(deltaOf(3, endpointRecord("e1", 4, cold(time.Second))), later)
			Expect(coldUntil()).To(BeTemporally("==", later.Add(time.Second)))
		})

		It("ends when the entry says so", func() {
			state.Apply(deltaOf(0, endpointRecord("e1", 3, cold(3*time.Second))), start)
			state.Apply(deltaOf(3, endpointRecord("e1", 4, nil)), start.Add(time.Second))
			Expect(coldUntil()).To(BeTemporally("<=", start.Add(time.Second)))
		})
	})
})

var _ = Describe("Config", func() {
	It("prefers the longest prefix of the host", func() {
		config := configRecord(1, 1).Config
		config.Prepare()
		Expect(config.Match("A.example", "/a/b/c").Name).To(Equal("longer"))
		Expect(config.Match("a.example", "/a/c").Name).To(Equal("r"))
		Expect(config.Match("a.example", "/b/")).To(BeNil())
		Expect(config.Match("b.example", "/a/")).To(BeNil())
	})

	It("splits a route's requests by weight and maps a key always to the same service", func() {
		route := &catalog.Route{Backends: []catalog.Backend{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
		counts := map[types.ServiceName]int{}
		for i := range 5000 {
			key := start.Add(time.Duration(i)).String()
			Expect(route.ServiceFor(key)).To(Equal(route.ServiceFor(key)))
			counts[route.ServiceFor(key)]++
		}
		Expect(counts["b"]).To(BeNumerically("~", 500, 100))
	})
})
