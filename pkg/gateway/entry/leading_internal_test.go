package entry

import (
	"bytes"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
)

var _ = ginkgo.Describe("the log of daemons that take the traffic", func() {
	ginkgo.It("tells each change once, and whether this daemon is among them", func() {
		var output bytes.Buffer
		log := logrus.New()
		log.SetOutput(&output)
		registry := prometheus.NewRegistry()
		l := newLeadingLog(log, registry)
		takes := func() float64 {
			families, err := registry.Gather()
			Expect(err).NotTo(HaveOccurred())
			return families[0].GetMetric()[0].GetGauge().GetValue()
		}
		membership := func(others bool, serving ...balance.Daemon) balance.Membership {
			return balance.Membership{Self: "a", Serving: serving, OthersTakeNothing: others}
		}
		a, b, c := balance.Daemon{VM: "a"}, balance.Daemon{VM: "b"}, balance.Daemon{VM: "c"}
		lines := func() int {
			count := bytes.Count(output.Bytes(), []byte("\n"))
			output.Reset()
			return count
		}
		l.record(membership(false, a, b, c))
		Expect(lines()).To(BeZero())
		Expect(takes()).To(Equal(1.0))
		l.record(membership(true, b, c))
		l.record(membership(true, b, c))
		Expect(lines()).To(Equal(1))
		Expect(takes()).To(BeZero())
		l.record(membership(false, a, b, c))
		l.record(membership(false, a, c))
		Expect(lines()).To(Equal(1))
		Expect(takes()).To(Equal(1.0))
	})
})
