package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

// drain shuts down gracefully: the daemon announces that it is leaving, still
// serves new requests while callers switch to other daemons, and then finishes its
// requests in flight. Each step has its moment in the schedule and waits for no step
// before it.
func (e *Entry) drain() {
	age := e.stopAge()
	began := time.Now().Add(-age)
	schedule := e.opts.Settings.stopSchedule()
	e.leavingSince.Store(&began)
	e.handler.StopBegan(age)
	e.leaveCallers()
	e.handler.Leave(schedule.admitUntil - age)
	e.log.WithFields(logrus.Fields{"grace": e.opts.Settings.Grace.String(), "signal_age_ms": age.Milliseconds()}).Info("daemon stops")
	shutdownCtx, cancelShutdown := context.WithDeadline(context.Background(), began.Add(schedule.cut))
	defer cancelShutdown()
	cancelling := time.AfterFunc(time.Until(began.Add(schedule.cancel)), e.cancelRequests)
	defer cancelling.Stop()
	var stopping conc.WaitGroup
	stopping.Go(func() { e.announceLeaving(began.Add(max(schedule.closeCallers, age+announceTime))) })
	time.Sleep(time.Until(began.Add(schedule.closeCallers)))

	callersEnded := make(chan struct{})
	stopping.Go(func() {
		defer close(callersEnded)
		e.shutdown(shutdownCtx, callersName)
	})
	stopping.Go(func() {
		// While callers' requests run, other daemons' messages still bring changes.
		await(callersEnded, began.Add(schedule.closePeers))
		e.shutdown(shutdownCtx, peersName)
	})
	stopping.Wait()
	cut := e.cutOff()
	e.log.WithFields(logrus.Fields{"took": time.Since(began).String(), "cut": cut}).Info("daemon stopped")
}

// handlersPoll is how often the end of the handlers is checked whose connections were
// closed.
const handlersPoll = 2 * time.Millisecond

// cutOff closes all connections, waits a short time for the handlers of their requests,
// which log how these ended, and returns the number of these requests.
func (e *Entry) cutOff() int64 {
	cut := e.handling.Load()
	e.handler.CutOff()
	e.close()
	deadline := time.Now().Add(min(handlersTime, share(e.opts.Settings.Grace, handlersShare)))
	for e.handling.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(handlersPoll)
	}
	return cut
}

// announceTime is how long a late stop waits for the control state to take the
// announcement that the daemon is leaving.
const announceTime = 250 * time.Millisecond

// stopAge returns the longest time that may have passed since the stop was asked for.
func (e *Entry) stopAge() time.Duration {
	if e.opts.StopAge == nil {
		return 0
	}
	return e.opts.StopAge()
}

// announceLeaving tells the other daemons that this one is leaving. It returns at the
// deadline even if the control state does not accept the announcement.
func (e *Entry) announceLeaving(deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	e.control.Leave(ctx)
}

// await waits until a channel is closed, but no longer than until the deadline.
func await(closed <-chan struct{}, deadline time.Time) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-closed:
	case <-timer.C:
	}
}

// shutdown shuts down the server of a name until ctx ends.
func (e *Entry) shutdown(ctx context.Context, name string) {
	for _, srv := range e.servers {
		if srv.name != name {
			continue
		}
		if err := srv.Shutdown(ctx); err != nil {
			e.log.WithField("listener", name).Warn("requests in flight were cut off at the end of the grace time")
		}
	}
}

// leaveCallers makes every response to a caller ask for the close of its connection, so
// that the caller connects to another daemon.
func (e *Entry) leaveCallers() {
	for _, srv := range e.servers {
		if srv.name == callersName {
			srv.Leave()
		}
	}
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
