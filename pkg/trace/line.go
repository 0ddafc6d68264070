// Package trace reconstructs the history of one request from the log lines of
// several daemons and states the cause of its failure. It reads the lines that
// package gateway writes; it opens no files and no connections.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// Line is a log line, reduced to the fields that a Story needs.
type Line struct {
	// Source identifies the daemon that wrote the line: the last word before
	// the JSON object in a merged log, or else the source passed to Read, which
	// is the name of the log file.
	Source string `json:"-"`

	Time    time.Time `json:"time"`
	Message string    `json:"msg"`

	// The fields below are set in lines about requests.
	Request   types.RequestID    `json:"request"`
	Route     string             `json:"route"`
	Service   types.ServiceName  `json:"service"`
	From      types.VMID         `json:"from"`
	Endpoints []types.EndpointID `json:"endpoints"`
	Region    types.Region       `json:"region"`
	Code      types.Code         `json:"code"`
	Reason    string             `json:"reason"`
	Cause     string             `json:"cause"`
	Status    int                `json:"status"`
	Sent      int                `json:"sent"`
	Verdict   string             `json:"verdict"`
	TookMs    int64              `json:"took_ms"`
	WaitedMs  int64              `json:"waited_ms"`
	// FirstMs is the time to the first event of a stream and GapMs the longest
	// gap between two events.
	FirstMs int64 `json:"first_ms"`
	GapMs   int64 `json:"gap_ms"`
	// ObjectiveMs and LongestGapMs are the route's targets for FirstMs, or the
	// time to the response, and for GapMs; zero means none.
	ObjectiveMs  int64 `json:"objective_ms"`
	LongestGapMs int64 `json:"longest_gap_ms"`
	// EndedBy is what ended a request without a whole answer. StopMs and StopArrivalMs
	// are the times from the begin of the daemon's stop until its end and its arrival.
	EndedBy       string `json:"ended_by"`
	StopMs        int64  `json:"stop_ms"`
	StopArrivalMs int64  `json:"stop_arrival_ms"`
	// Skipped counts the requests before this one that have no line.
	Skipped int `json:"lines_skipped"`
	// Config is the version of the configuration that the decision was based
	// on.
	Config uint64 `json:"config"`

	// The fields below are set in lines about a daemon's view of the fleet.
	VM         types.VMID       `json:"vm"`
	Endpoint   types.EndpointID `json:"endpoint"`
	DataCentre types.DataCentre `json:"data_centre"`
	Member     types.VMID       `json:"member"`
	Version    uint64           `json:"version"`

	// Withheld is the trait of which the line tells that it is withheld, or because of
	// which the request was refused. The rest is set in lines of the first kind.
	Withheld string    `json:"withheld"`
	Since    time.Time `json:"since"`
	RetryAt  time.Time `json:"retry_at"`
	Crashes  int       `json:"crashes"`
}

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Read parses a log. If a log collector has put text before the JSON object of
// a line, the last word of that text becomes the line's source; otherwise the
// source is the given one. Lines without a valid JSON object, and those longer
// than maxLineBytes, are skipped and counted.
func Read(log io.Reader, source string) (lines []Line, skipped int, err error) {
	reader := bufio.NewReaderSize(log, maxLineBytes)
	for {
		text, err := readLine(reader)
		if errors.Is(err, io.EOF) {
			return lines, skipped, nil
		}
		if err != nil && !errors.Is(err, errLineTooLong) {
			return lines, skipped, eris.Wrap(err, "log")
		}
		line, ok := parseLine(text, source)
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
}

// errLineTooLong means that a line is longer than maxLineBytes.
var errLineTooLong = errors.New("line too long")

// readLine reads to the end of a line. It returns errLineTooLong, without the
// text, for one that is too long.
func readLine(reader *bufio.Reader) ([]byte, error) {
	text, isPrefix, err := reader.ReadLine()
	if !isPrefix || err != nil {
		return text, err
	}
	for isPrefix && err == nil {
		_, isPrefix, err = reader.ReadLine()
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return nil, errLineTooLong
}

// parseLine parses a line, and reports whether it holds a valid JSON object.
func parseLine(text []byte, source string) (Line, bool) {
	prefix, object, found := bytes.Cut(text, []byte("{"))
	if !found {
		return Line{}, false
	}
	line := Line{Source: source}
	if err := json.Unmarshal(append([]byte("{"), object...), &line); err != nil {
		return Line{}, false
	}
	if words := strings.Fields(string(prefix)); len(words) > 0 {
		line.Source = words[len(words)-1]
	}
	return line, true
}
