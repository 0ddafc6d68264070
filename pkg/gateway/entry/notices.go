package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
)

// noticeLines limits the lines per second about what endpoints say of themselves;
// a burst may have the lines of two seconds.
const noticeLines = 40

// noticeLog counts what endpoints say of themselves, and logs each change of state
// that follows.
type noticeLog struct {
	log     boundedLog
	limit   *rate.Limiter
	leaving prometheus.Counter
	pauses  prometheus.Counter
}

// newNoticeLog returns a log whose counters are registered with registry.
// LongestPause returns the time until the last end of a pause in force.
func newNoticeLog(log logrus.FieldLogger, registry prometheus.Registerer, longestPause func() time.Duration) *noticeLog {
	l := &noticeLog{
		log: boundedLog{log: log}, limit: lineLimit(noticeLines),
		leaving: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "flamingomount_gateway_endpoints_leaving_total",
			Help: "Endpoints that said in a response that they are leaving.",
		}),
		pauses: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "flamingomount_gateway_pauses_total",
			Help: "Responses in which an endpoint asked for a pause.",
		}),
	}
	longest := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "flamingomount_gateway_longest_pause_seconds",
		Help: "Time until the last end of a pause that an endpoint asked for; zero if none is in force.",
	}, func() float64 { return longestPause().Seconds() })
	registry.MustRegister(l.leaving, l.pauses, longest)
	return l
}

// observe implements gate.Observer.
func (l *noticeLog) observe(endpoint *catalog.Endpoint, notice balance.Notice, change balance.Change) {
	if notice.Backoff > 0 {
		l.pauses.Inc()
	}
	if change.Leaving {
		l.leaving.Inc()
		l.info(endpoint, "endpoint says that it is leaving", logrus.Fields{})
	}
	if !change.PausedUntil.IsZero() {
		l.info(endpoint, "endpoint asked for a pause", logrus.Fields{"pause": notice.Backoff.String(), "until": change.PausedUntil})
	}
}

func (l *noticeLog) info(endpoint *catalog.Endpoint, message string, fields logrus.Fields) {
	line, permitted := l.log.line(l.limit)
	if !permitted {
		return
	}
	fields["endpoint"], fields["service"], fields["started_at"] = endpoint.ID, endpoint.Service, endpoint.StartedAt
	line.WithFields(fields).Info(message)
}
