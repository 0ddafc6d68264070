package request

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// Outcome describes how a request ended. The daemon records one in the metrics,
// the usage accounts and the burn report for each request that passed ingress.
type Outcome struct {
	Service types.ServiceName
	Team    types.TeamName
	Org     types.OrgName
	Rank    types.Rank
	Verdict types.Verdict
	// Code is empty when the caller received the complete response.
	Code types.Code
	// FinishedAt is when the last byte or the failure was sent to the caller.
	FinishedAt time.Time
	// TimeAllowed is the time from arrival to the deadline; Took is the time from
	// arrival to FinishedAt.
	TimeAllowed time.Duration
	Took        time.Duration
	// Queued is the time spent in admission.
	Queued time.Duration
	// FirstToken is the time from arrival to the first token of a streamed
	// response, or to the first byte of another one; zero when there was none.
	FirstToken time.Duration
	// BetweenTokens is the mean inter-token latency of a streamed response;
	// zero when the response was not streamed.
	BetweenTokens time.Duration
	InputTokens   int
	OutputTokens  int
	// Cost is the cost of the request, in the unit of the published price.
	Cost float64
	// Attempts counts attempts at endpoints, hedges included.
	Attempts int
	// SentAway is true when another region ran the request.
	SentAway bool
}

// InTime reports whether the caller received the complete response by the
// deadline.
func (o Outcome) InTime() bool {
	return o.Code == "" && o.Took <= o.TimeAllowed
}

// CallersFault reports whether the caller caused the failure. Such requests
// count neither for nor against a service-level objective.
func (o Outcome) CallersFault() bool {
	switch o.Code {
	case types.CodeBadRequest, types.CodeUnauthenticated, types.CodeForbidden,
		types.CodeUnknownService, types.CodeTooLarge, types.CodeCallerGone,
		types.CodeKeyReused, types.CodeQuarantined, types.CodeResidency,
		types.CodeLoop, types.CodeInProgress, types.CodeOverQuota:
		return true
	}
	return false
}
