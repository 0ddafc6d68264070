package daemon

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/pool"

	"github.com/flamingomount/flamingomount/pkg/control/drain"
	"github.com/flamingomount/flamingomount/pkg/control/event"
	"github.com/flamingomount/flamingomount/pkg/sleep"
)

// drainPollInterval is how often the progress of a drain is checked.
const drainPollInterval = 10 * time.Millisecond

// drain shuts the daemon down gracefully within the drain limit. It serves
// callers for the notice time. It serves other daemons, which forward resends
// of non-repeatable requests, until the tickets bound to this daemon have
// expired.
func (d *Daemon) drain(abort context.Context) error {
	limit := d.drainLimit()
	d.drainDeadline.Store(d.opts.Now().Add(limit).UnixMilli())
	ctx, cancel := context.WithTimeout(abort, limit)
	defer cancel()
	state := drain.NewDaemon(d.drainOptions(limit))
	state.Signal(d.opts.Now())
	d.control.Submit(event.DrainStarted{At: d.opts.Now()})
	d.opts.Log.WithFields(logrus.Fields{"limit_s": limit.Seconds()}).Info("daemon drains")
	d.caller.Leave()
	d.awaitPhase(ctx, state, drain.Finishing)
	if err := d.shutdownAll(ctx, d.caller); err != nil {
		return err
	}
	if !d.awaitPhase(ctx, state, drain.Stopped) || state.Cause() != drain.CauseFinished {
		return eris.New("the drain was cut short: requests may be cut off")
	}
	return d.shutdownAll(ctx, d.servers()[1:]...)
}

func (d *Daemon) drainOptions(limit time.Duration) drain.Options {
	const disabled = -1
	timeouts := d.opts.Settings.Timeouts
	options := drain.Options{AnnouncePeriod: timeouts.DrainNotice, TicketWindow: timeouts.DrainTickets, Limit: limit}
	if options.AnnouncePeriod == 0 {
		options.AnnouncePeriod = disabled
	}
	if options.TicketWindow == 0 {
		options.TicketWindow = disabled
	}
	return options
}

// awaitPhase advances the drain until it reaches the phase. It reports false if
// ctx ends first.
func (d *Daemon) awaitPhase(ctx context.Context, state *drain.Daemon, phase drain.Phase) bool {
	for state.Step(d.opts.Now(), int(d.inFlight.Load())+d.guard.InFlight()) < phase {
		if !sleep.For(ctx, drainPollInterval) {
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
	shutdowns := pool.New().WithErrors()
	for _, s := range servers {
		shutdowns.Go(func() error { return s.shutdown(ctx) })
	}
	return shutdowns.Wait()
}
