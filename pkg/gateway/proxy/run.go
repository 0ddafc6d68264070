package proxy

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/crashes"
	"github.com/flamingomount/flamingomount/pkg/graceful"
	"github.com/flamingomount/flamingomount/pkg/stage/dispatch/outcome"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Limits of retries.
const (
	// maxUnreached bounds the attempts that reached no endpoint.
	maxUnreached = 3
	// maxHops bounds the attempts at other daemons.
	maxHops = 2
)

// minTimeLeft is the least time left for another attempt to be worth sending.
const minTimeLeft = 30 * time.Millisecond

// run is the state of one request across its attempts.
type run struct {
	h   *Handler
	ctx context.Context
	req *Request
	out *responseWriter

	tried []types.EndpointID
	// remoteTried lists the endpoints that other daemons sent the request to.
	remoteTried []types.EndpointID
	// sent counts the attempts that may have reached an endpoint, unreached those
	// that did not; reached tells which of the two the last attempt was.
	sent      int
	unreached int
	reached   bool
	// hops counts the attempts at other daemons that did not refuse because they leave.
	hops int
	// leavingDaemons lists the daemons that refused the request because they leave.
	leavingDaemons []types.VMID
	verdict        types.Verdict
	// lastEvent is the ID of the last event that was sent to the caller.
	lastEvent string
	// traits is set once they are needed; see knownTraits.
	traits crashes.Traits
	// trial is the withheld trait that this request tries; zero if there is none.
	trial crashes.Trait
	// withheldTrait is the trait for which the request was refused; zero if it was not.
	withheldTrait crashes.Trait
	// gotOn is true once the answer of the current attempt has got on, so that the
	// request is not what crashes its endpoint.
	gotOn bool
	// fallback is a complete error response of an endpoint, sent if no further
	// attempt gives a better one.
	fallback *bufferedResponse
	// region is the region of the daemon that the last attempt was forwarded to;
	// empty if it went to an endpoint.
	region types.Region
	// chargedAt is when, in budget time, the attempt that is being sent was taken from the retry
	// budget; zero if it was not. retryReservedAt is the same for the attempt after the
	// current one.
	chargedAt       time.Time
	retryReservedAt atomic.Pointer[time.Time]
	// handover is the next attempt if another daemon has admitted it during the current
	// one; nil if none has. The stall detector's mutex guards it until that is stopped.
	handover *handover
	// retryDenied is true if the retry budget did not permit another attempt.
	retryDenied bool
	// homes lists the endpoints that were tried as homes of the prefix.
	homes  []catalog.ActiveEndpoint
	status int
	// timeToFirstEvent is measured from the arrival of the request; longestGap is
	// the longest pause between two events.
	timeToFirstEvent time.Duration
	longestGap       time.Duration
	// lastEventAt is when the last event was passed on; zero if there was none.
	lastEventAt time.Time
	// waited is the time from arrival until the last attempt was sent.
	waited time.Duration
	// held is for how long this daemon held the request's large prompt.
	held time.Duration
	// complete is when this daemon had received the whole request.
	complete time.Time
	// answerBegun is true once the current attempt got the header of a response.
	answerBegun bool
	// recorded is true once the request was logged, panicked if its handler panicked.
	recorded, panicked bool
}

// loop makes attempts until one succeeds or no further one is permitted.
func (r *run) loop() *types.Failure {
	var lastFailure *types.Failure
	for {
		if failure := r.refuseWithheld(); failure != nil {
			return failure
		}
		dest, failure := r.place(r.snapshot())
		if failure != nil {
			return moreInformative(lastFailure, failure)
		}
		if failure := r.refuseWithheld(); failure != nil {
			r.release(dest)
			return failure
		}
		if failure := r.identifyAgain(); failure != nil && dest.handover == nil {
			r.release(dest)
			return failure
		}
		if dest.handover == nil && !r.charge() {
			r.release(dest)
			return lastFailure
		}
		lastFailure = r.makeAttempt(dest)
		if lastFailure == nil || !r.shouldRetry(lastFailure) {
			return lastFailure
		}
	}
}

// snapshot returns the newest snapshot. Shortly after the start of the daemon it
// waits for one in which the request can run somewhere.
func (r *run) snapshot() *control.Snapshot {
	if r.req.ForwardedBy != "" {
		return r.h.opts.Snapshot()
	}
	return r.h.awaitStartup(r.ctx, r.reachable)
}

// moreInformative returns lastFailure if it is an overload refusal, which knows
// when there will be capacity, and failure only says that no endpoint is left to
// try.
func moreInformative(lastFailure, failure *types.Failure) *types.Failure {
	if lastFailure != nil && lastFailure.Code == types.CodeOverloaded && lastFailure.RetryAfter > 0 && failure.Code == types.CodeNoEndpoint {
		return lastFailure
	}
	return failure
}

// makeAttempt makes one attempt. The daemon that received the request from its
// caller makes all retries and charges them to its retry budget.
func (r *run) makeAttempt(dest destination) *types.Failure {
	r.waited = r.h.opts.Now().Sub(r.req.Arrived)
	r.reached, r.gotOn, r.answerBegun = true, false, false
	r.sent++
	failure, way := r.send(dest)
	if r.reached {
		r.chargedAt = time.Time{}
	} else {
		r.sent--
		r.unreached++
	}
	r.countAttempt(way)
	return failure
}

// send sends the request to a destination. Another daemon sends it to at most one
// endpoint, so that attempts are counted in one place, also after a broken
// connection.
func (r *run) send(dest destination) (*types.Failure, attemptWay) {
	switch {
	case dest.handover != nil:
		return r.completeHandover(dest.handover), toDaemon
	case dest.endpoint == nil:
		return r.forward(dest.member), toDaemon
	}
	r.region = ""
	return r.attemptEndpoint(dest.endpoint), toEndpoint
}

// countAttempt counts the attempt that has just ended.
func (r *run) countAttempt(way attemptWay) {
	kind := repeatedArrival
	switch {
	case !r.reached:
		kind = noArrival
	case r.sent == 1:
		kind = firstArrival
	}
	r.h.opts.Metrics.countAttempt(r.req.Service, kind, way)
}

// shouldRetry decides whether another attempt follows a failed one. An attempt
// that reached no endpoint counts neither towards the attempt limit nor towards the
// budget, but the number of these is limited.
func (r *run) shouldRetry(failure *types.Failure) bool {
	switch {
	case r.ctx.Err() != nil || r.out.writeFailed || r.trial != 0 || failure.Code == types.CodeUnauthenticated:
		return false
	case !outcome.MayRepeat(r.req.Route.Repeatable(), r.verdict):
		return false
	case r.out.committed && !r.canResume():
		return false
	case r.req.Deadline.Sub(r.h.opts.Now()) < minTimeLeft:
		return false
	case !r.reached && r.unreached > maxUnreached:
		return false
	case r.reached && (r.sent >= r.req.AttemptLimit || !failure.Code.Retryable()):
		return false
	}
	return r.affordable()
}

// canResume reports whether an interrupted stream may resume at another endpoint.
func (r *run) canResume() bool {
	return r.req.Route.Resumable && r.lastEvent != ""
}

// finish sends the final response if none was sent and records the outcome.
func (r *run) finish(failure *types.Failure) {
	if plan := r.takeHandover(); plan != nil {
		r.dropHandover(plan)
	}
	r.refundAll()
	if failure != nil && r.fallback != nil && !r.out.committed {
		r.fallback.send(r.out)
		failure = nil
	}
	if failure != nil {
		final := *failure
		final.Verdict = r.verdict.Merge(failure.Verdict)
		r.status = failureStatus(&final)
		r.out.fail(r.req.ID, &final, r.sent)
		failure = &final
	}
	r.record(failure)
}

// record updates the metrics and logs the request.
func (r *run) record(failure *types.Failure) {
	r.recorded = true
	elapsed := r.h.opts.Now().Sub(r.req.Arrived)
	r.h.opts.Metrics.observeRequest(r.req, failure, elapsed)
	fields := logrus.Fields{
		"request": r.req.ID, "route": r.req.Route.Name, "service": r.req.Service, "status": r.status,
		"sent": r.sent, "verdict": r.verdict, "took_ms": elapsed.Milliseconds(), "waited_ms": r.waited.Milliseconds(),
	}
	if view := r.h.opts.Snapshot().View; view.Config != nil {
		fields["config"], fields["revision"] = view.Config.Version, view.AppliedRevision
	}
	r.recordOrganisation(fields)
	if r.req.Route.Objective > 0 {
		fields["objective_ms"] = r.req.Route.Objective.Milliseconds()
	}
	if len(r.tried) > 0 {
		fields["endpoints"] = r.tried
	}
	if len(r.remoteTried) > 0 {
		fields["remote_endpoints"] = r.remoteTried
	}
	if r.held > 0 {
		fields["held_ms"] = r.held.Milliseconds()
	}
	if r.unreached > 0 {
		fields["unreached"] = r.unreached
	}
	if r.withheldTrait != 0 {
		fields["withheld"], fields["withheld_part"] = r.withheldTrait.String(), r.partOf(r.withheldTrait)
	}
	if r.retryDenied {
		fields["retry_denied"] = true
	}
	if r.region != "" {
		fields["region"] = r.region
	}
	if r.req.ForwardedBy != "" {
		fields["from"] = r.req.ForwardedBy
	}
	if failure != nil {
		fields["code"], fields["reason"] = failure.Code, failure.Message
		if failure.Cause != nil {
			fields["cause"] = failure.Cause.Error()
		}
	}
	if r.timeToFirstEvent > 0 {
		fields["first_ms"], fields["gap_ms"] = r.timeToFirstEvent.Milliseconds(), r.longestGap.Milliseconds()
		fields["longest_gap_ms"] = r.req.Route.LongestGap.Milliseconds()
	}
	r.recordEnding(fields, failure)
	r.h.opts.Log.Request(fields, failure != nil || r.incomplete(failure) || r.status >= http.StatusInternalServerError)
}

// contextFailure distinguishes an expired deadline and the end of the grace time of
// this daemon from a caller that disconnected.
func (r *run) contextFailure(verdict types.Verdict) *types.Failure {
	switch {
	case errors.Is(r.ctx.Err(), context.DeadlineExceeded):
		return types.NewFailure(verdict, types.CodeDeadline, "the time allowed is over")
	case errors.Is(context.Cause(r.ctx), graceful.ErrStopping), r.h.stop.cut.Load():
		return types.NewFailure(verdict, types.CodeDraining, "this daemon stops")
	}
	return types.NewFailure(verdict, types.CodeCallerGone, "the caller closed its connection")
}

// refusalFailure converts a refusal of the balancer into a failure.
func refusalFailure(refusal *balance.Refusal) *types.Failure {
	code := types.CodeOverloaded
	switch {
	case refusal.Paused:
		code = types.CodePaused
	case refusal.NoEndpoint:
		code = types.CodeNoEndpoint
	}
	return notRunFailure(code, refusal.Reason, refusal.RetryAfter)
}
