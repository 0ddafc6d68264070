package trace_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/trace"
)

const withheldLog = `
a-1 {"time":"2026-12-05T10:00:01Z","msg":"requests withheld: what they share crashed several endpoints","withheld":"00ff","crashes":3,"since":"2026-12-05T10:00:00.9Z","retry_at":"2026-12-05T10:10:00Z"}
b-1 {"time":"2026-12-05T10:00:02Z","msg":"requests withheld: what they share crashed several endpoints","withheld":"00ff","crashes":4,"since":"2026-12-05T10:00:01.9Z","retry_at":"2026-12-05T10:10:01Z"}
b-1 {"time":"2026-12-05T10:00:03Z","msg":"request failed","code":"quarantined","request":"q","route":"r","status":503,"withheld":"00ff"}
a-1 {"time":"2026-12-05T10:10:03Z","msg":"requests no longer withheld","withheld":"00ff"}
a-1 {"time":"2026-12-05T10:10:04Z","msg":"request answered","request":"s","route":"r","status":200}
`

var _ = Describe("What is withheld", func() {
	It("is told by trait, with the daemons that withhold it and the requests refused", func() {
		lines, _, err := trace.Read(strings.NewReader(withheldLog), "joined")
		Expect(err).NotTo(HaveOccurred())
		var out strings.Builder
		Expect(trace.PrintWithheld(trace.FindWithheld(lines), &out)).To(Succeed())
		rows := strings.Split(strings.TrimSpace(out.String()), "\n")
		Expect(rows).To(HaveLen(2))
		Expect(strings.Fields(rows[1])).To(Equal([]string{"00ff", "10:00:00.900", "4", "10:10:01.000", "1", "a-1", "b-1", "a-1"}))
	})

	It("is the cause of a refused request's story", func() {
		lines, _, err := trace.Read(strings.NewReader(withheldLog), "joined")
		Expect(err).NotTo(HaveOccurred())
		var out strings.Builder
		Expect(trace.BuildStory(lines, "q").Print(&out)).To(Succeed())
		Expect(out.String()).To(ContainSubstring("what it shares with others (00ff) crashed several endpoints"))
	})
})
