package configsync_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/bundle"
	"github.com/flamingomount/flamingomount/pkg/control/configsync"
	"github.com/flamingomount/flamingomount/pkg/platform"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestConfigsync(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configsync")
}

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

var _ = Describe("A daemon that hears from no peer", func() {
	const (
		step     = 100 * time.Millisecond
		silent   = 10 * time.Second
		interval = 15 * time.Second
	)
	// readIntervals returns the times between manifest reads, each of which ends
	// at once as answer says.
	readIntervals := func(duration time.Duration, answer func(state *configsync.State, now time.Time)) []time.Duration {
		self := snapshot.Self{Incarnation: types.Incarnation{VM: "c:1"}, DataCentre: "north-a"}
		state := configsync.New(configsync.Options{Self: self, SilentAfter: silent, FallbackInterval: interval}, rand.New(rand.NewPCG(1, 2)), start)
		watchers := func() configsync.View { return configsync.View{DataCentre: []types.VMID{"a:1", "b:1"}} }
		var intervals []time.Duration
		var last time.Time
		for now := start; now.Before(start.Add(duration)); now = now.Add(step) {
			if len(state.Tick(now, watchers).Reads) == 0 {
				continue
			}
			if !last.IsZero() {
				intervals = append(intervals, now.Sub(last))
			}
			last = now
			answer(state, now)
		}
		return intervals
	}
	fail := func(state *configsync.State, now time.Time) { state.ReadFailed(now, bundle.ManifestKey, false) }

	succeed := func(state *configsync.State, now time.Time) {
		state.ReadValue(now, bundle.ManifestKey, platform.Value{})
	}

	It("reads the service at the documented mean interval", func() {
		intervals := readIntervals(time.Hour, succeed)
		sum := time.Duration(0)
		for _, one := range intervals {
			sum += one
		}
		Expect(sum / time.Duration(len(intervals))).To(BeNumerically("~", interval, interval/20))
	})

	It("does not read a service that fails more often than one that answers", func() {
		for _, one := range readIntervals(10*time.Minute, fail) {
			Expect(one).To(BeNumerically(">=", interval/2))
		}
	})
})
