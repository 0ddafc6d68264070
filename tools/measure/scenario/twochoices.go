package scenario

import (
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/stage/pick"
)

// twoChoices draws two candidates at random and takes the cheaper one.
// It is what near-best is compared with.
type twoChoices struct{}

var _ pick.Policy = twoChoices{}

// Name returns "two-choices".
func (twoChoices) Name() string {
	return "two-choices"
}

// Pick returns the cheaper of two different random candidates.
func (twoChoices) Pick(costs []float64, rand route.Rand) int {
	a := route.IntN(rand, len(costs))
	if len(costs) == 1 {
		return a
	}
	b := route.IntN(rand, len(costs)-1)
	if b >= a {
		b++
	}
	if costs[b] < costs[a] {
		return b
	}
	return a
}
