package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/flamingomount/flamingomount/pkg/gateway/proxy"
	"github.com/flamingomount/flamingomount/pkg/graceful"
)

// unansweredLines limits the lines per second about requests without an answer.
const unansweredLines = 5

// unansweredLog counts and logs connections that ended while a request had no
// complete response.
type unansweredLog struct {
	log   boundedLog
	limit *rate.Limiter
	// stops limits the lines while the daemon stops.
	stops *rate.Limiter
	// sinceStop returns the time since the begin of the stop; false if it has not begun.
	sinceStop func() (time.Duration, bool)
	total     *prometheus.CounterVec
}

func newUnansweredLog(log logrus.FieldLogger, registry prometheus.Registerer, sinceStop func() (time.Duration, bool)) *unansweredLog {
	total := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "flamingomount_gateway_unanswered_total",
		Help: "Connections that ended while a request had no complete answer, by listener and reason.",
	}, []string{"listener", "reason"})
	registry.MustRegister(total)
	return &unansweredLog{
		log: boundedLog{log: log}, limit: lineLimit(unansweredLines), stops: lineLimit(stopLines), sinceStop: sinceStop, total: total,
	}
}

// on returns the function that records the connections of one listener. Each
// reason has a series from the start.
func (u *unansweredLog) on(listener string) func(graceful.Ending) {
	for _, reason := range graceful.Reasons {
		u.total.WithLabelValues(listener, string(reason))
	}
	return func(ending graceful.Ending) { u.record(listener, ending) }
}

func (u *unansweredLog) record(listener string, ending graceful.Ending) {
	u.total.WithLabelValues(listener, string(ending.Reason)).Inc()
	if ending.Reason == graceful.CallerGone {
		return
	}
	limit := u.limit
	fields := logrus.Fields{"listener": listener, "reason": ending.Reason}
	if ending.Request != "" {
		fields["request"] = ending.Request
	}
	if since, stopping := u.sinceStop(); stopping {
		limit, fields[proxy.FieldStop] = u.stops, since.Milliseconds()
	}
	if line, permitted := u.log.line(limit); permitted {
		line.WithFields(fields).Warn("request ended without an answer")
	}
}
