package entry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/flamingomount/flamingomount/pkg/graceful"
)

// unansweredLines limits the lines per second about requests without an answer.
const unansweredLines = 5

// unansweredLog counts and logs connections that ended while a request had no
// complete response.
type unansweredLog struct {
	log   boundedLog
	limit *rate.Limiter
	total *prometheus.CounterVec
}

func newUnansweredLog(log logrus.FieldLogger, registry prometheus.Registerer) *unansweredLog {
	u := &unansweredLog{log: boundedLog{log: log}, limit: lineLimit(unansweredLines), total: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "flamingomount_gateway_unanswered_total",
		Help: "Connections that ended while a request had no complete answer, by listener and reason.",
	}, []string{"listener", "reason"})}
	registry.MustRegister(u.total)
	return u
}

// on returns the function that records the connections of one listener. Each
// reason has a series from the start.
func (u *unansweredLog) on(listener string) func(graceful.Reason) {
	for _, reason := range graceful.Reasons {
		u.total.WithLabelValues(listener, string(reason))
	}
	return func(reason graceful.Reason) { u.record(listener, reason) }
}

func (u *unansweredLog) record(listener string, reason graceful.Reason) {
	u.total.WithLabelValues(listener, string(reason)).Inc()
	if reason == graceful.CallerGone {
		return
	}
	if line, permitted := u.log.line(u.limit); permitted {
		line.WithFields(logrus.Fields{"listener": listener, "reason": reason}).Warn("request ended without an answer")
	}
}
