package control_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/types"
)

var _ = Describe("Control with a store that comes back from a copy", func() {
	var store *fakeStore
	sharedStore := func(types.VMID) control.Store { return store }
	endpoints := func(daemon *control.Control) func() []types.EndpointID {
		return func() []types.EndpointID {
			var ids []types.EndpointID
			for _, endpoint := range daemon.Load().View.Endpoints["s"] {
				ids = append(ids, endpoint.ID)
			}
			return ids
		}
	}
	positions := func(f *fleet) func() []catalog.Position {
		return func() []catalog.Position {
			var all []catalog.Position
			for _, daemon := range f.daemons {
				all = append(all, daemon.Load().View.Position())
			}
			return all
		}
	}

	secondEra := catalog.Position{Era: 2, Revision: 1}
	// newFleetInSecondEra returns a daemon with version 3 whose store has come back from
	// a copy that lacks nothing.
	newFleetInSecondEra := func(vm types.VMID) *fleet {
		store.put(configRecord(3))
		f := newFleet(store, sharedStore, vm)
		Eventually(f.versions, waitLimit).Should(Equal([]uint64{3}))
		store.restore(store.copy())
		Eventually(positions(f), waitLimit).Should(HaveEach(secondEra))
		return f
	}
	// newFleetAheadOfStore returns a daemon with version 5 whose store has come back from
	// a copy with version 3.
	newFleetAheadOfStore := func(vm types.VMID) *fleet {
		store.put(configRecord(3))
		copied := store.copy()
		store.put(configRecord(5))
		f := newFleet(store, sharedStore, vm)
		Eventually(f.versions, waitLimit).Should(Equal([]uint64{5}))
		store.restore(copied)
		Eventually(positions(f), waitLimit).Should(HaveEach(secondEra))
		return f
	}

	BeforeEach(func() {
		store = newFakeStore()
		store.era = 1
	})

	It("takes a configuration whose revision a lost one had, at every daemon", func() {
		store.put(configRecord(3))
		copied := store.copy()
		store.put(configRecord(5))
		f := newFleet(store, sharedStore, "a:1", "b:1", "c:1")
		defer f.stop()
		Eventually(f.versions, waitLimit).Should(Equal([]uint64{5, 5, 5}))
		store.restore(copied)
		store.put(configRecord(8))
		Eventually(f.versions, waitLimit).Should(Equal([]uint64{8, 8, 8}))
	})

	It("takes what was written below a revision that the store has passed again", func() {
		store.put(configRecord(3))
		copied := store.copy()
		store.put(configRecord(5))
		f := newFleet(store, sharedStore, "a:1", "b:1")
		defer f.stop()
		Eventually(f.versions, waitLimit).Should(Equal([]uint64{5, 5}))
		store.set(func() { store.down = true })
		store.restore(copied)
		store.put(endpointRecord("e1"))
		store.put(endpointRecord("e2"))
		store.put(endpointRecord("e3"))
		store.set(func() { store.down = false })
		Eventually(endpoints(f.daemons[1]), waitLimit).Should(ConsistOf(types.EndpointID("e1"), types.EndpointID("e2"), types.EndpointID("e3")))
	})

	It("never shows an older configuration or loses an endpoint that is written again in time", func() {
		store.put(configRecord(3))
		copied := store.copy()
		store.put(configRecord(5))
		store.put(endpointRecord("e1"))
		f := newFleet(store, sharedStore, "a:1", "b:1")
		defer f.stop()
		steady := func() bool {
			return slices.Equal(f.versions(), []uint64{5, 5}) && len(endpoints(f.daemons[0])()) == 1 && len(endpoints(f.daemons[1])()) == 1
		}
		Eventually(steady, waitLimit).Should(BeTrue(), "before the store is restored")
		store.restore(copied)
		Consistently(steady, time.Second, 5*time.Millisecond).Should(BeTrue())
		store.put(configRecord(5))
		store.put(endpointRecord("e1"))
		Consistently(steady, 3*time.Second, 5*time.Millisecond).Should(BeTrue())
	})

	It("drops an endpoint that nobody writes again", func() {
		store.put(configRecord(3))
		copied := store.copy()
		store.put(endpointRecord("e1"))
		f := newFleet(store, sharedStore, "a:1")
		defer f.stop()
		Eventually(endpoints(f.daemons[0]), waitLimit).Should(HaveLen(1))
		store.restore(copied)
		Eventually(endpoints(f.daemons[0]), waitLimit).Should(BeEmpty())
	})

	It("tells a daemon that starts then the newest configuration, though both have read the same copy", func() {
		f := newFleetAheadOfStore("a:1")
		defer f.stop()

		other := newFleet(store, sharedStore, "b:1")
		defer other.stop()
		Eventually(other.versions, waitLimit).Should(Equal([]uint64{3}))
		reply := f.daemons[0].Receive(context.Background(), message("b:1", catalog.Position{Era: 2, Revision: 1}, 3))
		Expect(other.daemons[0].Receive(context.Background(), reply)).NotTo(BeNil())
		Eventually(other.versions, waitLimit).Should(Equal([]uint64{5}))
	})

	It("asks a daemon at the same position for the newer configuration that its message names", func() {
		knowing := newFleetAheadOfStore("b:1")
		defer knowing.stop()

		f := newFleet(store, sharedStore, "a:1")
		defer f.stop()
		Eventually(f.versions, waitLimit).Should(Equal([]uint64{3}))
		f.peers.connect("b:1", knowing.daemons[0])
		Expect(f.daemons[0].Receive(context.Background(), message("b:1", catalog.Position{Era: 2, Revision: 1}, 5))).NotTo(BeNil())
		Eventually(f.versions, waitLimit).Should(Equal([]uint64{5}))
	})

	It("tells a daemon that joins what the copy lacks while it is kept, and not later", func() {
		store.put(configRecord(3))
		copied := store.copy()
		store.put(endpointRecord("e1"))
		f := newFleet(store, sharedStore, "a:1")
		defer f.stop()
		Eventually(endpoints(f.daemons[0]), waitLimit).Should(HaveLen(1))
		store.restore(copied)
		Eventually(positions(f), waitLimit).Should(HaveEach(catalog.Position{Era: 2, Revision: 1}))
		joining := message("b:1", catalog.Position{Era: 2, Revision: 1}, 3)
		joining.Joining = true
		Expect(f.daemons[0].Receive(context.Background(), joining).Delta).To(HaveField("Records", ContainElement(HaveField("Key", "servers/e1"))))
		missing := func() any { return f.daemons[0].Receive(context.Background(), joining).Delta }
		Eventually(missing, waitLimit).Should(BeNil())
	})

	It("keeps the newest configuration when a panic resets the state", func() {
		f := newFleetAheadOfStore("a:1")
		defer f.stop()
		f.faults.Store(1)
		Consistently(func() uint64 { return slices.Min(f.versions()) }, 3*time.Second, 5*time.Millisecond).Should(BeEquivalentTo(5))
	})

	It("brings a daemon that is cut off from the store to the new era by its peers, without asking each other without end", func() {
		cutOff := newFakeStore()
		cutOff.down = true
		store.put(configRecord(3))
		copied := store.copy()
		store.put(configRecord(5))
		f := newFleet(store, func(vm types.VMID) control.Store {
			if vm == "b:1" {
				return cutOff
			}
			return store
		}, "a:1", "b:1")
		defer f.stop()
		Eventually(f.versions, waitLimit).Should(Equal([]uint64{5, 5}))
		store.restore(copied)
		Eventually(positions(f), waitLimit).Should(HaveEach(catalog.Position{Era: 2, Revision: 1}))
		sent := f.peers.sent.Load()
		time.Sleep(3 * time.Second)
		// A heartbeat each 200 ms while the daemons join, and at most one question for each.
		const heartbeats, daemons = 15 + 1, 2
		Expect(f.peers.sent.Load() - sent).To(BeNumerically("<=", 2*heartbeats*daemons))
	})

	It("takes nothing from a daemon of an earlier era", func() {
		f := newFleetInSecondEra("a:1")
		defer f.stop()
		late := message("z:1", catalog.Position{Era: 1, Revision: 90}, 3)
		record := endpointRecord("e9")
		record.Era, record.Revision = 1, 80
		late.Delta = &catalog.Delta{Era: 1, From: 0, To: 90, Records: []catalog.Record{record}}
		time.Sleep(catalog.SettleTime)
		Expect(f.daemons[0].Receive(context.Background(), late).Delta).To(HaveField("Whole", true))
		Expect(positions(f)()).To(HaveEach(catalog.Position{Era: 2, Revision: 1}))
		Consistently(endpoints(f.daemons[0]), 500*time.Millisecond).Should(BeEmpty())
	})

	It("does not take a read by a daemon of an earlier era for one of the store", func() {
		f := newFleetInSecondEra("a:1")
		defer f.stop()
		store.set(func() { store.down = true })
		// The call that was under way has ended by then.
		time.Sleep(2 * control.DefaultWatchTimeout)
		readAt := f.daemons[0].Load().StoreReadAt
		late := message("z:1", catalog.Position{Era: 1, Revision: 90}, 3)
		late.StoreReader, late.StoreReadNumber = "z:1", 1
		Expect(f.daemons[0].Receive(context.Background(), late)).NotTo(BeNil())
		Consistently(func() time.Time { return f.daemons[0].Load().StoreReadAt }, time.Second).Should(BeTemporally("==", readAt))
	})

	It("works with daemons of a release that knows no eras", func() {
		store.put(configRecord(3))
		store.put(endpointRecord("e1"))
		f := newFleet(store, sharedStore, "a:1")
		defer f.stop()
		Eventually(endpoints(f.daemons[0]), waitLimit).Should(HaveLen(1))
		store.put(endpointRecord("e2"))
		Eventually(endpoints(f.daemons[0]), waitLimit).Should(HaveLen(2))
		old := func(text string) *control.Message {
			var decoded control.Message
			Expect(json.Unmarshal([]byte(text), &decoded)).To(Succeed())
			return f.daemons[0].Receive(context.Background(), &decoded)
		}
		Expect(old(`{"from":"o:1","complete":3}`).Delta).To(BeNil(), "as far as this daemon")
		behind := old(`{"from":"o:1","complete":2}`)
		Expect(behind.Delta).To(And(HaveField("From", BeEquivalentTo(2)), HaveField("To", BeEquivalentTo(3)), HaveField("Records", HaveLen(1))))
		Expect(old(`{"from":"o:1","complete":9,"delta":{"from":3,"to":9,"records":[{"key":"servers/e1","revision":9,"deleted":true}]}}`)).NotTo(BeNil())
		Expect(positions(f)()).To(HaveEach(catalog.Position{Era: 1, Revision: 3}))
		Consistently(endpoints(f.daemons[0]), 500*time.Millisecond).Should(HaveLen(2))
	})

	It("logs once that the store came back, with eras and revisions", func() {
		lines := &countLines{message: "the store came back from a copy"}
		log := logrus.New()
		log.SetOutput(io.Discard)
		log.AddHook(lines)
		store.put(configRecord(3))
		f := &fleet{peers: newFakePeers()}
		daemon := f.newDaemon(store, log, "a:1")
		ctx, cancel := context.WithCancel(context.Background())
		defer runUntil(cancel, func() { daemon.Run(ctx) })()
		Eventually(f.versions, waitLimit).Should(Equal([]uint64{3}))
		Expect(lines.count.Load()).To(BeZero())
		store.restore(store.copy())
		Eventually(positions(f), waitLimit).Should(HaveEach(catalog.Position{Era: 2, Revision: 1}))
		Eventually(lines.count.Load, waitLimit).Should(BeEquivalentTo(1))
		Consistently(lines.count.Load, time.Second).Should(BeEquivalentTo(1))
	})

	It("comes to the store's state at every daemon, and goes back to no older configuration, whatever is restored when", func() {
		const rounds = 12
		rng := rand.New(rand.NewPCG(52, 2))
		store.put(configRecord(1))
		f := newFleet(store, sharedStore, "a:1", "b:1", "c:1")
		defer f.stop()
		Eventually(f.versions, waitLimit).Should(HaveLen(3))
		version := uint64(1)
		highest := make([]uint64, len(f.daemons))
		notBack := func() {
			GinkgoHelper()
			for i, daemon := range f.daemons {
				Expect(daemon.Load().View.Config.Version).To(BeNumerically(">=", highest[i]))
				highest[i] = daemon.Load().View.Config.Version
			}
		}
		for round := range rounds {
			By(fmt.Sprint("round ", round))
			copied := store.copy()
			for range 1 + rng.IntN(4) {
				version++
				store.put(configRecord(version))
				store.put(endpointRecord(fmt.Sprint("e", rng.IntN(3))))
				time.Sleep(time.Duration(rng.IntN(150)) * time.Millisecond)
				notBack()
			}
			store.restore(copied)
			time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
			notBack()
			version++
			store.put(configRecord(version))
			Eventually(f.versions, waitLimit).Should(HaveEach(version))
			notBack()
		}
		for _, daemon := range f.daemons {
			Eventually(endpoints(daemon), waitLimit).Should(ConsistOf(store.endpoints()))
		}
	})
})

// message returns a message of a daemon that has a position and a configuration.
func message(from types.VMID, applied catalog.Position, version uint64) *control.Message {
	return &control.Message{From: from, AppliedRevision: applied.Revision, Era: &applied.Era, ConfigVersion: version}
}
