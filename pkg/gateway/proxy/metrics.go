package proxy

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// Metrics counts requests. Its series grow with services and failure codes
// only.
type Metrics struct {
	requests *prometheus.CounterVec
	refusals *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
}

// NewMetrics registers the metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "flamingomount_gateway_requests_total",
			Help: "Requests that found a route, by service and outcome.",
		}, []string{"service", "outcome"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "flamingomount_gateway_refusals_total",
			Help: "Requests that were refused before routing, by code.",
		}, []string{"code"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "flamingomount_gateway_request_seconds",
			Help:    "Time from arrival to the end of the answer, by service.",
			Buckets: []float64{0.01, 0.03, 0.1, 0.3, 1, 3, 10},
		}, []string{"service"}),
	}
	registry.MustRegister(m.requests, m.refusals, m.seconds)
	return m
}

func (m *Metrics) finished(req *Request, failure *types.Failure, took time.Duration) {
	outcome := "answered"
	if failure != nil {
		outcome = string(failure.Code)
	}
	m.requests.WithLabelValues(string(req.Service), outcome).Inc()
	m.seconds.WithLabelValues(string(req.Service)).Observe(took.Seconds())
}

func (m *Metrics) refused(failure *types.Failure) {
	m.refusals.WithLabelValues(string(failure.Code)).Inc()
}
