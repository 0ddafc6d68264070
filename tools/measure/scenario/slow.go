package scenario

import (
	"time"

	"github.com/flamingomount/flamingomount/internal/fakeworld"
)

const (
	slowAt     = 30 * time.Second
	slowFactor = 3
)

var slowEndpoint = Scenario{
	Name:  "slow-endpoint",
	About: "one endpoint becomes three times slower but does not die",
	Run: func(seed uint64) []Row {
		return both(offered(seed, peakUrgent, peakPatient), func(w *fakeworld.World) {
			w.At(slowAt, func(w *fakeworld.World) {
				w.Engines(w.Config.Regions[0].Name)[0].Slow = slowFactor
			})
		})
	},
}
