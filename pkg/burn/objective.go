// Package burn counts how requests keep their service-level objectives, over
// sliding windows, and reports burn rates and the error budget left. A daemon
// keeps the counts in memory only; the time since it started is part of each
// report, so that a gap is shown and not hidden.
package burn

import (
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Objective names one kind of service-level objective.
type Objective string

// The kinds of objective.
const (
	// ObjectiveInTime: the whole answer arrived inside the deadline.
	ObjectiveInTime Objective = "in_time"
	// ObjectiveFirstToken: the first token came in time.
	ObjectiveFirstToken Objective = "first_token"
	// ObjectiveBetweenTokens: tokens followed each other in time.
	ObjectiveBetweenTokens Objective = "between_tokens"
	// ObjectiveFinished: the whole answer arrived, however late.
	ObjectiveFinished Objective = "finished"
)

// DefaultLatencyShare is the share of requests that must keep the token
// objectives when the service's file names none.
const DefaultLatencyShare = 0.95

// Cause says why a request missed an objective: a failure code, or CauseSlow
// for a whole answer that came late.
type Cause string

// CauseSlow is the cause of a whole answer that came late.
const CauseSlow Cause = "slow"

// verdict is what one request means for one objective.
type verdict struct {
	objective Objective
	target    float64
	good      bool
}

// judge returns what the outcome means for each objective of the service. A
// request that failed through its caller's doing means nothing.
func judge(outcome request.Outcome, objective published.Objective) []verdict {
	if outcome.CallersFault() {
		return nil
	}
	verdicts := make([]verdict, 0, 4)
	whole := outcome.Code == ""
	if objective.InTime > 0 {
		verdicts = append(verdicts, verdict{ObjectiveInTime, objective.InTime, outcome.InTime()})
	}
	if objective.Finished > 0 {
		verdicts = append(verdicts, verdict{ObjectiveFinished, objective.Finished, whole})
	}
	share := objective.LatencyShare
	if share == 0 {
		share = DefaultLatencyShare
	}
	if objective.FirstToken > 0 && outcome.FirstToken > 0 {
		verdicts = append(verdicts, verdict{ObjectiveFirstToken, share, outcome.FirstToken <= objective.FirstToken})
	}
	if objective.BetweenTokens > 0 && outcome.BetweenTokens > 0 {
		verdicts = append(verdicts, verdict{ObjectiveBetweenTokens, share, outcome.BetweenTokens <= objective.BetweenTokens})
	}
	return verdicts
}

func causeOf(outcome request.Outcome) Cause {
	if outcome.Code != "" {
		return Cause(outcome.Code)
	}
	return CauseSlow
}

// Key names one series of counts.
type Key struct {
	Service   types.ServiceName `json:"service"`
	Rank      types.Rank        `json:"rank"`
	Objective Objective         `json:"objective"`
}
