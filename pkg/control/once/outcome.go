package once

import (
	"github.com/flamingomount/flamingomount/pkg/control/ticket"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Outcome is how the owner's only run of a request ended.
type Outcome struct {
	// Verdict speaks for all attempts of the run.
	Verdict types.Verdict
	// Response is set when Verdict is types.Ran.
	Response *Response
	// Failure is set for the other verdicts. An outcome that claims NotRun
	// without a failure is taken as MayHaveRun.
	Failure *types.Failure
}

// normal returns the outcome with exactly one of Answer and Failure set and
// the failure's verdict equal to the outcome's.
func (o Outcome) normal() Outcome {
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

// Decision returns what to answer to every caller of the request.
func (o Outcome) Decision(id ticket.ID, floor types.Revision) Decision {
	o = o.normal()
	if o.Response != nil {
		return Decision{Action: ActionReplay, ID: id, Floor: floor, Response: o.Response}
	}
	return Decision{ID: id, Floor: floor, Failure: o.Failure, Reissue: o.Verdict == types.NotRun}
}

// answerForgotten is the outcome of a run whose answer was dropped.
func answerForgotten() Outcome {
	return Outcome{Verdict: types.Ran, Failure: types.NewFailure(types.Ran, types.CodeAnswerForgotten,
		"the request was run; its answer is no longer held")}
}
