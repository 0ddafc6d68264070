package trace

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// Limits of what belongs to a story.
const (
	// contextBefore is how far back events of a daemon may bear on a request.
	contextBefore = 10 * time.Second
	// crashWithin is the time in which several broken connections of one
	// endpoint are taken for a crash.
	crashWithin = time.Second
	// maxContext bounds the events that a story names.
	maxContext = 12
)

// hopPrefix begins the name of a daemon among a line's endpoints.
const hopPrefix = "daemon "

// Story is what happened to one request.
type Story struct {
	Request types.RequestID
	// Steps holds the lines about the request, the daemon that took it first.
	Steps []Line
	// Events holds what those daemons came to believe shortly before.
	Events []Line
	// Cause names the cause in one sentence.
	Cause string
}

// Tell joins the lines of all daemons into the story of a request; nil when no
// line is about it.
func Tell(lines []Line, id types.RequestID) *Story {
	story := &Story{Request: id}
	for _, line := range lines {
		if line.Request == id {
			story.Steps = append(story.Steps, line)
		}
	}
	if len(story.Steps) == 0 {
		return nil
	}
	// Clocks of machines differ, so the hop decides, not the time.
	slices.SortStableFunc(story.Steps, func(a, b Line) int {
		return cmp.Or(cmp.Compare(hop(a), hop(b)), a.Time.Compare(b.Time))
	})
	story.Events = events(lines, story.Steps)
	story.Cause = cause(lines, story)
	return story
}

// hop is 0 for the daemon that took the request from its caller, 1 for the one
// that it was forwarded to.
func hop(line Line) int {
	if line.From != "" {
		return 1
	}
	return 0
}

// events returns the last lines, before the request ended, about what the
// daemons of the story believe.
func events(lines, steps []Line) []Line {
	var found []Line
	for _, line := range lines {
		if line.Request != "" || line.Code != "" {
			continue
		}
		if slices.ContainsFunc(steps, func(step Line) bool {
			return step.Source == line.Source && !line.Time.After(step.Time) && step.Time.Sub(line.Time) < contextBefore
		}) {
			found = append(found, line)
		}
	}
	slices.SortStableFunc(found, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return found[max(len(found)-maxContext, 0):]
}

// cause names the cause from the last step in which something failed.
func cause(lines []Line, story *Story) string {
	step := decisive(story.Steps)
	endpoint := lastEndpoint(step)
	why := because(story.Events, step.Source)
	switch step.Code {
	case "":
		if step.Status >= 500 {
			return fmt.Sprintf("endpoint %s answered %d itself; every attempt that the route allows was used", endpoint, step.Status)
		}
		return fmt.Sprintf("answered by endpoint %s with status %d", endpoint, step.Status)
	case types.CodeOverloaded:
		return "refused, not run: " + overloaded(step, why)
	case types.CodeNoEndpoint:
		return fmt.Sprintf("refused, not run: no endpoint of %s that %s knows may run it%s", step.Service, step.Source, why)
	case types.CodeNotReady:
		return fmt.Sprintf("refused, not run: %s knew no configuration yet", step.Source)
	case types.CodeQuarantined:
		return "refused, not run: its content crashed several endpoints before"
	case types.CodeUnreachable:
		return fmt.Sprintf("not run: %s could not be reached (%s)", endpoint, step.Cause)
	case types.CodeEndpointFailed, types.CodeAnswerIncomplete:
		return broken(lines, step, endpoint)
	case types.CodeDeadline:
		if step.Sent == 0 {
			return fmt.Sprintf("its time was over after %d ms of waiting for room; it reached no endpoint", step.TookMs)
		}
		return fmt.Sprintf("its time was over: %d ms waiting for room, %d ms at endpoint %s, which had not finished",
			step.WaitedMs, step.TookMs-step.WaitedMs, endpoint)
	case types.CodeCallerGone:
		return fmt.Sprintf("the caller left after %d ms, of which it waited %d ms for room", step.TookMs, step.WaitedMs)
	}
	return fmt.Sprintf("%s: %s", step.Code, step.Reason)
}

// decisive returns the step that tells most: the daemon that took the request, if
// it was answered there in the end, or else the last one that failed by itself,
// not because of the daemon after it.
func decisive(steps []Line) Line {
	if first := steps[0]; hop(first) == 0 && first.Code == "" && first.Status < 500 {
		return first
	}
	for _, step := range slices.Backward(steps) {
		if step.Code != "" || step.Status >= 500 {
			return step
		}
	}
	return steps[len(steps)-1]
}

func lastEndpoint(step Line) types.EndpointID {
	if len(step.Endpoints) == 0 {
		return "(none)"
	}
	return step.Endpoints[len(step.Endpoints)-1]
}

func overloaded(step Line, why string) string {
	if step.Sent > 0 {
		return fmt.Sprintf("endpoint %s said that it has no room, and no other had any%s", lastEndpoint(step), why)
	}
	return fmt.Sprintf("the endpoints of %s had no room for it in time; it waited %d ms%s", step.Service, step.WaitedMs, why)
}

// broken tells a crash from a lost answer by the other requests of the endpoint.
func broken(lines []Line, step Line, endpoint types.EndpointID) string {
	what := "before it answered"
	if step.Code == types.CodeAnswerIncomplete {
		what = "in the middle of its answer"
	}
	if name, isDaemon := strings.CutPrefix(string(endpoint), hopPrefix); isDaemon {
		return fmt.Sprintf("may have run: the connection to daemon %s ended %s; that daemon's log has no line on the request", name, what)
	}
	others := 0
	for _, line := range lines {
		broke := line.Code == types.CodeEndpointFailed || line.Code == types.CodeAnswerIncomplete
		if broke && line.Request != step.Request && lastEndpoint(line) == endpoint && line.Time.Sub(step.Time).Abs() < crashWithin {
			others++
		}
	}
	if others > 0 {
		return fmt.Sprintf("may have run: endpoint %s crashed or was cut off %s (%d other requests broke there within a second)", endpoint, what, others)
	}
	return fmt.Sprintf("may have run: endpoint %s broke off %s; no other request broke there", endpoint, what)
}

// because tells what took capacity away shortly before, as one daemon knew it.
func because(events []Line, source string) string {
	var reasons []string
	gone := 0
	for _, event := range events {
		if event.Source != source {
			continue
		}
		switch event.Message {
		case "data centre is being evacuated":
			reasons = append(reasons, fmt.Sprintf("data centre %s was being evacuated", event.DataCentre))
		case "endpoint takes no more requests":
			gone++
		case "daemon lost: no heartbeat in time":
			reasons = append(reasons, fmt.Sprintf("daemon %s was lost", event.Member))
		}
	}
	if gone > 0 {
		reasons = append(reasons, fmt.Sprintf("%d endpoints had left in the seconds before", gone))
	}
	if len(reasons) == 0 {
		return ""
	}
	return ": " + strings.Join(reasons, ", ")
}

// Print writes a story for people.
func (s *Story) Print(out io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "request %s\n", s.Request)
	for _, event := range s.Events {
		fmt.Fprintf(&text, "  before  %s  %-20s %s%s\n", event.Time.Format(stamp), event.Source, event.Message, subject(event))
	}
	for _, step := range s.Steps {
		fmt.Fprintf(&text, "  hop %d   %s  %-20s status %d, %s, waited %d ms, took %d ms, sent to %v%s\n", hop(step), step.Time.Format(stamp),
			step.Source, step.Status, step.Verdict, step.WaitedMs, step.TookMs, step.Endpoints, problem(step))
	}
	fmt.Fprintf(&text, "cause: %s\n", s.Cause)
	_, err := io.WriteString(out, text.String())
	return err
}

const stamp = "15:04:05.000"

func subject(event Line) string {
	switch {
	case event.Endpoint != "":
		return " " + string(event.Endpoint)
	case event.DataCentre != "":
		return " " + string(event.DataCentre)
	case event.Member != "":
		return " " + string(event.Member)
	case event.Version != 0:
		return fmt.Sprintf(" version %d", event.Version)
	}
	return ""
}

func problem(step Line) string {
	if step.Code == "" {
		return ""
	}
	text := fmt.Sprintf(", %s: %s", step.Code, step.Reason)
	if step.Cause != "" {
		text += " (" + step.Cause + ")"
	}
	return text
}
