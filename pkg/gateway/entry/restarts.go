package entry

import (
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
)

// restartLines limits the lines per second about restarts of endpoints.
const restartLines = 40

// restartLog logs endpoints that start again under the ID that they had.
type restartLog struct {
	log   boundedLog
	limit *rate.Limiter
}

func newRestartLog(log logrus.FieldLogger) *restartLog {
	return &restartLog{log: boundedLog{log: log}, limit: lineLimit(restartLines)}
}

// record logs restarts, with what tells whether the endpoint got too many requests.
func (l *restartLog) record(restarts []balance.Restart) {
	for _, restart := range restarts {
		line, permitted := l.log.line(l.limit)
		if !permitted {
			continue
		}
		line.WithFields(logrus.Fields{
			"endpoint": restart.Endpoint.ID, "service": restart.Endpoint.Service, "cold": restart.Endpoint.Cold.String(),
			"started_at": restart.Endpoint.StartedAt, "previous_start": restart.PreviousStart,
			"sent_lately": restart.SentLately, "limited_before": restart.Limited,
		}).Info("endpoint started again under its ID")
	}
}
