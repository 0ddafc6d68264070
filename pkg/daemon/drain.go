package daemon

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/pool"

	"github.com/flamingomount/flamingomount/pkg/control/drain"
	"github.com/flamingomount/flamingomount/pkg/control/event"
)

// drainPoll is the time between two looks at a drain.
const drainPoll = 10 * time.Millisecond

// drain stops gracefully within the drain limit. Callers are served for the
// notice time; other daemons, which forward resends of orders, until the
// tickets that name this daemon have expired.
func (d *Daemon) drain(abort context.Context) error {
	limit := d.drainLimit()
	d.drainEnds.Store(d.opts.Now().Add(limit).UnixMilli())
	ctx, cancel := context.WithTimeout(abort, limit)
	defer cancel()
	state := drain.NewDaemon(d.drainOptions(limit))
	state.Signal(d.opts.Now())
	d.control.Submit(event.DrainStarted{At: d.opts.Now()})
	d.opts.Log.WithFields(logrus.Fields{"limit_s": limit.Seconds()}).Info("daemon drains")
	d.caller.http.SetKeepAlivesEnabled(false)
	d.await(ctx, state, drain.Finishing)
	if err := d.shutdownAll(ctx, d.caller); err != nil {
		return err
	}
	if !d.await(ctx, state, drain.Stopped) || state.Cause() != drain.CauseFinished {
		return eris.New("the drain was cut short: requests may be cut off")
	}
	return d.shutdownAll(ctx, d.servers()[1:]...)
}

func (d *Daemon) drainOptions(limit time.Duration) drain.Options {
	const none = -1
	timeouts := d.opts.Settings.Timeouts
	options := drain.Options{AnnouncePeriod: timeouts.DrainNotice, TicketWindow: timeouts.DrainTickets, Limit: limit}
	if options.AnnouncePeriod == 0 {
		options.AnnouncePeriod = none
	}
	if options.TicketWindow == 0 {
		options.TicketWindow = none
	}
	return options
}

// await steps the drain until it has come to the phase; it reports false when
// ctx ends first.
func (d *Daemon) await(ctx context.Context, state *drain.Daemon, phase drain.Phase) bool {
	for state.Step(d.opts.Now(), int(d.inFlight.Load())+d.guard.InFlight()) < phase {
		if !sleep(ctx, drainPoll) {
			return false
		}
	}
	return true
}

func (d *Daemon) drainLimit() time.Duration {
	if config := d.control.Load().Config; config != nil && config.Policy.DrainLimit > 0 {
		return config.Policy.DrainLimit
	}
	return d.opts.Settings.Timeouts.Drain
}

func (d *Daemon) shutdownAll(ctx context.Context, servers ...*server) error {
	stopping := pool.New().WithErrors()
	for _, s := range servers {
		stopping.Go(func() error { return s.shutdown(ctx) })
	}
	return stopping.Wait()
}
