package proxy

import "time"

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
// caller still waits, if the retry budget permits. Any other stream is ended only
// when its caller has given up, and not at all if a deadline ends it anyway.
type stallDetector struct {
	limit time.Duration
	timer *time.Timer
}

// startStallDetector starts to watch the stream of an attempt.
func (r *run) startStallDetector(w *attemptConn) *stallDetector {
	route := r.req.Route
	stallTimeout := max(minStallTimeout, objectiveMultiple*route.Objective, gapMultiple*route.LongestGap)
	detector := &stallDetector{}
	switch {
	case route.Resumable && r.sent < r.req.AttemptLimit:
		detector.limit = time.Duration(float64(stallTimeout) * resumeShare)
		detector.timer = time.AfterFunc(detector.limit, func() { r.resumeElsewhere(w) })
	case r.req.CallerDeadline.IsZero() && route.Timeout <= 0:
		detector.limit = stallTimeout
		detector.timer = time.AfterFunc(detector.limit, w.cancel)
	}
	return detector
}

// resumeElsewhere ends the attempt if the retry budget permits another one.
func (r *run) resumeElsewhere(w *attemptConn) {
	if r.reserve() {
		w.cancel()
	}
}

// reset restarts the timer after an event.
func (d *stallDetector) reset() {
	if d.timer != nil {
		d.timer.Reset(d.limit)
	}
}

// stop stops the timer.
func (d *stallDetector) stop() {
	if d.timer != nil {
		d.timer.Stop()
	}
}
