package spill

import (
	"cmp"
	"time"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Options configures a Planner. A zero field takes its default.
type Options struct {
	// MinGain is the time that a request must gain by spilling over when the
	// published weights are neutral (1); default 250 ms.
	MinGain time.Duration
	// LocalWaitShare is the share of its time left, 0 to 1, that a patient
	// request waits in the local region rather than use a link when the
	// published weights are neutral; default 0.05. The published weights scale
	// it, up to MaxLocalWaitShare.
	LocalWaitShare float64
	// MaxLocalWaitShare is the upper bound of the scaled LocalWaitShare;
	// default 0.5.
	MaxLocalWaitShare float64
	// LateShare is the share of its time left, 0 to 1, beyond which an urgent
	// request counts as late in the local region; default 0.8.
	LateShare float64
	// HysteresisFactor scales the required gain, 0 to 1, of a flow that is
	// already spilling over: it returns to the local region when its gain is no
	// more than that; default 0.5.
	HysteresisFactor float64
	// MaxSummaryAge is the age beyond which a region's summary is not used;
	// default 5 s.
	MaxSummaryAge time.Duration
	// AgeFactor is the predicted wait added per unit of a summary's age;
	// default 0.2.
	AgeFactor float64
	// PrefillTokensPerSecond is the rate at which a region prefills a prompt
	// that is not in its prefix caches; default 8000.
	PrefillTokensPerSecond float64
	// OutputTokenBytes is the size of a streamed token in bytes; default 8.
	OutputTokenBytes int
	// SlowStartDuration is how long it takes until a region whose summaries had
	// stopped is sent its full share again; default 30 s.
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

// minGainFactor returns the factor by which the published weights scale MinGain
// for requests of a rank. The weights of cost and of requests sent away raise
// it; the weight of the urgent tail lowers it for urgent requests, that of
// floods for patient ones.
func minGainFactor(weights published.Weights, rank types.Rank) float64 {
	avoidance := (weightOr1(weights.Cost) + weightOr1(weights.SentAway)) / 2
	if rank == types.RankUrgent {
		return avoidance / weightOr1(weights.UrgentTail)
	}
	return avoidance / weightOr1(weights.Flood)
}

// weightOr1 replaces an unpublished weight by the neutral one.
func weightOr1(weight float64) float64 {
	if weight <= 0 {
		return 1
	}
	return weight
}
