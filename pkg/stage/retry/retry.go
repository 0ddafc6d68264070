// Package retry decides whether a failed attempt is followed by another one and
// when a slow attempt is hedged. A decision depends on the verdict, the time
// left and the budget of extra attempts of the service at this daemon.
//
// Only the daemon that received the request from its caller retries or hedges;
// a daemon that received it from another daemon passes the failure back. A
// request that its caller has sent before is not retried either.
package retry

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Options configures a Policy. A zero field takes its default.
type Options struct {
	// MaxAttempts bounds the attempts of one request, the first included;
	// default 3.
	MaxAttempts int
	// BaseDelay is the mean delay before the first retry after an overloaded
	// or failed endpoint; it doubles with each further one; default 20 ms.
	BaseDelay time.Duration
	// MaxDelay bounds the delay; default 1 s.
	MaxDelay time.Duration
	// HedgeReserve is the number of extra attempts that hedges leave to
	// retries; default 2.
	HedgeReserve float64
}

func (o Options) withDefaults() Options {
	if o.MaxAttempts == 0 {
		o.MaxAttempts = 3
	}
	if o.BaseDelay == 0 {
		o.BaseDelay = 20 * time.Millisecond
	}
	if o.MaxDelay == 0 {
		o.MaxDelay = time.Second
	}
	if o.HedgeReserve == 0 {
		o.HedgeReserve = 2
	}
	return o
}

// Policy decides on retries and hedges of one daemon. It is safe for
// concurrent use.
type Policy struct {
	options Options
	budgets Budgets
	recent  *resends
}

// New returns a policy with empty budgets.
func New(options Options) *Policy {
	return &Policy{options: options.withDefaults(), recent: newResends()}
}

// RecordRequest credits the service's budget with a request that a caller sent and
// reports whether it is a resend. Requests from other daemons and resends
// credit nothing: the daemon or the attempt that came first has been counted.
// The share is published.Policy.RetryBudget.
func (p *Policy) RecordRequest(req *request.Request, share float64, now time.Time) (resend bool) {
	resend = p.recent.contains(req, now)
	if len(req.Path) == 0 && !resend {
		p.budgets.For(req.Service.Name).Deposit(share)
	}
	return resend
}

// RecordFailure notes that the caller was told of a failure, so that the same content
// sent again soon counts as a resend.
func (p *Policy) RecordFailure(req *request.Request, now time.Time) {
	p.recent.add(req, now)
}

// Tokens returns the extra attempts that may be made now, over all services.
func (p *Policy) Tokens() float64 {
	return p.budgets.Tokens()
}

// Input is what a retry decision depends on.
type Input struct {
	Request *request.Request
	// Failure ended the last attempt.
	Failure *types.Failure
	// History is the merged verdict of all attempts, the last one included.
	History types.Verdict
	// Attempts counts the attempts made so far; at least 1.
	Attempts int
	// ResponseStarted is true when the caller has received a part of an answer.
	ResponseStarted bool
	// Resend is what Offer returned.
	Resend bool
	// Expected is the usual time that an attempt needs; zero if unknown.
	Expected time.Duration
	Now      time.Time
	Rand     route.Rand
}

// Decision says whether and when to try again.
type Decision struct {
	ShouldRetry bool
	// Delay is the time to wait before the next attempt.
	Delay time.Duration
	// Reason says in one phrase why.
	Reason string
}

// Decide returns the decision on a failed attempt. When it allows another
// attempt after an endpoint failure, it has taken that attempt from the budget.
func (p *Policy) Decide(in Input) Decision {
	if reason := p.forbidden(in); reason != "" {
		return Decision{Reason: reason}
	}
	if isReroute(in) {
		return Decision{ShouldRetry: true, Reason: "endpoint is leaving or can't be reached and did not run it"}
	}
	if in.Resend {
		return Decision{Reason: "caller retries itself"}
	}
	if len(in.Request.Path) > 0 {
		return Decision{Reason: "first daemon decides on retries"}
	}
	delay := p.delay(in)
	if in.Now.Add(delay + in.Expected).After(in.Request.Deadline) {
		return Decision{Reason: "too little time left"}
	}
	if !p.budgets.For(in.Request.Service.Name).Allow(0) {
		return Decision{Reason: "retry budget is spent"}
	}
	return Decision{ShouldRetry: true, Delay: delay, Reason: "retry allowed by verdict and budget"}
}

// forbidden returns why no further attempt may be made, budget aside; empty
// when one may.
func (p *Policy) forbidden(in Input) string {
	switch {
	case in.ResponseStarted:
		return "caller has part of an answer"
	case in.History == types.Ran:
		return "request has run"
	case in.History == types.MayHaveRun && !in.Request.Repeatable:
		return "may have run and may not be repeated"
	case !in.Failure.Code.Retryable():
		return "another attempt would fail the same way"
	case in.Attempts >= p.options.MaxAttempts:
		return "most attempts made"
	case !in.Now.Before(in.Request.Deadline):
		return "deadline has passed"
	}
	return ""
}

// isReroute reports whether the attempt was refused by a leaving endpoint or
// found no connection to it. That cost no work and is not charged, but it is
// allowed once a request only.
func isReroute(in Input) bool {
	cheap := in.Failure.Code == types.CodeDraining || in.Failure.Code == types.CodeUnreachable
	return cheap && in.Failure.Verdict == types.NotRun && in.Attempts == 1
}

// delay returns the delay before the next attempt, spread evenly between half
// and one and a half times its mean.
func (p *Policy) delay(in Input) time.Duration {
	if isReroute(in) {
		return 0
	}
	mean := p.options.BaseDelay << min(max(in.Attempts-1, 0), 16)
	mean = min(mean, p.options.MaxDelay)
	spread := time.Duration(in.Rand.Uint64() % uint64(mean))
	return max(mean/2+spread, in.Failure.RetryAfter)
}
