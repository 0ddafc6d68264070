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

// The kinds of end.
const (
	// KindSucceeded: the whole answer was passed on.
	KindSucceeded Kind = iota
	// KindConnectFailed: no connection was obtained.
	KindConnectFailed
	// KindConnectionLost: the connection broke after the request may have been sent. A
	// crash of the endpoint looks like this.
	KindConnectionLost
	// KindInvalidResponse: the answer was crossed, truncated or not of its format.
	KindInvalidResponse
	// KindRefused: the endpoint refused with 429 or 503.
	KindRefused
	// KindLeaving: the endpoint refused because it is leaving.
	KindLeaving
	// KindServerError: the endpoint answered with another 5xx status.
	KindServerError
	// KindTimeout: the deadline passed.
	KindTimeout
	// KindCallerGone: the caller went away or read too slowly.
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

// Report tells how one attempt ended.
type Report struct {
	Request *request.Request
	// Endpoint is nil when the attempt went to another daemon.
	Endpoint *snapshot.Endpoint
	// Region is where the attempt went.
	Region  types.Region
	Attempt types.AttemptID
	Kind    Kind
	Verdict types.Verdict
	// Progress is how far the attempt got.
	Progress outcome.Progress
	// Status is the HTTP status; zero when no response began.
	Status  int
	Started time.Time
	// FirstByte is when the response began; zero when it did not.
	FirstByte time.Time
	Ended     time.Time
	// Tokens is the number of token events passed on.
	Tokens int
}
