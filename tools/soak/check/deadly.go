package check

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/flamingomount/flamingomount/platform/standin"
)

// DeadlyPart is the part of prompts that may crash each endpoint which begins to
// answer a request with it.
const DeadlyPart = "dead"

const (
	// deadlyCrashes is the crash from which the bound counts, deadlyWithin how long
	// after it the bound begins.
	deadlyCrashes = 5
	deadlyWithin  = 5 * time.Second
	// maxDeadly is how many requests with the part may reach endpoints after that.
	maxDeadly = 3
)

// deadly reports whether the call has the deadly part.
func (c Call) deadly() bool {
	return strings.Contains(c.Parts, DeadlyPart)
}

// deadly checks that few requests with the deadly part reach endpoints once it has
// crashed several. A daemon that was disturbed shortly before excuses a request, and so
// does one whose process was started again after a kill, or waited long for a processor.
func (r *Record) deadly(arrivals map[string][]standin.Arrival) []string {
	if len(r.Deadly) < deadlyCrashes {
		return nil
	}
	slices.SortFunc(r.Deadly, time.Time.Compare)
	from := r.Deadly[deadlyCrashes-1].Add(deadlyWithin)
	var late []string
	for _, call := range r.Calls {
		if !call.deadly() {
			continue
		}
		for _, arrival := range arrivals[call.ID] {
			if arrival.At.After(from) && !r.disturbedDaemons(arrival.At) {
				late = append(late, fmt.Sprintf("%s at %s", call.ID, clock(arrival.At)))
			}
		}
	}
	if len(late) <= maxDeadly {
		return nil
	}
	return []string{fmt.Sprintf("deadly: %d requests with the part reached endpoints after it had crashed %d of %d: %s",
		len(late), deadlyCrashes, len(r.Deadly), strings.Join(late, ", "))}
}

// disturbedDaemons reports whether a fault touched any daemon shortly before, or the
// machine kept its process from running.
func (r *Record) disturbedDaemons(at time.Time) bool {
	bears := func(span Span) bool { return !span.Elsewhere && span.bearsOn(at, at) }
	return slices.ContainsFunc(r.Faults, bears) || slices.ContainsFunc(r.Restarts, bears) || slices.ContainsFunc(r.Slowed, bears)
}
