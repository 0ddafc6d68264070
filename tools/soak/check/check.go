// Package check compares what callers saw and what endpoints ran with what the
// gateway promises. Its functions are deterministic: they take the record of a
// run and return what broke.
package check

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
	"github.com/flamingomount/flamingomount/platform/standin"
)

// Call is one request with what came of it.
type Call struct {
	standin.Call
	Outcome standin.Outcome
	// Daemon is the entry that took it; Direct is true if the caller did not ask
	// whether the entry takes callers.
	Daemon string
	Direct bool
	// Region is the caller's, if it uses the entries that the directory names.
	Region types.Region
	Sent   time.Time
	Ended  time.Time
	// Marker is the one version of the configuration that has the call's route; zero if
	// others have it too. Process is the daemon's process that took such a call; empty if
	// that is not known.
	Marker  uint64
	Process string
	// Manner is how a caller that speaks on its connections itself sent the request;
	// nil for other callers.
	Manner *Manner
}

// Span is a time in which something held.
type Span struct {
	From, To time.Time
	// Daemon is the one concerned; empty means all of them.
	Daemon string
	// Elsewhere is true for a fault of endpoints or of the store, which touched
	// no daemon and no link of a daemon; Endpoint names the one endpoint whose
	// link was disturbed.
	Elsewhere bool
	Endpoint  string
	// Frozen is true if the daemon's process stood still.
	Frozen bool
}

// Change is an acknowledged change after which some endpoints may no longer run
// requests of some paths.
type Change struct {
	What string
	At   time.Time
	// Until is when the change was taken back; zero means never.
	Until time.Time
	// Within is the bound.
	Within time.Duration
	// Forbids reports whether a run breaks the change.
	Forbids func(run standin.Run) bool
}

// Record is what happened in a run.
type Record struct {
	Calls    []Call
	Runs     []standin.Run
	Arrivals []standin.Arrival
	// Faults lists the disturbances, planned work excluded; Stops the planned
	// stops of daemons, up to the end of the process, Reloads the times at which
	// they were told to read their settings.
	Faults  []Span
	Stops   []Span
	Reloads []Span
	// Restarts lists the starts of processes whose predecessors were killed, Slowed the
	// times in which a thread of a process waited long for a processor of the machine.
	Restarts []Span
	Slowed   []Span
	// Exits lists when processes ended that nobody had told to.
	Exits []Span
	// Configs lists the times at which configurations were published.
	Configs []time.Time
	// Markers lists the versions of the configuration that have a route of their own, in
	// their order.
	Markers []Marker
	// Colds lists the endpoints that were cold for a while.
	Colds []Cold
	// Changes lists what was published. Bounds in time are checked only if
	// Timed is set.
	Changes []Change
	Timed   bool
	// Deadly lists the crashes of endpoints by requests with DeadlyPart.
	Deadly []time.Time
	// Allowed reports whether some configuration lets a run be.
	Allowed func(run standin.Run) bool
	// Services returns the services to which a configuration sent the call.
	Services func(call Call) []types.ServiceName
	// Homes returns the regions that a call's route is restricted to; none if it isn't.
	Homes func(call Call) []types.Region
	// RegionOf maps daemons to their regions.
	RegionOf map[string]types.Region

	// Bounds that the daemons were told: the retry budget, the time to stop, the
	// time for a configuration to be in force, the time in which requests may
	// still reach endpoints that leave, and every route's timeout and
	// attempt limit.
	Budget       Budget
	Grace        time.Duration
	ConfigWithin time.Duration
	DrainWithin  time.Duration
	RouteTimeout time.Duration
	MaxAttempts  int
	// LeastServed is the part of the undisturbed calls that has to be answered with success.
	LeastServed float64
}

// Limits of the checks.
const (
	// overlap is how long the first run of a stream may go on after a second
	// one has taken over: cancelling takes time.
	overlap = 400 * time.Millisecond
	// settle is how long after a fault a daemon may be behind.
	settle = 5 * time.Second
	// minCalls is the number of undisturbed calls from which the part that has to be
	// answered is judged.
	minCalls = 20
)

// All runs every check and returns what broke, sorted and without repeats.
func All(r *Record) []string {
	var broken []string
	byID := make(map[string][]standin.Run)
	for _, run := range r.Runs {
		byID[run.ID] = append(byID[run.ID], run)
	}
	arrivals := make(map[string][]standin.Arrival)
	for _, arrival := range r.Arrivals {
		arrivals[arrival.ID] = append(arrivals[arrival.ID], arrival)
	}
	known := make(map[string]bool, len(r.Calls))
	for _, call := range r.Calls {
		known[call.ID] = true
		runs := byID[call.ID]
		broken = append(broken, answer(call)...)
		broken = append(broken, r.once(call, runs)...)
		broken = append(broken, r.attempts(call, arrivals[call.ID])...)
		broken = append(broken, refusal(call, runs)...)
		if r.Timed {
			broken = append(broken, r.changes(call, runs)...)
		}
	}
	for _, run := range r.Runs {
		if !known[run.ID] {
			broken = append(broken, fmt.Sprintf("unasked: %s ran at %s, which no caller sent", run.ID, run.Endpoint))
		}
		if !r.Allowed(run) {
			broken = append(broken, fmt.Sprintf("route: %s %s ran at %s of %s", run.ID, run.Path, run.Endpoint, run.Service))
		}
	}
	for _, exit := range r.Exits {
		broken = append(broken, fmt.Sprintf("exit: %s ended by itself at %s", exit.Daemon, clock(exit.From)))
	}
	broken = append(broken, r.overBudget()...)
	broken = append(broken, r.lost(arrivals)...)
	broken = append(broken, r.silent(arrivals)...)
	broken = append(broken, r.left()...)
	broken = append(broken, r.paused()...)
	broken = append(broken, r.homes()...)
	broken = append(broken, r.older()...)
	if r.Timed {
		broken = append(broken, r.unserved()...)
		broken = append(broken, r.notInForce()...)
		broken = append(broken, r.unanswered()...)
		broken = append(broken, r.deadly(arrivals)...)
		broken = append(broken, r.gone(arrivals)...)
		broken = append(broken, r.working(byID, arrivals)...)
		broken = append(broken, r.stops()...)
		broken = append(broken, r.cutByPeer(arrivals)...)
		broken = append(broken, r.overheated()...)
	}
	slices.Sort(broken)
	return slices.Compact(broken)
}

// unserved checks that callers are served while no fault excuses anything.
func (r *Record) unserved() []string {
	sent, served := 0, 0
	var failed []Call
	for _, call := range r.Calls {
		if call.Direct || call.Outcome.Left || call.deadly() || r.disturbedAnywhere(call.Sent, call.Ended) {
			continue
		}
		sent++
		if call.Outcome.Status == 200 && call.Outcome.Complete {
			served++
		} else {
			failed = append(failed, call)
		}
	}
	if sent < minCalls || float64(served) >= r.LeastServed*float64(sent) {
		return nil
	}
	return []string{fmt.Sprintf("unserved: %d of %d calls that no fault touched were answered; the others: %s", served, sent, tellFailures(failed))}
}

// tellFailures counts calls by second, by the region of their callers and by what came of
// them.
func tellFailures(calls []Call) string {
	counts := make(map[string]int)
	for _, call := range calls {
		outcome := fmt.Sprint("status ", call.Outcome.Status)
		switch {
		case !call.Outcome.Connected:
			outcome = "no connection"
		case call.Outcome.Status == 0:
			outcome = "no answer"
		case call.Outcome.Status == 200:
			outcome = "cut off"
		}
		counts[fmt.Sprintf("%s %s %s", call.Sent.Format(time.TimeOnly), call.Region, outcome)]++
	}
	var told []string
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		told = append(told, fmt.Sprintf("%s: %d", kind, counts[kind]))
	}
	return strings.Join(told, ", ")
}

// answer checks that a success is the whole answer to this very request, and
// that no part of an answer is anything else.
func answer(call Call) []string {
	out := call.Outcome
	if out.Status < 200 || out.Status > 299 {
		return nil
	}
	want := standin.ExpectedBody(call.ID, call.Method, call.Path, call.Body)
	if standin.IsStream(call.Path) {
		want = standin.ExpectedStreamAt(call.Path, call.ID)
	}
	switch {
	case out.ID != call.ID || !out.Sealed:
		return []string{fmt.Sprintf("mixed: %s got the answer of %q", call.ID, out.ID)}
	case out.Complete && out.Body != want:
		return []string{fmt.Sprintf("mixed: %s %s ended as complete with %d bytes of %d", call.ID, call.Path, len(out.Body), len(want))}
	case !strings.HasPrefix(want, out.Body):
		return []string{fmt.Sprintf("mixed: %s %s got bytes that are not its answer's", call.ID, call.Path)}
	}
	return nil
}

func isOrder(path string) bool {
	return strings.HasPrefix(path, standin.OrderPath)
}

func isOnce(path string) bool {
	return isOrder(path) || strings.HasPrefix(path, standin.AskPath) || strings.HasPrefix(path, standin.SurveyPath)
}

func isResumable(path string) bool {
	return strings.HasPrefix(path, standin.ReportPath) || strings.HasPrefix(path, standin.DigestPath)
}

// once checks how often a request ran, and that a stream which goes on
// elsewhere does not run twice at a time.
func (r *Record) once(call Call, runs []standin.Run) []string {
	if isOnce(call.Path) && len(runs) > 1 {
		return []string{fmt.Sprintf("twice: %s %s ran %d times", call.ID, call.Path, len(runs))}
	}
	if len(runs) > r.MaxAttempts {
		return []string{fmt.Sprintf("attempts: %s %s ran %d times", call.ID, call.Path, len(runs))}
	}
	if !isResumable(call.Path) || len(runs) < 2 {
		return nil
	}
	first, second := runs[0], runs[1]
	if second.Resumed && (first.Ended.IsZero() || first.Ended.Sub(second.Started) > overlap) {
		return []string{fmt.Sprintf("twice: %s went on at %s while %s still ran it", call.ID, second.Endpoint, first.Endpoint)}
	}
	return nil
}

// refusal checks that a refused request never ran, unless it may be repeated.
func refusal(call Call, runs []standin.Run) []string {
	if !isOnce(call.Path) || len(runs) == 0 {
		return nil
	}
	switch call.Outcome.Status {
	case 408, 421, 429, 503:
		return []string{fmt.Sprintf("refused: %s %s was told %d and ran at %s", call.ID, call.Path, call.Outcome.Status, runs[0].Endpoint)}
	}
	return nil
}

// bearsOn reports whether the span may bear on what happened between two times.
func (s Span) bearsOn(from, to time.Time) bool {
	return s.From.Before(to) && s.To.Add(settle).After(from)
}

// disturbed reports whether a fault touched the daemon between two times or
// shortly before.
func (r *Record) disturbed(daemon string, from, to time.Time) bool {
	return slices.ContainsFunc(r.Faults, func(fault Span) bool {
		return (fault.Daemon == "" || fault.Daemon == daemon) && fault.bearsOn(from, to)
	})
}

// disturbedAnywhere is disturbed for any daemon.
func (r *Record) disturbedAnywhere(from, to time.Time) bool {
	return slices.ContainsFunc(r.Faults, func(fault Span) bool {
		return fault.bearsOn(from, to)
	})
}

// disturbedDaemon is disturbed for faults of daemons and their links only.
func (r *Record) disturbedDaemon(daemon string, from, to time.Time) bool {
	return slices.ContainsFunc(r.Faults, func(fault Span) bool {
		return !fault.Elsewhere && (fault.Daemon == "" || fault.Daemon == daemon) && fault.bearsOn(from, to)
	})
}

// changes checks that acknowledged changes were in force in time.
func (r *Record) changes(call Call, runs []standin.Run) []string {
	var broken []string
	for _, change := range r.Changes {
		due := change.At.Add(change.Within)
		if call.Sent.Before(due) || !change.Until.IsZero() && call.Ended.After(change.Until) {
			continue
		}
		for _, run := range runs {
			if change.Forbids(run) && !r.disturbed("", call.Sent, call.Ended) && !r.disturbedDaemon(call.Daemon, change.At, call.Ended) {
				broken = append(broken, fmt.Sprintf("late: %s %s ran at %s %s after %s", call.ID, call.Path, run.Endpoint,
					call.Sent.Sub(change.At).Round(time.Millisecond), change.What))
			}
		}
	}
	return broken
}
