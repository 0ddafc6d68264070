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

var _ = Describe("Spread", func() {
	It("teaches a daemon that starts late everything that is known", func() {
		const contents = 40
		tracker := quarantine.New(quarantine.Options{})
		for i := range contents {
			tracker.RecordCrash(quarantine.CrashReport{
				Endpoint: types.EndpointID(fmt.Sprint("e", i%4)), AtMillis: start.UnixMilli(),
				Contents: []quarantine.Hash{quarantine.Hash(request.Fingerprint{byte(i)})},
			}, start)
		}
		spread := crashes.New(tracker)
		spread.Tick(start)
		for range 1000 {
			spread.NextGossip()
		}

		late := quarantine.New(quarantine.Options{})
		newcomer := crashes.New(late)
		for range contents {
			entries := spread.NextGossip()
			Expect(len(entries)).To(BeNumerically("<=", 18))
			newcomer.Merge(start, entries)
		}
		for i := range contents {
			Expect(late.Status(request.Fingerprint{byte(i)}, start).State).To(Equal(quarantine.StateHeld))
		}
	})

	It("sends nothing while nothing has crashed", func() {
		Expect(crashes.New(quarantine.New(quarantine.Options{})).NextGossip()).To(BeEmpty())
	})
})
