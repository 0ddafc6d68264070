package entry

import (
	"context"
	"time"
)

// Parts of the grace time.
const (
	// noticeShare is how long new connections are still taken: callers learn
	// from their next question that this daemon leaves.
	noticeShare = 0.5
	// finishShare is when requests in flight are ended.
	finishShare = 0.94
)

// drain stops gracefully: the daemon tells the others that it leaves, serves
// who still comes while callers turn elsewhere, and then finishes what it has.
func (e *Entry) drain() {
	started := time.Now()
	grace := e.opts.Settings.Grace
	e.log.WithField("grace", grace.String()).Info("daemon stops")
	e.handler.Leave()
	leaving, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	e.control.Leave(leaving)
	time.Sleep(time.Duration(float64(grace) * noticeShare))
	finish, end := context.WithDeadline(context.Background(), started.Add(time.Duration(float64(grace)*finishShare)))
	defer end()
	for _, one := range e.servers {
		if one.name == "callers" || one.name == "peers" {
			if err := one.http.Shutdown(finish); err != nil {
				e.log.WithField("listener", one.name).Warn("requests in flight were cut off at the end of the grace time")
			}
		}
	}
	e.log.WithField("took", time.Since(started).String()).Info("daemon stopped")
}
