package fakeworld_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/internal/fakeworld"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestFakeworld(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fakeworld")
}

// brief is a small world of half a minute with the given shares of capacity.
func brief(urgent, patient float64) fakeworld.Config {
	config := fakeworld.Today(1)
	config.Regions[0].Endpoints, config.Regions[0].Daemons = 4, 2
	config.Warmup, config.Duration = 20*time.Second, 50*time.Second
	region := config.Regions[0]
	config.Streams = []fakeworld.Stream{region.Urgent(urgent), region.Patient(patient)}
	return config
}

var _ = Describe("World", func() {
	It("repeats itself with the same seed", func() {
		first := fakeworld.New(brief(0.4, 2), fakeworld.Real()).Run()
		second := fakeworld.New(brief(0.4, 2), fakeworld.Real()).Run()
		Expect(first).To(Equal(second))
	})

	It("serves urgent work in time and keeps the patient floor in floods, where the naive version does neither", func() {
		for name, system := range map[string]fakeworld.System{"real": fakeworld.Real(), "naive": fakeworld.Naive()} {
			stats := fakeworld.New(brief(3, 2), system).Run()
			served := stats.Ranks[types.RankUrgent].InTimeShare()
			share := stats.Share(types.RankPatient)
			if name == "naive" {
				Expect(served).To(BeNumerically("<", 0.05))
				Expect(share).To(BeNumerically("<", 0.05))
				continue
			}
			// The floor is a tenth of the slots; nine tenths are left for three
			// times the capacity.
			Expect(share).To(BeNumerically(">=", 0.09))
			Expect(served).To(BeNumerically(">=", 0.9*0.3*0.9))
		}
	})

	It("gives every call an outcome when an engine crashes", func() {
		world := fakeworld.New(brief(0.4, 0.4), fakeworld.Real())
		world.At(25*time.Second, func(w *fakeworld.World) { w.Crash(w.Engines("kathmandu")[0], 10*time.Second) })
		stats := world.Run()
		for _, rank := range types.Ranks() {
			r := stats.Ranks[rank]
			Expect(r.InTime + r.Late + r.Refused + r.Failed).To(Equal(r.Offered))
		}
	})
})
