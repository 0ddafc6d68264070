// Package trace joins the log lines of several daemons into the story of one
// request and names the cause of its failure. It reads lines that package
// gateway writes; it opens no file and no connection.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// Line is one log line with the fields that a story needs.
type Line struct {
	// Source tells the daemon that wrote the line: what stands before it in a
	// joined log, or else the name of its file.
	Source string `json:"-"`

	Time    time.Time `json:"time"`
	Message string    `json:"msg"`

	// The fields below are those of lines about requests.
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
	// Config is the version of the configuration that decided.
	Config uint64 `json:"config"`

	// The fields below are those of lines about what a daemon believes.
	VM         types.VMID       `json:"vm"`
	Endpoint   types.EndpointID `json:"endpoint"`
	DataCentre types.DataCentre `json:"data_centre"`
	Member     types.VMID       `json:"member"`
	Version    uint64           `json:"version"`
}

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// Read returns the lines of a log. Text before the JSON object of a line, as a
// log collector may put it there, names its source. Lines that hold no JSON
// object are skipped and counted.
func Read(log io.Reader, source string) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		before, object, found := bytes.Cut(scanner.Bytes(), []byte("{"))
		if !found {
			skipped++
			continue
		}
		line := Line{Source: source}
		if err := json.Unmarshal(append([]byte("{"), object...), &line); err != nil {
			skipped++
			continue
		}
		if words := strings.Fields(string(before)); len(words) > 0 {
			line.Source = words[len(words)-1]
		}
		lines = append(lines, line)
	}
	return lines, skipped, eris.Wrap(scanner.Err(), "log")
}
