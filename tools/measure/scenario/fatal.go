package scenario

import (
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/internal/fakeworld"
	"github.com/flamingomount/flamingomount/pkg/control/quarantine"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	fatalDeadline = 30 * time.Second
	fatalEvery    = 30 * time.Second
	fatalTimes    = 5
)

var fatal = Scenario{
	Name:  "fatal",
	About: "one request that crashes engines, sent to all 8 entries at once, five times, 30 s apart; 12 engines in 3 regions",
	Run: func(seed uint64) []Row {
		guarded := fakeworld.Real()
		guarded.Quarantine = func() *quarantine.Tracker { return quarantine.New(quarantine.Options{}) }
		unguarded := fakeworld.Real()
		unguarded.Name = "real without quarantine"
		var rows []Row
		for _, system := range []fakeworld.System{guarded, unguarded, fakeworld.Naive()} {
			rows = append(rows, runFatal(seed, system))
		}
		return rows
	},
}

func runFatal(seed uint64, system fakeworld.System) Row {
	config := threeRegions(seed, 140e6)
	for _, region := range config.Regions {
		config.Streams = append(config.Streams, region.Urgent(0.3), region.Patient(0.3))
	}
	refused := 0
	w := fakeworld.New(config, system)
	for i := range fatalTimes {
		w.At(config.Warmup+time.Duration(i)*fatalEvery, func(w *fakeworld.World) { w.ResendToAll(fatalDeadline) })
	}
	stats := w.Run()
	for i := range stats.Ranks {
		refused += stats.Ranks[i].Refused + stats.Ranks[i].Failed
	}
	urgent, patient := &stats.Ranks[types.RankUrgent], &stats.Ranks[types.RankPatient]
	return Row{Variant: system.Name, Figures: []Figure{
		{"endpoints lost", float64(w.Lost())},
		{"urgent in time %", percent * urgent.InTimeShare()},
		{"urgent p99 s", urgent.Latency(0.99)},
		{"patient in time %", percent * patient.InTimeShare()},
		{"refused or failed", float64(refused)},
		{"quarantine refusals of others", float64(w.InnocentsRefused)},
		{"extra attempts %", percent * extraAttempts(stats)},
	}}
}

// threeRegions is a deployment of today's size: 12 engines and 8 daemons in
// three regions.
func threeRegions(seed uint64, bitsPerSecond int64) fakeworld.Config {
	config := fakeworld.Today(seed)
	config.Regions = []fakeworld.Region{
		{Name: "kathmandu", Endpoints: 4, Slots: 16, Daemons: 3},
		{Name: "pokhara", Endpoints: 4, Slots: 16, Daemons: 3},
		{Name: "biratnagar", Endpoints: 4, Slots: 16, Daemons: 2},
	}
	const oneWay = 55 * time.Millisecond
	for i, from := range config.Regions {
		for _, to := range slices.Clone(config.Regions)[i+1:] {
			config.Links = append(config.Links, published.Link{
				From: from.Name, To: to.Name, OneWay: oneWay, BitsPerSecond: bitsPerSecond,
			})
		}
	}
	return config
}
