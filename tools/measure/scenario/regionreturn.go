package scenario

import (
	"time"

	"github.com/flamingomount/flamingomount/internal/fakeworld"
	"github.com/flamingomount/flamingomount/pkg/stage/spill"
)

var regionReturn = Scenario{
	Name:  "region-return",
	About: "kathmandu at 1.2 times its capacity, biratnagar full, pokhara at half; pokhara is cut off for 40 s from the 60th second on and comes back with cold caches",
	Run: func(seed uint64) []Row {
		home := fakeworld.Real()
		home.Name = "no spill"
		sudden := withSpill()
		sudden.Name = "real without ramp"
		sudden.Spill = func() *spill.Planner { return spill.New(spill.Options{SlowStartDuration: time.Nanosecond}) }
		var rows []Row
		for _, system := range []fakeworld.System{withSpill(), sudden, home, fakeworld.Naive()} {
			rows = append(rows, runReturn(seed, system))
		}
		return rows
	},
}

func runReturn(seed uint64, system fakeworld.System) Row {
	const cutFor = 40 * time.Second
	config := threeRegions(seed, kandyBits)
	config.Policy.Weights = kandyWeights
	oneSpare(&config)
	w := fakeworld.New(config, system)
	w.At(config.Warmup, func(w *fakeworld.World) {
		w.Partition("kathmandu", "pokhara", true)
		w.Partition("biratnagar", "pokhara", true)
	})
	w.At(config.Warmup+cutFor, func(w *fakeworld.World) {
		for _, engine := range w.Engines("pokhara") {
			w.ClearCache(engine)
		}
		w.Partition("kathmandu", "pokhara", false)
		w.Partition("biratnagar", "pokhara", false)
	})
	return Row{Variant: system.Name, Figures: spillFigures(config, w, w.Run())}
}

// oneSpare leaves room in the second region only.
func oneSpare(config *fakeworld.Config) {
	first, second, third := config.Regions[0], config.Regions[1], config.Regions[2]
	config.Streams = append(config.Streams,
		first.Urgent(0.7), first.Patient(0.5), second.Urgent(0.25), second.Patient(0.25),
		third.Urgent(0.5), third.Patient(0.4))
}
