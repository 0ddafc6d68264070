package check

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/flamingomount/flamingomount/platform/standin"
)

// Limits of the checks of bounds in time.
const (
	// late is how long after its route's timeout, or after its caller has left, a
	// request may go on.
	late = 500 * time.Millisecond
	// maxLate is how many calls may be over a bound of this kind in a run.
	maxLate = 3
	// exitSlack allows for the soak's own delay in noticing that a process ended.
	exitSlack = 250 * time.Millisecond
	// coldWindow is the time in which requests to a cold endpoint are counted.
	coldWindow = time.Second
)

// Cold is the time after one start of an endpoint in which that start may get at most
// Most requests in each coldWindow.
type Cold struct {
	Endpoint  string
	StartedAt time.Time
	From, To  time.Time
	Most      float64
}

// attempts checks that no request is sent to more endpoints than its route
// allows. Endpoints that answer 421, that end or that are cut off don't count.
func (r *Record) attempts(call Call, arrivals []standin.Arrival) []string {
	reached := make(map[string]bool)
	for _, arrival := range arrivals {
		if arrival.Result != standin.Misdirected && r.sound(arrival) {
			reached[arrival.Endpoint] = true
		}
	}
	if len(reached) <= r.MaxAttempts {
		return nil
	}
	return []string{fmt.Sprintf("attempts: %s reached %d endpoints; %d are allowed", describe(call, arrivals), len(reached), r.MaxAttempts)}
}

// unanswered checks that most calls that are still open at their route's timeout
// have an answer soon after.
func (r *Record) unanswered() []string {
	open, without := 0, 0
	for _, call := range r.Calls {
		took := call.Ended.Sub(call.Sent)
		if call.Outcome.Left || call.Outcome.Written.IsZero() || took < r.RouteTimeout || call.Manner.delays() || r.disturbedDaemon(call.Daemon, call.Sent, call.Ended) {
			continue
		}
		open++
		if took > r.RouteTimeout+late {
			without++
		}
	}
	if without <= maxLate || 2*without <= open {
		return nil
	}
	return []string{fmt.Sprintf("unanswered: %d of %d calls that were open at their route's timeout had no answer %s later", without, open, late)}
}

// gone checks that requests don't reach endpoints long after their callers left.
func (r *Record) gone(arrivals map[string][]standin.Arrival) []string {
	var broken []string
	for _, call := range r.Calls {
		at := arrivals[call.ID]
		if !call.Outcome.Left || len(at) == 0 {
			continue
		}
		last := at[len(at)-1]
		if last.At.After(call.Ended.Add(late)) && !r.disturbedDaemon(call.Daemon, call.Sent, last.At) && !r.disturbedDaemon(DaemonOf(last.From), call.Sent, last.At) {
			broken = append(broken, fmt.Sprintf("gone: %s %s after its caller had left", describe(call, at), last.At.Sub(call.Ended).Round(time.Millisecond)))
		}
	}
	if len(broken) <= maxLate {
		return nil
	}
	return broken
}

// working checks that endpoints end most of the work for callers that have left,
// of what would go on for longer.
func (r *Record) working(runs map[string][]standin.Run, arrivals map[string][]standin.Arrival) []string {
	lasting, going := 0, 0
	var worst string
	for _, call := range r.Calls {
		at, ran := arrivals[call.ID], runs[call.ID]
		if !call.Outcome.Left || len(at) == 0 || len(ran) == 0 || isOrder(call.Path) || !r.sound(at[len(at)-1]) ||
			r.disturbedDaemon(call.Daemon, call.Sent, call.Ended.Add(late)) || r.disturbedDaemon(DaemonOf(at[len(at)-1].From), call.Sent, call.Ended.Add(late)) {
			continue
		}
		run := ran[len(ran)-1]
		if !run.Started.Before(call.Ended) || !run.Due.After(call.Ended.Add(late)) {
			continue
		}
		lasting++
		if run.Ended.IsZero() || run.Ended.After(call.Ended.Add(late)) {
			going++
			worst = describe(call, at)
		}
	}
	if going <= maxLate || 4*going <= lasting {
		return nil
	}
	return []string{fmt.Sprintf("gone: endpoints were at work on %d of %d requests %s after their callers had left, the last one %s", going, lasting, late, worst)}
}

// stops checks that a process that is told to stop ends within the grace period.
func (r *Record) stops() []string {
	var broken []string
	for _, stop := range r.Stops {
		if took := stop.To.Sub(stop.From); took > r.Grace+exitSlack && !r.disturbedDaemon(stop.Daemon, stop.From, stop.To) {
			broken = append(broken, fmt.Sprintf("grace: %s, told to stop at %s, ran on for %s", stop.Daemon, clock(stop.From), took.Round(time.Millisecond)))
		}
	}
	return broken
}

// overheated checks the rate of requests at endpoints that have just started.
func (r *Record) overheated() []string {
	type start struct {
		endpoint string
		at       time.Time
	}
	arrivals := make(map[start][]standin.Arrival)
	for _, arrival := range r.Arrivals {
		if of := (start{arrival.Endpoint, arrival.StartedAt}); arrival.Result != standin.Misdirected {
			arrivals[of] = append(arrivals[of], arrival)
		}
	}
	var broken []string
	for _, cold := range r.Colds {
		at := arrivals[start{cold.Endpoint, cold.StartedAt}]
		slices.SortFunc(at, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
		for number, first := range at {
			end := first.At.Add(coldWindow)
			count := len(at[number:])
			if beyond := slices.IndexFunc(at[number:], func(one standin.Arrival) bool { return one.At.After(end) }); beyond >= 0 {
				count = beyond
			}
			if !first.At.Before(cold.From) && !end.After(cold.To) && float64(count) > cold.Most {
				broken = append(broken, fmt.Sprintf("cold: %s got %d requests in the second from %s, %s after its start; %.1f are allowed:%s",
					cold.Endpoint, count, clock(first.At), first.At.Sub(cold.From).Round(time.Millisecond), cold.Most, tellArrivals(at[number:number+count])))
				break
			}
		}
	}
	return broken
}

// tellArrivals lists from where arrivals came, and when after the first one.
func tellArrivals(arrivals []standin.Arrival) string {
	var text strings.Builder
	for _, one := range arrivals {
		id := one.ID
		if id == "" {
			id = "health"
		}
		fmt.Fprintf(&text, " %s %s %d ms,", one.From, id, one.At.Sub(arrivals[0].At).Milliseconds())
	}
	return strings.TrimSuffix(text.String(), ",")
}

// ProcessName names a daemon's process by how often the daemon was started.
func ProcessName(daemon string, starts int) string {
	return fmt.Sprintf("%s#%d", daemon, starts)
}

// DaemonOf returns the daemon of a process name.
func DaemonOf(process string) string {
	daemon, _, _ := strings.Cut(process, "#")
	return daemon
}
