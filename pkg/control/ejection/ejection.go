// Package ejection feeds the outlier detector with the attempts that the
// control state learns of, and tells it which endpoints to take out.
package ejection

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/event"
	"github.com/flamingomount/flamingomount/pkg/control/node"
	"github.com/flamingomount/flamingomount/pkg/control/outlier"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Health is the control state's view of the detector. The control goroutine
// owns it; it is not safe for concurrent use.
type Health struct {
	detector *outlier.Detector
	// due is when the next ejection or ramp ends; zero when none is under way.
	due time.Time
}

var _ node.Outliers = (*Health)(nil)

// New returns the health of endpoints that are not known yet.
func New(options outlier.Options) *Health {
	return &Health{detector: outlier.New(options)}
}

// Track takes the endpoints that are published now.
func (h *Health) Track(view map[types.ServiceName][]*snapshot.Endpoint) {
	h.detector.Track(view)
}

// Observe takes a finished attempt; true when an endpoint's state changed.
func (h *Health) Observe(e event.AttemptFinished) bool {
	changed := h.detector.Observe(outlier.Result{
		Endpoint: e.Endpoint,
		Outcome:  outcomeOf(e),
		Slowness: e.PerToken.Seconds(),
		At:       e.At,
	})
	if changed {
		h.due, _ = h.detector.NextChange(e.At)
	}
	return changed
}

// Tick lets time pass; true when an ejection or a ramp has ended.
func (h *Health) Tick(now time.Time) bool {
	if h.due.IsZero() || now.Before(h.due) {
		return false
	}
	h.due, _ = h.detector.NextChange(now)
	return true
}

// StateOf returns the endpoint's state, the reason of an ejection and the start of
// its ramp.
func (h *Health) StateOf(id types.EndpointID, now time.Time) (snapshot.EndpointState, string, time.Time) {
	endpoint := snapshot.Endpoint{ID: id}
	h.detector.Apply(&endpoint, now)
	return endpoint.State, endpoint.Reason, endpoint.RampStart
}

// outcomeOf tells what an attempt says about its endpoint. A refusal for load,
// a leaving endpoint and a caller that went away say nothing.
func outcomeOf(e event.AttemptFinished) outlier.Outcome {
	switch {
	case e.Code == "":
		return outlier.OutcomeSucceeded
	case e.Leaving, e.Code == types.CodeOverloaded, e.Code == types.CodeCallerGone:
		return outlier.OutcomeNeutral
	case !e.Connected:
		return outlier.OutcomeUnreachable
	default:
		return outlier.OutcomeFailed
	}
}
