// Package ejection connects the outlier detector to the control state: it passes
// finished attempts to the detector and reports which endpoints are ejected.
package ejection

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/event"
	"github.com/flamingomount/flamingomount/pkg/control/node"
	"github.com/flamingomount/flamingomount/pkg/control/outlier"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Health reports the ejection state of endpoints to the control state. The
// control goroutine owns it; it is not safe for concurrent use.
type Health struct {
	detector *outlier.Detector
	// nextChange is when the next ejection or slow start ends; zero if none is active.
	nextChange time.Time
}

var _ node.Outliers = (*Health)(nil)

// New returns a Health that tracks no endpoints yet.
func New(options outlier.Options) *Health {
	return &Health{detector: outlier.New(options)}
}

// Track replaces the set of tracked endpoints with the published ones.
func (h *Health) Track(view map[types.ServiceName][]*snapshot.Endpoint) {
	h.detector.Track(view)
}

// Observe records a finished attempt and reports whether it ejected the endpoint.
func (h *Health) Observe(e event.AttemptFinished) bool {
	changed := h.detector.Observe(outlier.Result{
		Endpoint: e.Endpoint,
		Outcome:  outcomeOf(e),
		Slowness: e.InterTokenLatency.Seconds(),
		At:       e.At,
	})
	if changed {
		h.nextChange, _ = h.detector.NextChange(e.At)
	}
	return changed
}

// Tick reports whether an ejection or a slow start has ended since the last
// call.
func (h *Health) Tick(now time.Time) bool {
	if h.nextChange.IsZero() || now.Before(h.nextChange) {
		return false
	}
	h.nextChange, _ = h.detector.NextChange(now)
	return true
}

// StateOf returns the endpoint's state, the reason if it is ejected, and the
// start of its slow start (zero if none).
func (h *Health) StateOf(id types.EndpointID, now time.Time) (snapshot.EndpointState, string, time.Time) {
	endpoint := snapshot.Endpoint{ID: id}
	h.detector.Apply(&endpoint, now)
	return endpoint.State, endpoint.Reason, endpoint.SlowStartAt
}

// outcomeOf classifies an attempt for outlier detection. Overload refusals,
// leaving endpoints and callers that disconnected are neutral: they do not show
// whether the endpoint is healthy.
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
