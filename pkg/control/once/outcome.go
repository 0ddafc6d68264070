package once

import (
	"github.com/flamingomount/flamingomount/pkg/control/ticket"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Outcome is the result of the owner's only run of a request.
type Outcome struct {
	// Verdict covers all attempts of the run.
	Verdict types.Verdict
	// Response is set when Verdict is types.Ran.
	Response *Response
	// Failure is set for the other verdicts. An outcome with the verdict NotRun
	// but without a failure counts as MayHaveRun.
	Failure *types.Failure
}

// normalised returns the outcome with exactly one of Response and Failure set,
// and with the failure's verdict equal to the outcome's.
func (o Outcome) normalised() Outcome {
	if o.Verdict == types.Ran && o.Response != nil {
		return Outcome{Verdict: types.Ran, Response: o.Response}
	}
	failure := types.NewFailure(types.MayHaveRun, types.CodeInternal, "the request ended without an answer")
	verdict := max(o.Verdict, types.MayHaveRun)
	if o.Failure != nil {
		*failure = *o.Failure
		verdict = o.Verdict.Merge(o.Failure.Verdict)
	}
	failure.Verdict = verdict
	return Outcome{Verdict: verdict, Failure: failure}
}

// Decision returns the decision for every caller of the request.
func (o Outcome) Decision(id ticket.ID, floor types.Revision) Decision {
	o = o.normalised()
	if o.Response != nil {
		return Decision{Action: ActionReplay, ID: id, Floor: floor, Response: o.Response}
	}
	return Decision{ID: id, Floor: floor, Failure: o.Failure, Reissue: o.Verdict == types.NotRun}
}

// responseForgotten returns the outcome of a run whose stored response was
// evicted.
func responseForgotten() Outcome {
	return Outcome{Verdict: types.Ran, Failure: types.NewFailure(types.Ran, types.CodeAnswerForgotten,
		"the request was run; its answer is no longer held")}
}
