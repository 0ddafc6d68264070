package scenario

import (
	"time"

	"github.com/flamingomount/flamingomount/internal/fakeworld"
)

const (
	lostAt  = 90 * time.Second
	lostFor = 60 * time.Second
)

var halfLost = Scenario{
	Name:  "half-lost",
	About: "half of the endpoints are gone for a minute at the peak",
	Run: func(seed uint64) []Row {
		return both(offered(seed, peakUrgent, peakPatient), func(w *fakeworld.World) {
			w.At(lostAt, func(w *fakeworld.World) {
				engines := w.Engines(w.Config.Regions[0].Name)
				for _, engine := range engines[:len(engines)/2] {
					w.Crash(engine, lostFor)
				}
			})
		})
	},
}
