package daemon

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/event"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/dispatch"
	"github.com/flamingomount/flamingomount/pkg/stage/dispatch/outcome"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// attemptObserver reports the outcomes of attempts to the control state.
type attemptObserver struct {
	control Control
	loads   *loads
}

var _ dispatch.Observer = (*attemptObserver)(nil)

// AttemptStarted does nothing: only ended attempts are reported.
func (*attemptObserver) AttemptStarted(*request.Request, *snapshot.Endpoint) {}

// AttemptEnded submits an event for an attempt at an endpoint. It ignores
// attempts that were forwarded to another daemon.
func (o *attemptObserver) AttemptEnded(report dispatch.Report) {
	if report.Endpoint == nil {
		return
	}
	o.loads.recordTokenPace(report, o.control.Load())
	finished := event.AttemptFinished{
		At:             report.Ended,
		Endpoint:       report.Endpoint.ID,
		Service:        report.Endpoint.Service,
		Request:        report.Request.ID,
		Attempt:        report.Attempt,
		Fingerprint:    report.Request.Fingerprint,
		Rank:           report.Request.Rank,
		Verdict:        report.Verdict,
		Code:           failureCode(report.Kind),
		Connected:      report.Progress != outcome.NotConnected,
		ConnectionLost: report.Kind == dispatch.KindConnectionLost,
		Leaving:        report.Kind == dispatch.KindLeaving,
		Duration:       report.Ended.Sub(report.Started),
	}
	if report.Tokens > 1 {
		finished.InterTokenLatency = report.Ended.Sub(report.FirstByte) / time.Duration(report.Tokens-1)
	}
	if report.Endpoint.Counters != nil {
		finished.OthersInFlight = int(report.Endpoint.Counters.InFlight.Load())
	}
	o.control.Submit(finished)
}

// failureCode returns the failure code of an attempt; empty if it succeeded.
func failureCode(kind dispatch.Kind) types.Code {
	switch kind {
	case dispatch.KindSucceeded:
		return ""
	case dispatch.KindInvalidResponse:
		return types.CodeAnswerIncomplete
	case dispatch.KindRefused:
		return types.CodeOverloaded
	case dispatch.KindLeaving:
		return types.CodeDraining
	case dispatch.KindTimeout:
		return types.CodeDeadline
	case dispatch.KindCallerGone:
		return types.CodeCallerGone
	default:
		return types.CodeEndpointFailed
	}
}
