package dispatch

import (
	"context"
	"errors"

	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/sleep"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/dispatch/outcome"
	"github.com/flamingomount/flamingomount/pkg/stage/relay"
	"github.com/flamingomount/flamingomount/pkg/stage/retry"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// maxAttempts limits the attempts of one request, whatever the retrier decides.
const maxAttempts = 8

// run is the state of one request across its attempts.
type run struct {
	d      *Dispatcher
	req    *request.Request
	caller *relay.Caller
	// ctx ends when the request's deadline passes or its caller goes away.
	ctx     context.Context
	tried   []types.EndpointID
	verdict types.Verdict
	summary Summary
	// tokens is the number of token events relayed to the caller.
	tokens int
	// hasPeerVerdict is true when the last attempt went to another daemon and
	// that daemon stated a verdict.
	hasPeerVerdict bool
	resend         bool
	// unresumable is true when the stream relayed so far can't be resumed at a
	// token offset.
	unresumable bool
	// kind is how the last attempt ended.
	kind Kind
	// version is the model version that produced the stream relayed so far.
	version types.ModelVersion
}

// loop makes attempts until one succeeds or no further attempt is allowed.
func (r *run) loop(ctx context.Context) *types.Failure {
	var attemptFailure *types.Failure
	for {
		decision, failure := r.route()
		if failure != nil {
			return preferAttemptFailure(attemptFailure, failure)
		}
		permitted, failure := r.acquirePermit(ctx, decision)
		if failure != nil {
			return failure
		}
		if !permitted.allowed {
			continue
		}
		attemptFailure = r.attempt(ctx, permitted.decision, types.Incarnation{})
		permitted.releasePermit(r.kind)
		if attemptFailure == nil {
			return nil
		}
		if !r.shouldRetry(ctx, attemptFailure) {
			return attemptFailure
		}
	}
}

// preferAttemptFailure returns the failure of the last attempt, or the router's
// if there was no attempt: the caller learns what failed rather than that no
// endpoint remains.
func preferAttemptFailure(attemptFailure, routingFailure *types.Failure) *types.Failure {
	if attemptFailure != nil {
		return attemptFailure
	}
	return routingFailure
}

// route asks the router for the next destination. A stream that has begun is
// resumed only on the model version that it began with.
func (r *run) route() (route.Decision, *types.Failure) {
	view := r.d.opts.Snapshot()
	if failure := r.applyCurrentConfig(view); failure != nil {
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

// applyCurrentConfig updates the request to the configuration in force, which
// may have changed while the request waited. For example, a region that the
// service may no longer use must not receive it.
func (r *run) applyCurrentConfig(view *snapshot.Snapshot) *types.Failure {
	if view.Config == nil || view.Config.Services[r.req.Service.Name] == r.req.Service {
		return nil
	}
	service, found := view.Config.Services[r.req.Service.Name]
	if !found || service.Kind != r.req.Service.Kind {
		return types.NewFailure(types.NotRun, types.CodeUnknownService, "the service is not published any more")
	}
	org, found := view.Config.Orgs[r.req.Org.Name]
	if !found {
		return types.NewFailure(types.NotRun, types.CodeForbidden, "the organisation is not published any more")
	}
	current := *r.req
	current.Service, current.Org = service, org
	r.req = &current
	return nil
}

// attempt makes one attempt, relays its response, and merges its outcome into
// the run.
func (r *run) attempt(ctx context.Context, decision route.Decision, owner types.Incarnation) *types.Failure {
	a := newAttempt(r, decision)
	a.owner = owner
	r.recordAttempt(a)
	failure := a.do(ctx)
	r.kind = a.kind
	r.verdict = r.verdict.Merge(a.verdict())
	r.hasPeerVerdict = a.evidence.PeerStated
	r.tokens += a.tokens
	r.unresumable = r.unresumable || a.unresumable
	r.recordFirstToken(a)
	r.summary.Tokens = r.tokens
	if a.tokens > 0 {
		r.version = a.version()
	}
	return failure
}

// recordAttempt adds a started attempt to the summary and its endpoint to the
// tried ones.
func (r *run) recordAttempt(a *attempt) {
	r.summary.Attempts++
	r.summary.Attempt = a.id
	r.summary.Region = a.region
	r.summary.Endpoint = ""
	if a.endpoint != nil {
		r.summary.Endpoint = a.endpoint.ID
		r.tried = append(r.tried, a.endpoint.ID)
	}
}

// shouldRetry decides whether another attempt follows and waits for its backoff
// delay.
func (r *run) shouldRetry(ctx context.Context, failure *types.Failure) bool {
	if ctx.Err() != nil || r.caller.Broken() || r.d.opts.Retrier == nil {
		return false
	}
	if r.summary.Attempts >= maxAttempts || !outcome.MayRepeat(r.req.Repeatable, r.verdict) {
		return false
	}
	if r.caller.Committed() && (r.tokens == 0 || r.unresumable) {
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
	return decision.ShouldRetry && sleep.For(ctx, decision.Delay)
}

// recordRequest credits the retry budget with the request.
func (r *run) recordRequest() {
	config := r.d.opts.Snapshot().Config
	if r.d.opts.Retrier != nil && config != nil {
		r.resend = r.d.opts.Retrier.RecordRequest(r.req, config.Policy.RetryBudget, r.d.opts.Now())
	}
}

// recordFirstToken records when the first response that reached the caller gave
// its first token.
func (r *run) recordFirstToken(a *attempt) {
	if r.summary.FirstToken.IsZero() && r.caller.Committed() {
		r.summary.FirstToken = a.answeredAt()
	}
}

// finish reports a failure to the caller, with the verdict merged over all
// attempts, and returns the summary.
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

// contextFailure distinguishes a passed deadline from a caller that
// disconnected.
func contextFailure(ctx context.Context, verdict types.Verdict) *types.Failure {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return types.NewFailure(verdict, types.CodeDeadline, "the deadline passed before the answer was complete")
	}
	return types.NewFailure(verdict, types.CodeCallerGone, "the caller closed its connection")
}

// countInFlight counts the start of an attempt in this daemon's counters of the
// endpoint. The returned function counts its end.
func countInFlight(endpoint *snapshot.Endpoint) func() {
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
