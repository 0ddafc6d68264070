package catalog_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// inEra returns the records in an era, at the revisions that they have.
func inEra(era uint64, records ...catalog.Record) []catalog.Record {
	moved := make([]catalog.Record, 0, len(records))
	for _, record := range records {
		record.Era = era
		moved = append(moved, record)
	}
	return moved
}

func position(era, revision uint64) catalog.Position {
	return catalog.Position{Era: era, Revision: revision}
}

func changes(era, from, to uint64, records ...catalog.Record) catalog.Delta {
	return catalog.Delta{Era: era, From: from, To: to, Records: inEra(era, records...)}
}

func draining(e *catalog.Endpoint) { e.Draining = true }

var _ = Describe("State of a store that came back from a copy", func() {
	const evacuationKey = "op/evacuate/north-a"
	var state *catalog.State
	used := func(now time.Time) []types.EndpointID { return usedBy(state, now) }
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	evacuation := func(revision uint64) catalog.Record {
		return catalog.Record{Key: evacuationKey, Revision: revision, Evacuated: "north-a"}
	}
	deleted := func(key string, revision uint64) catalog.Record {
		return catalog.Record{Key: key, Revision: revision, Deleted: true}
	}

	BeforeEach(func() {
		state = catalog.NewState()
		state.Replace(inEra(1, configRecord(3, 2), endpointRecord("e1", 4, nil)), position(1, 18), 0, start)
		state.Apply(changes(1, 18, 20, configRecord(12, 20)), start)
	})

	It("takes a configuration whose revision a lost one had", func() {
		state.Replace(inEra(2, configRecord(12, 19), endpointRecord("e1", 4, nil)), position(2, 19), 0, at(1))
		Expect(state.Apply(changes(2, 19, 20, configRecord(15, 20)), at(2))).To(BeTrue())
		Expect(state.View(at(2)).Config.Version).To(BeEquivalentTo(15))
		Expect(state.Applied()).To(Equal(position(2, 20)))
	})

	It("keeps the newest configuration in force while the copy has an older one", func() {
		state.Replace(inEra(2, configRecord(3, 2)), position(2, 18), 0, at(1))
		Expect(state.View(at(1)).Config.Version).To(BeEquivalentTo(12))
		state.Apply(changes(2, 18, 19, configRecord(9, 19)), at(1.5))
		Expect(state.View(at(9)).Config.Version).To(BeEquivalentTo(12))
	})

	It("uses an endpoint that the copy lacks until its entry had time to be written again", func() {
		state.Replace(inEra(2, configRecord(3, 2)), position(2, 3), 0, at(1))
		Expect(state.Expire(at(3.1))).To(BeEmpty())
		Expect(used(at(3.1))).To(ConsistOf(types.EndpointID("e1")))
		Expect(state.Expire(at(3.2))).To(ConsistOf("servers/e1"))
		Expect(used(at(3.2))).To(BeEmpty())
		state.Apply(changes(2, 3, 4, endpointRecord("e1", 4, nil)), at(4))
		Expect(used(at(4))).To(HaveLen(1))
	})

	It("keeps what the copy lacks also if the store has passed its revision again", func() {
		state.Replace(inEra(2, configRecord(3, 2)), position(2, 18), 0, at(1))
		Expect(used(at(2))).To(ConsistOf(types.EndpointID("e1")))
	})

	It("uses an endpoint that was written again for good", func() {
		state.Replace(inEra(2, configRecord(3, 2)), position(2, 3), 0, at(1))
		state.Apply(changes(2, 3, 4, endpointRecord("e1", 4, nil)), at(2))
		Expect(state.Expire(at(9))).To(BeEmpty())
		Expect(used(at(9))).To(HaveLen(1))
	})

	It("removes at once what is deleted in the new era", func() {
		state.Replace(inEra(2, configRecord(3, 2)), position(2, 3), 0, at(1))
		state.Apply(changes(2, 3, 4, deleted("servers/e1", 4)), at(2))
		Expect(used(at(2))).To(BeEmpty())
	})

	Describe("an endpoint that the copy shows as ready", func() {
		copied := func(era uint64, change func(*catalog.Endpoint)) []catalog.Record {
			return inEra(era, configRecord(3, 2), endpointRecord("e1", 4, change))
		}

		It("gets no requests if it is known to drain, over any number of copies", func() {
			state.Apply(changes(1, 20, 21, endpointRecord("e1", 21, draining)), at(1))
			state.Replace(copied(2, nil), position(2, 18), 0, at(2))
			Expect(used(at(9))).To(BeEmpty())
			state.Replace(copied(3, nil), position(3, 18), 0, at(9))
			Expect(used(at(20))).To(BeEmpty())
			Expect(state.View(at(20)).Leaving[service]).To(HaveLen(1))
		})

		It("gets no requests if it is known to be gone, until the copy's entry had time to expire", func() {
			state.Apply(changes(1, 20, 21, deleted("servers/e1", 21)), at(1))
			state.Replace(copied(2, nil), position(2, 18), 0, at(2))
			state.Expire(at(7.9))
			Expect(used(at(7.9))).To(BeEmpty())
			state.ConsumeChanged()
			state.Expire(at(8))
			Expect(state.ConsumeChanged()).To(BeTrue())
			Expect(used(at(8))).To(HaveLen(1))
		})

		It("stays out of use if it drained before it was gone, however long its entry stays", func() {
			state.Apply(changes(1, 20, 22, endpointRecord("e1", 21, draining), deleted("servers/e1", 22)), at(1))
			state.Replace(copied(2, nil), position(2, 18), 0, at(2))
			state.Expire(at(60))
			Expect(used(at(60))).To(BeEmpty())
		})

		It("is held anew by each copy that shows it", func() {
			state.Apply(changes(1, 20, 21, deleted("servers/e1", 21)), at(1))
			state.Replace(copied(2, nil), position(2, 18), 0, at(2))
			state.Replace(copied(3, nil), position(3, 18), 0, at(7))
			state.Expire(at(12.9))
			Expect(used(at(12.9))).To(BeEmpty())
			state.Expire(at(13))
			Expect(used(at(13))).To(HaveLen(1))
		})

		It("gets no grace when its entry is removed again", func() {
			state.Apply(changes(1, 20, 21, deleted("servers/e1", 21)), at(1))
			state.Replace(copied(2, nil), position(2, 18), 0, at(2))
			gone := deleted("servers/e1", 19)
			gone.Grace = time.Second
			state.Apply(changes(2, 18, 19, gone), at(3))
			Expect(used(at(3))).To(BeEmpty())
		})

		It("gets requests again if its entry had only lapsed while the store recovered", func() {
			lapsed := deleted("servers/e1", 21)
			lapsed.Grace = 2 * time.Second
			state.Apply(changes(1, 20, 21, lapsed), at(1))
			state.Replace(copied(2, nil), position(2, 18), 0, at(2))
			Expect(used(at(2))).To(HaveLen(1))
		})

		It("gets requests again once it writes in the new era", func() {
			state.Apply(changes(1, 20, 21, deleted("servers/e1", 21)), at(1))
			state.Replace(copied(2, nil), position(2, 18), 0, at(2))
			state.Apply(changes(2, 18, 19, endpointRecord("e1", 19, nil)), at(3))
			Expect(used(at(3))).To(HaveLen(1))
		})

		It("gets no requests at a daemon that learns of it from one that knows better", func() {
			state.Apply(changes(1, 20, 21, endpointRecord("e1", 21, draining)), at(1))
			state.Replace(copied(2, nil), position(2, 18), 0, at(2))
			peer := catalog.NewState()
			Expect(peer.Apply(state.Since(catalog.Position{}, at(2)), at(2))).To(BeTrue())
			Expect(usedBy(peer, at(9))).To(BeEmpty())
		})

		It("gets no requests for the rest of the time at a daemon that learns of it from one that knows it gone", func() {
			state.Apply(changes(1, 20, 21, deleted("servers/e1", 21)), at(1))
			state.Replace(copied(2, nil), position(2, 18), 0, at(2))
			peer := catalog.NewState()
			peer.Apply(state.Since(catalog.Position{}, at(5)), at(5))
			Expect(usedBy(peer, at(7.9))).To(BeEmpty())
			Expect(usedBy(peer, at(8))).To(HaveLen(1))
		})

		It("is another process if it started later, and is used", func() {
			state.Apply(changes(1, 20, 21, endpointRecord("e1", 21, draining)), at(1))
			state.Replace(copied(2, func(e *catalog.Endpoint) { e.StartedAt = 7 }), position(2, 18), 0, at(2))
			Expect(used(at(2))).To(HaveLen(1))
		})

		It("is not taken for the process that ran before it", func() {
			state.Apply(changes(1, 20, 21, endpointRecord("e1", 21, func(e *catalog.Endpoint) { e.StartedAt, e.Address = 7, "10.0.0.2:80" })), at(1))
			state.Replace(copied(2, func(e *catalog.Endpoint) { e.StartedAt = 5 }), position(2, 18), 0, at(2))
			Expect(state.View(at(2)).Endpoints[service][0].Address).To(Equal("10.0.0.2:80"))
		})

		It("stays cold as long as it was, and does not become cold by an entry that is known", func() {
			cold := func(left time.Duration) func(*catalog.Endpoint) {
				return func(e *catalog.Endpoint) { e.Cold = left }
			}
			coldUntil := func() time.Time { return state.View(at(9)).Endpoints[service][0].ColdUntil }
			state.Apply(changes(1, 20, 21, endpointRecord("e1", 21, cold(3*time.Second))), at(1))
			state.Replace(copied(2, nil), position(2, 18), 0, at(2))
			Expect(coldUntil()).To(BeTemporally("==", at(4)))
			state.Apply(changes(2, 18, 19, endpointRecord("e1", 19, cold(3*time.Second))), at(5))
			state.Replace(copied(3, cold(3*time.Second)), position(3, 18), 0, at(9))
			Expect(coldUntil()).To(BeTemporally("==", at(8)))
		})
	})

	Describe("an evacuation", func() {
		It("stays in force without a gap while the copy lacks it, and ends if nobody writes it again", func() {
			state.Apply(changes(1, 20, 21, evacuation(21)), at(1))
			state.Replace(inEra(2, configRecord(3, 2), endpointRecord("e1", 4, nil)), position(2, 18), 0, at(2))
			state.Expire(at(6.9))
			Expect(used(at(6.9))).To(BeEmpty())
			Expect(state.Expire(at(7))).To(ConsistOf(evacuationKey))
			Expect(used(at(7))).To(HaveLen(1))
			Expect(state.View(at(7)).Endpoints[service][0].ColdAssumed).To(BeTrue())
		})

		It("stays in force when it is written again", func() {
			state.Apply(changes(1, 20, 21, evacuation(21)), at(1))
			state.Replace(inEra(2, configRecord(3, 2), endpointRecord("e1", 4, nil)), position(2, 18), 0, at(2))
			state.Apply(changes(2, 18, 19, evacuation(19)), at(3))
			Expect(state.Expire(at(60))).To(BeEmpty())
			Expect(used(at(60))).To(BeEmpty())
		})

		It("gets no time from a reading of an earlier era, which may be later than its request", func() {
			state.SetEvacuationLimit(5 * time.Second)
			state.RecordReading(position(1, 3), at(1))
			state.Replace(inEra(2, endpointRecord("e1", 4, nil), evacuation(5)), position(2, 18), 0, at(2))
			Expect(used(at(2))).To(BeEmpty())
		})

		It("gets no time from the age of another era's", func() {
			state.SetEvacuationLimit(5 * time.Second)
			state.Apply(changes(1, 20, 21, evacuation(21)), at(1))
			state.ConfirmEvacuations([]catalog.EvacuationAge{{Key: evacuationKey, Era: 2, Revision: 21}}, at(1))
			Expect(used(at(1))).To(BeEmpty())
		})
	})

	Describe("messages of daemons", func() {
		It("do not confirm an endpoint that the sender keeps of an earlier era, and that the receiver saw in the copy", func() {
			peer := catalog.NewState()
			peer.Apply(state.Whole(start), start)
			state.Replace(inEra(2, configRecord(3, 2), endpointRecord("e1", 4, nil)), position(2, 10), 0, at(1))
			peer.Replace(inEra(2, configRecord(3, 2)), position(2, 13), 0, at(2))
			Expect(state.Apply(peer.Since(state.Applied(), at(2)), at(2))).To(BeTrue())
			Expect(used(at(2))).To(BeEmpty())
		})

		It("tell a lagging daemon of deletions that the sender, which read later, has not seen", func() {
			state.Replace(inEra(2, configRecord(3, 2), endpointRecord("e1", 4, nil)), position(2, 10), 0, at(1))
			peer := catalog.NewState()
			peer.Replace(inEra(2, configRecord(3, 2)), position(2, 13), 0, at(2))
			Expect(state.Apply(peer.Since(state.Applied(), at(2)), at(2))).To(BeTrue())
			Expect(state.Applied()).To(Equal(position(2, 13)))
			Expect(used(at(2))).To(BeEmpty())
		})

		It("do not confirm what a later read of the era lacks, before or after it is dropped", func() {
			state.Apply(changes(1, 20, 21, evacuation(21)), at(1))
			state.Replace(inEra(2, configRecord(3, 2), endpointRecord("e1", 4, nil)), position(2, 40), 0, at(2))
			late := changes(2, 0, 39, evacuation(21))
			state.Apply(late, at(3))
			Expect(state.Expire(at(7))).To(ConsistOf(evacuationKey))
			state.Apply(late, at(8))
			Expect(used(at(8))).To(HaveLen(1))
		})

		It("of an earlier era change nothing that a later one has settled", func() {
			state.Replace(inEra(2, configRecord(12, 19), endpointRecord("e1", 4, nil)), position(2, 19), 0, at(1))
			state.Expire(at(7))
			Expect(state.Apply(changes(1, 0, 30, endpointRecord("e2", 25, nil), deleted("servers/e1", 26), evacuation(27)), at(7))).To(BeFalse())
			Expect(state.Applied()).To(Equal(position(2, 19)))
			Expect(used(at(7))).To(ConsistOf(types.EndpointID("e1")))
		})

		It("bring a daemon of an earlier era to the later one, and what both lack is dropped at the same time", func() {
			peer := catalog.NewState()
			peer.Apply(state.Since(catalog.Position{}, start), start)
			state.Replace(inEra(2, configRecord(3, 2)), position(2, 3), 0, at(1))
			Expect(peer.Apply(state.Since(peer.Applied(), at(3)), at(3))).To(BeTrue())
			Expect(peer.Applied()).To(Equal(position(2, 3)))
			Expect(usedBy(peer, at(3))).To(HaveLen(1))
			Expect(peer.Expire(at(3.2))).To(ConsistOf("servers/e1"))
		})

		It("tell a daemon that starts the newest configuration, which the copy lacks", func() {
			state.Replace(inEra(2, configRecord(3, 2)), position(2, 18), 0, at(1))
			peer := catalog.NewState()
			peer.Apply(state.Since(catalog.Position{}, at(60)), at(60))
			Expect(peer.View(at(60)).Config.Version).To(BeEquivalentTo(12))
			Expect(peer.Applied()).To(Equal(position(2, 18)))
		})

		It("tell a daemon that has read the copy what the copy lacks, for as long as they keep it", func() {
			state.Apply(changes(1, 20, 21, evacuation(21)), at(1))
			copied := inEra(2, configRecord(3, 2), endpointRecord("e1", 4, nil))
			state.Replace(copied, position(2, 18), 0, at(2))
			peer := catalog.NewState()
			peer.Replace(copied, position(2, 18), 0, at(2.5))
			Expect(peer.Apply(state.Whole(at(3)), at(3))).To(BeTrue())
			Expect(usedBy(peer, at(3))).To(BeEmpty())
			Expect(peer.Expire(at(7))).To(ConsistOf(evacuationKey))
		})

		It("with a part of a later era do not make the earlier one complete", func() {
			Expect(state.Apply(changes(2, 0, 5, endpointRecord("e2", 5, nil)), at(1))).To(BeFalse())
			Expect(state.Applied()).To(Equal(position(1, 20)))
		})
	})

	It("tells once what the restoration changed", func() {
		state.Apply(changes(1, 20, 22, endpointRecord("e1", 21, draining), endpointRecord("e2", 22, nil)), at(1))
		state.Replace(inEra(2, configRecord(3, 2), endpointRecord("e1", 4, nil)), position(2, 18), 0, at(2))
		Expect(state.ConsumeRestoration()).To(Equal(&catalog.Restoration{
			From: position(1, 22), To: position(2, 18), Version: 3, InForce: 12,
			Missing: []string{"servers/e2"}, Left: []string{"servers/e1"},
		}))
		Expect(state.ConsumeRestoration()).To(BeNil())
	})

	It("is no restoration when a daemon starts", func() {
		started := catalog.NewState()
		started.Replace(inEra(4, configRecord(3, 2)), position(4, 18), 0, start)
		Expect(started.ConsumeRestoration()).To(BeNil())
		Expect(started.Settling(start)).To(BeFalse())
	})
})

func usedBy(state *catalog.State, now time.Time) []types.EndpointID {
	var ids []types.EndpointID
	for _, endpoint := range state.View(now).Endpoints[service] {
		ids = append(ids, endpoint.ID)
	}
	return ids
}
