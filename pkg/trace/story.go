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

// Limits on the lines that a Story takes into account.
const (
	// contextWindow is how long before a step an event of the same daemon is
	// still considered relevant.
	contextWindow = 10 * time.Second
	// crashWindow is the time within which several lost connections to one
	// endpoint are reported as a crash.
	crashWindow = time.Second
	// maxEvents is the maximum number of events in a Story.
	maxEvents = 12
)

// hopPrefix marks the entries of Line.Endpoints that are daemons.
const hopPrefix = "daemon "

// Story is the history of one request.
type Story struct {
	Request types.RequestID
	// Steps holds the lines about the request; those of the daemon that received
	// it from the caller come first.
	Steps []Line
	// Events holds the changes in those daemons' view of the fleet shortly
	// before the steps.
	Events []Line
	// Cause states the cause of the result in one sentence.
	Cause string
}

// BuildStory builds the Story of a request from the lines of all daemons. It returns
// nil if no line is about the request.
func BuildStory(lines []Line, id types.RequestID) *Story {
	story := &Story{Request: id}
	for _, line := range lines {
		if line.Request == id {
			story.Steps = append(story.Steps, line)
		}
	}
	if len(story.Steps) == 0 {
		return nil
	}
	// Sort by hop before time, because the clocks of the VMs differ.
	slices.SortStableFunc(story.Steps, func(a, b Line) int {
		return cmp.Or(cmp.Compare(hop(a), hop(b)), a.Time.Compare(b.Time))
	})
	story.Events = precedingEvents(lines, story.Steps)
	story.Cause = describeCause(lines, story)
	return story
}

// hop returns 0 for a line of the daemon that received the request from the
// caller and 1 for a line of the daemon that it was forwarded to.
func hop(line Line) int {
	if line.From != "" {
		return 1
	}
	return 0
}

// precedingEvents returns the last maxEvents lines about the view of the daemons
// in steps, written less than contextWindow before one of their steps.
func precedingEvents(lines, steps []Line) []Line {
	var found []Line
	for _, line := range lines {
		if line.Request != "" || line.Code != "" {
			continue
		}
		if slices.ContainsFunc(steps, func(step Line) bool {
			return step.Source == line.Source && !line.Time.After(step.Time) && step.Time.Sub(line.Time) < contextWindow
		}) {
			found = append(found, line)
		}
	}
	slices.SortStableFunc(found, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return found[max(len(found)-maxEvents, 0):]
}

// describeCause states the cause of the result, based on the decisive step.
func describeCause(lines []Line, story *Story) string {
	step := decisiveStep(story.Steps)
	endpoint := lastEndpoint(step)
	capacityLoss := capacityLossReasons(story.Events, step.Source)
	switch step.Code {
	case "":
		if step.Status >= 500 {
			return fmt.Sprintf("endpoint %s answered %d itself; every attempt that the route allows was used", endpoint, step.Status)
		}
		return fmt.Sprintf("answered by endpoint %s with status %d", endpoint, step.Status)
	case types.CodeOverloaded:
		return "refused, not run: " + describeOverload(step, capacityLoss)
	case types.CodeNoEndpoint:
		return fmt.Sprintf("refused, not run: no endpoint of %s that %s knows may run it%s", step.Service, step.Source, capacityLoss)
	case types.CodePaused:
		return fmt.Sprintf("refused, not run: every endpoint of %s that %s knows asked for a pause%s", step.Service, step.Source, capacityLoss)
	case types.CodeNotReady:
		return fmt.Sprintf("refused, not run: %s knew no configuration yet", step.Source)
	case types.CodeQuarantined:
		return fmt.Sprintf("refused, not run: what it shares with others (%s) crashed several endpoints", step.Withheld)
	case types.CodeUnreachable:
		return fmt.Sprintf("not run: %s could not be reached (%s)", endpoint, step.Cause)
	case types.CodeEndpointFailed, types.CodeAnswerIncomplete:
		return describeLostConnection(lines, step, endpoint)
	case types.CodeDraining:
		if step.EndedBy != "" {
			return fmt.Sprintf("ended by the stop of %s (%s) %d ms after its begin; the request had come %d ms after it",
				step.Source, step.EndedBy, step.StopMs, step.StopArrivalMs)
		}
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

// decisiveStep returns the step that explains the result. If the daemon that
// received the request logged no error code and a status below 500, it is that
// daemon's step. Otherwise it is the last failed step, because the first daemon
// fails as a consequence of the one that it forwarded to.
func decisiveStep(steps []Line) Line {
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

func describeOverload(step Line, capacityLoss string) string {
	if step.Sent > 0 {
		return fmt.Sprintf("endpoint %s said that it has no room, and no other had any%s", lastEndpoint(step), capacityLoss)
	}
	return fmt.Sprintf("the endpoints of %s had no room for it in time; it waited %d ms%s", step.Service, step.WaitedMs, capacityLoss)
}

// describeLostConnection distinguishes a crash of the endpoint from a single lost
// response: after a crash, other requests to the endpoint fail within
// crashWindow as well.
func describeLostConnection(lines []Line, step Line, endpoint types.EndpointID) string {
	phase := "before it answered"
	if step.Code == types.CodeAnswerIncomplete {
		phase = "in the middle of its answer"
	}
	if name, isDaemon := strings.CutPrefix(string(endpoint), hopPrefix); isDaemon {
		return fmt.Sprintf("may have run: the connection to daemon %s ended %s; that daemon's log has no line on the request", name, phase)
	}
	others := 0
	for _, line := range lines {
		interrupted := line.Code == types.CodeEndpointFailed || line.Code == types.CodeAnswerIncomplete
		if interrupted && line.Request != step.Request && lastEndpoint(line) == endpoint && line.Time.Sub(step.Time).Abs() < crashWindow {
			others++
		}
	}
	if others > 0 {
		return fmt.Sprintf("may have run: endpoint %s crashed or was cut off %s (%d other requests broke there within a second)", endpoint, phase, others)
	}
	return fmt.Sprintf("may have run: endpoint %s broke off %s; no other request broke there", endpoint, phase)
}

// capacityLossReasons lists the events that reduced capacity shortly before,
// as logged by the daemon source.
func capacityLossReasons(events []Line, source string) string {
	var reasons []string
	lostEndpoints, leaving, paused := 0, 0, 0
	for _, event := range events {
		if event.Source != source {
			continue
		}
		switch event.Message {
		case "data centre is being evacuated":
			reasons = append(reasons, fmt.Sprintf("data centre %s was being evacuated", event.DataCentre))
		case "endpoint takes no more requests":
			lostEndpoints++
		case "endpoint says that it is leaving":
			leaving++
		case "endpoint asked for a pause":
			paused++
		case "daemon lost: no heartbeat in time":
			reasons = append(reasons, fmt.Sprintf("daemon %s was lost", event.Member))
		}
	}
	if lostEndpoints > 0 {
		reasons = append(reasons, fmt.Sprintf("%d endpoints had left in the seconds before", lostEndpoints))
	}
	if leaving > 0 {
		reasons = append(reasons, fmt.Sprintf("%d endpoints had said that they were leaving", leaving))
	}
	if paused > 0 {
		reasons = append(reasons, fmt.Sprintf("%d times an endpoint had asked for a pause", paused))
	}
	if len(reasons) == 0 {
		return ""
	}
	return ": " + strings.Join(reasons, ", ")
}

// Print writes the story in human-readable form.
func (s *Story) Print(out io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "request %s\n", s.Request)
	for _, event := range s.Events {
		fmt.Fprintf(&text, "  before  %s  %-20s %s%s\n", event.Time.Format(timeFormat), event.Source, event.Message, eventSubject(event))
	}
	for _, step := range s.Steps {
		fmt.Fprintf(&text, "  hop %d   %s  %-20s status %d, %s, waited %d ms, took %d ms, sent to %v%s\n", hop(step), step.Time.Format(timeFormat),
			step.Source, step.Status, step.Verdict, step.WaitedMs, step.TookMs, step.Endpoints, failureDetails(step))
	}
	fmt.Fprintf(&text, "cause: %s\n", s.Cause)
	_, err := io.WriteString(out, text.String())
	return err
}

const timeFormat = "15:04:05.000"

func eventSubject(event Line) string {
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

func failureDetails(step Line) string {
	if step.Code == "" {
		return ""
	}
	text := fmt.Sprintf(", %s: %s", step.Code, step.Reason)
	if step.Cause != "" {
		text += " (" + step.Cause + ")"
	}
	return text
}
