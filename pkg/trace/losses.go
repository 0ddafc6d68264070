package trace

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// Outcome says how requests ended that have the same route, daemon and interval.
type Outcome struct {
	// Start is the beginning of the interval in which the requests arrived.
	Start time.Time
	// Source is the daemon that received the requests from their callers.
	Source string
	Route  string
	// Result is "answered", or why the requests were lost or late.
	Result string
}

// Losses counts the requests of callers by outcome.
type Losses struct {
	Counts map[Outcome]int
	// Unlogged counts the requests without a line, by daemon: lines about requests
	// are limited in rate.
	Unlogged map[string]int
}

// CountLosses counts the requests of callers by the interval in which they
// arrived and by their outcome. Lines about forwarded requests are left out,
// because the daemon that forwarded them writes one as well.
func CountLosses(lines []Line, interval time.Duration) Losses {
	losses := Losses{Counts: make(map[Outcome]int), Unlogged: make(map[string]int)}
	for _, line := range lines {
		if line.Skipped > 0 {
			losses.Unlogged[line.Source] += line.Skipped
		}
		if line.Request == "" || line.Route == "" || line.From != "" {
			continue
		}
		arrived := line.Time.Add(-time.Duration(line.TookMs) * time.Millisecond)
		losses.Counts[Outcome{Start: arrived.Truncate(interval), Source: line.Source, Route: line.Route, Result: result(line)}]++
	}
	return losses
}

// result says how the request of a line ended.
func result(line Line) string {
	const successes = 300
	switch {
	case line.Code != "":
		return fmt.Sprintf("%s: %s (sent to %d endpoints)", line.Code, line.Reason, line.Sent)
	case line.Status >= successes:
		return fmt.Sprintf("status %d of an endpoint", line.Status)
	case line.ObjectiveMs == 0:
		return "answered"
	case max(line.FirstMs, line.WaitedMs) > line.ObjectiveMs:
		return lateStart(line)
	case line.FirstMs == 0 && line.TookMs > line.ObjectiveMs:
		return "late: the endpoint took too long"
	case line.LongestGapMs > 0 && line.GapMs > line.LongestGapMs:
		return "late: a pause between events"
	}
	return "answered"
}

// lateStart says where a response that started late lost most of its time.
func lateStart(line Line) string {
	if 2*line.WaitedMs > line.ObjectiveMs {
		return "late: waited for capacity"
	}
	return "late: the endpoint started late"
}

// Print writes a table, ordered by time, route, result and daemon.
func (l Losses) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "from\troute\tdaemon\tcount\tresult")
	outcomes := slices.SortedFunc(maps.Keys(l.Counts), func(a, b Outcome) int {
		return cmp.Or(a.Start.Compare(b.Start), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Result, b.Result), cmp.Compare(a.Source, b.Source))
	})
	for _, outcome := range outcomes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", outcome.Start.UTC().Format("15:04:05"), outcome.Route, outcome.Source, l.Counts[outcome], outcome.Result)
	}
	for _, source := range slices.Sorted(maps.Keys(l.Unlogged)) {
		fmt.Fprintf(w, "not logged\t\t%s\t%d\t\n", source, l.Unlogged[source])
	}
	return w.Flush()
}
