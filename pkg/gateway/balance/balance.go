// Package balance decides which endpoint of the own region runs a request, when
// a request waits for room, and when it is refused. Each decision filters the
// endpoints of the service, scores what is left in predicted seconds, and picks
// the cheapest.
//
// Pool is a state machine without clock, network or goroutine; package gate
// adapts it to goroutines. It answers two loads: bursts beyond what the endpoints can
// take, where urgent requests pass and others wait briefly or are refused, and
// prompts with large shared prefixes, which go where the prefix is cached.
package balance

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// RequestInfo is a request that seeks an endpoint.
type RequestInfo struct {
	Service types.ServiceName
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// PromptTokens estimates the work; zero for plain services.
	PromptTokens int
	// Prefix identifies the shared part of the prompt; zero means none.
	Prefix       uint64
	PrefixTokens int
	// ShorterPrefixes lists the shorter prefixes of it, the longest last.
	ShorterPrefixes []PromptPrefix
	// Tried lists endpoints that the request was sent to before.
	Tried []types.EndpointID
	// Arrived is when the caller's request reached the gateway, also by way of
	// another daemon.
	Arrived time.Time
	// Deadline is when the answer stops being of use.
	Deadline time.Time
	// Objective is the time in which the answer should begin.
	Objective time.Duration
	// PrefixUncached is true when the prefix is not kept here: its home had no room.
	PrefixUncached bool
}

// large reports whether the request has a large prefix, which has a home.
func (a RequestInfo) large() bool {
	return a.PrefixTokens >= MinLargePrefixTokens
}

// PromptPrefix is a shared beginning of a prompt.
type PromptPrefix struct {
	Hash uint64
	// Tokens is its length from the start of the prompt.
	Tokens int
}

// Result is how an attempt ended.
type Result uint8

// The results.
const (
	// Succeeded: the whole answer arrived.
	Succeeded Result = iota
	// ConnectFailed: no connection was obtained.
	ConnectFailed
	// Refused: the endpoint had no room and did not run the request.
	Refused
	// Misdirected: another endpoint has the address.
	Misdirected
	// Interrupted: the connection ended before the answer did.
	Interrupted
	// Invalid: the answer belonged to another request or was malformed.
	Invalid
	// ServerError: the endpoint ran the request and failed.
	ServerError
	// Abandoned: the caller left or the time was up.
	Abandoned
)

// Permit is the permission to send one request to an endpoint.
type Permit struct {
	Endpoint catalog.ActiveEndpoint
	ask      RequestInfo
	// unread is the prompt work, in tokens, that the endpoint has to do for it.
	unread float64
	// work is the prompt work of the endpoint at the time, this one included.
	work     float64
	takenAt  time.Time
	headSeen bool
	finished bool
}

// answerBegins notes that the request no longer waits for an answer, and reports
// whether it did until now.
func (p *Permit) answerBegins() bool {
	waited := !p.headSeen
	p.headSeen = true
	return waited
}

// Refusal says why a request can't be placed.
type Refusal struct {
	// Reason is one phrase for logs and callers.
	Reason string
	// NoEndpoint is true when the region has no endpoint that may run it.
	NoEndpoint bool
	// RetryAfter is when there will be room, as predicted.
	RetryAfter time.Duration
}

// Bounds are the deployment's limits on what all daemons together may do.
type Bounds struct {
	// ColdOvershoot and ColdSlack widen the rate that a cold endpoint bears:
	// rate times overshoot plus slack in any second.
	ColdOvershoot float64
	ColdSlack     float64
}
