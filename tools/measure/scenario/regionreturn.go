package scenario

import (
	"time"

	"github.com/flamingomount/flamingomount/internal/fakeworld"
)

var regionReturn = Scenario{
	Name:  "region-return",
	About: "the load of spill; pokhara is cut off for 40 s from the 60th second on and comes back with cold caches",
	Run: func(seed uint64) []Row {
		home := fakeworld.Real()
		home.Name = "no spill"
		var rows []Row
		for _, system := range []fakeworld.System{withSpill(), home, fakeworld.Naive()} {
			rows = append(rows, runReturn(seed, system))
		}
		return rows
	},
}

func runReturn(seed uint64, system fakeworld.System) Row {
	const cutFor = 40 * time.Second
	config := threeRegions(seed, kandyBits)
	config.Policy.Weights = kandyWeights
	overloaded(&config)
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
