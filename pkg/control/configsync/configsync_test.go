package configsync_test

import (
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/internal/fakenet"
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

var _ = Describe("An accepted manifest", func() {
	It("is passed to peers as it was signed", func() {
		key := bundle.Signer{ID: "k", Key: ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))}
		keys := bundle.Keys{key.ID: key.Key.Public().(ed25519.PublicKey)}
		config := fakenet.Configuration(5, 1, fakenet.StandardLayout(8))
		config.Revision = 7
		b, err := bundle.Build(config, "")
		Expect(err).NotTo(HaveOccurred())
		// The publisher's encoder may add white space.
		b.Signed = bundle.Sign(bundle.Signed{Manifest: append([]byte("{ "), b.Signed.Manifest[1:]...)}, key)
		signatures, err := json.Marshal(b.Signed.Signatures)
		Expect(err).NotTo(HaveOccurred())
		received := fmt.Appendf(nil, `{"manifest":%s,"signatures":%s}`, b.Signed.Manifest, signatures)
		state := configsync.New(configsync.Options{Keys: keys}, rand.New(rand.NewPCG(1, 2)), start)
		state.HandleResponse(start, "peer:1", received, slices.Collect(maps.Values(b.Blobs)))
		state.HandleResponse(start, "peer:1", nil, slices.Collect(maps.Values(b.Blobs)))
		Expect(state.Revision()).To(BeEquivalentTo(7))

		signed, _ := state.Newer(0)

		_, _, err = bundle.VerifySigned(signed, keys)
		Expect(err).NotTo(HaveOccurred())
	})
})
