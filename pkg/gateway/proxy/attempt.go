package proxy

import (
	"context"
	"net/http"
	"net/http/httptrace"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/oncebody"
	"github.com/flamingomount/flamingomount/pkg/types"
)

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
	defer w.limit(earliest(earliest(r.h.inBudgetTime(permit.Endpoint.LastRequestAt), r.arriveBy()), r.usableBy()), r.h.budgetTime)()
	response, err := r.roundTrip(outgoing, permit, &w)
	if err != nil {
		return r.handleSendError(permit, &w, err)
	}
	defer closeBody(response)
	r.noteResponse(permit, response)
	if isSuccess(response.StatusCode) {
		r.h.opts.Gate.ResponseStarted(permit)
		r.h.opts.Metrics.observePrediction(r.req.Service, permit.Prediction(), r.h.opts.Now().Sub(permit.GrantedAt()))
	} else {
		r.h.opts.Gate.ResponseFailed(permit)
	}
	failure, result := r.handleResponse(response, &w)
	permit.SetPace(w.pace.result())
	r.h.opts.Gate.Done(permit, result)
	if result == balance.Interrupted {
		r.reportBroken(permit.Endpoint.Endpoint)
	}
	return failure
}

// endpointRequest builds the request for one attempt at an endpoint.
func (r *run) endpointRequest(permit *balance.Permit, w *attemptConn) *http.Request {
	header := r.outgoingHeader()
	attempt := Attempt{Endpoint: permit.Endpoint.ID, Rank: r.req.Route.Rank, ModelEngine: r.req.ModelEngine, ResumeAfter: r.req.ResumeAfter}
	if config := r.h.opts.Snapshot().View.Config; r.req.Identified && config != nil {
		attempt.Rank, attempt.Ranks = config.Urgency(r.req.Organisation, r.req.Route)
	}
	attempt.Organisation = r.req.Organisation.NameOf()
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
	source, found := r.h.opts.Gate.PrefixSource(r.req.Service, r.req.Prefix, to, r.req.allows)
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
	if !w.connected() && w.connecting.Limited() {
		return r.handleLimit(permit)
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
