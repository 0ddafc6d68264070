package scenario

import (
	"github.com/flamingomount/flamingomount/internal/fakeworld"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/stage/spill"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// The links and weights of the two deployments.
const (
	bagmatiBits = 140e6
	kandyBits   = 2000e6
)

var (
	bagmatiWeights = published.Weights{Cost: 3, SentAway: 3, UrgentTail: 1, Flood: 1}
	kandyWeights   = published.Weights{Cost: 1, SentAway: 1, UrgentTail: 3, Flood: 3}
)

var spillWeights = Scenario{
	Name:  "spill",
	About: "one of three regions at 1.2 times its capacity, the others at half; weights and links of Bagmati and Kandy",
	Run: func(seed uint64) []Row {
		home := fakeworld.Real()
		home.Name = "no spill"
		return []Row{
			runSpill(seed, "Bagmati", bagmatiWeights, bagmatiBits, withSpill(), overloaded),
			runSpill(seed, "Kandy's weights, Bagmati's links", kandyWeights, bagmatiBits, withSpill(), overloaded),
			runSpill(seed, "Kandy", kandyWeights, kandyBits, withSpill(), overloaded),
			runSpill(seed, "Bagmati, busy", bagmatiWeights, bagmatiBits, withSpill(), busy),
			runSpill(seed, "Kandy's weights, Bagmati's links, busy", kandyWeights, bagmatiBits, withSpill(), busy),
			runSpill(seed, "no spill", bagmatiWeights, bagmatiBits, home, overloaded),
			runSpill(seed, "naive", bagmatiWeights, bagmatiBits, fakeworld.Naive(), overloaded),
			runSpill(seed, "Kandy, room at home", kandyWeights, kandyBits, withSpill(), roomAtHome),
		}
	},
}

func withSpill() fakeworld.System {
	system := fakeworld.Real()
	system.Spill = func() *spill.Planner { return spill.New(spill.Options{}) }
	return system
}

// overloaded offers 1.2 times the capacity of the first region and half of that
// of the others.
func overloaded(config *fakeworld.Config) {
	for i, region := range config.Regions {
		if i == 0 {
			config.Streams = append(config.Streams, region.Urgent(0.7), region.Patient(0.5))
			continue
		}
		config.Streams = append(config.Streams, region.Urgent(0.25), region.Patient(0.25))
	}
}

// busy offers the first region just less than its capacity, and half of that of
// the others.
func busy(config *fakeworld.Config) {
	first := config.Regions[0]
	config.Streams = append(config.Streams, first.Urgent(0.55), first.Patient(0.4))
	for _, region := range config.Regions[1:] {
		config.Streams = append(config.Streams, region.Urgent(0.25), region.Patient(0.25))
	}
}

// roomAtHome offers half of the capacity everywhere.
func roomAtHome(config *fakeworld.Config) {
	for _, region := range config.Regions {
		config.Streams = append(config.Streams, region.Urgent(0.25), region.Patient(0.25))
	}
}

func runSpill(seed uint64, variant string, weights published.Weights, bits int64, system fakeworld.System, load func(*fakeworld.Config)) Row {
	config := threeRegions(seed, bits)
	config.Policy.Weights = weights
	load(&config)
	w := fakeworld.New(config, system)
	stats := w.Run()
	return Row{Variant: variant, Figures: spillFigures(config, w, stats)}
}

// spillFigures lists what the scenarios of several regions show.
func spillFigures(config fakeworld.Config, w *fakeworld.World, stats *fakeworld.Stats) []Figure {
	urgent, patient := &stats.Ranks[types.RankUrgent], &stats.Ranks[types.RankPatient]
	first := config.Regions[0].Name
	sent := 0.0
	for _, region := range config.Regions[1:] {
		sent += w.LinkMegabits(first, region.Name)
	}
	return []Figure{
		{"urgent away %", percent * urgent.AwayShare()},
		{"patient away %", percent * patient.AwayShare()},
		{"urgent p99 s", urgent.Latency(0.99)},
		{"urgent in time %", percent * urgent.InTimeShare()},
		{"patient p99 s", patient.Latency(0.99)},
		{"patient in time %", percent * patient.InTimeShare()},
		{"mean Mbit/s out of the region", sent / config.Duration.Seconds()},
	}
}
