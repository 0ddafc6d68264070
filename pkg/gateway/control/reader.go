package control

import (
	"context"
	"errors"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
)

// Store is the published state, which can only be read.
type Store interface {
	// ReadAll reads every record. Base is a revision that the reading shows at
	// least.
	ReadAll(ctx context.Context) (records []catalog.Record, base uint64, err error)
	// Watch returns the changes after a revision, or an empty delta when there
	// was none for the time of wait. It returns ErrHistoryLost when the changes
	// are no longer known.
	Watch(ctx context.Context, after uint64, wait time.Duration) (catalog.Delta, error)
}

// ErrHistoryLost means that the store no longer knows the changes asked for.
var ErrHistoryLost = errors.New("the store no longer holds this history")

// ErrBusy means that the store refused the call because of its rate limit.
var ErrBusy = errors.New("the store refuses calls beyond its rate")

// Times of reading.
const (
	// DefaultWatchTimeout is the default of Options.WatchWait.
	DefaultWatchTimeout = 1200 * time.Millisecond
	// readTimeout bounds a reading of all records.
	readTimeout = 1500 * time.Millisecond
	// settleTime is how long after an outage entries of live endpoints may be
	// missing.
	settleTime = 2200 * time.Millisecond
	// gatherTime is how long changes are gathered that follow others within
	// calmTime.
	gatherTime = 150 * time.Millisecond
	calmTime   = 500 * time.Millisecond
	minBackoff = 100 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
	// idlePoll is how often a daemon that does not read looks whether it should.
	idlePoll = 100 * time.Millisecond
)

// reader reads the store while this daemon is one of its region's readers.
type reader struct {
	control *Control
	// complete is the revision of the last reading.
	complete uint64
	// whole is true while all records have to be read.
	whole bool
	// down is true from a failed call to the next good one.
	down      bool
	settledAt time.Time
	backoff   time.Duration
	// changedAt is when the store last told a change.
	changedAt time.Time
}

func newReader(c *Control) *reader {
	return &reader{control: c, whole: true}
}

// keep runs the reader until ctx ends, and begins anew after a panic.
func (r *reader) keep(ctx context.Context) {
	for ctx.Err() == nil {
		if err := r.control.opts.Guard.Do("store reader", func() { r.run(ctx) }); err != nil {
			r.whole, r.complete = true, 0
			sleep(ctx, maxBackoff)
		}
	}
}

func (r *reader) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.mayRead(ctx) {
			r.whole, r.complete = true, 0
			sleep(ctx, idlePoll)
			continue
		}
		if err := r.step(ctx); err != nil && ctx.Err() == nil {
			r.failed(ctx, err)
		}
	}
}

// mayRead asks the control goroutine, which knows how old the news are.
func (r *reader) mayRead(ctx context.Context) bool {
	answer := make(chan bool, 1)
	ok := r.control.submit(ctx, func(now time.Time) {
		c := r.control
		reading := c.table.ShouldRead(c.reading, c.news(now), now)
		if reading != c.reading {
			c.opts.Log.WithField("reads", reading).Info("this daemon's part in reading the store changed")
		}
		c.reading = reading
		if c.state.AppliedRevision() < r.complete {
			// The control state has begun anew.
			r.whole, r.complete = true, 0
		}
		if r.complete == 0 && c.state.AppliedRevision() > 0 {
			r.whole, r.complete = false, c.state.AppliedRevision()
		}
		answer <- reading
	})
	if !ok {
		return false
	}
	select {
	case may := <-answer:
		return may
	case <-ctx.Done():
		return false
	}
}

// step makes one call to the store.
func (r *reader) step(ctx context.Context) error {
	if r.whole {
		return r.readAll(ctx)
	}
	delta, err := r.control.opts.Store.Watch(ctx, r.complete, r.control.opts.WatchTimeout)
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
	r.complete = max(r.complete, delta.To)
	r.control.submit(ctx, func(now time.Time) { r.control.watched(delta, now) })
	if len(delta.Records) > 0 {
		r.gather(ctx)
	}
	return nil
}

// gather lets further changes come together after some, so that a fleet of
// endpoints that changes all the time costs a bounded number of calls and messages.
// A change after a calm time is told at once.
func (r *reader) gather(ctx context.Context) {
	now := r.control.opts.Now()
	if now.Sub(r.changedAt) < calmTime {
		sleep(ctx, gatherTime)
	}
	r.changedAt = now
}

func (r *reader) readAll(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	records, base, err := r.control.opts.Store.ReadAll(bounded)
	if err != nil {
		return err
	}
	r.recovered()
	grace := r.grace()
	r.whole, r.complete = false, base
	r.control.submit(ctx, func(now time.Time) { r.control.readWhole(records, base, grace, now) })
	return nil
}

// recovered notes a good call; the first one after an outage begins the time in
// which entries may still be missing.
func (r *reader) recovered() {
	if r.down {
		r.control.opts.Log.Info("the store answers again")
		r.settledAt = r.control.opts.Now().Add(settleTime)
	}
	r.down, r.backoff = false, 0
}

func (r *reader) grace() time.Duration {
	return max(r.settledAt.Sub(r.control.opts.Now()), 0)
}

func (r *reader) failed(ctx context.Context, err error) {
	if errors.Is(err, ErrHistoryLost) {
		r.control.opts.Log.Info("the store dropped its history: reading all records")
		r.whole = true
		return
	}
	if !errors.Is(err, ErrBusy) && !r.down {
		r.down = true
		r.control.opts.Log.WithError(err).Warn("the store does not answer")
	}
	r.backoff = min(max(r.backoff*2, minBackoff), maxBackoff)
	sleep(ctx, r.backoff)
}

// sleep waits for the delay or the end of ctx.
func sleep(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// watched takes the changes that a watch returned.
func (c *Control) watched(delta catalog.Delta, now time.Time) {
	c.heard(c.table.Self().VM, now)
	c.state.Apply(delta, now)
	c.dirty = true
	c.spread(delta, now)
}

// readWhole takes a reading of all records.
func (c *Control) readWhole(records []catalog.Record, base uint64, grace time.Duration, now time.Time) {
	c.heard(c.table.Self().VM, now)
	before := c.state.AppliedRevision()
	c.state.Replace(records, base, grace, now)
	c.dirty = true
	c.spread(c.state.Since(before, now), now)
}
