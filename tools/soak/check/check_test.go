package check_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/platform/standin"
	"github.com/flamingomount/flamingomount/tools/soak/check"
)

func TestCheck(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "check")
}

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func after(d time.Duration) time.Time {
	return start.Add(d)
}

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

func run(id, path, endpoint string, at time.Duration) standin.Run {
	return standin.Run{ID: id, Path: path, Endpoint: endpoint, Service: "s", Started: after(at), Ended: after(at + 40*time.Millisecond)}
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
		Allowed: func(standin.Run) bool { return true },
		Timed:   true,
	}
}

var _ = Describe("All", func() {
	It("finds nothing where nothing broke", func() {
		Expect(check.All(record())).To(BeEmpty())
	})

	DescribeTable("finds what broke", func(plant func(r *check.Record), want string) {
		r := record()
		plant(r)
		Expect(check.All(r)).To(ContainElement(HavePrefix(want)))
	},
		Entry("an order that ran twice", func(r *check.Record) {
			r.Runs = append(r.Runs, run("a", standin.OrderPath, "e2", time.Second))
		}, "twice: a"),
		Entry("a request at three endpoints", func(r *check.Record) {
			r.Runs = append(r.Runs, run("c", standin.StatusPath, "e1", 3*time.Second), run("c", standin.StatusPath, "e3", 3*time.Second))
		}, "attempts: c"),
		Entry("a stream that goes on while its first run lasts", func(r *check.Record) {
			r.Runs[1].Ended = after(3 * time.Second)
			second := run("b", standin.ReportPath, "e2", 1100*time.Millisecond)
			second.Resumed = true
			r.Runs = append(r.Runs, second)
		}, "twice: b"),
		Entry("another request's answer", func(r *check.Record) { r.Calls[0].Outcome.ID = "z" }, "mixed: a"),
		Entry("an answer without a signature", func(r *check.Record) { r.Calls[0].Outcome.Sealed = false }, "mixed: a"),
		Entry("half a stream that looks complete", func(r *check.Record) {
			r.Calls[1].Outcome.Body = standin.Event("b", 1)
		}, "mixed: b"),
		Entry("an event twice", func(r *check.Record) {
			r.Calls[1].Outcome.Complete = false
			r.Calls[1].Outcome.Body = standin.Event("b", 1) + standin.Event("b", 1)
		}, "mixed: b"),
		Entry("a refused order that ran", func(r *check.Record) { r.Calls[0].Outcome = standin.Outcome{Status: 503, Complete: true} }, "refused: a"),
		Entry("a run that nobody sent", func(r *check.Record) {
			r.Runs = append(r.Runs, run("z", standin.OrderPath, "e1", 0))
		}, "unasked: z"),
		Entry("a run that no configuration allows", func(r *check.Record) {
			r.Allowed = func(run standin.Run) bool { return run.Endpoint != "e2" }
		}, "route: c"),
		Entry("an answer cut off by a planned stop", func(r *check.Record) {
			r.Stops = []check.Span{{From: after(-time.Second), To: after(time.Second), Daemon: "d1"}}
			r.Calls[0].Outcome.Complete = false
			r.Calls[0].Outcome.Body = ""
		}, "lost: a"),
		Entry("an endpoint used too long after it was told to leave", func(r *check.Record) {
			r.Changes = []check.Change{{What: "leaving", At: after(-2 * time.Second), Within: 3 * time.Second,
				Forbids: func(run standin.Run) bool { return run.Endpoint == "e2" }}}
		}, "late: c"),
		Entry("callers that are refused though nothing is wrong", func(r *check.Record) {
			for range 30 {
				refused := served("r", standin.StatusPath, 0)
				refused.Outcome = standin.Outcome{Status: 503, Complete: true}
				r.Calls = append(r.Calls, refused)
			}
		}, "unserved"),
	)

	It("excuses what a fault shortly before may have caused", func() {
		r := record()
		r.Changes = []check.Change{{What: "leaving", At: after(-2 * time.Second), Within: 3 * time.Second,
			Forbids: func(run standin.Run) bool { return run.Endpoint == "e2" }}}
		r.Faults = []check.Span{{From: after(-time.Second), To: after(-time.Second), Daemon: "d1"}}
		Expect(check.All(r)).To(BeEmpty())
	})
})
