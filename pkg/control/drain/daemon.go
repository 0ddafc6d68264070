// Package drain is the state machine of a daemon's graceful shutdown. It reads no
// clock: callers pass the current time. Draining endpoints are handled by package
// endpoints.
package drain

import "time"

// Phase is a phase of a daemon's drain. A daemon never returns to an earlier phase.
type Phase uint8

// The phases of a daemon.
const (
	// Serving: no drain has begun.
	Serving Phase = iota
	// Announced: the daemon is no longer in entry responses and its peers see it
	// as leaving. Requests of callers that hold an older entry response still
	// run; new non-idempotent requests are refused with a ticket of another
	// owner.
	Announced
	// Finishing: new requests are refused (NotRun, draining). Requests in
	// flight finish, and resends of finished requests get the stored response.
	Finishing
	// Stopped: the process may exit.
	Stopped
)

var phaseNames = [...]string{"serving", "announced", "finishing", "stopped"}

// String returns the phase's name.
func (p Phase) String() string {
	if int(p) >= len(phaseNames) {
		return "unknown"
	}
	return phaseNames[p]
}

// Cause is the reason why a drain ended.
type Cause string

// The causes of the end of a drain.
const (
	// CauseNone: the drain has not ended.
	CauseNone Cause = ""
	// CauseFinished: nothing was in flight and no ticket was outstanding.
	CauseFinished Cause = "finished"
	// CauseLimit: the published drain limit passed before the drain finished.
	CauseLimit Cause = "limit reached"
	// CauseForced: a second signal arrived.
	CauseForced Cause = "second signal"
)

// Options configures a daemon's drain; a zero field takes its default.
type Options struct {
	// AnnouncePeriod is how long callers may still use an older entry response:
	// the lifetime of an entry response plus the delay until peers have been
	// notified. The default is DefaultAnnouncePeriod; a negative value means no
	// wait.
	AnnouncePeriod time.Duration
	// TicketWindow is how long after its issue a ticket may be used to start a
	// request; the daemon keeps running until the tickets that name it have
	// expired. The default is DefaultTicketWindow; a negative value means no
	// wait.
	TicketWindow time.Duration
	// Limit is the time after which the drain ends even with requests in flight. The
	// announcement takes at most announceShare of it.
	// The default is DefaultLimit.
	Limit time.Duration
}

// The defaults of Options.
const (
	DefaultAnnouncePeriod = 10 * time.Second
	DefaultTicketWindow   = 30 * time.Second
	DefaultLimit          = 10 * time.Minute
)

// announceShare is the fraction of the limit that the announcement may take: the rest
// is for the requests that come last.
const announceShare = 0.35

// announcePeriod returns how long requests are accepted after the signal.
func (o Options) announcePeriod() time.Duration {
	return min(o.AnnouncePeriod, time.Duration(announceShare*float64(o.Limit)))
}

func (o Options) withDefaults() Options {
	if o.AnnouncePeriod == 0 {
		o.AnnouncePeriod = DefaultAnnouncePeriod
	}
	if o.TicketWindow == 0 {
		o.TicketWindow = DefaultTicketWindow
	}
	if o.Limit == 0 {
		o.Limit = DefaultLimit
	}
	return o
}

// Daemon is the drain of one daemon. The zero value is not usable; see
// NewDaemon.
type Daemon struct {
	options Options
	phase   Phase
	cause   Cause
	// startedAt is when the drain began.
	startedAt time.Time
}

// NewDaemon returns the drain of a daemon that is serving.
func NewDaemon(options Options) *Daemon {
	return &Daemon{options: options.withDefaults()}
}

// SetLimit sets Options.Limit, for a new configuration; zero means DefaultLimit.
func (d *Daemon) SetLimit(limit time.Duration) {
	d.options.Limit = Options{Limit: limit}.withDefaults().Limit
}

// Phase returns the current phase.
func (d *Daemon) Phase() Phase {
	return d.phase
}

// Cause returns why the drain ended; CauseNone before Stopped.
func (d *Daemon) Cause() Cause {
	return d.cause
}

// Signal begins the drain. If the drain has begun, Signal ends it at once.
func (d *Daemon) Signal(now time.Time) {
	if d.phase != Serving {
		d.stop(CauseForced)
		return
	}
	d.begin(now)
}

func (d *Daemon) begin(now time.Time) {
	d.phase = Announced
	d.startedAt = now
}

func (d *Daemon) stop(cause Cause) {
	if d.phase == Stopped {
		return
	}
	d.phase = Stopped
	d.cause = cause
}

// Step advances the drain to the given time and returns the phase. inFlight is the
// number of requests that this daemon is running or forwarding.
func (d *Daemon) Step(now time.Time, inFlight int) Phase {
	if d.phase == Serving || d.phase == Stopped {
		return d.phase
	}
	elapsed := now.Sub(d.startedAt)
	if d.phase == Announced && elapsed >= d.options.announcePeriod() {
		d.phase = Finishing
	}
	if elapsed >= d.options.Limit {
		d.stop(CauseLimit)
	}
	if d.phase == Finishing && inFlight == 0 && elapsed >= d.options.TicketWindow {
		d.stop(CauseFinished)
	}
	return d.phase
}
