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
	// cancelShare is when the callers' remaining requests are cancelled, so that
	// those without any response yet still get one.
	cancelShare = 0.92
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
	time.Sleep(share(grace, acceptShare))
	shutdownCtx, cancelShutdown := context.WithDeadline(context.Background(), started.Add(share(grace, shutdownShare)))
	defer cancelShutdown()
	cancelling := time.AfterFunc(time.Until(started.Add(share(grace, cancelShare))), e.cancelRequests)
	defer cancelling.Stop()
	for _, srv := range e.trafficServers() {
		if err := srv.Shutdown(shutdownCtx); err != nil {
			e.log.WithField("listener", srv.name).Warn("requests in flight were cut off at the end of the grace time")
		}
	}
	e.log.WithField("took", time.Since(started).String()).Info("daemon stopped")
}

// share returns a fraction of the grace time.
func share(grace time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(grace) * fraction)
}

// trafficServers returns the servers of requests, the callers' first.
func (e *Entry) trafficServers() []*server {
	var traffic []*server
	for _, srv := range e.servers {
		if srv.name == callersName || srv.name == peersName {
			traffic = append(traffic, srv)
		}
	}
	return traffic
}

// cancelRequests cancels the requests of callers. A daemon that forwarded a request
// retries it better after a broken connection.
func (e *Entry) cancelRequests() {
	for _, srv := range e.servers {
		if srv.name == callersName {
			srv.CancelRequests()
		}
	}
}
