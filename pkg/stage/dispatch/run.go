package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/dispatch/outcome"
	"github.com/flamingomount/flamingomount/pkg/stage/relay"
	"github.com/flamingomount/flamingomount/pkg/stage/retry"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// maxAttempts bounds the attempts of one request, whatever the retrier says.
const maxAttempts = 8

// run is one request on its way through its attempts.
type run struct {
	d      *Dispatcher
	req    *request.Request
	caller *relay.Caller
	// ctx ends with the request's deadline or its caller.
	ctx     context.Context
	tried   []types.EndpointID
	verdict types.Verdict
	summary Summary
	// tokens is how many token events the caller has received.
	tokens int
	// stated is true when the last attempt went to a daemon that stated its
	// verdict.
	stated bool
	resend bool
	// irregular is true when the stream so far can't be resumed at a token.
	irregular bool
	// kind is how the last attempt ended.
	kind Kind
	// version is the version that the stream so far came from.
	version types.ModelVersion
}

// loop makes attempts until one succeeds or none may follow.
func (r *run) loop(ctx context.Context) *types.Failure {
	var last *types.Failure
	for {
		decision, failure := r.route()
		if failure != nil {
			return firstFailure(last, failure)
		}
		entered, failure := r.enter(ctx, decision)
		if failure != nil {
			return failure
		}
		if !entered.allowed {
			continue
		}
		last = r.attempt(ctx, entered.decision, types.Incarnation{})
		entered.leave(r.kind)
		if last == nil {
			return nil
		}
		if !r.again(ctx, last) {
			return last
		}
	}
}

// firstFailure keeps the endpoint's failure when the router has nothing left
// to offer after it.
func firstFailure(last, routing *types.Failure) *types.Failure {
	if last != nil {
		return last
	}
	return routing
}

func (r *run) route() (route.Decision, *types.Failure) {
	view := r.d.opts.Snapshot()
	if failure := r.refresh(view); failure != nil {
		return route.Decision{}, failure
	}
	req := r.req
	if r.tokens > 0 && req.Version != r.version {
		pinned := *req
		pinned.Version = r.version
		req = &pinned
	}
	return r.d.opts.Router.Route(route.Input{
		Request:  req,
		Snapshot: view,
		Tried:    r.tried,
		Now:      r.d.opts.Now(),
		Rand:     r.d.opts.Rand,
	})
}

// refresh makes the request follow the configuration in force, which may have
// changed while it waited: a region that was taken away is not used any more.
func (r *run) refresh(view *snapshot.Snapshot) *types.Failure {
	if view.Config == nil || view.Config.Services[r.req.Service.Name] == r.req.Service {
		return nil
	}
	service, known := view.Config.Services[r.req.Service.Name]
	if !known || service.Kind != r.req.Service.Kind {
		return types.NewFailure(types.NotRun, types.CodeUnknownService, "the service is not published any more")
	}
	org, known := view.Config.Orgs[r.req.Org.Name]
	if !known {
		return types.NewFailure(types.NotRun, types.CodeForbidden, "the organisation is not published any more")
	}
	current := *r.req
	current.Service, current.Org = service, org
	r.req = &current
	return nil
}

// attempt makes one attempt and relays its answer.
func (r *run) attempt(ctx context.Context, decision route.Decision, owner types.Incarnation) *types.Failure {
	a := newAttempt(r, decision)
	a.owner = owner
	r.note(a)
	failure := a.do(ctx)
	r.kind = a.kind
	r.verdict = r.verdict.Merge(a.verdict())
	r.stated = a.evidence.PeerStated
	r.tokens += a.tokens
	r.irregular = r.irregular || a.irregular
	r.noteFirst(a)
	r.summary.Tokens = r.tokens
	if a.tokens > 0 {
		r.version = a.version()
	}
	return failure
}

func (r *run) note(a *attempt) {
	r.summary.Attempts++
	r.summary.Attempt = a.id
	r.summary.Region = a.region
	r.summary.Endpoint = ""
	if a.endpoint != nil {
		r.summary.Endpoint = a.endpoint.ID
		r.tried = append(r.tried, a.endpoint.ID)
	}
}

// again decides whether another attempt follows and waits until it is due.
func (r *run) again(ctx context.Context, failure *types.Failure) bool {
	if ctx.Err() != nil || r.caller.Broken() || r.d.opts.Retrier == nil {
		return false
	}
	if r.summary.Attempts >= maxAttempts || !outcome.MayRepeat(r.req.Repeatable, r.verdict) {
		return false
	}
	if r.caller.Committed() && (r.tokens == 0 || r.irregular) {
		return false
	}
	decision := r.d.opts.Retrier.Decide(retry.Input{
		Request:  r.req,
		Failure:  failure,
		History:  r.verdict,
		Attempts: r.summary.Attempts,
		Resend:   r.resend,
		Now:      r.d.opts.Now(),
		Rand:     r.d.opts.Rand,
	})
	return decision.Again && wait(ctx, decision.Delay)
}

// offer credits the retry budget with the request.
func (r *run) offer() {
	config := r.d.opts.Snapshot().Config
	if r.d.opts.Retrier != nil && config != nil {
		r.resend = r.d.opts.Retrier.RecordRequest(r.req, config.Policy.RetryBudget, r.d.opts.Now())
	}
}

// noteFirst keeps the time of the first byte that reached the caller.
func (r *run) noteFirst(a *attempt) {
	if r.summary.FirstByte.IsZero() && r.caller.Committed() {
		r.summary.FirstByte = a.begun
	}
}

// wait waits and reports whether ctx is still alive.
func wait(ctx context.Context, delay time.Duration) bool {
	if delay <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// finish tells the caller of a failure, with the verdict of the whole history.
func (r *run) finish(failure *types.Failure) Summary {
	summary := r.summary
	summary.Verdict = r.verdict
	if failure == nil {
		return summary
	}
	final := *failure
	final.Verdict = r.verdict.Merge(failure.Verdict)
	summary.Verdict = final.Verdict
	summary.Failure = &final
	if r.d.opts.Retrier != nil {
		r.d.opts.Retrier.RecordFailure(r.req, r.d.opts.Now())
	}
	r.caller.Fail(&final)
	return summary
}

// contextFailure tells a passed deadline from a caller that went away.
func contextFailure(ctx context.Context, verdict types.Verdict) *types.Failure {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return types.NewFailure(verdict, types.CodeDeadline, "the deadline passed before the answer was complete")
	}
	return types.NewFailure(verdict, types.CodeCallerGone, "the caller closed its connection")
}

// count keeps the daemon's own counters of an endpoint.
func count(endpoint *snapshot.Endpoint) func() {
	if endpoint == nil || endpoint.Counters == nil {
		return func() {}
	}
	counters := endpoint.Counters
	counters.InFlight.Add(1)
	counters.Sent.Add(1)
	return func() {
		counters.InFlight.Add(-1)
		counters.Done.Add(1)
	}
}
