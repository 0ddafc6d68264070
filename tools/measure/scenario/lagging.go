package scenario

import (
	"fmt"
	"time"

	"github.com/flamingomount/flamingomount/internal/fakeworld"
)

var (
	reportDelays = [...]time.Duration{0, time.Second, 5 * time.Second}
	daemonCounts = [...]int{1, 8, 21}
)

var lagging = Scenario{
	Name:  "lagging",
	About: "load reports 0, 1 and 5 s late with 1, 8 and 21 daemons",
	Run: func(seed uint64) []Row {
		var rows []Row
		for _, daemons := range daemonCounts {
			for _, delay := range reportDelays {
				config := offered(seed, peakUrgent, peakPatient)
				config.Regions[0].Daemons = daemons
				config.ReportDelay = delay
				for _, system := range []fakeworld.System{fakeworld.Real(), fakeworld.Naive()} {
					variant := fmt.Sprintf("%s %d daemons %v late", system.Name, daemons, delay)
					rows = append(rows, run(variant, config, system, nil))
				}
			}
		}
		return rows
	},
}
