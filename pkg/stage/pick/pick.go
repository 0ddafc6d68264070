// Package pick is the stage that chooses one endpoint among the scored
// candidates. Every policy chooses at random to some degree, so that daemons
// with the same information do not all choose the same endpoint at once.
package pick

import "github.com/flamingomount/flamingomount/pkg/route"

// Stage is the name of this stage in traces.
const Stage = "pick"

// Policy chooses an index of costs, which must not be empty; a lower cost is
// better. It is a deterministic function of its input and safe for concurrent
// use.
type Policy interface {
	// Name identifies the policy in traces.
	Name() string
	// Pick returns the chosen index.
	Pick(costs []float64, rand route.Rand) int
}
