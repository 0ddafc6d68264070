package spill

import (
	"cmp"
	"time"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Options configures a Planner. A zero field takes its default.
type Options struct {
	// MinGain is the time that a neutral deployment wants to win by sending a
	// request away; default 250 ms.
	MinGain time.Duration
	// LocalWaitShare is the share of its time left, 0 to 1, that a patient
	// request of a neutral deployment waits here to keep it off the links;
	// default 0.05. The published weights scale it, up to MaxPatience.
	LocalWaitShare float64
	// MaxLocalWaitShare bounds that share; default 0.5.
	MaxLocalWaitShare float64
	// LateShare is the share of its time left, 0 to 1, at which an urgent
	// request counts as late here; default 0.8.
	LateShare float64
	// HysteresisFactor is the share of the gain, 0 to 1, at which a flow that is
	// being sent away comes back; default 0.5.
	HysteresisFactor float64
	// MaxSummaryAge is the age at which a region's summary stops being of use;
	// default 5 s.
	MaxSummaryAge time.Duration
	// AgeFactor is how much predicted wait a summary's age adds; default 0.2.
	AgeFactor float64
	// PrefillTokensPerSecond is how fast a region prefills a prompt that its
	// caches do not hold; default 8000.
	PrefillTokensPerSecond float64
	// OutputTokenBytes is the size of a streamed token; default 8.
	OutputTokenBytes int
	// SlowStartDuration is how long a region that was out of touch takes to be sent
	// its full share again; default 30 s.
	SlowStartDuration time.Duration
}

func (o Options) withDefaults() Options {
	o.MinGain = cmp.Or(o.MinGain, 250*time.Millisecond)
	o.LocalWaitShare = cmp.Or(o.LocalWaitShare, 0.05)
	o.MaxLocalWaitShare = cmp.Or(o.MaxLocalWaitShare, 0.5)
	o.LateShare = cmp.Or(o.LateShare, 0.8)
	o.HysteresisFactor = cmp.Or(o.HysteresisFactor, 0.5)
	o.MaxSummaryAge = cmp.Or(o.MaxSummaryAge, 5*time.Second)
	o.AgeFactor = cmp.Or(o.AgeFactor, 0.2)
	o.PrefillTokensPerSecond = cmp.Or(o.PrefillTokensPerSecond, 8000)
	o.OutputTokenBytes = cmp.Or(o.OutputTokenBytes, 8)
	o.SlowStartDuration = cmp.Or(o.SlowStartDuration, 30*time.Second)
	return o
}

// reluctance is how much more than the neutral gain a deployment wants before
// it sends a request of the rank away. Cost and the share sent away raise it;
// the weight of the urgent tail lowers it for urgent requests and that of
// floods for patient ones.
func reluctance(weights published.Weights, rank types.Rank) float64 {
	against := (weightOr1(weights.Cost) + weightOr1(weights.SentAway)) / 2
	if rank == types.RankUrgent {
		return against / weightOr1(weights.UrgentTail)
	}
	return against / weightOr1(weights.Flood)
}

// weightOr1 treats an unpublished weight as neutral.
func weightOr1(weight float64) float64 {
	if weight <= 0 {
		return 1
	}
	return weight
}
