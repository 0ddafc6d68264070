package entry

import (
	"context"
	"time"
)

// Fractions of the grace time.
const (
	// acceptShare is how long new connections are still accepted: callers learn
	// from the response to their next request that this daemon is leaving. Most of
	// the grace time remains for the streams that come last.
	acceptShare = 0.35
	// shutdownShare is when the remaining requests in flight are cut off.
	shutdownShare = 0.94
)

// drain shuts down gracefully: the daemon announces that it is leaving, still
// serves new requests while callers switch to other daemons, and then finishes its
// requests in flight.
func (e *Entry) drain() {
	started := time.Now()
	grace := e.opts.Settings.Grace
	e.log.WithField("grace", grace.String()).Info("daemon stops")
	e.handler.Leave()
	leaveCtx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	e.control.Leave(leaveCtx)
	time.Sleep(time.Duration(float64(grace) * acceptShare))
	shutdownCtx, cancelShutdown := context.WithDeadline(context.Background(), started.Add(time.Duration(float64(grace)*shutdownShare)))
	defer cancelShutdown()
	for _, srv := range e.servers {
		if srv.name == "callers" || srv.name == "peers" {
			if err := srv.Shutdown(shutdownCtx); err != nil {
				e.log.WithField("listener", srv.name).Warn("requests in flight were cut off at the end of the grace time")
			}
		}
	}
	e.log.WithField("took", time.Since(started).String()).Info("daemon stopped")
}
