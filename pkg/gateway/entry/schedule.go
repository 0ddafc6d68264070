package entry

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/graceful"
)

// Fractions of the grace time.
const (
	// admitShare is how long callers' requests are still passed on: callers learn from
	// the response to their next request that this daemon is leaving. Most of the grace
	// time remains for the streams that come last.
	admitShare = 0.35
	// freshShare bounds the time after the end of admission in which connections without
	// any request end.
	freshShare = 0.15
	// idleShare bounds the time for which a connection waits for the next request after
	// its last response.
	idleShare = 0.15
	// peersShare is when the listener for other daemons closes at the latest, so that
	// their kept connections end before the rest is cut off.
	peersShare = 0.8
	// endShare bounds the time between the cut and the end of the grace time, and
	// answerShare that between the cancellation and the cut.
	endShare    = 0.06
	answerShare = 0.02
	// handlersShare bounds the part of that time for which the handlers of cut requests
	// are awaited.
	handlersShare = 0.02
)

// signalDelay is the longest time from the stop signal until the daemon acts on it.
const signalDelay = 200 * time.Millisecond

// Times at the end of a stop. They do not grow with the grace time: requests in flight,
// also those that another daemon forwarded, may use the rest of it.
const (
	// closeTime is how long the process takes to end after the cut.
	closeTime = 100 * time.Millisecond
	// handlersTime is the part of closeTime for which the handlers of cut requests are
	// awaited, which log how these ended.
	handlersTime = 60 * time.Millisecond
	// answerTime is how long the handlers of cancelled requests have to respond.
	answerTime = 160 * time.Millisecond
)

// stopSchedule holds the moments of a graceful shutdown, as times after its begin.
// They are derived from the grace time and the admission limit alone, and are in the order of
// the fields whatever these are, but for idle, which is a length of time; the daemon is
// killed after the last.
type stopSchedule struct {
	// closeCallers is when the listener for callers begins to close; idle connections
	// end after the handshakes.
	closeCallers time.Duration
	// admitUntil is until when requests are passed on; later ones are refused. It is
	// also when the listener for callers has closed.
	admitUntil time.Duration
	// endFresh is when callers' connections without any request end.
	endFresh time.Duration
	// idle is how long a connection waits for the next request after its last response.
	idle time.Duration
	// closePeers is when the listener for other daemons begins to close at the latest.
	closePeers time.Duration
	// cancel is when the callers' remaining requests are cancelled.
	cancel time.Duration
	// cut is when the remaining connections are closed.
	cut time.Duration
}

// stopSchedule returns the schedule that follows from the settings.
func (s Settings) stopSchedule() stopSchedule {
	return newStopSchedule(s.Grace, s.AdmissionLimit)
}

// newStopSchedule returns the schedule of a shutdown within the grace time.
// admissionLimit is the latest time after the stop signal at which a request may come
// that the end of the grace time could cut off; zero means no limit.
func newStopSchedule(grace, admissionLimit time.Duration) stopSchedule {
	admitUntil := share(grace, admitShare)
	if admissionLimit > 0 {
		admitUntil = min(admitUntil, max(admissionLimit-signalDelay, admissionLimit/2))
	}
	usual := graceful.DefaultShutdownTimes()
	handshakes := min(usual.Handshakes, admitUntil/2)
	unused := min(usual.Fresh-usual.Handshakes, share(grace, freshShare))
	cut := grace - min(signalDelay+closeTime, share(grace, endShare))
	return stopSchedule{
		closeCallers: admitUntil - handshakes,
		admitUntil:   admitUntil,
		endFresh:     admitUntil + unused,
		idle:         min(usual.Idle, share(grace, idleShare)),
		closePeers:   share(grace, peersShare),
		cancel:       cut - min(answerTime, share(grace, answerShare)),
		cut:          cut,
	}
}

// shutdownTimes returns the times of the servers' shutdown.
func (s stopSchedule) shutdownTimes() graceful.ShutdownTimes {
	return graceful.ShutdownTimes{Handshakes: s.admitUntil - s.closeCallers, Fresh: s.endFresh - s.closeCallers, Idle: s.idle}
}

// share returns a fraction of the grace time.
func share(grace time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(grace) * fraction)
}
