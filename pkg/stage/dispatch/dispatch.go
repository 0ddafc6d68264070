// Package dispatch runs a request: it asks the router for an endpoint, makes an
// attempt there, judges it, and tries again where that is safe and allowed.
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

// Retrier decides whether a failed attempt is followed by another one. It is
// asked only when repeating the request is safe. *retry.Policy implements it.
// Safe for concurrent use.
type Retrier interface {
	// RecordRequest credits the retry budget with a request and reports whether the
	// request is a resend; share is the published retry budget.
	RecordRequest(req *request.Request, share float64, now time.Time) (resend bool)
	// Decide decides on a failed attempt.
	Decide(in retry.Input) retry.Decision
	// RecordFailure notes that the caller was told of a failure.
	RecordFailure(req *request.Request, now time.Time)
}

var _ Retrier = (*retry.Policy)(nil)

// Observer learns what happened to attempts. Its methods are called from the
// request's goroutine and must not block. Safe for concurrent use.
type Observer interface {
	// AttemptStarted is called before a connection is sought.
	AttemptStarted(req *request.Request, endpoint *snapshot.Endpoint)
	// AttemptEnded is called once for each started attempt.
	AttemptEnded(report Report)
}

// Destination is another daemon: any entry of a region, or one incarnation.
type Destination struct {
	Region types.Region
	// Owner is set when only this incarnation may take the request.
	Owner types.Incarnation
}

// Forwarder makes requests to other daemons.
type Forwarder interface {
	// Prepare returns the request for an entry, without its body. Its
	// failures have the verdict NotRun.
	Prepare(ctx context.Context, req *request.Request, to Destination) (*http.Request, *types.Failure)
}

// elsewhereDelay is the wait before another endpoint is sought when the copy of
// a request runs where this daemon can't send it.
const elsewhereDelay = 100 * time.Millisecond

// Options configures a Dispatcher.
type Options struct {
	Router   route.Router
	Snapshot func() *snapshot.Snapshot
	// Retrier may be nil: then nothing is retried.
	Retrier Retrier
	// Observer may be nil.
	Observer Observer
	// Isolator may be nil: then every content may run anywhere.
	Isolator Isolator
	// Forwarder may be nil: then nothing is sent to another region.
	Forwarder Forwarder
	// Transport runs attempts of repeatable requests; nil means
	// NewTransport(false).
	Transport http.RoundTripper
	// FreshTransport runs attempts of requests that may not be repeated, each
	// on a connection of its own; nil means NewTransport(true).
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

// New returns a dispatcher.
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

// Summary tells how a request ended.
type Summary struct {
	Verdict  types.Verdict
	Attempts int
	// Endpoint is the endpoint of the last attempt; empty if there was none.
	Endpoint types.EndpointID
	// Region is the region of the last attempt.
	Region types.Region
	// Attempt is the ID of the last attempt.
	Attempt types.AttemptID
	// FirstByte is when the answer began; zero when there was none.
	FirstByte time.Time
	// Tokens is the number of token events passed on.
	Tokens int
	// Failure is nil when the whole answer was passed on.
	Failure *types.Failure
}

// Run runs the request and writes its answer or its failure to the caller. It
// returns after the last byte was written.
func (d *Dispatcher) Run(ctx context.Context, req *request.Request, caller *relay.Caller) Summary {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	run := &run{d: d, req: req, caller: caller, ctx: ctx}
	run.offer()
	return run.finish(run.loop(ctx))
}

// ForwardToRegion offers the request to an entry of another region. Served is false
// when it was not run there and nothing was written to the caller, who may
// still be served here.
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

// Forward sends the request to the one incarnation that may run it, once. When
// it can't be reached the verdict is MayHaveRun, since the request may have
// reached it before by another way.
func (d *Dispatcher) Forward(ctx context.Context, req *request.Request, owner types.Incarnation, caller *relay.Caller) Summary {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	run := &run{d: d, req: req, caller: caller, ctx: ctx}
	failure := run.attempt(ctx, route.Decision{}, owner)
	if failure != nil && !run.stated {
		run.verdict = run.verdict.Merge(types.MayHaveRun)
	}
	return run.finish(failure)
}
