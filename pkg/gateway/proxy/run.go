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
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/stage/dispatch/outcome"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Limits of further attempts.
const (
	// maxMissed bounds the attempts that reached no endpoint.
	maxMissed = 3
	// maxHops bounds the attempts at other daemons.
	maxHops = 2
)

// minTimeLeft is the least time left for another attempt to be worth sending.
const minTimeLeft = 30 * time.Millisecond

// run is one request on its way through its attempts.
type run struct {
	h   *Handler
	ctx context.Context
	req *Request
	out *caller

	tried []types.EndpointID
	// asked lists the endpoints that other daemons sent the request to.
	asked []types.EndpointID
	// sent counts the attempts that may have reached an endpoint, missed those
	// that did not; reached tells of the last one.
	sent    int
	missed  int
	reached bool
	// hops counts the attempts at other daemons.
	hops    int
	verdict types.Verdict
	// lastEvent is the ID of the last event that the caller has.
	lastEvent string
	// suspect is the content's fingerprint if an endpoint crashed on it before.
	suspect     request.Fingerprint
	quarantined bool
	// last is an endpoint's failed but whole answer, kept in case no further
	// attempt does better.
	last *heldAnswer
	// region is where the other daemon of the last attempt is; empty when it
	// went to an endpoint.
	region types.Region
	// paid is true when the next attempt is already taken from the budget.
	paid atomic.Bool
	// homes lists the endpoints that were asked as homes of the prefix.
	homes  []catalog.ActiveEndpoint
	status int
	// firstEvent is when the first event of a stream was sent, longestGap the
	// longest pause between two events.
	firstEvent time.Duration
	longestGap time.Duration
	// waited is the time spent before the last attempt was sent.
	waited time.Duration
}

// checkSuspect looks whether the content is known to crash endpoints.
func (r *run) checkSuspect(snap *control.Snapshot) {
	if len(snap.Suspects) == 0 {
		return
	}
	content := r.req.fingerprint()
	quarantined, known := snap.Suspects[content]
	if known {
		r.suspect, r.quarantined = content, quarantined
	}
}

// loop makes attempts until one succeeds or none may follow.
func (r *run) loop() *types.Failure {
	if r.quarantined {
		return notRun(types.CodeQuarantined, "this content crashed several endpoints", 0)
	}
	var last *types.Failure
	for {
		where, failure := r.place(r.h.opts.Snapshot())
		if failure != nil {
			return moreTelling(last, failure)
		}
		last = r.try(where)
		if last == nil || !r.again(last) {
			return last
		}
	}
}

// moreTelling prefers the refusal of an attempt, which knows when there will be
// room, to the lack of another place to try.
func moreTelling(last, failure *types.Failure) *types.Failure {
	if last != nil && last.Code == types.CodeOverloaded && last.RetryAfter > 0 && failure.Code == types.CodeNoEndpoint {
		return last
	}
	return failure
}

// try makes one attempt. The daemon that took the request from its caller makes
// every repeat and credits the retry budget, so that a request counts once.
func (r *run) try(where destination) *types.Failure {
	r.waited = r.h.opts.Now().Sub(r.req.Arrived)
	r.reached = true
	if r.sent == 0 && r.missed == 0 && r.req.ForwardedBy == "" {
		r.h.opts.RetryBudgets.RecordRequest(r.req.Service, r.h.opts.Now())
	}
	if where.endpoint == nil {
		return r.tryElsewhere(where.member)
	}
	r.region = ""
	r.sent++
	failure := r.attempt(where.endpoint)
	if !r.reached {
		r.sent--
		r.missed++
	}
	return failure
}

// tryElsewhere makes an attempt at another daemon, which sends the request to one
// endpoint at most: so attempts are counted in one place, also after a broken
// connection.
func (r *run) tryElsewhere(member members.Member) *types.Failure {
	r.sent++
	failure := r.forward(member)
	if !r.reached {
		r.sent--
		r.missed++
	}
	return failure
}

// again decides whether another attempt follows a failed one. An attempt that
// reached no endpoint costs nothing, but there are few of them.
func (r *run) again(failure *types.Failure) bool {
	switch {
	case r.ctx.Err() != nil || r.out.gone:
		return false
	case !outcome.MayRepeat(r.req.Route.Repeatable(), r.verdict):
		return false
	case r.out.committed && !r.canResume():
		return false
	case r.req.Deadline.Sub(r.h.opts.Now()) < minTimeLeft:
		return false
	case !r.reached:
		return r.missed <= maxMissed
	case r.sent >= r.req.AttemptLimit || !failure.Code.Retryable():
		return false
	}
	return r.paid.CompareAndSwap(true, false) || r.h.opts.RetryBudgets.Allow(r.req.Service, r.h.opts.Now())
}

// canResume reports whether a stream that broke off may go on elsewhere.
func (r *run) canResume() bool {
	return r.req.Route.Resumable && r.lastEvent != ""
}

// finish answers what is still unanswered and notes how the request ended.
func (r *run) finish(failure *types.Failure) {
	if failure != nil && r.last != nil && !r.out.committed {
		r.last.send(r.out)
		failure = nil
	}
	if failure != nil {
		final := *failure
		final.Verdict = r.verdict.Merge(failure.Verdict)
		r.status = failureStatus(&final)
		r.out.fail(r.req.ID, &final)
		failure = &final
	}
	r.record(failure)
}

// record counts the request and logs it.
func (r *run) record(failure *types.Failure) {
	took := r.h.opts.Now().Sub(r.req.Arrived)
	r.h.opts.Metrics.finished(r.req, failure, took)
	fields := logrus.Fields{
		"request": r.req.ID, "route": r.req.Route.Name, "service": r.req.Service, "status": r.status,
		"sent": r.sent, "verdict": r.verdict, "took_ms": took.Milliseconds(), "waited_ms": r.waited.Milliseconds(),
	}
	if view := r.h.opts.Snapshot().View; view.Config != nil {
		fields["config"], fields["revision"] = view.Config.Version, view.AppliedRevision
	}
	if len(r.tried) > 0 {
		fields["endpoints"] = r.tried
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
	if r.firstEvent > 0 {
		fields["first_ms"], fields["gap_ms"] = r.firstEvent.Milliseconds(), r.longestGap.Milliseconds()
	}
	r.h.opts.Log.Request(fields, failure != nil || r.status >= http.StatusInternalServerError)
}

// timeUp tells a passed deadline from a caller that left.
func (r *run) timeUp(verdict types.Verdict) *types.Failure {
	if errors.Is(r.ctx.Err(), context.DeadlineExceeded) {
		return types.NewFailure(verdict, types.CodeDeadline, "the time allowed is over")
	}
	return types.NewFailure(verdict, types.CodeCallerGone, "the caller closed its connection")
}

// refusalFailure turns a refusal of the balancer into a failure.
func refusalFailure(refusal *balance.Refusal) *types.Failure {
	code := types.CodeOverloaded
	if refusal.NoEndpoint {
		code = types.CodeNoEndpoint
	}
	return notRun(code, refusal.Reason, refusal.RetryAfter)
}
