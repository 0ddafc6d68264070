package pick

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/route"
)

// DefaultSlack is the usual Slack of NearBest.
const DefaultSlack = 50 * time.Millisecond

// NearBest draws uniformly among the candidates whose cost is within Slack of
// the lowest.
type NearBest struct {
	// Slack is the tolerated extra cost; zero means DefaultSlack.
	Slack time.Duration
}

var _ Policy = NearBest{}

// Name returns "near-best".
func (NearBest) Name() string {
	return "near-best"
}

// Pick returns a random candidate near the best.
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
	near := 0
	for _, cost := range costs {
		if cost <= bound {
			near++
		}
	}
	nth := route.IntN(rand, near)
	for i, cost := range costs {
		if cost > bound {
			continue
		}
		if nth == 0 {
			return i
		}
		nth--
	}
	return 0
}
