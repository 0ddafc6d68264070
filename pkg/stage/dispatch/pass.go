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

// Reasons why an answer is discarded.
var (
	errNotEchoed  = errors.New("answer does not carry the attempt ID")
	errNotResumed = errors.New("endpoint did not resume the stream at the offset")
)

const eventStreamType = "text/event-stream"

// pass relays an answer that belongs to this attempt.
func (a *attempt) pass(response *http.Response, cancel func()) *types.Failure {
	if response.StatusCode == http.StatusOK && a.run.req.Streamed && isEventStream(response) {
		return a.passStream(response, cancel)
	}
	if a.run.caller.Committed() {
		return a.invalid(errNotResumed)
	}
	held, err := relay.Hold(response, a.run.d.opts.Limits, cancel)
	if err != nil {
		return a.failSource(err)
	}
	if !held.Whole {
		return a.passLarge(response, held, cancel)
	}
	a.evidence.Progress = outcome.ResponseComplete
	return a.passWhole(response, held)
}

func isEventStream(response *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && mediaType == eventStreamType
}

// passStream relays a stream, also one that goes on where an earlier attempt
// broke off.
func (a *attempt) passStream(response *http.Response, cancel func()) *types.Failure {
	if a.run.tokens > 0 && response.Header.Get(types.HeaderResumeOffset) != strconv.Itoa(a.run.tokens) {
		a.dropConnection()
		return a.invalid(errNotResumed)
	}
	result := a.run.caller.Stream(response, cancel)
	a.tokens = result.Tokens
	a.irregular = result.Tokens > 0 && !result.Resumable
	if result.End == relay.EndWhole {
		a.evidence.Progress = outcome.ResponseComplete
		return nil
	}
	return a.failRelay(result)
}

// passLarge relays an answer that is too large to be held whole.
func (a *attempt) passLarge(response *http.Response, held relay.Held, cancel func()) *types.Failure {
	if outcome.IsEndpointFailure(response.StatusCode) {
		return a.failStatus(response, held)
	}
	result := a.run.caller.Copy(response, held.Body, cancel)
	if result.End == relay.EndWhole {
		a.evidence.Progress = outcome.ResponseComplete
		return nil
	}
	return a.failRelay(result)
}

// passWhole relays an answer that was received whole.
func (a *attempt) passWhole(response *http.Response, held relay.Held) *types.Failure {
	if outcome.IsEndpointFailure(response.StatusCode) {
		return a.failStatus(response, held)
	}
	if a.evidence.Peer && a.evidence.PeerStated && response.StatusCode >= http.StatusBadRequest {
		return a.failPeer(response, held)
	}
	if response.StatusCode == http.StatusOK && a.run.req.Service.Kind == published.KindModel {
		if err := relay.CheckJSON(held); err != nil {
			a.evidence.Progress = outcome.HeadersReceived
			return a.invalid(err)
		}
	}
	verdict := a.run.verdict.Merge(a.verdict())
	result := a.run.caller.Send(response, held.Body, verdict)
	if result.End != relay.EndWhole {
		a.kind = KindCallerGone
		return a.failure(types.CodeCallerGone, "the caller's connection failed", result.Err)
	}
	return nil
}

// failStatus turns a refusal or a server error of an endpoint into a failure.
func (a *attempt) failStatus(response *http.Response, held relay.Held) *types.Failure {
	if a.evidence.Peer && a.evidence.PeerStated {
		return a.failPeer(response, held)
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

// failPeer passes on the failure that another daemon stated.
func (a *attempt) failPeer(response *http.Response, held relay.Held) *types.Failure {
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

// failRelay turns an answer that broke off on its way into a failure.
func (a *attempt) failRelay(result relay.Result) *types.Failure {
	if result.End == relay.EndCaller {
		a.kind = KindCallerGone
		return a.failure(types.CodeCallerGone, "the caller's connection failed", result.Err)
	}
	return a.failSource(result.Err)
}

// failSource turns a response that could not be read whole into a failure.
func (a *attempt) failSource(err error) *types.Failure {
	if failure := a.failContext(); failure != nil {
		return failure
	}
	a.kind = KindConnectionLost
	if errors.Is(err, relay.ErrGarbage) || errors.Is(err, relay.ErrTruncated) || errors.Is(err, relay.ErrUndelimited) || errors.Is(err, relay.ErrEventTooLarge) {
		a.kind = KindInvalidResponse
	}
	return a.failure(types.CodeAnswerIncomplete, "the endpoint's answer was not complete", err)
}

// failTransport turns an attempt without a response into a failure.
func (a *attempt) failTransport(err error) *types.Failure {
	if failure := a.failContext(); failure != nil {
		return failure
	}
	if a.evidence.Progress == outcome.NotConnected {
		a.kind = KindConnectFailed
		return a.failure(types.CodeUnreachable, "no connection to the endpoint", err)
	}
	a.kind = KindConnectionLost
	return a.failure(types.CodeEndpointFailed, "the endpoint's connection broke", err)
}

// failContext returns nil unless the request's own time or caller is gone.
func (a *attempt) failContext() *types.Failure {
	if a.run.ctx.Err() == nil {
		return nil
	}
	a.kind = KindCallerGone
	if errors.Is(a.run.ctx.Err(), context.DeadlineExceeded) {
		a.kind = KindTimeout
	}
	return contextFailure(a.run.ctx, a.verdict())
}

// invalid turns an answer that must be discarded into a failure.
func (a *attempt) invalid(err error) *types.Failure {
	a.kind = KindInvalidResponse
	return a.failure(types.CodeAnswerIncomplete, "the endpoint's answer was not valid", err)
}

func (a *attempt) failure(code types.Code, message string, cause error) *types.Failure {
	failure := types.NewFailure(a.verdict(), code, message)
	failure.Cause = cause
	return failure
}
