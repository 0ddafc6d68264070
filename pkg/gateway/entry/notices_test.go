package entry_test

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/entry"
	"github.com/flamingomount/flamingomount/pkg/types"
)

var _ = Describe("the log of what endpoints say of themselves", func() {
	var out bytes.Buffer
	var registry *prometheus.Registry
	var observe func(*catalog.Endpoint, balance.Notice, balance.Change)
	endpoint := &catalog.Endpoint{ID: "e1", Service: "svc", StartedAt: 7}
	BeforeEach(func() {
		out.Reset()
		registry = prometheus.NewRegistry()
		observe = entry.NewNoticeLog(entry.NewLog(&out), registry, func() time.Duration { return 90 * time.Minute }).Observe
	})
	value := func(name string) float64 {
		families, err := registry.Gather()
		Expect(err).NotTo(HaveOccurred())
		for _, family := range families {
			if family.GetName() == name {
				metric := family.GetMetric()[0]
				return metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
			}
		}
		Fail("no metric " + name)
		return 0
	}

	It("has one line for each change of state, and counts every pause that was asked for", func() {
		until := time.Date(2026, 12, 4, 8, 0, 2, 0, time.UTC)
		observe(endpoint, balance.Notice{Leaving: true}, balance.Change{Leaving: true})
		observe(endpoint, balance.Notice{Leaving: true}, balance.Change{})
		observe(endpoint, balance.Notice{Backoff: 2 * time.Second}, balance.Change{PausedUntil: until})
		observe(endpoint, balance.Notice{Backoff: time.Second}, balance.Change{})
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		Expect(lines).To(HaveLen(2))
		Expect(lines[0]).To(And(ContainSubstring("endpoint says that it is leaving"), ContainSubstring(`"endpoint":"e1"`), ContainSubstring(`"started_at":7`)))
		Expect(lines[1]).To(And(ContainSubstring("endpoint asked for a pause"), ContainSubstring(`"pause":"2s"`), ContainSubstring("2026-12-04T08:00:02")))
		Expect(value("flamingomount_gateway_endpoints_leaving_total")).To(BeEquivalentTo(1))
		Expect(value("flamingomount_gateway_pauses_total")).To(BeEquivalentTo(2))
		Expect(value("flamingomount_gateway_longest_pause_seconds")).To(BeEquivalentTo(5400))
	})

	It("is bounded when very many endpoints leave at once, and tells how many lines are missing", func() {
		const many = 2000
		began := time.Now()
		for i := range many {
			observe(&catalog.Endpoint{ID: types.EndpointID(fmt.Sprint("e", i))}, balance.Notice{Leaving: true}, balance.Change{Leaving: true})
		}
		allowed := float64(entry.NoticeLines) * (3 + time.Since(began).Seconds())
		Expect(strings.Count(out.String(), "\n")).To(BeNumerically("<=", allowed))
		Expect(value("flamingomount_gateway_endpoints_leaving_total")).To(BeEquivalentTo(many))
		Eventually(func() string {
			observe(endpoint, balance.Notice{Leaving: true}, balance.Change{Leaving: true})
			return out.String()
		}, 30*time.Second).Should(ContainSubstring("lines_skipped"))
	})
})
