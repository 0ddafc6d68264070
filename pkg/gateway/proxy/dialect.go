package proxy

import (
	"net/http"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/explain"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Dialect encodes and decodes the header fields that callers and endpoints use.
// It makes no decisions. Implementations are safe for concurrent use.
type Dialect interface {
	// RequestInfo decodes the header of a caller's request and removes the
	// fields that only the gateway may set.
	RequestInfo(header http.Header) (RequestInfo, error)
	// Describe writes the header fields with which a caller describes a prompt.
	Describe(header http.Header, prompt Prompt)
	// RemoveCaller removes the caller's credential and what the caller says of its
	// organisation.
	RemoveCaller(header http.Header)
	// Attempt writes the header fields of an attempt at an endpoint.
	Attempt(header http.Header, attempt Attempt)
	// ResponseInfo decodes the header of an endpoint's response.
	ResponseInfo(status int, header http.Header) ResponseInfo
	// EventID returns the ID of a stream's event, or "" if it has none. The
	// event is passed with its line ends.
	EventID(event []byte) string
}

// Prompt is what a caller says of a prompt.
type Prompt struct {
	ID                         types.RequestID
	PromptTokens, OutputTokens int
	// Parts lists the parts of the prompt in order; the last one is the request's own.
	Parts []explain.Part
}

// RequestInfo is the decoded header of a caller's request.
type RequestInfo struct {
	// ID identifies this attempt of the caller.
	ID types.RequestID
	// CallerTimeout is how long the caller waits; zero if it names no limit.
	CallerTimeout time.Duration
	// PromptTokens and OutputTokens describe the work of a model request.
	PromptTokens int
	OutputTokens int
	// Prefix identifies the part of the prompt that other requests share, and
	// PrefixTokens is its length; both are zero if there is none.
	Prefix       uint64
	PrefixTokens int
	// PrefixParts lists shorter shared prefixes of the prompt, the longest
	// last.
	PrefixParts []balance.PromptPrefix
	// SharedParts lists the parts of the prompt that other requests may share.
	SharedParts []string
	// ResumeAfter is the ID of the last event that the caller received of a
	// stream that it resumes; empty for a new stream.
	ResumeAfter string
	// Credential is the digest of the caller's credential; empty if it sent none that
	// can be read.
	Credential catalog.CredentialDigest
}

// Attempt is what an endpoint is told in addition to the caller's header.
type Attempt struct {
	// Endpoint is the only endpoint that may run the request.
	Endpoint types.EndpointID
	// TimeLeft is how long the caller still waits; zero if it named no limit.
	TimeLeft time.Duration
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// Ranks is the number of ranks; zero if it is not known.
	Ranks int
	// Organisation is who calls; empty if the caller needs no credential.
	Organisation types.OrgName
	// ModelEngine is true for requests that a model engine schedules by rank.
	ModelEngine bool
	// FetchFrom is the address of an endpoint from which the engine may copy the
	// cached prefix of the prompt; empty if it has to prefill what it lacks.
	FetchFrom string
	// ResumeAfter is the ID of the last event to skip; empty for a new stream.
	ResumeAfter string
}

// ResponseInfo is the decoded header of an endpoint's response.
type ResponseInfo struct {
	// ID is the request that the response belongs to; empty if it names none.
	ID types.RequestID
	// Signed is true if the response carries the endpoint's signature.
	Signed bool
	// NotRun is true if the endpoint states that it did not run the request.
	NotRun bool
	// Misdirected is true if the address now belongs to another endpoint.
	Misdirected bool
	// Leaving is true if the endpoint that answered is leaving and wants no
	// further request.
	Leaving bool
	// Backoff is how long the endpoint wants no further request from this daemon;
	// zero if it asks for no pause.
	Backoff time.Duration
}
