package control

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/sleep"
)

// Store gives read access to the published state.
type Store interface {
	// ReadAll reads every record. The result includes at least every change up
	// to the position base, and all of it is of the era of base.
	ReadAll(ctx context.Context) (records []catalog.Record, base catalog.Position, err error)
	// Watch returns the changes after a position. It waits for changes for up to
	// wait and returns an empty delta if there are none. It returns
	// ErrHistoryLost if the store no longer holds the changes, and ErrRestored if
	// it has begun a later era.
	Watch(ctx context.Context, after catalog.Position, wait time.Duration) (catalog.Delta, error)
	// ReadEvacuations reads the records of the evacuations in force. The result
	// includes every change up to the position, and none that was made before
	// the call is missing.
	ReadEvacuations(ctx context.Context) (records []catalog.Record, position catalog.Position, err error)
}

// ErrRestored means that the store came back from a copy: its revisions say nothing of
// those before.
var ErrRestored = errors.New("the store came back from a copy")

// ErrEarlierEra means that the store answered in an era that is over.
var ErrEarlierEra = errors.New("the store answers in an earlier era")

// ErrHistoryLost means that the store no longer holds the requested changes.
var ErrHistoryLost = errors.New("the store no longer holds this history")

// ErrBusy means that the store rejected the call because of its rate limit.
var ErrBusy = errors.New("the store refuses calls beyond its rate")

// Timeouts and intervals of the store reader.
const (
	// DefaultWatchTimeout is the default of Options.WatchTimeout.
	DefaultWatchTimeout = 1200 * time.Millisecond
	// readTimeout bounds a full read of all records.
	readTimeout = 1500 * time.Millisecond
	// settleTime is how long entries of live endpoints may be missing after an
	// outage of the store.
	settleTime = catalog.SettleTime
	// batchDelay is how long the reader collects changes that follow others within
	// quietPeriod.
	batchDelay  = 150 * time.Millisecond
	quietPeriod = 500 * time.Millisecond
	minBackoff  = 100 * time.Millisecond
	maxBackoff  = 600 * time.Millisecond
	// evacuationPoll is the interval between two readings of the evacuations in
	// force. It bounds the uncertainty about when an evacuation was requested,
	// and finds one that a watch does not report.
	evacuationPoll = 700 * time.Millisecond
	// idlePoll is the interval at which a daemon that does not read the store
	// checks whether it should.
	idlePoll = 100 * time.Millisecond
)

// reader reads the store while this daemon is one of its region's readers.
type reader struct {
	control *Control
	// last is the position of the last read.
	last catalog.Position
	// known is the position of the control state at the last decision to read.
	known catalog.Position
	// needFullRead is true while the next call must read all records.
	needFullRead bool
	// down is true from a failed call to the next successful one.
	down bool
	// eraBegan is true from the news of a later era by peers to the next successful call.
	eraBegan  bool
	settledAt time.Time
	backoff   time.Duration
	// lastChangeAt is when the store last returned a change.
	lastChangeAt time.Time
	// active is true while this daemon reads the store and gets answers.
	active atomic.Bool
}

func newReader(c *Control) *reader {
	return &reader{control: c, needFullRead: true}
}

// supervise runs the reader until ctx ends and restarts it after a panic.
func (r *reader) supervise(ctx context.Context) {
	for ctx.Err() == nil {
		if err := r.control.opts.Guard.Do("store reader", func() { r.run(ctx) }); err != nil {
			r.needFullRead, r.last = true, catalog.Position{}
			sleep.For(ctx, maxBackoff)
		}
	}
}

func (r *reader) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.shouldRead(ctx) {
			r.active.Store(false)
			r.needFullRead, r.last = true, catalog.Position{}
			sleep.For(ctx, idlePoll)
			continue
		}
		if err := r.poll(ctx); err != nil && ctx.Err() == nil {
			r.handleError(ctx, err)
		}
	}
}

// readDecision is what the control goroutine tells the reader.
type readDecision struct {
	// reading is true while this daemon should read the store.
	reading bool
	// applied is the position of the control state.
	applied catalog.Position
}

// shouldRead asks the control goroutine whether this daemon should read the store
// now, and aligns the reader's position with the control state. It returns false
// when ctx ends or the decision fails.
func (r *reader) shouldRead(ctx context.Context) bool {
	decisions := make(chan readDecision, 1)
	submitted := r.control.submit(ctx, func(now time.Time) {
		// If the event panics, the channel is closed without a decision.
		defer close(decisions)
		decisions <- r.control.decideReading(now)
	})
	if !submitted {
		return false
	}
	select {
	case decision, ok := <-decisions:
		if !ok {
			return false
		}
		r.align(decision.applied)
		return decision.reading
	case <-ctx.Done():
		return false
	}
}

// align continues from the position of the control state: from the beginning if
// the state was reset, from its position if this daemon has read nothing yet, or
// nothing in the state's era.
func (r *reader) align(applied catalog.Position) {
	r.known = applied
	if applied.Before(r.last) {
		r.needFullRead, r.last = true, catalog.Position{}
	}
	if r.last != (catalog.Position{}) && r.last.Era < applied.Era {
		r.eraBegan = true
	}
	nothingRead := r.last == catalog.Position{} && applied != catalog.Position{}
	if nothingRead || r.last.Era < applied.Era {
		r.needFullRead, r.last = false, applied
	}
}

// poll makes one call to the store, a full read or a watch.
func (r *reader) poll(ctx context.Context) error {
	if r.needFullRead {
		return r.readAll(ctx)
	}
	delta, err := r.control.opts.Store.Watch(ctx, r.last, r.watchTime())
	if err != nil {
		return err
	}
	r.recovered()
	grace := r.grace()
	for i := range delta.Records {
		if delta.Records[i].Deleted {
			delta.Records[i].Grace = grace
		}
	}
	r.last.Revision = max(r.last.Revision, delta.To)
	r.control.submit(ctx, func(now time.Time) { r.control.applyChanges(delta, now) })
	if len(delta.Records) > 0 {
		r.batchChanges(ctx)
	}
	return nil
}

// probeWait is the longest time that a watch waits for changes when it is to tell whether
// the store answers again.
const probeWait = time.Millisecond

// watchTime returns how long the next watch may wait for changes.
func (r *reader) watchTime() time.Duration {
	if r.down && r.control.opts.RevocationLimit > 0 {
		return probeWait
	}
	return r.control.opts.WatchTimeout
}

// batchChanges delays the next watch when changes follow each other, so that a
// fleet of endpoints that changes continuously costs a bounded number of calls
// and messages. A change after a quiet period is distributed without delay.
func (r *reader) batchChanges(ctx context.Context) {
	now := r.control.opts.Now()
	if now.Sub(r.lastChangeAt) < quietPeriod {
		sleep.For(ctx, batchDelay)
	}
	r.lastChangeAt = now
}

func (r *reader) readAll(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	askedAt := r.control.opts.Now()
	countedAt := r.control.counted(askedAt)
	records, base, err := r.control.opts.Store.ReadAll(bounded)
	if err != nil {
		return err
	}
	if base.Era < r.known.Era {
		return ErrEarlierEra
	}
	r.recovered()
	if base.Era > r.known.Era {
		r.settledAt = r.control.opts.Now().Add(settleTime)
	}
	grace := r.grace()
	r.needFullRead, r.last = false, base
	r.control.submit(ctx, func(now time.Time) {
		r.control.applyFullRead(records, base, grace, now)
		r.control.recordReading(base, askedAt, countedAt)
	})
	return nil
}

// superviseEvacuations reads the evacuations in force until ctx ends, while this
// daemon reads the store.
func (r *reader) superviseEvacuations(ctx context.Context) {
	for ctx.Err() == nil {
		if r.active.Load() {
			// The guard logs a panic; the next poll tries again.
			_ = r.control.opts.Guard.Do("evacuation reader", func() { r.readEvacuations(ctx) })
		}
		sleep.For(ctx, evacuationPoll)
	}
}

// readEvacuations reads the evacuations in force once. A failure is left to the
// watch, which logs an outage of the store.
func (r *reader) readEvacuations(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	askedAt := r.control.opts.Now()
	countedAt := r.control.counted(askedAt)
	records, position, err := r.control.opts.Store.ReadEvacuations(bounded)
	if err != nil {
		r.control.opts.Log.WithError(err).Debug("evacuations could not be read")
		return
	}
	r.control.submit(ctx, func(now time.Time) {
		r.control.applyEvacuations(records, position, now)
		r.control.recordReading(position, askedAt, countedAt)
	})
}

// recovered records a successful call. The first one after an outage, or in an era that
// peers have told, starts the period in which entries of live endpoints may still be missing.
func (r *reader) recovered() {
	if r.down {
		r.control.opts.Log.Info("the store answers again")
	}
	if r.down || r.eraBegan {
		r.settledAt = r.control.opts.Now().Add(settleTime)
	}
	r.down, r.eraBegan, r.backoff = false, false, 0
	r.active.Store(true)
}

func (r *reader) grace() time.Duration {
	return max(r.settledAt.Sub(r.control.opts.Now()), 0)
}

func (r *reader) handleError(ctx context.Context, err error) {
	if errors.Is(err, ErrRestored) {
		r.control.opts.Log.Info("the store has begun a new era: reading all records")
		r.needFullRead = true
		return
	}
	if errors.Is(err, ErrHistoryLost) {
		r.control.opts.Log.Info("the store dropped its history: reading all records")
		r.needFullRead = true
		return
	}
	r.active.Store(false)
	if !errors.Is(err, ErrBusy) && !r.down {
		r.down = true
		r.control.opts.Log.WithError(err).Warn("the store does not answer")
	}
	r.backoff = min(max(r.backoff*2, minBackoff), maxBackoff)
	sleep.For(ctx, r.backoff)
}

// decideReading decides whether this daemon should read the store now.
func (c *Control) decideReading(now time.Time) readDecision {
	reading := c.table.ShouldRead(c.reading, c.storeAge(now), now)
	if reading != c.reading {
		c.opts.Log.WithField("reads", reading).Info("this daemon's part in reading the store changed")
	}
	c.reading = reading
	return readDecision{reading: reading, applied: c.state.Applied()}
}

// applyChanges applies and distributes the changes that a watch returned, unless the
// store is known to have begun a later era since.
func (c *Control) applyChanges(delta catalog.Delta, now time.Time) {
	if delta.Era < c.state.Applied().Era {
		return
	}
	c.recordOwnRead(now)
	c.state.Apply(delta, now)
	c.dirty = true
	c.distribute(delta, now)
}

// applyEvacuations applies and distributes evacuations that the watch has not
// reported.
func (c *Control) applyEvacuations(records []catalog.Record, read catalog.Position, now time.Time) {
	unknown := c.state.NewRecords(records)
	if len(unknown) == 0 {
		return
	}
	delta := catalog.Delta{Era: read.Era, Records: unknown}
	c.state.Apply(delta, now)
	c.dirty = true
	c.distribute(delta, now)
}

// applyFullRead applies a full read of the store and distributes the changes.
func (c *Control) applyFullRead(records []catalog.Record, base catalog.Position, grace time.Duration, now time.Time) {
	c.recordOwnRead(now)
	before := c.state.Applied()
	logFullRead(c.opts.Log, records, base, c.state.View(now))
	c.state.Replace(records, base, grace, now)
	c.logRestoration()
	c.dirty = true
	c.distribute(c.state.Since(before, now), now)
}
