package trace_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/trace"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestTrace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "trace")
}

// simulatedLog holds log lines of a simulated day on which the clocks of two
// daemons were 60 ms apart.
const simulatedLog = `
   5.0001 singapore-2 {"time":"2026-09-09T19:43:42.867Z","level":"info","msg":"endpoint takes no more requests","endpoint":"i-80","service":"s"}
   5.0001 singapore-2 {"time":"2026-09-09T19:43:42.867Z","level":"warning","msg":"data centre is being evacuated","data_centre":"frankfurt-a"}
not a line of ours
   9.1 colombo-2 {"time":"2026-09-09T19:43:48.649Z","level":"warning","msg":"request failed","code":"endpoint_failed","endpoints":["daemon 10.5.0.20:8646"],"reason":"refused by the other daemon","region":"singapore","request":"crash","service":"s","status":502,"sent":2,"took_ms":2625,"verdict":"may-have-run","waited_ms":0}
   9.1 singapore-2 {"time":"2026-09-09T19:43:48.591Z","level":"warning","msg":"request failed","cause":"read: connection timed out","code":"endpoint_failed","endpoints":["i-e4"],"from":"10.1.0.30:8646","reason":"the connection to the endpoint broke","request":"crash","service":"s","status":502,"sent":1,"took_ms":2500,"verdict":"may-have-run","waited_ms":0}
   9.2 colombo-3 {"time":"2026-09-09T19:43:48.9Z","level":"warning","msg":"request failed","code":"answer_incomplete","endpoints":["i-e4"],"request":"beside","service":"s","status":502,"sent":1,"verdict":"may-have-run"}
   9.3 colombo-3 {"time":"2026-09-09T19:43:49.9Z","level":"warning","msg":"request failed","code":"endpoint_failed","endpoints":["i-77"],"request":"lost","service":"s","status":502,"sent":1,"verdict":"may-have-run"}
   9.4 singapore-2 {"time":"2026-09-09T19:43:46.073Z","level":"warning","msg":"request failed","code":"overloaded","from":"10.1.0.30:8646","reason":"the service has no room in time","request":"full","service":"s","status":503,"verdict":"not-run"}
   9.4 colombo-2 {"time":"2026-09-09T19:43:46.421Z","level":"info","msg":"request answered","endpoints":["daemon 10.2.0.11:8646","i-af"],"request":"second","service":"s","status":200,"sent":1,"took_ms":422,"verdict":"ran","waited_ms":339}
   9.4 singapore-2 {"time":"2026-09-09T19:43:46.073Z","level":"warning","msg":"request failed","code":"overloaded","from":"10.1.0.30:8646","request":"second","service":"s","status":503,"verdict":"not-run"}
   9.5 colombo-2 {"time":"2026-09-09T19:43:47Z","level":"warning","msg":"request failed","code":"deadline_exceeded","endpoints":["i-af"],"request":"slow","service":"s","status":504,"sent":1,"took_ms":4000,"verdict":"may-have-run","waited_ms":300}
   9.6 colombo-2 {"time":"2026-09-09T19:43:47Z","level":"warning","msg":"request failed","endpoints":["i-81","i-82"],"request":"own","service":"s","status":500,"sent":2,"verdict":"ran"}
   9.6 kandy-1 {"time":"2026-09-09T19:43:46.5Z","level":"info","msg":"endpoint says that it is leaving","endpoint":"i-91","service":"s"}
   9.6 kandy-1 {"time":"2026-09-09T19:43:46.6Z","level":"info","msg":"endpoint asked for a pause","endpoint":"i-92","pause":"2s","service":"s"}
   9.6 kandy-1 {"time":"2026-09-09T19:43:47Z","level":"warning","msg":"request failed","code":"paused","reason":"every endpoint of the service asked for a pause","request":"paused","service":"s","status":503,"verdict":"not-run"}
   9.7 colombo-3 {"time":"2026-09-09T19:43:47Z","level":"warning","msg":"request failed","code":"endpoint_failed","endpoints":["daemon 10.9.9.9:1"],"request":"hop","service":"s","status":502,"sent":2,"verdict":"may-have-run"}
   9.8 colombo-2 {"time":"2026-09-09T19:43:47Z","level":"warning","msg":"request failed","code":"answer_incomplete","ended_by":"daemon","endpoints":["daemon 10.9.9.9:1"],"request":"stopped","service":"s","status":502,"sent":1,"verdict":"may-have-run"}
   9.8 singapore-2 {"time":"2026-09-09T19:43:47Z","level":"warning","msg":"request failed","code":"draining","ended_by":"cut","endpoints":["i-82"],"from":"10.1.0.30:8646","reason":"this daemon stops","request":"stopped","service":"s","status":502,"sent":1,"stop_arrival_ms":2100,"stop_ms":7520,"verdict":"may-have-run"}
`

var _ = Describe("a story", func() {
	lines, skipped, err := trace.Read(strings.NewReader(simulatedLog), "joined")

	It("is read from a merged log, skipping lines that are not JSON", func() {
		Expect(err).NotTo(HaveOccurred())
		Expect(skipped).To(Equal(2))
		Expect(lines[0].Source).To(Equal("singapore-2"))
	})

	It("is read whole from a log with a line that is too long", func() {
		long := `colombo-2 {"msg":"` + strings.Repeat("x", 1<<20) + "\"}\n"
		for _, log := range []string{long + simulatedLog, simulatedLog + long, simulatedLog + strings.TrimSpace(long)} {
			found, skippedLines, err := trace.Read(strings.NewReader(log), "joined")
			Expect(err).NotTo(HaveOccurred())
			Expect(found).To(Equal(lines))
			Expect(skippedLines).To(Equal(skipped + 1))
		}
	})

	It("begins with the daemon that received the request, even if its line has the later time", func() {
		story := trace.BuildStory(lines, "crash")
		Expect(story.Steps).To(HaveLen(2))
		Expect(story.Steps[0].Source).To(Equal("colombo-2"))
	})

	DescribeTable("states the cause", func(id string, want ...string) {
		story := trace.BuildStory(lines, types.RequestID(id))
		for _, substring := range want {
			Expect(story.Cause).To(ContainSubstring(substring))
		}
		var out strings.Builder
		Expect(story.Print(&out)).To(Succeed())
		Expect(out.String()).To(ContainSubstring("cause: " + story.Cause))
	},
		Entry("an endpoint crash after a hop", "crash", "may have run", "i-e4 crashed", "1 other"),
		Entry("a stop of the daemon at the other end of a hop", "stopped", "ended by the stop of singapore-2 (cut) 7520 ms", "2100 ms"),
		Entry("a lost response", "lost", "may have run", "i-77", "no other request broke there"),
		Entry("no capacity, with the reason", "full", "not run", "no room", "frankfurt-a was being evacuated", "1 endpoints had left"),
		Entry("a response after a refusal by another daemon", "second", "answered by endpoint i-af"),
		Entry("a pause of all endpoints", "paused", "not run", "every endpoint of s that kandy-1 knows asked for a pause", "1 endpoints had said that they were leaving", "1 times an endpoint had asked for a pause"),
		Entry("a deadline", "slow", "300 ms waiting", "3700 ms at endpoint i-af"),
		Entry("an error status from the endpoint", "own", "i-82 answered 500 itself"),
		Entry("a lost daemon", "hop", "10.9.9.9:1", "no line on the request"),
	)

	It("is nil for a request that no line is about", func() {
		Expect(trace.BuildStory(lines, "unknown")).To(BeNil())
	})
})
