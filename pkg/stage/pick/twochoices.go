package pick

import "github.com/flamingomount/flamingomount/pkg/route"

// TwoChoices draws two candidates at random and takes the cheaper one.
type TwoChoices struct{}

var _ Policy = TwoChoices{}

// Name returns "two-choices".
func (TwoChoices) Name() string {
	return "two-choices"
}

// Pick returns the cheaper of two different random candidates.
func (TwoChoices) Pick(costs []float64, rand route.Rand) int {
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
