package proxy

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/flamingomount/flamingomount/pkg/gateway/estimate"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Metrics counts and times requests. The number of its series grows only with
// services and failure codes.
type Metrics struct {
	requests *prometheus.CounterVec
	refusals *prometheus.CounterVec
	attempts *prometheus.CounterVec
	denied   *prometheus.CounterVec
	withheld *prometheus.CounterVec
	holds    *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	// incomplete counts requests that ended without a whole answer.
	incomplete *prometheus.CounterVec
	// predictions is the time to the first event relative to the predicted one, certainty
	// how certain the predictions were.
	predictions *prometheus.HistogramVec
	certainty   *prometheus.HistogramVec
	// sooner counts requests sent to a region that responds sooner.
	sooner *prometheus.CounterVec
}

// attemptKind says how an attempt counts towards the retry budget.
type attemptKind string

const (
	// firstArrival: the request may have reached an endpoint for the first time.
	firstArrival attemptKind = "first"
	// repeatedArrival: it may have reached one before.
	repeatedArrival attemptKind = "repeat"
	// noArrival: the attempt reached no endpoint.
	noArrival attemptKind = "unreached"
)

// attemptWay says whether an attempt went to an endpoint or to another daemon.
type attemptWay string

const (
	toEndpoint attemptWay = "endpoint"
	toDaemon   attemptWay = "daemon"
)

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
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "flamingomount_gateway_attempts_total",
			Help: "Attempts by service, by the kind of arrival at an endpoint, and by way of an endpoint or another daemon.",
		}, []string{"service", "kind", "way"}),
		denied: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "flamingomount_gateway_retries_denied_total",
			Help: "Retries that the retry budget did not permit, by service.",
		}, []string{"service"}),
		withheld: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "flamingomount_gateway_withheld_requests_total",
			Help: "Requests that were refused because what they share with others crashed endpoints, by service.",
		}, []string{"service"}),
		holds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "flamingomount_gateway_large_prompts_total",
			Help: "Large prompts that were to run in this region, by service and by what became of them: placed or refused at once, let_go or expired after they were held.",
		}, []string{"service", "outcome"}),
		incomplete: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "flamingomount_gateway_incomplete_requests_total",
			Help: "Requests that ended without a whole answer of an endpoint, by what ended them and whether this daemon was stopping.",
		}, []string{"ended_by", "stopping"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "flamingomount_gateway_request_seconds",
			Help:    "Time from arrival to the end of the answer, by service.",
			Buckets: []float64{0.01, 0.03, 0.1, 0.3, 1, 3, 10},
		}, []string{"service"}),
		predictions: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "flamingomount_gateway_prediction_ratio",
			Help:    "Time to the first event of an engine relative to the predicted one, by service.",
			Buckets: []float64{0.25, 0.5, 0.8, 1.25, 2, 4},
		}, []string{"service"}),
		certainty: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "flamingomount_gateway_prediction_certainty",
			Help:    "How certain predictions were, from 0 if nothing was known of the engine to 1, by service.",
			Buckets: []float64{0, 0.5, 0.8, 0.9, 0.95},
		}, []string{"service"}),
		sooner: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "flamingomount_gateway_sooner_elsewhere_total",
			Help: "Requests sent to another region because it responds sooner, although there was capacity here, by service.",
		}, []string{"service"}),
	}
	registry.MustRegister(m.requests, m.refusals, m.attempts, m.denied, m.withheld, m.holds, m.seconds, m.incomplete, m.predictions, m.certainty, m.sooner)
	for _, by := range enders {
		m.incompleteOf(by, false)
		m.incompleteOf(by, true)
	}
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

// observePrediction compares the time to the first event with the predicted one; a zero
// prediction is none.
func (m *Metrics) observePrediction(service types.ServiceName, predicted estimate.Prediction, took time.Duration) {
	if predicted.FirstEvent <= 0 {
		return
	}
	m.predictions.WithLabelValues(string(service)).Observe(took.Seconds() / predicted.FirstEvent.Seconds())
	m.certainty.WithLabelValues(string(service)).Observe(predicted.Certainty)
}

func (m *Metrics) countSooner(service types.ServiceName) {
	m.sooner.WithLabelValues(string(service)).Inc()
}

func (m *Metrics) countIncomplete(by ender, stopping bool) {
	m.incompleteOf(by, stopping).Inc()
}

func (m *Metrics) incompleteOf(by ender, stopping bool) prometheus.Counter {
	return m.incomplete.WithLabelValues(string(by), strconv.FormatBool(stopping))
}

func (m *Metrics) countRefusal(failure *types.Failure) {
	m.refusals.WithLabelValues(string(failure.Code)).Inc()
}

func (m *Metrics) countAttempt(service types.ServiceName, kind attemptKind, way attemptWay) {
	m.attempts.WithLabelValues(string(service), string(kind), string(way)).Inc()
}

func (m *Metrics) countDenied(service types.ServiceName) {
	m.denied.WithLabelValues(string(service)).Inc()
}

// countHold counts what became of a large prompt that was held for a time, which is zero
// if it was not held.
func (m *Metrics) countHold(service types.ServiceName, held time.Duration, placed bool) {
	outcome := "refused"
	switch {
	case placed && held > 0:
		outcome = "let_go"
	case placed:
		outcome = "placed"
	case held > 0:
		outcome = "expired"
	}
	m.holds.WithLabelValues(string(service), outcome).Inc()
}

func (m *Metrics) countWithheld(service types.ServiceName) {
	m.withheld.WithLabelValues(string(service)).Inc()
}
