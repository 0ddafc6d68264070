package types

import (
	"errors"
	"fmt"
	"time"
)

// Verdict says whether a request may have run. It covers the whole history of
// the request: every attempt and every hop.
type Verdict uint8

// The verdicts, from the weakest to the strongest claim that the request ran.
// Merge returns the larger of two verdicts.
const (
	// NotRun: no endpoint has run any part of the request.
	NotRun Verdict = iota
	// MayHaveRun: an endpoint may have run all or part of the request.
	MayHaveRun
	// Ran: an endpoint ran the request and its complete response was received.
	Ran
)

var verdictNames = [...]string{"not-run", "may-have-run", "ran"}

// String returns "not-run", "may-have-run" or "ran", or "verdict(N)" for an
// invalid verdict N.
func (v Verdict) String() string {
	if int(v) >= len(verdictNames) {
		return fmt.Sprintf("verdict(%d)", uint8(v))
	}
	return verdictNames[v]
}

// MarshalText returns the verdict's name as String does; it never fails.
func (v Verdict) MarshalText() ([]byte, error) {
	return []byte(v.String()), nil
}

// UnmarshalText parses a verdict's name and returns an error for any other
// text.
func (v *Verdict) UnmarshalText(text []byte) error {
	for i, name := range verdictNames {
		if name == string(text) {
			*v = Verdict(i)
			return nil
		}
	}
	return fmt.Errorf("unknown verdict %q", text)
}

// Merge returns the verdict of a request whose history includes both v and
// other.
func (v Verdict) Merge(other Verdict) Verdict {
	return max(v, other)
}

// Code is the stable machine-readable reason of a failure.
type Code string

// The failure codes that callers see in the "code" field of an error body.
const (
	CodeBadRequest      Code = "bad_request"
	CodeUnauthenticated Code = "unauthenticated"
	// CodeUnconfirmed: the daemon can't tell whether a credential holds now.
	CodeUnconfirmed      Code = "unconfirmed"
	CodeForbidden        Code = "forbidden"
	CodeUnknownService   Code = "unknown_service"
	CodeTooLarge         Code = "too_large"
	CodeDeadline         Code = "deadline_exceeded"
	CodeOverloaded       Code = "overloaded"
	CodeNoEndpoint       Code = "no_endpoint"
	CodePaused           Code = "paused"
	CodeResidency        Code = "wrong_region"
	CodeLoop             Code = "loop_refused"
	CodeQuarantined      Code = "quarantined"
	CodeOwnerUnknown     Code = "owner_unknown"
	CodeOwnerGone        Code = "owner_gone"
	CodeInProgress       Code = "in_progress"
	CodeKeyReused        Code = "key_reused"
	CodeTicketRequired   Code = "ticket_required"
	CodeTicketExpired    Code = "ticket_expired"
	CodeAnswerForgotten  Code = "answer_forgotten"
	CodeDraining         Code = "draining"
	CodeNotReady         Code = "not_ready"
	CodeEndpointFailed   Code = "endpoint_failed"
	CodeUnreachable      Code = "endpoint_unreachable"
	CodeAnswerIncomplete Code = "answer_incomplete"
	CodeCallerGone       Code = "caller_gone"
	CodeInternal         Code = "internal"
)

// Retryable reports whether the request may succeed at another endpoint.
// Whether a retry is allowed also depends on the verdict.
func (c Code) Retryable() bool {
	switch c {
	case CodeEndpointFailed, CodeAnswerIncomplete, CodeOverloaded, CodePaused, CodeDraining, CodeNotReady, CodeUnreachable:
		return true
	}
	return false
}

// Failure is the error that ends a request. It holds the reason, the verdict
// and what the caller can do next.
type Failure struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Code is the machine-readable reason.
	Code Code
	// Status is the HTTP status sent to the caller.
	Status int
	// Message is one plain sentence for the caller. It contains no prompt and
	// no credential.
	Message string
	// RetryAfter is how long the caller should wait before it retries; zero
	// means that no delay is suggested.
	RetryAfter time.Duration
	// Entries lists the VMs of other daemons that may serve the request, most
	// preferred first.
	Entries []VMID
	// Ticket is a new ticket for an at-most-once request that was not run;
	// empty when none is offered.
	Ticket string
	// Cause is the underlying error, for logs only; it may be nil.
	Cause error
}

var _ error = (*Failure)(nil)

// NewFailure returns a failure with the default HTTP status of its code.
func NewFailure(verdict Verdict, code Code, message string) *Failure {
	return &Failure{Verdict: verdict, Code: code, Status: StatusOf(code), Message: message}
}

// Error returns the code, the verdict, the message and, if set, the cause.
func (f *Failure) Error() string {
	text := fmt.Sprintf("%s (%s): %s", f.Code, f.Verdict, f.Message)
	if f.Cause != nil {
		text += ": " + f.Cause.Error()
	}
	return text
}

// Unwrap returns the underlying error, or nil.
func (f *Failure) Unwrap() error {
	return f.Cause
}

// AsFailure returns the Failure that err wraps. Any other error becomes the
// cause of an internal failure with the verdict MayHaveRun, the safe assumption.
func AsFailure(err error) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	failure = NewFailure(MayHaveRun, CodeInternal, "internal error")
	failure.Cause = err
	return failure
}

// statusByCode holds the default HTTP status of each code, as plain numbers
// because this package imports no network package.
var statusByCode = map[Code]int{
	CodeBadRequest:       400,
	CodeUnauthenticated:  401,
	CodeUnconfirmed:      503,
	CodeForbidden:        403,
	CodeUnknownService:   404,
	CodeTooLarge:         413,
	CodeDeadline:         504,
	CodeOverloaded:       429,
	CodeNoEndpoint:       503,
	CodePaused:           503,
	CodeResidency:        421,
	CodeLoop:             508,
	CodeQuarantined:      422,
	CodeOwnerUnknown:     503,
	CodeOwnerGone:        409,
	CodeInProgress:       409,
	CodeKeyReused:        422,
	CodeTicketRequired:   428,
	CodeTicketExpired:    409,
	CodeAnswerForgotten:  410,
	CodeDraining:         503,
	CodeNotReady:         503,
	CodeEndpointFailed:   502,
	CodeUnreachable:      502,
	CodeAnswerIncomplete: 502,
	CodeCallerGone:       499,
	CodeInternal:         statusInternal,
}

const statusInternal = 500

// StatusOf returns the default HTTP status of a code, or 500 for an unknown
// code.
func StatusOf(code Code) int {
	status, ok := statusByCode[code]
	if !ok {
		return statusInternal
	}
	return status
}
