// Package check compares what callers saw and what endpoints ran with what the
// gateway promises. Its functions are deterministic: they take the record of a
// run and return what broke.
package check

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/flamingomount/flamingomount/platform/standin"
)

// Call is one request with what came of it.
type Call struct {
	standin.Call
	Outcome standin.Outcome
	// Daemon is the entry that took it.
	Daemon string
	Sent   time.Time
	Ended  time.Time
}

// Span is a time in which something held.
type Span struct {
	From, To time.Time
	// Daemon is the one concerned; empty means all of them.
	Daemon string
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
	Calls []Call
	Runs  []standin.Run
	// Faults lists the disturbances, planned work excluded; Stops the planned
	// stops of daemons.
	Faults []Span
	Stops  []Span
	// Changes lists what was published. Bounds in time are checked only if
	// Timed is set.
	Changes []Change
	Timed   bool
	// Allowed reports whether some configuration lets a run be.
	Allowed func(run standin.Run) bool
}

// Limits of the checks.
const (
	// maxAttempts is what every route of the soak allows.
	maxAttempts = 2
	// overlap is how long the first run of a stream may go on after a second
	// one has taken over: cancelling takes time.
	overlap = 400 * time.Millisecond
	// settle is how long after a fault a daemon may be behind.
	settle = 5 * time.Second
	// leastServed is the part of the undisturbed calls that has to be answered
	// with success, judged from minCalls on.
	leastServed = 0.95
	minCalls    = 20
)

// All runs every check and returns what broke, sorted and without repeats.
func All(r *Record) []string {
	var broken []string
	byID := make(map[string][]standin.Run)
	for _, run := range r.Runs {
		byID[run.ID] = append(byID[run.ID], run)
	}
	known := make(map[string]bool, len(r.Calls))
	for _, call := range r.Calls {
		known[call.ID] = true
		runs := byID[call.ID]
		broken = append(broken, answer(call)...)
		broken = append(broken, once(call, runs)...)
		broken = append(broken, refusal(call, runs)...)
		if r.Timed {
			broken = append(broken, r.cutOff(call)...)
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
	if r.Timed {
		broken = append(broken, r.unserved()...)
	}
	slices.Sort(broken)
	return slices.Compact(broken)
}

// unserved checks that callers are served while no fault excuses anything.
func (r *Record) unserved() []string {
	sent, served := 0, 0
	for _, call := range r.Calls {
		if r.disturbedAnywhere(call.Sent, call.Ended) {
			continue
		}
		sent++
		if call.Outcome.Status == 200 && call.Outcome.Complete {
			served++
		}
	}
	if sent < minCalls || float64(served) >= leastServed*float64(sent) {
		return nil
	}
	return []string{fmt.Sprintf("unserved: %d of %d calls that no fault touched were answered", served, sent)}
}

// answer checks that a success is the whole answer to this very request, and
// that no part of an answer is anything else.
func answer(call Call) []string {
	out := call.Outcome
	if out.Status < 200 || out.Status > 299 {
		return nil
	}
	want := standin.ExpectedBody(call.ID, call.Method, call.Path, call.Body)
	if isStream(call.Path) {
		want = standin.ExpectedStream(call.ID)
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

func isStream(path string) bool {
	return strings.HasPrefix(path, standin.AskPath) || strings.HasPrefix(path, standin.ReportPath)
}

func isOnce(path string) bool {
	return strings.HasPrefix(path, standin.OrderPath) || strings.HasPrefix(path, standin.AskPath)
}

// once checks how often a request ran, and that a stream which goes on
// elsewhere does not run twice at a time.
func once(call Call, runs []standin.Run) []string {
	if isOnce(call.Path) && len(runs) > 1 {
		return []string{fmt.Sprintf("twice: %s %s ran %d times", call.ID, call.Path, len(runs))}
	}
	if len(runs) > maxAttempts {
		return []string{fmt.Sprintf("attempts: %s %s ran %d times", call.ID, call.Path, len(runs))}
	}
	if !strings.HasPrefix(call.Path, standin.ReportPath) || len(runs) < 2 {
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

// cutOff checks that a planned stop cut no request.
func (r *Record) cutOff(call Call) []string {
	stopping := slices.ContainsFunc(r.Stops, func(stop Span) bool {
		return stop.Daemon == call.Daemon && call.Sent.Before(stop.To) && call.Ended.After(stop.From)
	})
	gaveUp := call.Ended.Sub(call.Sent) >= call.Timeout
	if !stopping || gaveUp || r.disturbed(call.Daemon, call.Sent, call.Ended) {
		return nil
	}
	out := call.Outcome
	// A request that crosses the close of its connection was not read.
	if out.Status == 0 || out.Complete {
		return nil
	}
	return []string{fmt.Sprintf("lost: %s %s was cut off while %s stopped: %v", call.ID, call.Path, call.Daemon, out.Err)}
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
			if change.Forbids(run) && !r.disturbed("", call.Sent, call.Ended) && !r.disturbed(call.Daemon, change.At, call.Ended) {
				broken = append(broken, fmt.Sprintf("late: %s %s ran at %s %s after %s", call.ID, call.Path, run.Endpoint,
					call.Sent.Sub(change.At).Round(time.Millisecond), change.What))
			}
		}
	}
	return broken
}
