package proxy

import (
	"fmt"
	"net/http"
	"slices"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// responseOutcome is what an endpoint's response tells of the request that it answers.
type responseOutcome uint8

const (
	// outcomeCompleted: the endpoint ran the request; its response is the caller's,
	// whether it is a success or not.
	outcomeCompleted responseOutcome = iota
	// outcomeFailed: the endpoint failed the request and may have run it.
	outcomeFailed
	// outcomeUnstatedRefusal: like outcomeFailed, but the status would tell the caller that
	// the request was not run, which the endpoint does not state.
	outcomeUnstatedRefusal
	// outcomeRefused: the endpoint states that it did not run the request.
	outcomeRefused
	// outcomeMisdirected: another endpoint has the address; it did not run the request.
	outcomeMisdirected
)

// notRunStatuses lists the statuses by which callers learn that a request was not run and
// never will be.
var notRunStatuses = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// outcomeOf returns the outcome of a request from its endpoint's response. It is the only
// place that decides from a response whether the request was run: only what the endpoint
// states counts, never its status alone.
func outcomeOf(status int, info ResponseInfo) responseOutcome {
	switch {
	case info.Misdirected:
		return outcomeMisdirected
	case info.NotRun:
		return outcomeRefused
	case slices.Contains(notRunStatuses, status):
		return outcomeUnstatedRefusal
	case status >= http.StatusInternalServerError:
		return outcomeFailed
	}
	return outcomeCompleted
}

// result returns what the outcome, of a response that was received whole, tells of the
// health of its endpoint.
func (o responseOutcome) result() balance.Result {
	switch o {
	case outcomeMisdirected:
		return balance.Misdirected
	case outcomeRefused:
		return balance.Refused
	case outcomeFailed, outcomeUnstatedRefusal:
		return balance.ServerError
	}
	return balance.Succeeded
}

// replaceRefusal discards a response whose status would tell the caller that the request was
// not run although the endpoint may have run it, and returns the failure to report instead.
func (r *run) replaceRefusal(response *http.Response) (*types.Failure, balance.Result) {
	r.verdict = r.verdict.Merge(types.MayHaveRun)
	if err := discardBody(response); err != nil {
		return r.handleBrokenResponse(err)
	}
	message := fmt.Sprintf("the endpoint answered with status %d and may have run the request", response.StatusCode)
	return types.NewFailure(types.MayHaveRun, types.CodeEndpointFailed, message), outcomeUnstatedRefusal.result()
}
