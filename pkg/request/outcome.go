package request

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// Outcome is how a request ended. The daemon hands one to metrics, usage and
// the burn report for each request that passed ingress.
type Outcome struct {
	Service types.ServiceName
	Team    types.TeamName
	Org     types.OrgName
	Rank    types.Rank
	Verdict types.Verdict
	// Code is empty when the caller received the whole answer.
	Code types.Code
	// FinishedAt is when the last byte was sent or the failure was told.
	FinishedAt time.Time
	// Allowed is the time from arrival to the deadline; Took is the time used.
	Allowed time.Duration
	Took    time.Duration
	// Queued is the time spent in admission.
	Queued time.Duration
	// FirstToken is the time to the first byte of the answer's body; zero when
	// there was none.
	FirstToken time.Duration
	// BetweenTokens is the mean time between streamed tokens; zero for whole
	// answers.
	BetweenTokens time.Duration
	InputTokens   int
	OutputTokens  int
	// Cost is in the unit of the published price.
	Cost float64
	// Attempts counts attempts at endpoints, hedges included.
	Attempts int
	// SentAway is true when another region ran the request.
	SentAway bool
}

// InTime reports whether the caller received the whole answer inside the time
// allowed.
func (o Outcome) InTime() bool {
	return o.Code == "" && o.Took <= o.Allowed
}

// CallersFault reports whether the request failed through the caller's doing;
// such requests count neither for nor against a service-level objective.
func (o Outcome) CallersFault() bool {
	switch o.Code {
	case types.CodeBadRequest, types.CodeUnauthenticated, types.CodeForbidden,
		types.CodeUnknownService, types.CodeTooLarge, types.CodeCallerGone,
		types.CodeKeyReused, types.CodeQuarantined, types.CodeResidency,
		types.CodeLoop, types.CodeInProgress:
		return true
	}
	return false
}
