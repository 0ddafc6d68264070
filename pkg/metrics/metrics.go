// Package metrics exports a daemon's metrics to Prometheus. No label identifies
// an organisation, a request or an endpoint, so that the number of series does
// not grow with them.
package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const namespace = "flamingomount"

// codeOK is the value of the "code" label for a request without an error code.
const codeOK = "ok"

// Histogram buckets, in seconds.
var (
	requestBuckets    = []float64{0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 15, 30, 60, 120, 300, 900}
	firstTokenBuckets = []float64{0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1, 1.1, 1.5, 2, 4, 8}
	interTokenBuckets = []float64{0.002, 0.005, 0.01, 0.015, 0.02, 0.026, 0.035, 0.05, 0.1, 0.5}
)

// Gauges is a snapshot of a daemon's control state.
type Gauges struct {
	Revision types.Revision
	// ConfigAge is the time since the configuration was last confirmed.
	ConfigAge time.Duration
	// MembersAlive and MembersSuspect count other daemons by state.
	MembersAlive   int
	MembersSuspect int
	// OldestPeer is the longest time since a live peer was last heard from.
	OldestPeer       time.Duration
	EndpointsReady   int
	EndpointsEjected int
	EndpointsLeaving int
	Quarantined      int
	// Queued is the number of requests waiting in admission, by rank.
	Queued [types.RankCount]int
	// RetryBudget is the number of extra attempts that may be made now.
	RetryBudget float64
	// LinkBudgetBytes is the number of bytes that may be sent to other regions
	// now.
	LinkBudgetBytes float64
	OrdersHeld      int
	Draining        bool
	Ready           bool
}

// Metrics holds a daemon's metrics in its own registry.
type Metrics struct {
	registry *prometheus.Registry
	gauges   func() Gauges

	requests          *prometheus.CounterVec
	attempts          *prometheus.CounterVec
	forwarded         *prometheus.CounterVec
	tokens            *prometheus.CounterVec
	cost              *prometheus.CounterVec
	duration          *prometheus.HistogramVec
	timeToFirstToken  *prometheus.HistogramVec
	interTokenLatency *prometheus.HistogramVec
	queueTime         *prometheus.HistogramVec
}

// New returns a daemon's metrics. The function gauges is called once per
// scrape and must be safe for concurrent use.
func New(gauges func() Gauges) *Metrics {
	labels := []string{"service", "rank"}
	m := &Metrics{
		registry:          prometheus.NewRegistry(),
		gauges:            gauges,
		requests:          counter("requests_total", "Requests by how they ended.", "service", "rank", "verdict", "code"),
		attempts:          counter("attempts_total", "Attempts at endpoints.", labels...),
		forwarded:         counter("requests_sent_away_total", "Requests that another region ran.", labels...),
		tokens:            counter("tokens_total", "Tokens read (input, an estimate) and generated (output).", "service", "rank", "direction"),
		cost:              counter("cost_total", "Cost of requests, in the unit of the published prices.", labels...),
		duration:          histogram("request_duration_seconds", "Time to the whole answer.", requestBuckets, labels...),
		timeToFirstToken:  histogram("first_token_seconds", "Time to the first token of a streamed answer, or to the first byte of another one.", firstTokenBuckets, labels...),
		interTokenLatency: histogram("between_tokens_seconds", "Mean time between streamed tokens.", interTokenBuckets, labels...),
		queueTime:         histogram("queue_duration_seconds", "Time spent in admission.", requestBuckets, labels...),
	}
	m.registry.MustRegister(m.requests, m.attempts, m.forwarded, m.tokens, m.cost, m.duration, m.timeToFirstToken, m.interTokenLatency, m.queueTime)
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.registry.MustRegister(&gaugeCollector{gauges: gauges})
	return m
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func histogram(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
		Buckets:   buckets,
	}, labels)
}

// Record updates the metrics with one finished request. It is safe for
// concurrent use.
func (m *Metrics) Record(outcome request.Outcome) {
	service, rank := string(outcome.Service), outcome.Rank.String()
	code := string(outcome.Code)
	if code == "" {
		code = codeOK
		m.duration.WithLabelValues(service, rank).Observe(outcome.Took.Seconds())
	}
	m.requests.WithLabelValues(service, rank, outcome.Verdict.String(), code).Inc()
	m.attempts.WithLabelValues(service, rank).Add(float64(outcome.Attempts))
	if outcome.SentAway {
		m.forwarded.WithLabelValues(service, rank).Inc()
	}
	m.cost.WithLabelValues(service, rank).Add(outcome.Cost)
	if outcome.Verdict != types.NotRun {
		m.tokens.WithLabelValues(service, rank, "input").Add(float64(outcome.InputTokens))
		m.tokens.WithLabelValues(service, rank, "output").Add(float64(outcome.OutputTokens))
	}
	if outcome.FirstToken > 0 {
		m.timeToFirstToken.WithLabelValues(service, rank).Observe(outcome.FirstToken.Seconds())
	}
	if outcome.BetweenTokens > 0 {
		m.interTokenLatency.WithLabelValues(service, rank).Observe(outcome.BetweenTokens.Seconds())
	}
	m.queueTime.WithLabelValues(service, rank).Observe(outcome.Queued.Seconds())
}

// Handler returns the HTTP handler that Prometheus scrapes.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Registerer returns the registry, so that other parts of the daemon can
// register their own metrics.
func (m *Metrics) Registerer() prometheus.Registerer {
	return m.registry
}

// Names returns the full names of the metrics defined in this package. The Go
// runtime and process metrics are not among them.
func (m *Metrics) Names() []string {
	names := []string{
		"requests_total", "attempts_total", "requests_sent_away_total", "tokens_total", "cost_total",
		"request_duration_seconds", "first_token_seconds", "between_tokens_seconds", "queue_duration_seconds",
	}
	for _, gauge := range gaugeList {
		names = append(names, gauge.name)
	}
	names = append(names, "queued_requests")
	for i := range names {
		names[i] = namespace + "_" + names[i]
	}
	return names
}

// gauge describes an exported gauge; read returns its value from a snapshot.
type gauge struct {
	name string
	help string
	read func(Gauges) float64
}

var gaugeList = []gauge{
	{"config_revision", "Revision of the configuration in force.", func(g Gauges) float64 { return float64(g.Revision) }},
	{"config_age_seconds", "Time since the configuration was last confirmed.", func(g Gauges) float64 { return g.ConfigAge.Seconds() }},
	{"members_alive", "Other daemons heard from in time.", func(g Gauges) float64 { return float64(g.MembersAlive) }},
	{"members_suspect", "Other daemons silent for too long.", func(g Gauges) float64 { return float64(g.MembersSuspect) }},
	{"oldest_peer_seconds", "Time since the most silent live peer was heard.", func(g Gauges) float64 { return g.OldestPeer.Seconds() }},
	{"endpoints_ready", "Endpoints that receive new work.", func(g Gauges) float64 { return float64(g.EndpointsReady) }},
	{"endpoints_ejected", "Endpoints ejected for failures.", func(g Gauges) float64 { return float64(g.EndpointsEjected) }},
	{"endpoints_leaving", "Endpoints that are leaving.", func(g Gauges) float64 { return float64(g.EndpointsLeaving) }},
	{"quarantined_requests", "Quarantined request fingerprints.", func(g Gauges) float64 { return float64(g.Quarantined) }},
	{"retry_budget", "Extra attempts that may be made now.", func(g Gauges) float64 { return g.RetryBudget }},
	{"link_budget_bytes", "Bytes that may be sent to other regions now.", func(g Gauges) float64 { return g.LinkBudgetBytes }},
	{"orders_held", "Remembered requests that may not be repeated.", func(g Gauges) float64 { return float64(g.OrdersHeld) }},
	{"draining", "1 while the daemon is leaving.", func(g Gauges) float64 { return boolToFloat(g.Draining) }},
	{"ready", "1 while the daemon takes requests.", func(g Gauges) float64 { return boolToFloat(g.Ready) }},
}

func boolToFloat(set bool) float64 {
	if set {
		return 1
	}
	return 0
}

// gaugeCollector takes one snapshot of the gauges per scrape.
type gaugeCollector struct {
	gauges func() Gauges
}

var _ prometheus.Collector = (*gaugeCollector)(nil)

var queuedDesc = prometheus.NewDesc(namespace+"_queued_requests", "Requests waiting in admission.", []string{"rank"}, nil)

// Describe sends no descriptors, which makes this an unchecked collector.
func (c *gaugeCollector) Describe(chan<- *prometheus.Desc) {}

// Collect sends the current values of the gauges.
func (c *gaugeCollector) Collect(out chan<- prometheus.Metric) {
	values := c.gauges()
	for _, gauge := range gaugeList {
		desc := prometheus.NewDesc(namespace+"_"+gauge.name, gauge.help, nil, nil)
		out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, gauge.read(values))
	}
	for rank, queued := range values.Queued {
		name := types.Rank(rank).String()
		out <- prometheus.MustNewConstMetric(queuedDesc, prometheus.GaugeValue, float64(queued), name)
	}
}
