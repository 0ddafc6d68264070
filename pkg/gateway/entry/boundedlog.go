package entry

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// boundedLog writes lines at a limited rate; each line tells how many were left out
// since the one before.
type boundedLog struct {
	log     logrus.FieldLogger
	skipped atomic.Int64
}

// lineLimit returns a limit of lines per second; a burst may have the lines of two
// seconds.
func lineLimit(perSecond int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), 2*perSecond)
}

// line returns the log for one line; it returns false, and counts the line, if the
// limit does not permit it.
func (b *boundedLog) line(limit *rate.Limiter) (logrus.FieldLogger, bool) {
	if !limit.Allow() {
		b.skipped.Add(1)
		return nil, false
	}
	if skipped := b.skipped.Swap(0); skipped > 0 {
		return b.log.WithField("lines_skipped", skipped), true
	}
	return b.log, true
}
