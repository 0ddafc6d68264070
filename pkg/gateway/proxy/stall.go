package proxy

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// Limits of streams that make no progress.
const (
	// minStallTimeout is the least time that callers wait for the next event.
	minStallTimeout = 2 * time.Second
	// objectiveMultiple and gapMultiple express that time in multiples of the
	// route's objective and of its longest gap between events.
	objectiveMultiple = 4
	gapMultiple       = 8
	// resumeShare is the fraction of the callers' waiting time after which a
	// resumable stream moves to another endpoint.
	resumeShare = 0.5
	// maxStreamTime bounds a stream if neither the caller nor the route sets a limit.
	maxStreamTime = time.Hour
)

// stallDetector ends an attempt whose stream makes no progress. Only complete
// events count as progress, not bytes. A resumable stream is ended while its
// caller still waits, if it can go on at another endpoint: an event was sent to
// the caller, another endpoint may take it, and the retry budget permits. Any
// other stream is ended only when its caller has given up, and not at all if a
// deadline ends it anyway.
type stallDetector struct {
	// resume ends the attempt in order to resume elsewhere; nil if no attempt is
	// left. giveUp ends it for good; nil if a deadline does.
	resume, giveUp *stallTimer
}

// stallTimer calls a function when its limit has passed since the last reset.
type stallTimer struct {
	limit time.Duration
	timer *time.Timer
}

func newStallTimer(limit time.Duration, stalled func()) *stallTimer {
	return &stallTimer{limit: limit, timer: time.AfterFunc(limit, stalled)}
}

// startStallDetector starts to watch the stream of an attempt.
func (r *run) startStallDetector(w *attemptConn) *stallDetector {
	route := r.req.Route
	stallTimeout := max(minStallTimeout, objectiveMultiple*route.Objective, gapMultiple*route.LongestGap)
	detector := &stallDetector{}
	if route.Resumable && r.sent < r.req.AttemptLimit {
		excluded := r.excludedEndpoints()
		detector.resume = newStallTimer(time.Duration(float64(stallTimeout)*resumeShare), func() { r.resumeElsewhere(w, excluded) })
	}
	if r.req.CallerDeadline.IsZero() && route.Timeout <= 0 {
		detector.giveUp = newStallTimer(stallTimeout, w.cancel)
	}
	detector.reset(r.canResume())
	return detector
}

// resumeElsewhere ends the attempt if another endpoint than the excluded ones may
// take the rest of the stream and the retry budget permits another attempt.
func (r *run) resumeElsewhere(w *attemptConn, excluded []types.EndpointID) {
	if r.endpointInReach(r.h.opts.Snapshot(), excluded) && r.reserve() {
		w.cancel()
	}
}

// reset restarts the timers after an event. A stream that can't resume yet is not
// ended in order to resume.
func (d *stallDetector) reset(canResume bool) {
	if canResume {
		d.resume.reset()
	} else {
		d.resume.stop()
	}
	d.giveUp.reset()
}

// stop stops the timers.
func (d *stallDetector) stop() {
	d.resume.stop()
	d.giveUp.stop()
}

// reset restarts the timer; a nil timer does nothing.
func (t *stallTimer) reset() {
	if t != nil {
		t.timer.Reset(t.limit)
	}
}

// stop stops the timer; a nil timer does nothing.
func (t *stallTimer) stop() {
	if t != nil {
		t.timer.Stop()
	}
}
