package check

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
	"github.com/flamingomount/flamingomount/platform/standin"
)

// Budget is the retry budget of all daemons together: in any window, a service
// may get Ratio times its requests plus Slack arrivals beyond the first of each
// request.
type Budget struct {
	Ratio, Slack float64
	Window       time.Duration
}

// overBudget checks the retry budget of each service.
func (r *Record) overBudget() []string {
	requests := make(map[types.ServiceName][]time.Time)
	for _, call := range r.Calls {
		for _, service := range r.Services(call) {
			requests[service] = append(requests[service], call.Sent)
		}
	}
	var broken []string
	for service, repeats := range repeats(r.Arrivals) {
		sent := requests[service]
		slices.SortFunc(sent, time.Time.Compare)
		if found := r.Budget.worst(service, repeats, sent); found != "" {
			broken = append(broken, found)
		}
	}
	return broken
}

// repeats returns the times of the arrivals beyond the first of each request, in
// order, by service.
func repeats(arrivals []standin.Arrival) map[types.ServiceName][]time.Time {
	type key struct {
		id      string
		service types.ServiceName
	}
	sorted := slices.SortedFunc(slices.Values(arrivals), func(a, b standin.Arrival) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.ID, b.ID)) })
	seen, found := make(map[key]bool), make(map[types.ServiceName][]time.Time)
	for _, arrival := range sorted {
		of := key{arrival.ID, arrival.Service}
		if seen[of] && arrival.ID != "" {
			found[arrival.Service] = append(found[arrival.Service], arrival.At)
		}
		seen[of] = true
	}
	return found
}

// worst describes the window that is furthest over the budget; empty if none is.
// A window that is over it can be moved until it begins or ends with a repeat.
func (b Budget) worst(service types.ServiceName, repeats, sent []time.Time) string {
	var worst string
	var most float64
	for _, at := range repeats {
		for _, begin := range []time.Time{at, at.Add(-b.Window)} {
			count := within(repeats, begin, begin.Add(b.Window))
			limit := b.Ratio*float64(b.requests(sent, begin)) + b.Slack
			if over := float64(count) - limit; over > most {
				most = over
				worst = fmt.Sprintf("budget: %s got %d arrivals beyond the first in the %s from %s; %.1f are allowed",
					service, count, b.Window, clock(begin), limit)
			}
		}
	}
	return worst
}

// requests returns the largest number of requests in the window that begins
// then, the one before it and the one half a window before it.
func (b Budget) requests(sent []time.Time, begin time.Time) int {
	most := 0
	for _, back := range []time.Duration{0, b.Window / 2, b.Window} {
		from := begin.Add(-back)
		most = max(most, within(sent, from, from.Add(b.Window)))
	}
	return most
}

// within returns how many of the sorted times lie from begin to end, both
// included.
func within(times []time.Time, begin, end time.Time) int {
	first, _ := slices.BinarySearchFunc(times, begin, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(times, end.Add(time.Nanosecond), time.Time.Compare)
	return last - first
}

// clock formats a time of day as log lines do.
func clock(at time.Time) string {
	return at.UTC().Format("15:04:05.000")
}
