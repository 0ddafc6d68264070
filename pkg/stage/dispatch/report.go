package dispatch

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/dispatch/outcome"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Kind classifies the end of an attempt for health tracking.
type Kind uint8

// The kinds of attempt end.
const (
	// KindSucceeded: the complete response was relayed.
	KindSucceeded Kind = iota
	// KindConnectFailed: no connection was obtained.
	KindConnectFailed
	// KindConnectionLost: the connection broke after the request may have been
	// sent, as it does when the endpoint crashes.
	KindConnectionLost
	// KindInvalidResponse: the response belonged to another attempt, was
	// truncated, or was malformed.
	KindInvalidResponse
	// KindRefused: the endpoint answered with status 429 or 503, or another
	// daemon reported a failure.
	KindRefused
	// KindLeaving: the endpoint refused because it is leaving.
	KindLeaving
	// KindServerError: the endpoint answered with another 5xx status.
	KindServerError
	// KindTimeout: the request's deadline passed.
	KindTimeout
	// KindCallerGone: the caller disconnected or read too slowly.
	KindCallerGone
)

var kindNames = [...]string{
	"succeeded", "connect_failed", "broke", "invalid", "refused", "leaving",
	"server_error", "timeout", "caller_gone",
}

// String returns the kind's name.
func (k Kind) String() string {
	if int(k) >= len(kindNames) {
		return "unknown"
	}
	return kindNames[k]
}

// Report describes how one attempt ended.
type Report struct {
	Request *request.Request
	// Endpoint is nil when the attempt went to another daemon.
	Endpoint *snapshot.Endpoint
	// Region is the region of the endpoint or daemon.
	Region  types.Region
	Attempt types.AttemptID
	Kind    Kind
	Verdict types.Verdict
	// Progress is how far the attempt got.
	Progress outcome.Progress
	// Status is the HTTP status; zero when no response headers arrived.
	Status  int
	Started time.Time
	// FirstByte is when the response headers arrived; zero when they did not.
	FirstByte time.Time
	Ended     time.Time
	// Tokens is the number of token events relayed to the caller.
	Tokens int
}
