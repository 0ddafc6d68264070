package crashes_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/control/crashes"
	"github.com/flamingomount/flamingomount/pkg/control/quarantine"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestCrashes(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "crashes")
}

var start = time.Date(2026, 10, 1, 8, 0, 0, 0, time.UTC)

var _ = Describe("Gossiper", func() {
	It("sends all known entries to a daemon that starts late", func() {
		const contents = 40
		tracker := quarantine.New(quarantine.Options{})
		for i := range contents {
			tracker.RecordCrash(quarantine.CrashReport{
				Endpoint: types.EndpointID(fmt.Sprint("e", i%4)), AtMillis: start.UnixMilli(),
				Contents: []quarantine.Hash{quarantine.Hash(request.Fingerprint{byte(i)})},
			}, start)
		}
		gossiper := crashes.New(tracker)
		gossiper.Tick(start)
		for range 1000 {
			gossiper.NextGossip()
		}

		lateTracker := quarantine.New(quarantine.Options{})
		lateGossiper := crashes.New(lateTracker)
		for range contents {
			entries := gossiper.NextGossip()
			Expect(len(entries)).To(BeNumerically("<=", 18))
			lateGossiper.Merge(start, entries)
		}
		for i := range contents {
			Expect(lateTracker.Status(request.Fingerprint{byte(i)}, start).State).To(Equal(quarantine.StateHeld))
		}
	})

	It("sends nothing while nothing has crashed", func() {
		Expect(crashes.New(quarantine.New(quarantine.Options{})).NextGossip()).To(BeEmpty())
	})
})
