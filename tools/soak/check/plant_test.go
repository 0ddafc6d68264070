package check_test

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
	"github.com/flamingomount/flamingomount/platform/standin"
	"github.com/flamingomount/flamingomount/tools/soak/check"
)

// served is a call that was answered as it should be.
func served(id, path string, at time.Duration) check.Call {
	body := standin.ExpectedBody(id, "POST", path, nil)
	if path == standin.AskPath || path == standin.ReportPath {
		body = standin.ExpectedStream(id)
	}
	return check.Call{
		Call:    standin.Call{ID: id, Method: "POST", Path: path, Timeout: 5 * time.Second},
		Outcome: standin.Outcome{Status: 200, Complete: true, ID: id, Sealed: true, Body: body},
		Daemon:  "d1", Sent: after(at), Ended: after(at + 50*time.Millisecond),
	}
}

// cut is a call whose connection ended without an answer after the whole request
// was sent, that long before.
func cut(id string, at, read time.Duration, reused bool) check.Call {
	call := served(id, standin.StatusPath, at)
	call.Ended = after(at + read + time.Millisecond)
	call.Outcome = standin.Outcome{Connected: true, Reused: reused, Written: after(at + time.Millisecond)}
	return call
}

func arrival(id, endpoint string, at time.Duration, result standin.Result) standin.Arrival {
	return standin.Arrival{ID: id, Path: standin.StatusPath, Endpoint: endpoint, Service: "s", At: after(at), From: "d1#1", Result: result}
}

// repeated returns the arrivals of so many requests, each at two endpoints, which
// answered as given.
func repeated(requests int, at time.Duration, result standin.Result) []standin.Arrival {
	var found []standin.Arrival
	for number := range requests {
		id := fmt.Sprint("r", number)
		found = append(found, arrival(id, "e1", at, result), arrival(id, "e2", at+time.Millisecond, result))
	}
	return found
}

// again lets an endpoint start again under its ID after 0.9 s, cold, and requests reach it
// at these times.
func again(r *check.Record, times ...time.Duration) {
	started := after(900 * time.Millisecond)
	r.Colds = []check.Cold{
		{Endpoint: "e1", From: after(0), To: after(900 * time.Millisecond), Most: 2.5},
		{Endpoint: "e1", StartedAt: started, From: started, To: after(4 * time.Second), Most: 2.5},
	}
	for at, arrived := range times {
		one := arrival(string(rune('p'+at)), "e1", arrived, standin.Answered)
		one.StartedAt = started
		r.Arrivals = append(r.Arrivals, one)
	}
}

// versions publishes version 1 at the start and version 2 a second later.
func versions(r *check.Record) {
	r.ConfigWithin = time.Second
	r.Markers = []check.Marker{{Version: 1, From: after(0), Acknowledged: after(0)}, {Version: 2, From: after(900 * time.Millisecond), Acknowledged: after(time.Second)}}
}

// probe is a call of the route of a version, which a process answered.
func probe(version uint64, status int, at time.Duration, process string) check.Call {
	call := served(fmt.Sprintf("probe-%d-%s", version, at), "/marker", at)
	call.Direct, call.Marker, call.Process = true, version, process
	if call.Outcome.Status = status; status != 200 {
		call.Outcome.Sealed = false
	}
	return call
}

func run(id, path, endpoint string, at time.Duration) standin.Run {
	return standin.Run{ID: id, Path: path, Endpoint: endpoint, Service: "s", Started: after(at), Ended: after(at + 40*time.Millisecond)}
}

// visited is a call of a caller that speaks on its connection itself, sent whole at a time
// and ended that long after without an answer.
func visited(id string, at, took time.Duration) check.Call {
	call := cut(id, at, took, true)
	call.Manner = &check.Manner{Connection: check.Pipelined, Framing: check.Whole}
	call.Outcome.Err = io.EOF
	return call
}

// deadly plants five crashes by the deadly part, a second apart from the start, and so
// many requests with it that reach an endpoint at a time.
func deadly(r *check.Record, requests int, at time.Duration) {
	for second := range 5 {
		r.Deadly = append(r.Deadly, after(time.Duration(second)*time.Second))
	}
	for number := range requests {
		call := served(fmt.Sprint("deadly", number), standin.AskPath, at)
		call.Parts = check.DeadlyPart + ":1,ff:1"
		r.Calls = append(r.Calls, call)
		r.Arrivals = append(r.Arrivals, arrival(call.ID, "e1", at, standin.Answered))
	}
}

// led plants requests of a route whose home is the north, of callers of the south: so many
// at a daemon of the west and the others at one of the south, one each 10 ms from a time on.
func led(r *check.Record, out, requests int, from time.Duration) {
	for number := range requests {
		call := served(fmt.Sprint("led", number), standin.ReportPath, from+time.Duration(number)*10*time.Millisecond)
		call.Body, call.Region, call.Daemon, call.Outcome.Connected = nil, "south", "d2", true
		call.Outcome.Body = standin.ExpectedStreamAt(call.Path, call.ID)
		if number < out {
			call.Daemon = "d3"
		}
		r.Calls = append(r.Calls, call)
	}
}

// record is a run in which nothing broke; each test plants one fault.
func record() *check.Record {
	return &check.Record{
		Calls: []check.Call{
			served("a", standin.OrderPath, 0), served("b", standin.ReportPath, time.Second), served("c", standin.StatusPath, 2*time.Second),
		},
		Runs: []standin.Run{
			run("a", standin.OrderPath, "e1", 0), run("b", standin.ReportPath, "e1", time.Second), run("c", standin.StatusPath, "e2", 2*time.Second),
		},
		Allowed:  func(standin.Run) bool { return true },
		Services: func(check.Call) []types.ServiceName { return []types.ServiceName{"s"} },
		Timed:    true, LeastServed: 0.95,
		Homes: func(call check.Call) []types.Region {
			if strings.HasPrefix(call.Path, standin.ReportPath) {
				return []types.Region{"north"}
			}
			return nil
		},
		RegionOf: map[string]types.Region{"d1": "north", "d2": "south", "d3": "west"},
		Budget:   check.Budget{Ratio: 0.2, Slack: 3, Window: 5 * time.Second},
		Grace:    4 * time.Second, ConfigWithin: 3 * time.Second, DrainWithin: 3 * time.Second, RouteTimeout: 4 * time.Second, MaxAttempts: 2,
	}
}

// resumedInVain plants a request that ends while its daemon stops: its first endpoint gave
// a result, and the next one refused it. The status is what the caller read, 0 for none.
func resumedInVain(r *check.Record, first standin.Result, status int) {
	r.Stops = []check.Span{{From: after(0), To: after(4 * time.Second), Daemon: "d1"}}
	call := cut("x", time.Second, time.Second, true)
	call.Outcome.Status, call.Outcome.ID, call.Outcome.Sealed = status, call.ID, status != 0
	r.Calls = append(r.Calls, call)
	r.Arrivals = append(r.Arrivals, arrival("x", "e1", time.Second, first), arrival("x", "e2", 1900*time.Millisecond, standin.Refused))
}
