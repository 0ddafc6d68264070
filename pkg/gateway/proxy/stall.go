package proxy

import "time"

// Limits of streams that make no progress.
const (
	// minPatience is the least time that callers wait for the next event.
	minPatience = 2 * time.Second
	// objectivePatience and gapPatience are the same in objectives and in longest
	// pauses of the route.
	objectivePatience = 4
	gapPatience       = 8
	// moveShare is the part of the callers' patience after which a stream that
	// may resume goes on elsewhere.
	moveShare = 0.5
	// maxStreamTime bounds a stream for which neither caller nor route does.
	maxStreamTime = time.Hour
)

// stall ends an attempt whose stream makes no progress. Whole events are
// progress; bytes are not. A stream that may go on elsewhere is ended while its
// caller still waits, if the retry budget allows; any other one only when its
// caller has given up, and where a deadline ends it anyway not at all.
type stall struct {
	limit time.Duration
	timer *time.Timer
}

// watchStream watches the stream of an attempt.
func (r *run) watchStream(w *wire) *stall {
	route := r.req.Route
	patience := max(minPatience, objectivePatience*route.Objective, gapPatience*route.LongestGap)
	s := &stall{}
	switch {
	case route.Resumable && r.sent < r.req.AttemptLimit:
		s.limit = time.Duration(float64(patience) * moveShare)
		s.timer = time.AfterFunc(s.limit, func() { r.moveOn(w) })
	case r.req.CallerDeadline.IsZero() && route.Timeout <= 0:
		s.limit = patience
		s.timer = time.AfterFunc(s.limit, w.cancel)
	}
	return s
}

// moveOn ends the attempt if another one may follow.
func (r *run) moveOn(w *wire) {
	if r.h.opts.RetryBudgets.Allow(r.req.Service, r.h.opts.Now()) {
		r.paid.Store(true)
		w.cancel()
	}
}

// progress notes an event.
func (s *stall) progress() {
	if s.timer != nil {
		s.timer.Reset(s.limit)
	}
}

// stop ends the watch.
func (s *stall) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}
