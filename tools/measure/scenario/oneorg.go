package scenario

import "github.com/flamingomount/flamingomount/internal/fakeworld"

// The urgent load of one organisation that floods and of all others, as shares of
// capacity.
const (
	floodingShare = 2.0
	othersShare   = 0.3
)

var oneOrgFlood = Scenario{
	Name:  "one-org-flood",
	About: "one organisation offers urgent work at twice the capacity, 200 others at 30%",
	Run: func(seed uint64) []Row {
		config := offered(seed, othersShare, peakPatient)
		flood := config.Regions[0].Urgent(floodingShare)
		flood.Name, flood.Prefix, flood.Orgs = "flood", "flood", 1
		config.Streams = append(config.Streams, flood)
		var rows []Row
		for _, system := range []fakeworld.System{fakeworld.Real(), fakeworld.Naive()} {
			stats := simulate(config, system, nil)
			others := Figure{"others in time %", percent * stats.StreamInTime("urgent")}
			flooding := Figure{"flooding in time %", percent * stats.StreamInTime("flood")}
			rows = append(rows, Row{Variant: system.Name, Figures: append(figures(config, stats), others, flooding)})
		}
		return rows
	},
}
