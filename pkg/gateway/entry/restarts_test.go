package entry_test

import (
	"bytes"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/entry"
)

var _ = Describe("the log of restarts", func() {
	restart := balance.Restart{
		Endpoint:      &catalog.Endpoint{ID: "e1", Service: "svc", StartedAt: 9, Cold: 2 * time.Second},
		PreviousStart: 7, SentLately: 5, Limited: true,
	}

	It("tells both starts, and what the endpoint got before they were known", func() {
		var out bytes.Buffer
		entry.NewRestartLog(entry.NewLog(&out)).Record([]balance.Restart{restart})
		for _, part := range []string{
			"endpoint started again under its ID", `"endpoint":"e1"`, `"started_at":9`, `"previous_start":7`, `"cold":"2s"`, `"sent_lately":5`, `"limited_before":true`,
		} {
			Expect(out.String()).To(ContainSubstring(part))
		}
	})

	It("is bounded when very many endpoints start again at once", func() {
		var out bytes.Buffer
		log := entry.NewRestartLog(entry.NewLog(&out))
		began := time.Now()
		for range 2000 {
			log.Record([]balance.Restart{restart})
		}
		allowed := float64(entry.RestartLines) * (3 + time.Since(began).Seconds())
		Expect(strings.Count(out.String(), "\n")).To(BeNumerically("<=", allowed))
	})
})
