package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/stage/dispatch/outcome"
	"github.com/flamingomount/flamingomount/pkg/stage/relay"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Reasons for discarding a response; they appear as the cause in logs.
var (
	errAttemptIDMismatch = errors.New("response does not carry the attempt ID")
	errNotResumed        = errors.New("endpoint did not resume the stream at the offset")
)

const eventStreamType = "text/event-stream"

// relayResponse relays a response that carries this attempt's ID.
func (a *attempt) relayResponse(response *http.Response, cancel func()) *types.Failure {
	if response.StatusCode == http.StatusOK && a.run.req.Streamed && isEventStream(response) {
		return a.relayStream(response, cancel)
	}
	if a.run.caller.Committed() {
		return a.invalidResponse(errNotResumed)
	}
	held, err := relay.BufferResponse(response, a.run.d.opts.Limits, cancel)
	if err != nil {
		return a.readFailure(err)
	}
	if !held.Complete {
		return a.relayOversized(response, held, cancel)
	}
	a.evidence.Progress = outcome.ResponseComplete
	return a.relayBuffered(response, held)
}

func isEventStream(response *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && mediaType == eventStreamType
}

// relayStream relays an event stream. After an earlier attempt broke off, the
// endpoint must resume the stream at the number of tokens already relayed.
func (a *attempt) relayStream(response *http.Response, cancel func()) *types.Failure {
	if a.run.tokens > 0 && response.Header.Get(types.HeaderResumeOffset) != strconv.Itoa(a.run.tokens) {
		a.dropConnection()
		return a.invalidResponse(errNotResumed)
	}
	a.streamed = true
	result := a.run.caller.Stream(response, cancel, func() { a.firstTokenAt = a.run.d.opts.Now() })
	a.tokens = result.Tokens
	a.unresumable = result.Tokens > 0 && !result.Resumable
	if result.End == relay.EndComplete {
		a.evidence.Progress = outcome.ResponseComplete
		return nil
	}
	return a.relayFailure(result)
}

// relayOversized relays a response that exceeds the buffer limit: the part
// already buffered, then the rest as it arrives.
func (a *attempt) relayOversized(response *http.Response, held relay.BufferedResponse, cancel func()) *types.Failure {
	if outcome.IsEndpointFailure(response.StatusCode) {
		return a.statusFailure(response, held)
	}
	result := a.run.caller.Copy(response, held.Body, cancel)
	if result.End == relay.EndComplete {
		a.evidence.Progress = outcome.ResponseComplete
		return nil
	}
	return a.relayFailure(result)
}

// relayBuffered relays a response that was buffered completely.
func (a *attempt) relayBuffered(response *http.Response, held relay.BufferedResponse) *types.Failure {
	if outcome.IsEndpointFailure(response.StatusCode) {
		return a.statusFailure(response, held)
	}
	if a.evidence.Peer && a.evidence.PeerStated && response.StatusCode >= http.StatusBadRequest {
		return a.peerFailure(response, held)
	}
	if response.StatusCode == http.StatusOK && a.run.req.Service.Kind == published.KindModel {
		if err := relay.CheckJSON(held); err != nil {
			a.evidence.Progress = outcome.HeadersReceived
			return a.invalidResponse(err)
		}
	}
	verdict := a.run.verdict.Merge(a.verdict())
	result := a.run.caller.Send(response, held.Body, verdict)
	if result.End != relay.EndComplete {
		a.kind = KindCallerGone
		return a.failure(types.CodeCallerGone, "the caller's connection failed", result.Err)
	}
	return nil
}

// statusFailure returns the failure for an error status of an endpoint or
// daemon.
func (a *attempt) statusFailure(response *http.Response, held relay.BufferedResponse) *types.Failure {
	if a.evidence.Peer && a.evidence.PeerStated {
		return a.peerFailure(response, held)
	}
	a.kind = kindOfStatus(response.StatusCode, a.evidence.Leaving)
	failure := a.failure(types.CodeEndpointFailed,
		"the endpoint answered with status "+strconv.Itoa(response.StatusCode), nil)
	if a.kind == KindRefused && failure.Verdict == types.NotRun {
		failure.Code = types.CodeOverloaded
		failure.Status = types.StatusOf(types.CodeOverloaded)
	}
	if a.kind == KindLeaving && failure.Verdict == types.NotRun {
		failure.Code = types.CodeDraining
		failure.Status = types.StatusOf(types.CodeDraining)
	}
	failure.RetryAfter = retryAfter(response.Header)
	return failure
}

func kindOfStatus(status int, leaving bool) Kind {
	switch {
	case leaving:
		return KindLeaving
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return KindRefused
	default:
		return KindServerError
	}
}

// peerFailure returns the failure that another daemon reported, or a generic
// one when its body has no error code.
func (a *attempt) peerFailure(response *http.Response, held relay.BufferedResponse) *types.Failure {
	a.kind = KindRefused
	var body relay.ErrorBody
	if err := json.Unmarshal(held.Body, &body); err != nil || body.Error.Code == "" {
		return a.failure(types.CodeEndpointFailed, "another entry failed", err)
	}
	failure := a.failure(body.Error.Code, body.Error.Message, nil)
	failure.Status = response.StatusCode
	failure.Entries = body.Error.Entries
	failure.Ticket = body.Error.Ticket
	failure.RetryAfter = retryAfter(response.Header)
	return failure
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// relayFailure returns the failure for a response that broke off while it was
// relayed.
func (a *attempt) relayFailure(result relay.Result) *types.Failure {
	if result.End == relay.EndCaller {
		a.kind = KindCallerGone
		return a.failure(types.CodeCallerGone, "the caller's connection failed", result.Err)
	}
	return a.readFailure(result.Err)
}

// readFailure returns the failure for a response that could not be read
// completely.
func (a *attempt) readFailure(err error) *types.Failure {
	if failure := a.expiryFailure(); failure != nil {
		return failure
	}
	a.kind = KindConnectionLost
	if errors.Is(err, relay.ErrInvalidFormat) || errors.Is(err, relay.ErrTruncated) || errors.Is(err, relay.ErrUndelimited) || errors.Is(err, relay.ErrEventTooLarge) {
		a.kind = KindInvalidResponse
	}
	return a.failure(types.CodeAnswerIncomplete, "the endpoint's answer was not complete", err)
}

// transportFailure returns the failure for an attempt without response headers.
func (a *attempt) transportFailure(err error) *types.Failure {
	if failure := a.expiryFailure(); failure != nil {
		return failure
	}
	if a.evidence.Progress == outcome.NotConnected {
		a.kind = KindConnectFailed
		return a.failure(types.CodeUnreachable, "no connection to the endpoint", err)
	}
	a.kind = KindConnectionLost
	return a.failure(types.CodeEndpointFailed, "the endpoint's connection broke", err)
}

// expiryFailure returns the failure for a request whose deadline passed or
// whose caller went away, or nil when neither is the case.
func (a *attempt) expiryFailure() *types.Failure {
	if a.run.ctx.Err() == nil {
		return nil
	}
	a.kind = KindCallerGone
	if errors.Is(a.run.ctx.Err(), context.DeadlineExceeded) {
		a.kind = KindTimeout
	}
	return contextFailure(a.run.ctx, a.verdict())
}

// invalidResponse returns the failure for a response that must be discarded.
func (a *attempt) invalidResponse(err error) *types.Failure {
	a.kind = KindInvalidResponse
	return a.failure(types.CodeAnswerIncomplete, "the endpoint's answer was not valid", err)
}

func (a *attempt) failure(code types.Code, message string, cause error) *types.Failure {
	failure := types.NewFailure(a.verdict(), code, message)
	failure.Cause = cause
	return failure
}
