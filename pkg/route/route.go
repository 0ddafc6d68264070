// Package route defines a routing decision: its input, its result and the trace
// that explains it. The daemon's router (package pipeline, with the stages
// candidates, score and pick) and the naive one implement the same interface.
package route

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Rand is a source of random numbers; *math/rand/v2.Rand implements it.
type Rand interface {
	Uint64() uint64
}

// Input is everything that a routing decision depends on.
type Input struct {
	Request  *request.Request
	Snapshot *snapshot.Snapshot
	// Tried lists endpoints at which an attempt of this request already failed.
	Tried []types.EndpointID
	Now   time.Time
	Rand  Rand
	// Explain requests a trace, which costs allocations.
	Explain bool
}

// Decision is where a request goes: to an endpoint in the local region or, when
// Region is set, to a daemon of that region.
type Decision struct {
	Endpoint *snapshot.Endpoint
	Region   types.Region
	// Reason is a short phrase that gives the reason for the decision.
	Reason string
	// Trace explains the decision when Input.Explain was set.
	Trace []Step
}

// Step is the result of one stage for one candidate.
type Step struct {
	Stage    string           `json:"stage"`
	Name     string           `json:"name"`
	Endpoint types.EndpointID `json:"endpoint,omitempty"`
	Dropped  bool             `json:"dropped,omitempty"`
	Score    float64          `json:"score,omitempty"`
	Reason   string           `json:"reason,omitempty"`
}

// Router chooses where a request goes. Its failures have the verdict NotRun.
// It is a deterministic function of its input and safe for concurrent use.
type Router interface {
	Route(in Input) (Decision, *types.Failure)
}
