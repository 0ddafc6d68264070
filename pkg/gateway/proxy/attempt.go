package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/oncebody"
	"github.com/flamingomount/flamingomount/pkg/stage/relay"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Reasons why an endpoint's answer is discarded.
var (
	errOtherRequest = errors.New("the answer belongs to another request")
	errUnsealed     = errors.New("the answer carries no signature")
	errEncoded      = errors.New("the answer is encoded, which was not asked for")
)

// wire is the connection of one attempt, as far as it is known.
type wire struct {
	conn atomic.Pointer[net.Conn]
	// cancel ends the attempt alone: unlike closing the connection it can't hit
	// another request when the answer has just ended.
	cancel context.CancelFunc
}

func (w *wire) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { w.conn.Store(&info.Conn) }}
}

// connected reports whether bytes may have been written.
func (w *wire) connected() bool {
	return w.conn.Load() != nil
}

// drop closes the connection, so that nothing still on its way over it is taken
// for another answer.
func (w *wire) drop() {
	if conn := w.conn.Load(); conn != nil {
		// Closing twice is harmless, and the transport notices by itself.
		_ = (*conn).Close()
	}
}

// attempt sends the request to an endpoint and relays its answer.
func (r *run) attempt(place *balance.Permit) *types.Failure {
	r.tried = append(r.tried, place.Endpoint.ID)
	r.out.endpoint = place.Endpoint.ID
	// A panic must not keep the place; otherwise it is freed before.
	defer r.h.opts.Gate.Done(place, balance.Abandoned)
	var w wire
	outgoing := r.endpointRequest(place, &w)
	defer w.cancel()
	response, err := r.h.opts.Transport.RoundTrip(outgoing)
	if err != nil {
		return r.unanswered(place, &w, err)
	}
	defer closeBody(response)
	r.h.opts.Gate.ResponseStarted(place)
	failure, result := r.judge(response, &w)
	r.h.opts.Gate.Done(place, result)
	if result == balance.Interrupted {
		r.crashed()
	}
	return failure
}

// closeBody ends reading; what was not read closes the connection.
func closeBody(response *http.Response) {
	_ = response.Body.Close()
}

// endpointRequest builds the request for an endpoint.
func (r *run) endpointRequest(place *balance.Permit, w *wire) *http.Request {
	header := r.req.Header.Clone()
	attempt := Attempt{Endpoint: place.Endpoint.ID, Rank: r.req.Route.Rank, ModelEngine: r.req.ModelEngine, ResumeAfter: r.req.ResumeAfter}
	if r.lastEvent != "" {
		attempt.ResumeAfter = r.lastEvent
	}
	if !r.req.CallerDeadline.IsZero() {
		attempt.TimeLeft = max(r.req.Deadline.Sub(r.h.opts.Now()), 1)
	}
	r.h.opts.Dialect.Attempt(header, attempt)
	return r.outgoing(place.Endpoint.Address, header, w)
}

// outgoing builds a request that http.Transport does not send twice by itself,
// unless its kind allows that.
func (r *run) outgoing(address string, header http.Header, w *wire) *http.Request {
	header.Del("Content-Length")
	header.Del("Expect")
	if _, set := header["User-Agent"]; !set {
		header["User-Agent"] = nil // keeps net/http from adding its own
	}
	outgoing := &http.Request{
		Method: r.req.Method, URL: r.req.target(address), Host: r.req.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(r.req.Body)),
	}
	if len(r.req.Body) > 0 || r.req.Route.Kind != catalog.Idempotent {
		outgoing.Body = oncebody.New(r.req.Body)
	}
	var ctx context.Context
	ctx, w.cancel = context.WithCancel(r.ctx)
	return outgoing.WithContext(httptrace.WithClientTrace(ctx, w.trace()))
}

// unanswered judges an attempt without an answer.
func (r *run) unanswered(place *balance.Permit, w *wire, err error) *types.Failure {
	if r.ctx.Err() != nil {
		r.h.opts.Gate.Done(place, balance.Abandoned)
		if w.connected() {
			r.verdict = r.verdict.Merge(types.MayHaveRun)
		}
		return r.timeUp(r.verdict)
	}
	if !w.connected() {
		r.reached = false
		r.h.opts.Gate.Done(place, balance.ConnectFailed)
		return caused(types.NotRun, types.CodeUnreachable, "the endpoint can't be reached", err)
	}
	r.verdict = r.verdict.Merge(types.MayHaveRun)
	r.h.opts.Gate.Done(place, balance.Interrupted)
	r.crashed()
	return caused(types.MayHaveRun, types.CodeEndpointFailed, "the connection to the endpoint broke", err)
}

func caused(verdict types.Verdict, code types.Code, message string, err error) *types.Failure {
	failure := types.NewFailure(verdict, code, message)
	failure.Cause = err
	return failure
}

// crashed reports that an endpoint broke off while it ran the request.
func (r *run) crashed() {
	r.h.opts.Reporter.ReportCrash(r.req.fingerprint(), string(r.req.ID)+"/"+string(r.tried[len(r.tried)-1]))
}

// judge checks that the answer belongs to the request and relays it.
func (r *run) judge(response *http.Response, w *wire) (*types.Failure, balance.Result) {
	answer := r.h.opts.Dialect.ResponseInfo(response.StatusCode, response.Header)
	if answer.ID != "" && answer.ID != r.req.ID {
		return r.invalid(w, errOtherRequest)
	}
	if answer.Misdirected {
		return caused(types.NotRun, types.CodeDraining, "another endpoint has the address", nil), balance.Misdirected
	}
	if answer.NotRun {
		return notRun(types.CodeOverloaded, "the endpoint has no room", refusedRetry), balance.Refused
	}
	if isSuccess(response.StatusCode) {
		if err := checkSuccess(response, answer); err != nil {
			return r.invalid(w, err)
		}
	}
	if r.req.Route.Kind == catalog.Streaming && isSuccess(response.StatusCode) {
		return r.stream(response, w)
	}
	return r.whole(response, w)
}

// refusedRetry is the advice when an endpoint had no room.
const refusedRetry = 2 * notReadyRetry / 5

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

func checkSuccess(response *http.Response, answer ResponseInfo) error {
	switch {
	case answer.ID == "":
		return errOtherRequest
	case !answer.Signed:
		return errUnsealed
	case response.Header.Get("Content-Encoding") != "":
		return errEncoded
	}
	return nil
}

// invalid discards an answer and its connection.
func (r *run) invalid(w *wire, err error) (*types.Failure, balance.Result) {
	w.drop()
	r.verdict = r.verdict.Merge(types.MayHaveRun)
	return caused(types.MayHaveRun, types.CodeAnswerIncomplete, "the endpoint's answer is not valid", err), balance.Invalid
}

// heldAnswer is a whole answer that was not sent yet.
type heldAnswer struct {
	response *http.Response
	body     []byte
}

func (a *heldAnswer) send(out *caller) {
	length := int64(len(a.body))
	if len(a.body) == 0 && a.response.ContentLength > 0 {
		length = a.response.ContentLength // the answer to HEAD
	}
	out.begin(a.response, length)
	out.write(a.body)
}

// whole reads an answer to its end before it sends any of it.
func (r *run) whole(response *http.Response, w *wire) (*types.Failure, balance.Result) {
	body, err := relay.ReadUpTo(response, maxWholeBytes)
	if err == nil {
		return r.large(response, body)
	}
	if !errors.Is(err, io.EOF) {
		return r.brokeOff(w, err)
	}
	if r.out.committed {
		return r.invalid(w, errUnsealed)
	}
	r.verdict = r.verdict.Merge(types.Ran)
	held := &heldAnswer{response: response, body: body}
	if response.StatusCode >= http.StatusInternalServerError && r.mayImprove() {
		r.last, r.status = held, response.StatusCode
		r.verdict = types.MayHaveRun
		return caused(types.MayHaveRun, types.CodeEndpointFailed, "the endpoint failed the request", nil), balance.ServerError
	}
	r.status = response.StatusCode
	held.send(r.out)
	if response.StatusCode >= http.StatusInternalServerError {
		return nil, balance.ServerError
	}
	r.completed()
	return nil, balance.Succeeded
}

// mayImprove reports whether another endpoint may be asked after a failure.
func (r *run) mayImprove() bool {
	return r.req.Route.Repeatable() && r.sent < r.req.AttemptLimit
}

// large relays an answer that is too large to be held.
func (r *run) large(response *http.Response, held []byte) (*types.Failure, balance.Result) {
	r.status = response.StatusCode
	r.out.begin(response, response.ContentLength)
	if !r.out.write(held) {
		return r.timeUp(types.MayHaveRun), balance.Abandoned
	}
	piece := make([]byte, 32<<10)
	for {
		n, err := response.Body.Read(piece)
		if !r.out.write(piece[:n]) {
			return types.NewFailure(types.MayHaveRun, types.CodeCallerGone, "the caller stopped reading"), balance.Abandoned
		}
		if errors.Is(err, io.EOF) {
			r.verdict = types.Ran
			r.completed()
			return nil, balance.Succeeded
		}
		if err != nil {
			return caused(types.MayHaveRun, types.CodeAnswerIncomplete, "the endpoint broke off its answer", err), balance.Interrupted
		}
	}
}

// brokeOff judges an answer that ended early.
func (r *run) brokeOff(w *wire, err error) (*types.Failure, balance.Result) {
	r.verdict = r.verdict.Merge(types.MayHaveRun)
	w.drop()
	if r.ctx.Err() != nil {
		return r.timeUp(types.MayHaveRun), balance.Abandoned
	}
	return caused(types.MayHaveRun, types.CodeAnswerIncomplete, "the endpoint broke off its answer", err), balance.Interrupted
}

// completed clears a content that was suspected of crashing endpoints.
func (r *run) completed() {
	if r.suspect != [len(r.suspect)]byte{} {
		r.h.opts.Reporter.ReportCompletion(r.suspect)
	}
}
