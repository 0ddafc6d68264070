package exchange

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts units. It has no series for single organisations.
type Metrics struct {
	units *prometheus.CounterVec
}

// movement is what happened to units.
type movement string

const (
	charged  movement = "charged"
	refunded movement = "refunded"
	refused  movement = "refused"
	asked    movement = "asked"
	gave     movement = "given"
	received movement = "received"
)

// NewMetrics returns metrics that are registered with registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{units: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "flamingomount_gateway_quota_units_total",
		Help: "Units of quotas of organisations, by what happened to them at this daemon.",
	}, []string{"movement"})}
	registry.MustRegister(m.units)
	for _, each := range []movement{charged, refunded, refused, asked, gave, received} {
		m.units.WithLabelValues(string(each))
	}
	return m
}

func (m *Metrics) count(what movement, units float64) {
	m.units.WithLabelValues(string(what)).Add(max(units, 0))
}
