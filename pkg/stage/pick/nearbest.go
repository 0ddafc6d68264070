package pick

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/route"
)

// DefaultSlack is the default of NearBest.Slack.
const DefaultSlack = 50 * time.Millisecond

// NearBest draws uniformly from the candidates whose cost is within Slack of
// the lowest cost.
type NearBest struct {
	// Slack is the tolerated additional cost; zero means DefaultSlack.
	Slack time.Duration
}

var _ Policy = NearBest{}

// Name returns "near-best".
func (NearBest) Name() string {
	return "near-best"
}

// Pick returns the index of a random candidate with a cost near the lowest.
func (n NearBest) Pick(costs []float64, rand route.Rand) int {
	slack := n.Slack
	if slack <= 0 {
		slack = DefaultSlack
	}
	lowest := costs[0]
	for _, cost := range costs {
		lowest = min(lowest, cost)
	}
	bound := lowest + slack.Seconds()
	eligible := 0
	for _, cost := range costs {
		if cost <= bound {
			eligible++
		}
	}
	remaining := route.IntN(rand, eligible)
	for i, cost := range costs {
		if cost > bound {
			continue
		}
		if remaining == 0 {
			return i
		}
		remaining--
	}
	return 0
}
