package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/balance/gate"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/oncebody"
	"github.com/flamingomount/flamingomount/pkg/stage/relay"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Reasons for discarding an endpoint's response.
var (
	errOtherRequest = errors.New("the response belongs to another request or names none")
	errUnsigned     = errors.New("the response carries no signature")
	errEncoded      = errors.New("the response has a Content-Encoding that was not requested")
)

// attemptConn is the connection of one attempt, as far as it is known.
type attemptConn struct {
	conn atomic.Pointer[net.Conn]
	// writtenBefore is the number of bytes written to the connection for earlier
	// requests.
	writtenBefore atomic.Int64
	// cancel ends only this attempt. Unlike closing the connection, it can't
	// affect another request if the response has just ended.
	cancel context.CancelFunc
	// tooLate reports whether nothing may be sent any more; nil means never. expired is
	// true once that, or withheld, has ended the attempt.
	tooLate func() bool
	expired atomic.Bool
	// withheld reports whether the request may not be sent to any endpoint; nil for an
	// attempt by way of another daemon.
	withheld func() bool
	// connecting tells whether the endpoint still wants the request; nil for an
	// attempt by way of another daemon.
	connecting *gate.Connecting
	// interim handles an interim response; nil ignores it. An error ends the attempt.
	interim func(status int, header textproto.MIMEHeader) error
}

// mayHaveArrived reports whether bytes of the request were written. It must not be
// called before the round trip has ended.
func (w *attemptConn) mayHaveArrived() bool {
	conn := w.conn.Load()
	if conn == nil {
		return false
	}
	counting, ok := (*conn).(*countingConn)
	return !ok || counting.written.Load() > w.writtenBefore.Load()
}

// connected reports whether the attempt obtained a connection, so that bytes of
// the request may have been written.
func (w *attemptConn) connected() bool {
	return w.conn.Load() != nil
}

// limit keeps the attempt from being sent after a time: it is cancelled if it has no
// connection by then, and a connection that it obtains later is closed. A zero time
// sets no limit. The returned function stops the timer.
func (w *attemptConn) limit(sendBy time.Time, now func() time.Time) (stop func()) {
	if sendBy.IsZero() {
		return func() {}
	}
	w.tooLate = func() bool { return !now().Before(sendBy) }
	timer := time.AfterFunc(sendBy.Sub(now()), func() {
		if !w.connected() {
			w.expired.Store(true)
			w.cancel()
		}
	})
	return func() { timer.Stop() }
}

// closeConn closes the connection, so that bytes still in transit on it are not
// taken for the response to another request.
func (w *attemptConn) closeConn() {
	if conn := w.conn.Load(); conn != nil {
		// Closing twice is harmless, and the transport detects the closed connection.
		_ = (*conn).Close()
	}
}

// attemptEndpoint sends the request to an endpoint and relays its response.
func (r *run) attemptEndpoint(permit *balance.Permit) *types.Failure {
	r.tried = append(r.tried, permit.Endpoint.ID)
	r.out.endpoint = permit.Endpoint.ID
	// Releases the permit after a panic; all other paths release it earlier.
	defer r.h.opts.Gate.Done(permit, balance.Abandoned)
	var w attemptConn
	outgoing := r.endpointRequest(permit, &w)
	defer w.cancel()
	w.withheld = func() bool { _, found := r.withheld(); return found }
	defer w.limit(earliest(r.h.inBudgetTime(permit.Endpoint.LastRequestAt), r.arriveBy()), r.h.budgetTime)()
	response, err := r.roundTrip(outgoing, permit, &w)
	if err != nil {
		return r.handleSendError(permit, &w, err)
	}
	defer closeBody(response)
	r.noteResponse(permit, response)
	r.h.opts.Gate.ResponseStarted(permit)
	failure, result := r.handleResponse(response, &w)
	r.h.opts.Gate.Done(permit, result)
	if result == balance.Interrupted {
		r.reportBroken(permit.Endpoint.Endpoint)
	}
	return failure
}

// closeBody closes a response body; if it was not read to the end, the
// transport closes the connection.
func closeBody(response *http.Response) {
	_ = response.Body.Close()
}

// endpointRequest builds the request for one attempt at an endpoint.
func (r *run) endpointRequest(permit *balance.Permit, w *attemptConn) *http.Request {
	header := r.req.Header.Clone()
	attempt := Attempt{Endpoint: permit.Endpoint.ID, Rank: r.req.Route.Rank, ModelEngine: r.req.ModelEngine, ResumeAfter: r.req.ResumeAfter}
	if r.lastEvent != "" {
		attempt.ResumeAfter = r.lastEvent
	}
	if permit.PrefixMissing {
		attempt.FetchFrom = r.prefixSource(permit.Endpoint)
	}
	if !r.req.CallerDeadline.IsZero() {
		attempt.TimeLeft = max(r.req.Deadline.Sub(r.h.opts.Now()), 1)
	}
	r.h.opts.Dialect.Attempt(header, attempt)
	return r.outgoing(permit.Endpoint.Address, header, w)
}

// prefixSource returns the address of an endpoint from which another one may copy
// the request's prefix; empty if there is none.
func (r *run) prefixSource(to catalog.ActiveEndpoint) string {
	source, found := r.h.opts.Gate.PrefixSource(r.req.Service, r.req.Prefix, to, r.req.Route.Allows)
	if !found {
		return ""
	}
	return source.Address
}

// outgoing builds a request that http.Transport does not resend on its own: each
// attempt is counted.
func (r *run) outgoing(address string, header http.Header, w *attemptConn) *http.Request {
	header.Del("Content-Length")
	header.Del("Expect")
	if _, set := header["User-Agent"]; !set {
		header["User-Agent"] = nil // keeps net/http from adding its own
	}
	outgoing := &http.Request{
		Method: r.req.Method, URL: r.req.targetURL(address), Host: r.req.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(r.req.Body)),
		Body:          oncebody.New(r.req.Body),
	}
	var ctx context.Context
	ctx, w.cancel = context.WithCancel(r.ctx)
	return outgoing.WithContext(httptrace.WithClientTrace(ctx, w.trace()))
}

// handleSendError returns the failure of an attempt that got no response and
// releases its permit.
func (r *run) handleSendError(permit *balance.Permit, w *attemptConn, err error) *types.Failure {
	if r.ctx.Err() != nil {
		r.h.opts.Gate.Done(permit, balance.Abandoned)
		if w.connected() {
			r.verdict = r.verdict.Merge(types.MayHaveRun)
		}
		return r.contextFailure(r.verdict)
	}
	if !w.connected() && w.connecting.Aborted() {
		return r.handleWithdrawal(permit)
	}
	if w.expired.Load() && !w.mayHaveArrived() {
		r.reached = false
		r.h.opts.Gate.Done(permit, balance.Abandoned)
		return failureWithCause(types.NotRun, types.CodeUnreachable, "the time to send the request was over", err)
	}
	if !w.connected() {
		r.reached = false
		r.h.opts.Gate.Done(permit, balance.ConnectFailed)
		return failureWithCause(types.NotRun, types.CodeUnreachable, "the endpoint can't be reached", err)
	}
	if !w.mayHaveArrived() {
		// The endpoint has closed an idle connection. It may be tried again.
		r.reached = false
		r.tried = r.tried[:len(r.tried)-1]
		r.h.opts.Gate.Done(permit, balance.Abandoned)
		return failureWithCause(types.NotRun, types.CodeUnreachable, "the endpoint closed an idle connection", err)
	}
	r.verdict = r.verdict.Merge(types.MayHaveRun)
	r.h.opts.Gate.Done(permit, balance.Interrupted)
	r.reportBroken(permit.Endpoint.Endpoint)
	return failureWithCause(types.MayHaveRun, types.CodeEndpointFailed, "the connection to the endpoint broke", err)
}

func failureWithCause(verdict types.Verdict, code types.Code, message string, err error) *types.Failure {
	failure := types.NewFailure(verdict, code, message)
	failure.Cause = err
	return failure
}

// handleResponse checks that the response belongs to the request and relays it.
func (r *run) handleResponse(response *http.Response, w *attemptConn) (*types.Failure, balance.Result) {
	r.answerBegun = true
	info := r.h.opts.Dialect.ResponseInfo(response.StatusCode, response.Header)
	if info.ID != "" && info.ID != r.req.ID {
		return r.rejectResponse(w, errOtherRequest)
	}
	if info.Misdirected {
		return failureWithCause(types.NotRun, types.CodeDraining, "another endpoint has the address", nil), balance.Misdirected
	}
	if info.NotRun {
		return r.endpointRefusal(), balance.Refused
	}
	if isSuccess(response.StatusCode) {
		if err := checkSuccess(response, info); err != nil {
			return r.rejectResponse(w, err)
		}
	}
	if r.req.Route.Kind == catalog.Streaming && isSuccess(response.StatusCode) {
		return r.relayStream(response, w)
	}
	return r.relayBuffered(response, w)
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
func (r *run) relayBuffered(response *http.Response, w *attemptConn) (*types.Failure, balance.Result) {
	body, err := relay.ReadUpTo(response, maxBufferedBytes)
	if err == nil {
		return r.relayLarge(response, body)
	}
	if !errors.Is(err, io.EOF) {
		return r.handleBrokenResponse(err)
	}
	if r.out.committed {
		return r.rejectResponse(w, errUnsigned)
	}
	r.verdict = r.verdict.Merge(types.Ran)
	buffered := &bufferedResponse{response: response, body: body}
	if response.StatusCode >= http.StatusInternalServerError && r.mayRetry() {
		r.fallback, r.status = buffered, response.StatusCode
		r.verdict = types.MayHaveRun
		return failureWithCause(types.MayHaveRun, types.CodeEndpointFailed, "the endpoint failed the request", nil), balance.ServerError
	}
	r.status = response.StatusCode
	buffered.send(r.out)
	if response.StatusCode >= http.StatusInternalServerError {
		return nil, balance.ServerError
	}
	r.reportGotOn()
	return nil, balance.Succeeded
}

// mayRetry reports whether the route and the attempt limit permit another
// attempt after a server error.
func (r *run) mayRetry() bool {
	return r.req.Route.Repeatable() && r.sent < r.req.AttemptLimit
}

// relayLarge relays a response that is too large to be buffered.
func (r *run) relayLarge(response *http.Response, buffered []byte) (*types.Failure, balance.Result) {
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
			r.reportGotOn()
			return nil, balance.Succeeded
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
