package entry

import (
	"slices"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
)

// leadingLines limits the lines per second about who takes the traffic.
const leadingLines = 2

// leadingLog tells which daemons of the region take its traffic: a line and a gauge. Used
// only by the control goroutine.
type leadingLog struct {
	log      boundedLog
	limit    *rate.Limiter
	takes    prometheus.Gauge
	previous []balance.Daemon
}

func newLeadingLog(log logrus.FieldLogger, registry prometheus.Registerer) *leadingLog {
	takes := prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "flamingomount_gateway_takes_traffic",
		Help: "1 if callers and other daemons are led to this daemon; 0 if its link is small beside those of others that suffice.",
	})
	registry.MustRegister(takes)
	return &leadingLog{log: boundedLog{log: log}, limit: lineLimit(leadingLines), takes: takes}
}

// record records the daemons that share the endpoints of the region.
func (l *leadingLog) record(membership balance.Membership) {
	takes := slices.ContainsFunc(membership.Serving, func(daemon balance.Daemon) bool { return daemon.VM == membership.Self })
	if takes {
		l.takes.Set(1)
	} else {
		l.takes.Set(0)
	}
	if !membership.OthersTakeNothing && l.previous == nil || slices.Equal(membership.Serving, l.previous) {
		return
	}
	l.previous = nil
	if membership.OthersTakeNothing {
		l.previous = slices.Clone(membership.Serving)
	}
	if line, permitted := l.log.line(l.limit); permitted {
		line.WithFields(logrus.Fields{
			"taking": len(membership.Serving), "serving": len(membership.Live), "this": takes,
		}).Info("daemons that take the traffic of the region changed")
	}
}
