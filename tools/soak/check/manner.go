package check

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/platform/standin"
)

// Connection is the place of a request on its connection.
type Connection string

// Places of requests on their connections.
const (
	// New: the first request.
	New Connection = "new"
	// Kept: sent after the answer to the request before.
	Kept Connection = "kept"
	// Pipelined: sent without waiting for the answer to the request before.
	Pipelined Connection = "pipelined"
)

// Framing is the way in which a request is sent.
type Framing string

// Ways in which requests are sent.
const (
	// Whole: in one piece, the body with a length.
	Whole Framing = "whole"
	// HalfHead and HalfBody: with a pause in the middle of the head or the body.
	HalfHead Framing = "half-head"
	HalfBody Framing = "half-body"
	// Chunks: the body in chunks, with a pause between them.
	Chunks Framing = "chunks"
)

// Manner is how a caller sent a request and read its answer.
type Manner struct {
	Connection Connection
	Framing    Framing
	// PiecePause is the pause in the middle of the request.
	PiecePause time.Duration
	// ReadFirst is the number of bytes of the body after which the caller stops reading
	// for ReadPause.
	ReadFirst int64
	ReadPause time.Duration
	// Idle is the time between the end of the answer before, or the begin of the connection,
	// and this request.
	Idle time.Duration
	// CloseAnnounced is when the caller had read that the connection will be closed;
	// zero if it never was.
	CloseAnnounced time.Time
}

// delays reports whether the caller itself makes the answer late: by requests before it,
// by a pause in the request or in reading.
func (m *Manner) delays() bool {
	return m != nil && (m.Connection == Pipelined || m.PiecePause > 0 || m.ReadPause > 0)
}

// goneSlack is how long before the end of its process a request may be sent and get no
// answer.
const goneSlack = 200 * time.Millisecond

// silent checks that a whole request on an open connection whose close was not
// announced gets an answer, at least a refusal, unless its process was about to end.
func (r *Record) silent(arrivals map[string][]standin.Arrival) []string {
	var broken []string
	for _, call := range r.Calls {
		if r.endedSilently(call, arrivals[call.ID]) {
			broken = append(broken, fmt.Sprintf("silent: %s, %s%s: %v",
				describe(call, arrivals[call.ID]), r.class(call, arrivals[call.ID]), r.course(call), call.Outcome.Err))
		}
	}
	return broken
}

// endedSilently reports whether a call's connection ended where it had to be answered.
func (r *Record) endedSilently(call Call, arrivals []standin.Arrival) bool {
	out := call.Outcome
	if call.Manner == nil || out.Status != 0 || out.Written.IsZero() || isTimeout(out.Err) {
		return false
	}
	if announced := call.Manner.CloseAnnounced; !announced.IsZero() && announced.Before(out.Written) {
		return false
	}
	if len(arrivals) > 0 && !r.sound(arrivals[len(arrivals)-1]) || r.disturbed(call.Daemon, call.Sent, call.Ended) {
		return false
	}
	return !slices.ContainsFunc(r.Stops, func(stop Span) bool {
		return stop.Daemon == call.Daemon && out.Written.After(stop.From) && out.Written.After(stop.To.Add(-goneSlack)) && out.Written.Before(stop.To.Add(goneSlack))
	})
}

// course tells when a call was sent, on its connection and in a stop of its daemon.
func (r *Record) course(call Call) string {
	text := fmt.Sprintf(", on a connection that had waited for %s", call.Manner.Idle.Round(time.Millisecond))
	if stop, found := r.stopOf(call, r.Grace+time.Second); found {
		text += fmt.Sprintf(", sent %s to %s after the signal to its process, ended %s after it, its process %s after it",
			call.Sent.Sub(stop.From).Round(time.Millisecond), call.Outcome.Written.Sub(stop.From).Round(time.Millisecond),
			call.Ended.Sub(stop.From).Round(time.Millisecond), stop.To.Sub(stop.From).Round(time.Millisecond))
	}
	return text
}

func isTimeout(err error) bool {
	return eris.Is(err, os.ErrDeadlineExceeded)
}

// class names the class of a call: stream or not, local or over a hop, when its last
// byte was sent after SIGTERM, framing, connection.
func (r *Record) class(call Call, arrivals []standin.Arrival) string {
	kind, way, when := "plain", "no endpoint", "no stop"
	if standin.IsStream(call.Path) {
		kind = "stream"
	}
	if len(arrivals) > 0 {
		way = "local"
		if DaemonOf(arrivals[len(arrivals)-1].From) != call.Daemon {
			way = "hop"
		}
	}
	if stop, found := r.stopOf(call, r.Grace); found {
		when = sinceSignal(call.Outcome.Written.Sub(stop.From))
	}
	manner := string(call.Manner.Framing)
	if call.Manner.ReadPause > 0 {
		manner += ", slow reader"
	}
	return strings.Join([]string{kind, way, when, manner, string(call.Manner.Connection)}, " | ")
}

// sinceSignal names the time between SIGTERM and the last byte of a request.
func sinceSignal(after time.Duration) string {
	const early = 3 * time.Second
	switch {
	case after < 0:
		return "before"
	case after < early:
		return "0 to 3 s"
	}
	return "3 s on"
}

// Tally counts the calls of a class.
type Tally struct {
	Class string
	// Sent counts the calls that were sent whole, Answered those with a whole answer or
	// a refusal, Excused those whose endpoint worked in the last sixth of the grace
	// period, Cut the others that were cut, Silent those without any answer.
	Sent, Answered, Excused, Cut, Silent int
	// Elsewhere counts the calls that were cut while the caller's daemon did not stop.
	Elsewhere int
}

// Tallies counts, by class, the calls that were sent in a manner of their own, in the
// order of the classes.
func Tallies(r *Record) []Tally {
	arrivals := make(map[string][]standin.Arrival)
	for _, arrival := range r.Arrivals {
		arrivals[arrival.ID] = append(arrivals[arrival.ID], arrival)
	}
	byClass := make(map[string]*Tally)
	for _, call := range r.Calls {
		if call.Manner == nil || call.Outcome.Written.IsZero() {
			continue
		}
		class := r.class(call, arrivals[call.ID])
		if byClass[class] == nil {
			byClass[class] = &Tally{Class: class}
		}
		r.count(byClass[class], call, arrivals[call.ID])
	}
	var found []Tally
	for _, tally := range byClass {
		found = append(found, *tally)
	}
	slices.SortFunc(found, func(a, b Tally) int { return strings.Compare(a.Class, b.Class) })
	return found
}

func (r *Record) count(tally *Tally, call Call, arrivals []standin.Arrival) {
	stop, stopping := r.stopOf(call, r.Grace+time.Second)
	tally.Sent++
	switch {
	case call.Outcome.Complete:
		tally.Answered++
	case r.endedSilently(call, arrivals):
		tally.Silent++
	case call.Outcome.Status == 0 || !r.cutOff(call, arrivals):
	case stopping && r.atWork(call.Outcome.Written, call, arrivals, stop):
		tally.Excused++
	case stopping:
		tally.Cut++
	default:
		tally.Elsewhere++
	}
}
