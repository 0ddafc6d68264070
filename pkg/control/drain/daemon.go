// Package drain decides how a daemon leaves. It reads no clock: each call is
// told the time. Endpoints that leave are the matter of package endpoints.
package drain

import "time"

// Phase is how far a daemon's drain has come. Phases only grow.
type Phase uint8

// The phases of a daemon.
const (
	// Serving: nothing is planned.
	Serving Phase = iota
	// Announced: out of the entry answers and leaving to its peers. Requests of
	// callers that hold an older entry answer still run; new requests that may
	// not be repeated are refused with a ticket of another owner.
	Announced
	// Finishing: new requests are refused (NotRun, draining). Requests in
	// flight finish and resends of finished ones are answered from memory.
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

// Cause says why a drain ended.
type Cause string

// The causes of an end.
const (
	// CauseNone: the drain has not ended.
	CauseNone Cause = ""
	// CauseFinished: nothing was in flight and no ticket was outstanding.
	CauseFinished Cause = "finished"
	// CauseLimit: the published limit passed with requests in flight.
	CauseLimit Cause = "limit reached"
	// CauseForced: a second signal arrived.
	CauseForced Cause = "second signal"
)

// Options tunes a daemon's drain; the zero value of a field means its default.
type Options struct {
	// AnnouncePeriod is how long callers may still act on an older entry answer: the
	// lifetime of an entry answer and the delay until peers have heard. The
	// default is DefaultAnnounce; a negative value means no wait.
	AnnouncePeriod time.Duration
	// TicketWindow is how long a ticket may be used to start a request; the
	// daemon stays until the tickets that name it have expired. The default is
	// DefaultTicketWindow; a negative value means no wait.
	TicketWindow time.Duration
	// Limit ends the drain with requests in flight. The default is
	// DefaultLimit.
	Limit time.Duration
}

// The defaults of Options.
const (
	DefaultAnnouncePeriod = 10 * time.Second
	DefaultTicketWindow   = 30 * time.Second
	DefaultLimit          = 10 * time.Minute
)

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
	// since is when the drain began.
	since time.Time
}

// NewDaemon returns the state of a daemon that serves.
func NewDaemon(options Options) *Daemon {
	return &Daemon{options: options.withDefaults()}
}

// SetLimit changes the limit, as a newly accepted configuration says; zero
// means DefaultLimit.
func (d *Daemon) SetLimit(limit time.Duration) {
	d.options.Limit = Options{Limit: limit}.withDefaults().Limit
}

// Phase returns the present phase.
func (d *Daemon) Phase() Phase {
	return d.phase
}

// Cause says why the drain ended; CauseNone before Stopped.
func (d *Daemon) Cause() Cause {
	return d.cause
}

// Signal begins the drain. A further signal ends it at once.
func (d *Daemon) Signal(now time.Time) {
	if d.phase != Serving {
		d.stop(CauseForced)
		return
	}
	d.begin(now)
}

// UpdateListing begins the drain when the VM list says that this VM is leaving. It
// never ends one.
func (d *Daemon) UpdateListing(now time.Time, leaving bool) {
	if leaving && d.phase == Serving {
		d.begin(now)
	}
}

func (d *Daemon) begin(now time.Time) {
	d.phase = Announced
	d.since = now
}

func (d *Daemon) stop(cause Cause) {
	if d.phase == Stopped {
		return
	}
	d.phase = Stopped
	d.cause = cause
}

// Step moves the drain on and returns the phase. InFlight counts all requests
// that this daemon runs or forwards.
func (d *Daemon) Step(now time.Time, inFlight int) Phase {
	if d.phase == Serving || d.phase == Stopped {
		return d.phase
	}
	elapsed := now.Sub(d.since)
	if d.phase == Announced && elapsed >= d.options.AnnouncePeriod {
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
