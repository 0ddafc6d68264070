package trace_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/trace"
)

// heavyLog holds lines of two daemons: a stream in time, late ones for three
// reasons, refusals, and the second line of a forwarded request.
const heavyLog = `
natal-1 {"time":"2026-09-09T10:00:01Z","msg":"request answered","request":"a","route":"sum","status":200,"took_ms":500,"first_ms":90,"objective_ms":800,"gap_ms":40,"longest_gap_ms":600}
natal-1 {"time":"2026-09-09T10:00:04Z","msg":"request answered","request":"b","route":"sum","status":200,"took_ms":3500,"first_ms":1200,"waited_ms":700,"objective_ms":800}
natal-1 {"time":"2026-09-09T10:00:04Z","msg":"request answered","request":"c","route":"sum","status":200,"took_ms":3500,"first_ms":1200,"waited_ms":10,"objective_ms":800}
natal-1 {"time":"2026-09-09T10:00:04Z","msg":"request answered","request":"d","route":"sum","status":200,"took_ms":3500,"first_ms":200,"gap_ms":900,"longest_gap_ms":600,"objective_ms":800}
natal-1 {"time":"2026-09-09T10:00:01Z","msg":"request failed","request":"e","route":"sum","status":503,"code":"overloaded","reason":"no room","lines_skipped":7}
natal-1 {"time":"2026-09-09T10:00:03.9Z","msg":"request failed","request":"f","route":"sum","status":503,"code":"overloaded","reason":"no room","took_ms":2000}
suape-1 {"time":"2026-09-09T10:00:01Z","msg":"request failed","request":"f","route":"sum","status":503,"code":"overloaded","reason":"no room","from":"10.0.0.1:1"}
suape-1 {"time":"2026-09-09T10:00:01Z","msg":"request failed","request":"g","route":"order","status":500,"took_ms":10}
suape-1 {"time":"2026-09-09T10:00:01Z","msg":"request answered","request":"h","route":"order","status":200,"took_ms":900,"objective_ms":500}
suape-1 {"time":"2026-09-09T10:00:01Z","msg":"daemon seen"}
`

var _ = Describe("losses", func() {
	count := func(losses trace.Losses, source, route, result string) int {
		total := 0
		for outcome, n := range losses.Counts {
			if outcome.Source == source && outcome.Route == route && strings.HasPrefix(outcome.Result, result) {
				total += n
			}
		}
		return total
	}

	It("count the requests of callers by outcome, each once", func() {
		lines, _, err := trace.Read(strings.NewReader(heavyLog), "joined")
		Expect(err).NotTo(HaveOccurred())
		losses := trace.CountLosses(lines, 2*time.Second)
		Expect(count(losses, "natal-1", "sum", "answered")).To(Equal(1))
		Expect(count(losses, "natal-1", "sum", "late: waited for capacity")).To(Equal(1))
		Expect(count(losses, "natal-1", "sum", "late: the endpoint started late")).To(Equal(1))
		Expect(count(losses, "natal-1", "sum", "late: a pause between events")).To(Equal(1))
		Expect(count(losses, "natal-1", "sum", "overloaded: no room")).To(Equal(2))
		Expect(count(losses, "suape-1", "sum", "")).To(BeZero())
		Expect(count(losses, "suape-1", "order", "status 500")).To(Equal(1))
		Expect(count(losses, "suape-1", "order", "late: the endpoint took too long")).To(Equal(1))
		Expect(losses.Unlogged).To(Equal(map[string]int{"natal-1": 7}))
	})

	It("are counted in the interval in which the request arrived", func() {
		lines, _, err := trace.Read(strings.NewReader(heavyLog), "joined")
		Expect(err).NotTo(HaveOccurred())
		starts := map[string]int{}
		for outcome, n := range trace.CountLosses(lines, time.Second).Counts {
			starts[outcome.Start.Format("05")] += n
		}
		Expect(starts).To(HaveKeyWithValue("01", 2)) // e and f
	})

	It("are printed as a table", func() {
		lines, _, err := trace.Read(strings.NewReader(heavyLog), "joined")
		Expect(err).NotTo(HaveOccurred())
		var table strings.Builder
		Expect(trace.CountLosses(lines, 2*time.Second).Print(&table)).To(Succeed())
		Expect(table.String()).To(ContainSubstring("late: waited for capacity"))
		Expect(table.String()).To(MatchRegexp(`not logged +natal-1 +7`))
	})
})
