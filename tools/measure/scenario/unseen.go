package scenario

import (
	"time"

	"github.com/flamingomount/flamingomount/internal/fakeworld"
	"github.com/flamingomount/flamingomount/pkg/control/outlier"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// unseenFor is longer than the endpoints are down: nobody is told of it.
const unseenFor = 10 * time.Minute

var halfUnseen = Scenario{
	Name:  "half-unseen",
	About: "half of 12 endpoints refuse connections for a minute and nobody is told; 55% of capacity offered",
	Run: func(seed uint64) []Row {
		return unseen(seed, func(w *fakeworld.World) {
			w.At(lostAt, func(w *fakeworld.World) {
				engines := w.Engines(w.Config.Regions[0].Name)
				for _, engine := range engines[:len(engines)/2] {
					w.Crash(engine, lostFor)
				}
			})
		})
	},
}

var slowUnseen = Scenario{
	Name:  "slow-unseen",
	About: "one of 12 endpoints takes three times as long for the whole run and nobody is told; 55% of capacity offered",
	Run: func(seed uint64) []Row {
		const slow = 3
		return unseen(seed, func(w *fakeworld.World) {
			w.Engines(w.Config.Regions[0].Name)[0].Slow = slow
		})
	},
}

// unseen compares daemons that judge endpoints by their own attempts with
// daemons that don't.
func unseen(seed uint64, arrange func(w *fakeworld.World)) []Row {
	const urgent, patient = 0.3, 0.25 // shares of capacity
	detecting := fakeworld.Real()
	detecting.Name = "real with ejection"
	detecting.Outlier = func() *outlier.Detector { return outlier.New(outlier.Options{}) }
	without := fakeworld.Real()
	without.Name = "real without ejection"
	var rows []Row
	for _, system := range []fakeworld.System{detecting, without, fakeworld.Naive()} {
		config := fakeworld.Today(seed)
		config.HealthDelay = unseenFor
		config.Streams = []fakeworld.Stream{config.Regions[0].Urgent(urgent), config.Regions[0].Patient(patient)}
		w := fakeworld.New(config, system)
		arrange(w)
		rows = append(rows, Row{Variant: system.Name, Figures: unseenFigures(w.Run())})
	}
	return rows
}

func unseenFigures(stats *fakeworld.Stats) []Figure {
	urgent, patient := &stats.Ranks[types.RankUrgent], &stats.Ranks[types.RankPatient]
	return []Figure{
		{"extra attempts %", percent * extraAttempts(stats)},
		{"urgent in time %", percent * urgent.InTimeShare()},
		{"urgent p99 s", urgent.Latency(0.99)},
		{"patient in time %", percent * patient.InTimeShare()},
		{"refused", float64(urgent.Refused + patient.Refused)},
		{"failed", float64(urgent.Failed + patient.Failed)},
	}
}
