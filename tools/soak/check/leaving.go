package check

import (
	"fmt"
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/platform/standin"
)

const (
	// pauseSettle is how long after its answer a request for a pause binds.
	pauseSettle = 500 * time.Millisecond
	// maxInPause is how many requests may reach an endpoint in a pause that it
	// asked for.
	maxInPause = 2
)

// pair is a daemon's process and one start of an endpoint.
type pair struct {
	process, endpoint string
	startedAt         time.Time
}

// byPair returns the arrivals of every pair, in order.
func byPair(arrivals []standin.Arrival) map[pair][]standin.Arrival {
	found := make(map[pair][]standin.Arrival)
	for _, arrival := range arrivals {
		if arrival.From != "" {
			of := pair{arrival.From, arrival.Endpoint, arrival.StartedAt}
			found[of] = append(found[of], arrival)
		}
	}
	return found
}

// left checks that endpoints which said in an answer that they leave get no later
// requests from the processes that passed the answer on. Only a new process or
// a freeze excuses one.
func (r *Record) left() []string {
	calls := make(map[string]Call, len(r.Calls))
	for _, call := range r.Calls {
		calls[call.ID] = call
	}
	var broken []string
	for of, arrivals := range byPair(r.Arrivals) {
		passedOn := firstPassedOn(calls, arrivals)
		if passedOn.IsZero() {
			continue
		}
		for _, arrival := range arrivals {
			call, found := calls[arrival.ID]
			if !found || arrival.Result == standin.Misdirected || !call.Sent.After(passedOn.Add(r.DrainWithin)) || r.frozen(of.process, passedOn, arrival.At) {
				continue
			}
			broken = append(broken, fmt.Sprintf("leaving: %s, sent %s, reached %s from %s, which had passed on by %s that it leaves",
				call.ID, clock(call.Sent), of.endpoint, of.process, clock(passedOn)))
			break
		}
	}
	return broken
}

// firstPassedOn returns when the first caller had an endpoint's own answer which
// said that the endpoint leaves; zero if none had.
func firstPassedOn(calls map[string]Call, arrivals []standin.Arrival) time.Time {
	var first time.Time
	for _, arrival := range arrivals {
		call, found := calls[arrival.ID]
		out := call.Outcome
		if !found || !arrival.Leaving || arrival.Result != standin.Answered || out.ID != call.ID || !out.Sealed {
			continue
		}
		if first.IsZero() || call.Ended.Before(first) {
			first = call.Ended
		}
	}
	return first
}

// frozen reports whether a process stood still between two times.
func (r *Record) frozen(process string, from, to time.Time) bool {
	return slices.ContainsFunc(r.Faults, func(fault Span) bool {
		return fault.Frozen && fault.Daemon == DaemonOf(process) && fault.From.Before(to) && fault.To.After(from)
	})
}

// paused checks that endpoints which ask for a pause get next to nothing in it
// from the process that they asked. Health checks count.
func (r *Record) paused() []string {
	var broken []string
	for of, arrivals := range byPair(r.Arrivals) {
		times := make([]time.Time, len(arrivals))
		for at, arrival := range arrivals {
			times[at] = arrival.At
		}
		slices.SortFunc(times, time.Time.Compare)
		for _, asked := range arrivals {
			begin, end := asked.Ended.Add(pauseSettle), asked.Ended.Add(asked.Pause)
			if asked.Pause == 0 || !begin.Before(end) || !r.sound(asked) || r.disturbedDaemon(DaemonOf(of.process), asked.At, end) {
				continue
			}
			if count := within(times, begin, end); count > maxInPause {
				broken = append(broken, fmt.Sprintf("pausing: %s got %d requests from %s from %s on, %s after it had asked for a pause of %s",
					of.endpoint, count, of.process, clock(begin), pauseSettle, asked.Pause))
				break
			}
		}
	}
	return broken
}
