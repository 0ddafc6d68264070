package proxy

import (
	"slices"
	"sync"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
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
	// stallSteps is the number of steps in which the silence of an endpoint is measured.
	stallSteps = 4
	// lateShare is the fraction of a step by which its end may be noticed late. A later
	// one tells of a pause of this process, in which it read nothing.
	lateShare = 0.5
	// maxStreamTime bounds a stream if neither the caller nor the route sets a limit.
	maxStreamTime = time.Hour
)

// stallDetector ends an attempt whose stream makes no progress. Only complete
// events count as progress, not bytes. A resumable stream is ended while its
// caller still waits, if it can go on elsewhere: an event was sent to the caller,
// an endpoint is reserved for the rest, here or by another daemon, and the retry
// budget permits. Any other stream is ended only when its caller has given up, and
// not at all if a deadline ends it anyway.
type stallDetector struct {
	// resume ends the attempt in order to resume elsewhere; nil if no further attempt may be
	// made. giveUp ends it for good; nil if a deadline does.
	resume, giveUp *stallTimer

	mu      sync.Mutex
	stopped bool
	// relaying is true while events are passed on.
	relaying bool
	// handover is under way or was admitted; nil if there is none.
	handover *handover
}

// stallTimer calls a function once when its limit has passed since the last reset, while
// the detector's mutex is held. The limit is measured in steps: one that ends late does
// not count, so that a pause of this process does not pass for the endpoint's silence.
// The detector's mutex guards it.
type stallTimer struct {
	step    time.Duration
	stalled func()
	timer   *time.Timer
	// stepEnd is when the current step ends, zero if the timer is stopped; silent counts
	// the steps before it.
	stepEnd time.Time
	silent  int
}

// newTimer returns a timer that runs after its first reset.
func (d *stallDetector) newTimer(limit time.Duration, stalled func()) *stallTimer {
	t := &stallTimer{step: limit / stallSteps, stalled: stalled}
	t.timer = time.AfterFunc(limit, func() { d.endStep(t) })
	return t
}

// endStep handles the end of a timer's step.
func (d *stallDetector) endStep(t *stallTimer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped || d.relaying || d.moved() {
		return
	}
	if t.countStep(time.Now()) {
		t.stalled()
	}
}

// countStep counts a step that has ended and begins the next one. It reports whether the
// limit has passed.
func (t *stallTimer) countStep(now time.Time) bool {
	late := now.Sub(t.stepEnd)
	if t.stepEnd.IsZero() || late < 0 {
		return false // the timer was stopped or reset meanwhile
	}
	if late <= time.Duration(float64(t.step)*lateShare) {
		t.silent++
	}
	if t.silent >= stallSteps {
		return true
	}
	t.beginStep(now)
	return false
}

func (t *stallTimer) beginStep(now time.Time) {
	t.stepEnd = now.Add(t.step)
	t.timer.Reset(t.step)
}

// startStallDetector starts to watch the stream of an attempt.
func (r *run) startStallDetector(w *attemptConn) *stallDetector {
	route := r.req.Route
	stallTimeout := max(minStallTimeout, objectiveMultiple*route.Objective, gapMultiple*route.LongestGap)
	detector := &stallDetector{}
	if route.Resumable && r.sent < r.req.AttemptLimit && r.trial == 0 {
		detector.resume = detector.newTimer(time.Duration(float64(stallTimeout)*resumeShare), func() { r.resumeElsewhere(detector, w) })
	}
	if r.req.CallerDeadline.IsZero() && route.Timeout <= 0 {
		detector.giveUp = detector.newTimer(stallTimeout, w.cancel)
	}
	detector.reset(r.canResume())
	return detector
}

// resumeElsewhere ends the attempt if the stream can go on at another endpoint and
// the retry budget permits another attempt. Without any endpoint here it asks another
// daemon first. A daemon that is leaving ends none: the other endpoint may refuse the
// rest, or the end of the stop may cut it off.
func (r *run) resumeElsewhere(d *stallDetector, w *attemptConn) {
	if r.h.draining.Load() {
		return
	}
	permit, noneHere := r.reserveHere()
	if noneHere {
		r.beginHandover(d, w)
	}
	if permit == nil {
		return
	}
	r.req.reserved = permit
	if !r.reserveRetry() {
		r.releaseReserved()
		return
	}
	w.cancel()
}

// reserveHere reserves an endpoint of this region for the rest of the stream. It
// returns no permit if none is free, and whether no endpoint here may run the request.
func (r *run) reserveHere() (permit *balance.Permit, noneHere bool) {
	if !r.req.allows(r.h.opts.Snapshot().Self.Region) {
		return nil, true
	}
	permit, refusal := r.h.opts.Gate.Try(r.balancerRequest())
	return permit, refusal != nil
}

// remoteEndpointLeft reports whether the next attempt finds an endpoint in another region
// that the request was not sent to before.
func (r *run) remoteEndpointLeft(snap *control.Snapshot) bool {
	if r.req.PrefixTokens >= balance.MinLargePrefixTokens {
		_, found := r.nextHome(snap)
		return found && len(r.homes) < maxHomes
	}
	usableRegion, tried := r.usableRegion(snap), r.excludedEndpoints()
	endpoints := r.h.opts.Gate.Taking(snap.View.Endpoints[r.req.Service])
	return slices.ContainsFunc(endpoints, func(ep catalog.ActiveEndpoint) bool {
		return ep.Region != snap.Self.Region && usableRegion(ep.Region) && !slices.Contains(tried, ep.ID)
	})
}

// takeReserved returns the endpoint that is reserved for the next attempt; nil if
// there is none.
func (r *run) takeReserved() *balance.Permit {
	permit := r.req.reserved
	r.req.reserved = nil
	return permit
}

// releaseReserved releases an endpoint that was reserved and not used.
func (r *run) releaseReserved() {
	r.h.releaseReserved(r.req)
}

// releaseReserved releases an endpoint that was reserved for a request and not used.
func (h *Handler) releaseReserved(req *Request) {
	if permit := req.reserved; permit != nil {
		req.reserved = nil
		h.opts.Gate.Done(permit, balance.Abandoned)
	}
}

// beginRelay is called before events are passed on, and reports whether they may be:
// not if another daemon has taken the rest of the stream. A handover under way ends.
func (d *stallDetector) beginRelay() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.moved() {
		return false
	}
	d.relaying = true
	d.endHandover()
	return true
}

// moved reports whether another daemon has taken the rest of the stream.
func (d *stallDetector) moved() bool {
	return d.handover != nil && d.handover.admitted
}

// endHandover ends a handover that was not admitted.
func (d *stallDetector) endHandover() {
	if d.handover != nil && !d.handover.admitted {
		d.handover.conn.cancel()
		d.handover = nil
	}
}

// reset restarts the timers after an event. A stream that can't resume yet is not
// ended in order to resume.
func (d *stallDetector) reset(canResume bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.relaying = false
	if canResume {
		d.resume.reset()
	} else {
		d.resume.stop()
	}
	d.giveUp.reset()
}

// stop stops the timers and waits for what they have begun.
func (d *stallDetector) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.resume.stop()
	d.giveUp.stop()
	d.stopped = true
	d.endHandover()
}

// reset restarts the timer; a nil timer does nothing.
func (t *stallTimer) reset() {
	if t != nil {
		t.silent = 0
		t.beginStep(time.Now())
	}
}

// stop stops the timer; a nil timer does nothing.
func (t *stallTimer) stop() {
	if t != nil {
		t.stepEnd = time.Time{}
		t.timer.Stop()
	}
}
