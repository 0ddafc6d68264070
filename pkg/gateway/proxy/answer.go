package proxy

import (
	"errors"
	"io"
	"net/http"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/stage/relay"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Reasons for discarding an endpoint's response.
var (
	errOtherRequest = errors.New("the response belongs to another request or names none")
	errUnsigned     = errors.New("the response carries no signature")
	errEncoded      = errors.New("the response has a Content-Encoding that was not requested")
)

// closeBody closes a response body; if it was not read to the end, the
// transport closes the connection.
func closeBody(response *http.Response) {
	_ = response.Body.Close()
}

// handleResponse checks that the response belongs to the request and relays it.
func (r *run) handleResponse(response *http.Response, w *attemptConn) (*types.Failure, balance.Result) {
	r.answerBegun = true
	w.guardEnd(r.ctx, response)
	info := r.h.opts.Dialect.ResponseInfo(response.StatusCode, response.Header)
	if info.ID != "" && info.ID != r.req.ID {
		return r.rejectResponse(w, errOtherRequest)
	}
	outcome := outcomeOf(response.StatusCode, info)
	if outcome == outcomeUnstatedRefusal && r.req.Route.Repeatable() {
		// A request that may run again gets its endpoint's own response.
		outcome = outcomeFailed
	}
	switch outcome {
	case outcomeMisdirected:
		return failureWithCause(types.NotRun, types.CodeDraining, "another endpoint has the address", nil), outcome.result()
	case outcomeRefused:
		return r.endpointRefusal(), outcome.result()
	case outcomeUnstatedRefusal:
		return r.replaceRefusal(response)
	}
	if isSuccess(response.StatusCode) {
		if err := checkSuccess(response, info); err != nil {
			return r.rejectResponse(w, err)
		}
	}
	if r.req.Route.Kind == catalog.Streaming && isSuccess(response.StatusCode) {
		return r.relayStream(response, w)
	}
	return r.relayBuffered(response, w, outcome)
}

// refusedRetryAfter is the Retry-After advice when an endpoint had no capacity.
const refusedRetryAfter = 2 * notReadyRetryAfter / 5

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

func checkSuccess(response *http.Response, info ResponseInfo) error {
	switch {
	case info.ID == "":
		return errOtherRequest
	case !info.Signed:
		return errUnsigned
	case response.Header.Get("Content-Encoding") != "":
		return errEncoded
	}
	return nil
}

// discardBody reads the body of a response that is not used, so that its connection can be
// reused. A body of more than maxDiscardedBytes costs its connection. It returns the error of a
// body that broke off.
func discardBody(response *http.Response) error {
	_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscardedBytes))
	return err
}

// rejectResponse discards a response and closes its connection.
func (r *run) rejectResponse(w *attemptConn, err error) (*types.Failure, balance.Result) {
	w.closeConn()
	r.verdict = r.verdict.Merge(types.MayHaveRun)
	return failureWithCause(types.MayHaveRun, types.CodeAnswerIncomplete, "the endpoint's answer is not valid", err), balance.Invalid
}

// bufferedResponse is a completely received response that was not sent yet.
type bufferedResponse struct {
	response *http.Response
	body     []byte
}

func (b *bufferedResponse) send(out *responseWriter) {
	length := int64(len(b.body))
	if len(b.body) == 0 && b.response.ContentLength > 0 {
		length = b.response.ContentLength // response to a HEAD request
	}
	out.writeHeader(b.response, length)
	out.write(b.body)
}

// relayBuffered reads a response to its end before it sends any of it. A
// response of at least maxBufferedBytes is relayed as it arrives.
func (r *run) relayBuffered(response *http.Response, w *attemptConn, outcome responseOutcome) (*types.Failure, balance.Result) {
	body, err := relay.ReadUpTo(response, maxBufferedBytes)
	if err == nil {
		return r.relayLarge(response, body, outcome)
	}
	if !errors.Is(err, io.EOF) {
		return r.handleBrokenResponse(err)
	}
	if r.out.committed {
		return r.rejectResponse(w, errUnsigned)
	}
	r.verdict = r.verdict.Merge(types.Ran)
	buffered := &bufferedResponse{response: response, body: body}
	r.status = response.StatusCode
	if outcome == outcomeFailed && r.mayRetry() {
		r.fallback = buffered
		r.verdict = types.MayHaveRun
		return failureWithCause(types.MayHaveRun, types.CodeEndpointFailed, "the endpoint failed the request", nil), outcome.result()
	}
	buffered.send(r.out)
	return nil, r.completed(outcome)
}

// completed reports a response that was received whole, and returns the result of its attempt.
func (r *run) completed(outcome responseOutcome) balance.Result {
	if outcome == outcomeCompleted {
		r.reportGotOn()
	}
	return outcome.result()
}

// mayRetry reports whether the route and the attempt limit permit another
// attempt after a server error.
func (r *run) mayRetry() bool {
	return r.req.Route.Repeatable() && r.sent < r.req.AttemptLimit
}

// relayLarge relays a response that is too large to be buffered.
func (r *run) relayLarge(response *http.Response, buffered []byte, outcome responseOutcome) (*types.Failure, balance.Result) {
	r.status = response.StatusCode
	r.out.writeHeader(response, response.ContentLength)
	if !r.out.write(buffered) {
		return r.contextFailure(types.MayHaveRun), balance.Abandoned
	}
	buf := make([]byte, 32<<10)
	for {
		n, err := response.Body.Read(buf)
		if !r.out.write(buf[:n]) {
			return types.NewFailure(types.MayHaveRun, types.CodeCallerGone, "the caller stopped reading"), balance.Abandoned
		}
		if errors.Is(err, io.EOF) {
			r.verdict = types.Ran
			return nil, r.completed(outcome)
		}
		if err != nil {
			return r.handleBrokenResponse(err)
		}
	}
}

// handleBrokenResponse returns the failure of a response that ended early. Closing
// its body closes the connection, unless the response was read to its end: another
// request may use the connection by then.
func (r *run) handleBrokenResponse(err error) (*types.Failure, balance.Result) {
	r.verdict = r.verdict.Merge(types.MayHaveRun)
	if r.ctx.Err() != nil {
		return r.contextFailure(types.MayHaveRun), balance.Abandoned
	}
	return failureWithCause(types.MayHaveRun, types.CodeAnswerIncomplete, "the endpoint broke off its answer", err), balance.Interrupted
}
