package fakeworld

import (
	"math/rand/v2"
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/outlier"
	"github.com/flamingomount/flamingomount/pkg/control/quarantine"
	"github.com/flamingomount/flamingomount/pkg/naive"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/route/pipeline"
	"github.com/flamingomount/flamingomount/pkg/stage/admission"
	"github.com/flamingomount/flamingomount/pkg/stage/limit"
	"github.com/flamingomount/flamingomount/pkg/stage/retry"
	"github.com/flamingomount/flamingomount/pkg/stage/spill"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Retrier decides on further attempts.
type Retrier interface {
	// RecordRequest notes a request and reports whether its caller resends it.
	RecordRequest(req *request.Request, share float64, now time.Time) bool
	// Decide decides after a failed attempt.
	Decide(in retry.Input) retry.Decision
}

// System is one version of the decisions; each daemon gets its own parts.
type System struct {
	Name     string
	Router   func() route.Router
	Admitter func(policy published.Policy, rand route.Rand) admission.Admitter
	Retrier  func() Retrier
	// Limits sets the limits at endpoints; the zero value is the default.
	Limits limit.Options
	// Spill decides before admission whether a call goes to another region;
	// nil means that none does.
	Spill func() *spill.Planner
	// Quarantine keeps fatal requests from endpoints; nil means none.
	Quarantine func() *quarantine.Tracker
	// Outlier finds bad endpoints by the daemon's own attempts; nil means that
	// the world tells of endpoints that are down.
	Outlier func() *outlier.Detector
	// Attempted is told of each ended attempt, failure nil when it succeeded;
	// it may be nil.
	Attempted func(d *Daemon, call *Call, endpoint types.EndpointID, failure *types.Failure)
}

// Real is the version that the daemon uses.
func Real() System {
	return RealWith(pipeline.Options{})
}

// RealWith is the real version with another router.
func RealWith(o pipeline.Options) System {
	return System{
		Name:   "real",
		Router: func() route.Router { return pipeline.New(o) },
		Admitter: func(policy published.Policy, rand route.Rand) admission.Admitter {
			return admission.New(admission.Options{PatientFloor: policy.PatientFloor}, rand)
		},
		Retrier: func() Retrier { return retry.New(retry.Options{}) },
	}
}

// Naive is the version to compare with.
func Naive() System {
	return System{
		Name:     "naive",
		Router:   func() route.Router { return &naive.Router{} },
		Admitter: func(published.Policy, route.Rand) admission.Admitter { return naive.Admitter{} },
		Retrier:  func() Retrier { return naiveRetrier{} },
	}
}

// naiveRetrier retries at once, up to three times, whatever failed.
type naiveRetrier struct{}

var _ Retrier = naiveRetrier{}

// RecordRequest notes nothing.
func (naiveRetrier) RecordRequest(*request.Request, float64, time.Time) bool { return false }

// Decide allows three retries.
func (naiveRetrier) Decide(in retry.Input) retry.Decision {
	return retry.Decision{ShouldRetry: naive.Retry(in.Attempts, in.Failure)}
}

func newRand(seed, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, stream))
}
