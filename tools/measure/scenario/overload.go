package scenario

import (
	"fmt"

	"github.com/flamingomount/flamingomount/internal/fakeworld"
)

// loadSteps are offered loads of patient work, in multiples of capacity.
var loadSteps = [...]float64{0.45, 0.6, 0.8, 1, 1.5, 2, 3, floodPatient}

var overload = Scenario{
	Name:  "overload",
	About: "goodput while patient work grows to 5 times capacity",
	Run: func(seed uint64) []Row {
		var rows []Row
		for _, system := range []fakeworld.System{fakeworld.Real(), fakeworld.Naive()} {
			for _, step := range loadSteps {
				variant := fmt.Sprintf("%s %.2fx", system.Name, step)
				rows = append(rows, run(variant, offered(seed, peakUrgent, step), system, nil))
			}
		}
		return rows
	},
}
