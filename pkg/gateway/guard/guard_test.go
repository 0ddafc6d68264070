package guard_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/flamingomount/flamingomount/pkg/gateway/guard"
)

func TestGuard(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "guard")
}

var _ = Describe("Guard", func() {
	var out *gbytes.Buffer
	var registry *prometheus.Registry
	var g *guard.Guard
	BeforeEach(func() {
		out = gbytes.NewBuffer()
		log := logrus.New()
		log.SetOutput(out)
		registry = prometheus.NewRegistry()
		g = guard.New(log, registry)
	})

	It("returns an error for work that panics, and logs and counts it", func() {
		Expect(g.Do("part", func() {})).To(Succeed())
		Expect(g.Do("part", func() { panic("a fault") })).To(MatchError(guard.ErrPanicked))
		Expect(string(out.Contents())).To(And(ContainSubstring("a fault"), ContainSubstring("guard_test.go")))
		families, err := registry.Gather()
		Expect(err).NotTo(HaveOccurred())
		Expect(families).To(HaveLen(1))
		Expect(families[0].GetMetric()[0].GetCounter().GetValue()).To(Equal(1.0))
	})

	It("ends one connection when a handler panics, and serves the next", func() {
		server := httptest.NewServer(g.Handler("callers", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/fault" {
				panic("a fault")
			}
		})))
		defer server.Close()
		_, err := http.Get(server.URL + "/fault")
		Expect(err).To(HaveOccurred())
		response, err := http.Get(server.URL + "/")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(string(out.Contents())).To(ContainSubstring("a fault"))
	})
})
