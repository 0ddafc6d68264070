// Package retry decides whether a failed attempt is retried and when a slow
// attempt is hedged. A decision depends on the verdict, the time left and this
// daemon's budget of extra attempts for the service.
//
// Only the daemon that received the request from its caller retries or hedges;
// a daemon that received it from another daemon returns the failure. A request
// that its caller has already sent before is not retried either. The exception
// to both is the reroute after a first attempt that a draining or unreachable
// endpoint did not run.
package retry

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Options configures a Policy. A zero field takes its default.
type Options struct {
	// MaxAttempts is the maximum number of attempts per request, including the
	// first; default 3.
	MaxAttempts int
	// BaseDelay is the mean backoff before the first retry after an overloaded
	// or failed endpoint; it doubles with each further retry; default 20 ms.
	BaseDelay time.Duration
	// MaxDelay is the upper bound of the mean backoff; default 1 s.
	MaxDelay time.Duration
	// HedgeReserve is the number of extra attempts in the budget that hedges
	// leave to retries; default 2.
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

// Policy decides on the retries and hedges of one daemon. It is safe for
// concurrent use.
type Policy struct {
	options  Options
	budgets  Budgets
	detector *resendDetector
}

// New returns a policy with empty budgets.
func New(options Options) *Policy {
	return &Policy{options: options.withDefaults(), detector: newResendDetector()}
}

// RecordRequest credits the service's budget with a request from a caller and
// reports whether it is a resend. Requests forwarded by other daemons and
// resends add no credit: the daemon that received the request first, or the
// original request, has already been credited. The share is
// published.Policy.RetryBudget.
func (p *Policy) RecordRequest(req *request.Request, share float64, now time.Time) (resend bool) {
	resend = p.detector.isResend(req, now)
	if len(req.Path) == 0 && !resend {
		p.budgets.For(req.Service.Name).Deposit(share)
	}
	return resend
}

// RecordFailure records that a failure was returned to the caller, so that the
// same content sent again soon counts as a resend.
func (p *Policy) RecordFailure(req *request.Request, now time.Time) {
	p.detector.recordFailure(req, now)
}

// Tokens returns how many extra attempts are allowed now, summed over all
// services.
func (p *Policy) Tokens() float64 {
	return p.budgets.Tokens()
}

// Input holds what a retry decision depends on.
type Input struct {
	Request *request.Request
	// Failure is the failure of the last attempt.
	Failure *types.Failure
	// History is the merged verdict of all attempts, including the last.
	History types.Verdict
	// Attempts is the number of attempts made so far; at least 1.
	Attempts int
	// ResponseStarted is true when the caller has received part of a response.
	ResponseStarted bool
	// Resend is the result of RecordRequest.
	Resend bool
	// Expected is the usual duration of an attempt; zero if unknown.
	Expected time.Duration
	Now      time.Time
	Rand     route.Rand
}

// Decision says whether and when to make another attempt.
type Decision struct {
	ShouldRetry bool
	// Delay is the time to wait before the next attempt.
	Delay time.Duration
	// Reason is a short explanation of the decision.
	Reason string
}

// Decide decides whether a failed attempt is retried. It charges an allowed
// retry to the service's budget, unless it is a reroute (see isReroute).
func (p *Policy) Decide(in Input) Decision {
	if reason := p.denialReason(in); reason != "" {
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
	backoff := p.backoff(in)
	if in.Now.Add(backoff + in.Expected).After(in.Request.Deadline) {
		return Decision{Reason: "too little time left"}
	}
	if !p.budgets.For(in.Request.Service.Name).Allow(0) {
		return Decision{Reason: "retry budget is spent"}
	}
	return Decision{ShouldRetry: true, Delay: backoff, Reason: "retry allowed by verdict and budget"}
}

// denialReason returns why no further attempt is permitted, regardless of the
// budget, or an empty string if one is.
func (p *Policy) denialReason(in Input) string {
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

// isReroute reports whether the first attempt was refused by a draining
// endpoint or could not connect. Such an attempt cost no work, so its retry is
// not charged to the budget, but a request gets only one.
func isReroute(in Input) bool {
	notAccepted := in.Failure.Code == types.CodeDraining || in.Failure.Code == types.CodeUnreachable
	return notAccepted && in.Failure.Verdict == types.NotRun && in.Attempts == 1
}

// backoff returns the delay before the next attempt: its mean doubles with each
// attempt up to MaxDelay, and jitter spreads it evenly between half and one and
// a half times the mean. A longer RetryAfter of the failure takes precedence.
func (p *Policy) backoff(in Input) time.Duration {
	if isReroute(in) {
		return 0
	}
	mean := p.options.BaseDelay << min(max(in.Attempts-1, 0), 16)
	mean = min(mean, p.options.MaxDelay)
	jitter := time.Duration(in.Rand.Uint64() % uint64(mean))
	return max(mean/2+jitter, in.Failure.RetryAfter)
}
