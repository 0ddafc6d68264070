// Package dispatch runs a request: it asks the router for an endpoint, makes an
// attempt there, determines its verdict, and retries where that is safe and
// allowed.
package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/relay"
	"github.com/flamingomount/flamingomount/pkg/stage/retry"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Retrier decides whether a failed attempt is retried. It is consulted only
// when repeating the request is safe. *retry.Policy implements it. Safe for
// concurrent use.
type Retrier interface {
	// RecordRequest credits the retry budget with a request and reports
	// whether the caller is resending it. The share is the published retry
	// budget.
	RecordRequest(req *request.Request, share float64, now time.Time) (resend bool)
	// Decide returns whether to retry after a failed attempt, and when.
	Decide(in retry.Input) retry.Decision
	// RecordFailure records that the caller received a failure for the
	// request.
	RecordFailure(req *request.Request, now time.Time)
}

var _ Retrier = (*retry.Policy)(nil)

// Observer is notified of attempts. Its methods are called from the request's
// goroutine and must not block. Safe for concurrent use.
type Observer interface {
	// AttemptStarted is called before the attempt obtains a connection.
	AttemptStarted(req *request.Request, endpoint *snapshot.Endpoint)
	// AttemptEnded is called once for each started attempt.
	AttemptEnded(report Report)
}

// Destination identifies another daemon: any daemon of a region, or one
// incarnation.
type Destination struct {
	Region types.Region
	// Owner is set when only this incarnation may take the request.
	Owner types.Incarnation
}

// Forwarder builds requests to other daemons.
type Forwarder interface {
	// Prepare returns the request to the destination, without its body. Its
	// failures have the verdict NotRun.
	Prepare(ctx context.Context, req *request.Request, to Destination) (*http.Request, *types.Failure)
}

// rerouteDelay is the wait before routing again when the isolator assigns the
// request to an endpoint that this daemon can't use.
const rerouteDelay = 100 * time.Millisecond

// Options configures a Dispatcher.
type Options struct {
	Router   route.Router
	Snapshot func() *snapshot.Snapshot
	// Retrier may be nil: then no attempt is retried.
	Retrier Retrier
	// Observer may be nil.
	Observer Observer
	// Isolator may be nil: then requests run without isolation.
	Isolator Isolator
	// Forwarder may be nil: then no request is sent to another daemon.
	Forwarder Forwarder
	// Transport runs attempts of repeatable requests; nil means
	// NewTransport(false).
	Transport http.RoundTripper
	// FreshTransport runs attempts of non-repeatable requests, each on a new
	// connection; nil means NewTransport(true).
	FreshTransport http.RoundTripper
	// PeerTransport and FreshPeerTransport run attempts at other daemons; nil
	// means Transport and FreshTransport.
	PeerTransport      http.RoundTripper
	FreshPeerTransport http.RoundTripper
	Limits             relay.Limits
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Rand must be safe for concurrent use.
	Rand route.Rand
}

// Dispatcher runs requests. It is safe for concurrent use.
type Dispatcher struct {
	opts Options
}

// New returns a dispatcher that uses default values for unset options.
func New(opts Options) *Dispatcher {
	if opts.Transport == nil {
		opts.Transport = NewTransport(false)
	}
	if opts.FreshTransport == nil {
		opts.FreshTransport = NewTransport(true)
	}
	if opts.PeerTransport == nil {
		opts.PeerTransport = opts.Transport
	}
	if opts.FreshPeerTransport == nil {
		opts.FreshPeerTransport = opts.FreshTransport
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	opts.Limits = opts.Limits.WithDefaults()
	return &Dispatcher{opts: opts}
}

// Summary describes how a request ended.
type Summary struct {
	Verdict  types.Verdict
	Attempts int
	// Endpoint is the endpoint of the last attempt; empty if there was none.
	Endpoint types.EndpointID
	// Region is the region of the last attempt.
	Region types.Region
	// Attempt is the ID of the last attempt.
	Attempt types.AttemptID
	// FirstToken is when the first token of a stream was relayed to the caller,
	// or when the headers of another response that was relayed arrived; zero when
	// there was none.
	FirstToken time.Time
	// Tokens is the number of token events relayed to the caller.
	Tokens int
	// Failure is nil when the complete response was relayed.
	Failure *types.Failure
}

// Run runs the request and writes its response or its failure to the caller. It
// returns after the last byte is written.
func (d *Dispatcher) Run(ctx context.Context, req *request.Request, caller *relay.Caller) Summary {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	run := &run{d: d, req: req, caller: caller, ctx: ctx}
	run.recordRequest()
	return run.finish(run.loop(ctx))
}

// ForwardToRegion makes one attempt at a daemon of another region. Served is
// false when the request did not run there and nothing was written to the
// caller, so that it can still run in this region.
func (d *Dispatcher) ForwardToRegion(ctx context.Context, req *request.Request, region types.Region, caller *relay.Caller) (summary Summary, served bool) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	run := &run{d: d, req: req, caller: caller, ctx: ctx}
	failure := run.attempt(ctx, route.Decision{Region: region}, types.Incarnation{})
	if failure != nil && run.verdict == types.NotRun && !caller.Committed() && ctx.Err() == nil {
		return run.summary, false
	}
	return run.finish(failure), true
}

// Forward sends the request once, to the only incarnation that may run it. When
// the owner states no verdict, for example because it is unreachable, MayHaveRun
// is merged into the verdict: the request may have reached it earlier by another
// path.
func (d *Dispatcher) Forward(ctx context.Context, req *request.Request, owner types.Incarnation, caller *relay.Caller) Summary {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	run := &run{d: d, req: req, caller: caller, ctx: ctx}
	failure := run.attempt(ctx, route.Decision{}, owner)
	if failure != nil && !run.hasPeerVerdict {
		run.verdict = run.verdict.Merge(types.MayHaveRun)
	}
	return run.finish(failure)
}
