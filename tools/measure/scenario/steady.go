package scenario

import "github.com/flamingomount/flamingomount/internal/fakeworld"

// The load of a daily peak, as shares of capacity.
const (
	peakUrgent  = 0.40
	peakPatient = 0.45
)

var steady = Scenario{
	Name:  "steady",
	About: "a daily peak at 85% of capacity",
	Run: func(seed uint64) []Row {
		return both(offered(seed, peakUrgent, peakPatient), nil)
	},
}

// offered is one region of today's size with the given shares of capacity.
func offered(seed uint64, urgent, patient float64) fakeworld.Config {
	config := fakeworld.Today(seed)
	region := config.Regions[0]
	config.Streams = []fakeworld.Stream{region.Urgent(urgent), region.Patient(patient)}
	return config
}
