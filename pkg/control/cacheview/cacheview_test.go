package cacheview_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/control/cacheview"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestCacheview(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cacheview")
}

func stored(seq, prefix uint64) cacheview.Event {
	return cacheview.Event{Seq: seq, Kind: cacheview.Stored, Prefix: prefix}
}

func batch(events ...cacheview.Event) cacheview.Batch {
	return cacheview.Batch{Events: events, Next: events[len(events)-1].Seq + 1}
}

var _ = Describe("View", func() {
	It("applies stored and evicted events and skips events already applied", func() {
		v := cacheview.New(cacheview.Options{})
		v.Apply("b", batch(stored(1, 7), stored(2, 8)))
		v.Apply("a", batch(stored(1, 7)))
		v.Apply("b", batch(stored(2, 8), cacheview.Event{Seq: 3, Kind: cacheview.Evicted, Prefix: 8}))
		v.Apply("b", cacheview.Batch{Events: []cacheview.Event{stored(2, 8)}, Next: 4})
		index := v.Publish()
		Expect(index.Holders(7)).To(Equal([]types.EndpointID{"a", "b"}))
		Expect(index.Holders(8)).To(BeEmpty())
	})

	It("drops one of the oldest prefixes for each event lost in a gap", func() {
		v := cacheview.New(cacheview.Options{})
		v.Apply("a", batch(stored(1, 1), stored(2, 2), stored(3, 3)))
		v.Apply("a", batch(stored(6, 4)))
		index := v.Publish()
		Expect(index.Holders(1)).To(BeEmpty())
		Expect(index.Holders(2)).To(BeEmpty())
		Expect(index.Holders(3)).To(HaveLen(1))
		Expect(index.Holders(4)).To(HaveLen(1))
	})

	It("drops all prefixes when the engine's sequence numbers go backwards", func() {
		v := cacheview.New(cacheview.Options{})
		v.Apply("a", batch(stored(5, 1)))
		v.Apply("a", batch(stored(1, 2)))
		Expect(v.Publish().Holders(1)).To(BeEmpty())
		Expect(v.Publish().Holders(2)).To(HaveLen(1))
	})

	It("never changes a published index", func() {
		v := cacheview.New(cacheview.Options{})
		v.AssumeStored("a", []uint64{1})
		published := v.Publish()
		v.AssumeStored("b", []uint64{1})
		v.Forget("a")
		Expect(published.Holders(1)).To(Equal([]types.EndpointID{"a"}))
		Expect(v.Publish().Holders(1)).To(Equal([]types.EndpointID{"b"}))
	})

	It("evicts the oldest entries above MaxEntries and keeps at most MaxHolders endpoints", func() {
		v := cacheview.New(cacheview.Options{MaxEntries: 10, MaxHolders: 2})
		for i := range uint64(100) {
			v.AssumeStored("a", []uint64{i})
		}
		Expect(v.Len()).To(Equal(10))
		Expect(v.Publish().Holders(99)).To(HaveLen(1))
		for _, id := range []types.EndpointID{"b", "c", "d"} {
			v.AssumeStored(id, []uint64{99})
		}
		Expect(v.Publish().Holders(99)).To(HaveLen(2))
	})
})
