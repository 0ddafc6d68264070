package metrics_test

import (
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/metrics"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestMetrics(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "metrics")
}

func scrape(m *metrics.Metrics) string {
	response := httptest.NewRecorder()
	m.Handler().ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
	Expect(response.Code).To(Equal(200))
	return response.Body.String()
}

func metricsWithOneRequest() *metrics.Metrics {
	m := metrics.New(func() metrics.Gauges { return metrics.Gauges{Revision: 12, Ready: true, Queued: [2]int{1, 5}} })
	m.Record(request.Outcome{
		Service: "quotes", Verdict: types.Ran, Took: time.Second, FirstToken: time.Second,
		BetweenTokens: time.Millisecond, OutputTokens: 9, Attempts: 2, SentAway: true, Org: "a",
	})
	return m
}

var metricNamePattern = regexp.MustCompile(`flamingomount_[a-z_]+`)

var _ = Describe("metrics", func() {
	It("exports every metric listed by Names", func() {
		text := scrape(metricsWithOneRequest())
		for _, name := range metricsWithOneRequest().Names() {
			Expect(text).To(ContainSubstring("# TYPE " + name + " "))
		}
		Expect(text).To(ContainSubstring("flamingomount_config_revision 12"))
		Expect(text).To(ContainSubstring(`flamingomount_queued_requests{rank="patient"} 5`))
	})

	It("adds no series for another organisation", func() {
		m := metricsWithOneRequest()
		before := len(strings.Split(scrape(m), "\n"))
		m.Record(request.Outcome{Service: "quotes", Verdict: types.Ran, Org: "b", FirstToken: 1, BetweenTokens: 1, SentAway: true})
		Expect(strings.Split(scrape(m), "\n")).To(HaveLen(before))
	})

	DescribeTable("exports every metric that the example files use",
		func(file string) {
			data, err := os.ReadFile("../../examples/monitoring/" + file)
			Expect(err).NotTo(HaveOccurred())
			used := metricNamePattern.FindAllString(string(data), -1)
			Expect(used).NotTo(BeEmpty())
			for _, name := range used {
				Expect(metricsWithOneRequest().Names()).To(ContainElement(strings.TrimSuffix(name, "_bucket")))
			}
		},
		Entry("alert rules", "alerts.yaml"),
		Entry("dashboard", "dashboard.json"),
	)
})
