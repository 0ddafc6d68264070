// Package scenario holds the scenarios of the measure program, one a file. Each
// runs the real and the naive decisions over the same arrivals.
package scenario

import (
	"slices"

	"github.com/flamingomount/flamingomount/internal/fakeworld"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Figure is one measured value.
type Figure struct {
	Name  string
	Value float64
}

// Row holds the figures of one variant at one seed.
type Row struct {
	Variant string
	Figures []Figure
}

// Scenario is one named measurement.
type Scenario struct {
	Name  string
	About string
	// Run measures every variant at one seed; the rows come in a fixed order.
	Run func(seed uint64) []Row
}

// registry lists every scenario in the order of the tables.
var registry = []Scenario{
	steady, patientFlood, urgentFlood, bothFloods, oneOrgFlood, overload, halfLost, lagging, uneven,
	slowEndpoint, affinity, picking,
	fatal, spillWeights, regionReturn, halfUnseen, slowUnseen,
}

// All lists every scenario.
func All() []Scenario {
	return slices.Clone(registry)
}

// Find returns the scenario of that name.
func Find(name string) (Scenario, bool) {
	at := slices.IndexFunc(registry, func(s Scenario) bool { return s.Name == name })
	if at < 0 {
		return Scenario{}, false
	}
	return registry[at], true
}

// both runs the real and the naive system in the same world.
func both(config fakeworld.Config, arrange func(w *fakeworld.World)) []Row {
	var rows []Row
	for _, system := range []fakeworld.System{fakeworld.Real(), fakeworld.Naive()} {
		rows = append(rows, run(system.Name, config, system, arrange))
	}
	return rows
}

// run runs one system and returns the usual figures.
func run(variant string, config fakeworld.Config, system fakeworld.System, arrange func(w *fakeworld.World)) Row {
	return Row{Variant: variant, Figures: figures(config, simulate(config, system, arrange))}
}

// simulate runs one system in a world of its own.
func simulate(config fakeworld.Config, system fakeworld.System, arrange func(w *fakeworld.World)) *fakeworld.Stats {
	config.Streams = slices.Clone(config.Streams)
	w := fakeworld.New(config, system)
	if arrange != nil {
		arrange(w)
	}
	return w.Run()
}

const percent = 100

// figures lists what every scenario shows.
func figures(config fakeworld.Config, s *fakeworld.Stats) []Figure {
	urgent, patient := &s.Ranks[types.RankUrgent], &s.Ranks[types.RankPatient]
	seconds := (config.Duration - config.Warmup).Seconds()
	return []Figure{
		{"urgent p50 s", urgent.Latency(0.5)},
		{"urgent p99 s", urgent.Latency(0.99)},
		{"urgent first token p99 s", urgent.FirstToken(0.99)},
		{"urgent in time %", percent * urgent.InTimeShare()},
		{"urgent refused %", percent * urgent.RefusedShare()},
		{"urgent failed %", percent * urgent.FailedShare()},
		{"patient in time %", percent * patient.InTimeShare()},
		{"patient slot share %", percent * s.Share(types.RankPatient)},
		{"goodput tokens/s", float64(s.WindowTokens) / seconds},
		{"engine load p99", s.LoadP99()},
		{"prefix hits %", percent * s.HitRate()},
		{"extra attempts %", percent * extraAttempts(s)},
	}
}

func extraAttempts(s *fakeworld.Stats) float64 {
	extra, offered := 0.0, 0
	for i := range s.Ranks {
		r := &s.Ranks[i]
		extra += r.ExtraAttempts() * float64(r.Offered)
		offered += r.Offered
	}
	return extra / float64(max(offered, 1))
}
