package control

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the metrics of the control goroutine.
type metrics struct {
	dropped      prometheus.Counter
	refusedCalls prometheus.Counter
	alarms       prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "flamingomount_control_dropped_events_total",
			Help: "Events dropped because the control queue was full.",
		}),
		refusedCalls: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "flamingomount_control_refused_calls_total",
			Help: "Calls not started because too many were in flight.",
		}),
		alarms: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "flamingomount_config_alarms_total",
			Help: "Configurations refused, and other matters operators must see.",
		}),
	}
	if reg != nil {
		reg.MustRegister(m.dropped, m.refusedCalls, m.alarms)
	}
	return m
}
