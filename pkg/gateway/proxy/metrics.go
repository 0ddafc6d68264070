package proxy

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// Metrics counts and times requests. The number of its series grows only with
// services and failure codes.
type Metrics struct {
	requests *prometheus.CounterVec
	refusals *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
}

// NewMetrics returns metrics that are registered with registry.
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

func (m *Metrics) observeRequest(req *Request, failure *types.Failure, elapsed time.Duration) {
	outcome := "answered"
	if failure != nil {
		outcome = string(failure.Code)
	}
	m.requests.WithLabelValues(string(req.Service), outcome).Inc()
	m.seconds.WithLabelValues(string(req.Service)).Observe(elapsed.Seconds())
}

func (m *Metrics) countRefusal(failure *types.Failure) {
	m.refusals.WithLabelValues(string(failure.Code)).Inc()
}
