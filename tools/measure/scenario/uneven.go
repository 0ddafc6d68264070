package scenario

import (
	"github.com/flamingomount/flamingomount/internal/fakeworld"
	"github.com/flamingomount/flamingomount/pkg/stage/limit"
)

// hotShare is the share of the callers at one of eight daemons.
const hotShare = 0.4

// fixedLimits never leave the fair share: the backoff is none and the headroom
// all of the slots.
var fixedLimits = limit.Options{MinShare: 1, MaxBackoff: 1e-9, Headroom: 1 - 1e-9}

var uneven = Scenario{
	Name:  "uneven",
	About: "40% of the callers use one of eight daemons at the peak",
	Run: func(seed uint64) []Row {
		config := offered(seed, peakUrgent, peakPatient)
		config.FirstShare = hotShare
		fixed := fakeworld.Real()
		fixed.Limits = fixedLimits
		return []Row{
			run("real, adaptive limits", config, fakeworld.Real(), nil),
			run("real, fixed fair share", config, fixed, nil),
			run("naive", config, fakeworld.Naive(), nil),
		}
	},
}
