package proxy

import (
	"net/http"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Dialect knows the header fields that callers and endpoints use. It holds no
// decision. Implementations are safe for concurrent use.
type Dialect interface {
	// RequestInfo decodes the header of a caller's request and removes the fields that
	// only the gateway may set.
	RequestInfo(header http.Header) (RequestInfo, error)
	// Attempt writes the fields of an attempt at an endpoint.
	Attempt(header http.Header, attempt Attempt)
	// ResponseInfo decodes the header of an endpoint's answer.
	ResponseInfo(status int, header http.Header) ResponseInfo
	// EventID returns the ID of a stream's event; empty when it has none. The
	// event is given with its lines.
	EventID(event []byte) string
}

// RequestInfo is what the header of a caller's request says.
type RequestInfo struct {
	// ID identifies this attempt of the caller.
	ID types.RequestID
	// CallerTimeout is how long the caller waits; zero when it does not say.
	CallerTimeout time.Duration
	// PromptTokens and OutputTokens describe the work of a model request.
	PromptTokens int
	OutputTokens int
	// Prefix identifies the part of the prompt that other requests share, and
	// PrefixTokens is its length; zero when there is none.
	Prefix       uint64
	PrefixTokens int
	// PrefixParts lists shorter shared beginnings of the prompt, the longest
	// last.
	PrefixParts []balance.PromptPrefix
	// ResumeAfter is the ID of the last event that the caller has seen of a
	// stream that it resumes; empty for a new one.
	ResumeAfter string
}

// Attempt is what an endpoint is told beside the caller's own header.
type Attempt struct {
	// Endpoint is the only endpoint that may run the request.
	Endpoint types.EndpointID
	// TimeLeft is how long the caller still waits; zero when it did not say.
	TimeLeft time.Duration
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// ModelEngine is true for requests that a model engine schedules by rank.
	ModelEngine bool
	// ResumeAfter is the ID of the last event to skip; empty for a new stream.
	ResumeAfter string
}

// ResponseInfo is what the header of an endpoint's answer says.
type ResponseInfo struct {
	// ID is the request that the answer belongs to; empty when it names none.
	ID types.RequestID
	// Signed answers carry the endpoint's signature.
	Signed bool
	// NotRun is true when the endpoint states that it did not run the request.
	NotRun bool
	// Misdirected is true when another endpoint has the address.
	Misdirected bool
}
