// Package control owns the control state of a daemon: the published records, the
// other daemons, and what in requests crashes endpoints. One goroutine
// owns this state, handles events, and publishes immutable snapshots that request
// goroutines read without a lock.
package control

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	"github.com/flamingomount/flamingomount/pkg/bodies"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/crashes"
	"github.com/flamingomount/flamingomount/pkg/gateway/demand"
	"github.com/flamingomount/flamingomount/pkg/gateway/freshness"
	"github.com/flamingomount/flamingomount/pkg/gateway/guard"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Intervals of the control goroutine.
const (
	// heartbeatInterval is the time between two heartbeats of this daemon.
	heartbeatInterval = 500 * time.Millisecond
	// joinInterval is the same while the daemon joins the others.
	joinInterval = 200 * time.Millisecond
	// pushTime is how long a daemon waits for a new configuration before it requests it.
	pushTime = time.Second
	// eventBuffer bounds the events queued for the control goroutine.
	eventBuffer = 256
)

// Peers sends messages to other daemons.
type Peers interface {
	// Send sends a message and returns the reply.
	Send(ctx context.Context, to types.VMID, message *Message) (*Message, error)
}

// Options configures a Control.
type Options struct {
	Self  members.Member
	Seeds []types.VMID
	Store Store
	Peers Peers
	// Bodies is the memory of messages that are being received; nil means no limit.
	Bodies *bodies.Pool
	// WatchTimeout bounds one watch call to the store, so that a dead connection is
	// noticed well before the time limit for changes to take effect; zero means
	// DefaultWatchTimeout.
	WatchTimeout time.Duration
	// EvacuationLimit is the time, from the request of an evacuation, within
	// which the data centre must get no more requests; zero means at once.
	EvacuationLimit time.Duration
	// RevocationLimit is the time within which a credential that was taken away stops
	// working. If it is set, daemons ask each other often enough how old their
	// configuration may be.
	RevocationLimit time.Duration
	// Suspended returns for how long the VM was suspended, which Now does not count;
	// nil means never.
	Suspended func() time.Duration
	// OnSnapshot is called with each new snapshot and must not block.
	OnSnapshot func(*Snapshot)
	// Loads returns the daemon's load by service; it must not block.
	Loads func() []members.Load
	// Demand returns the requests of restricted routes that the daemon lately had from
	// callers; it must not block. Nil if they are not counted.
	Demand func() demand.Counts
	// Sound reports whether an answer got on to a request with the trait, as far as
	// this daemon remembers; nil if it remembers nothing.
	Sound func(crashes.Trait) bool
	Log   logrus.FieldLogger
	// Guard recovers panics of events, messages and the store reader.
	Guard *guard.Guard
	Now   func() time.Time
	Rand  route.Rand
}

// Control owns the control state of a daemon.
type Control struct {
	opts           Options
	events         chan func(now time.Time)
	snapshotHolder snapshotHolder
	// sendSlots limits the concurrent outgoing messages.
	sendSlots chan struct{}
	// configSlots does so for those that hold a configuration, which take longer than others,
	// and requestSlots for requests for missing changes.
	configSlots, requestSlots chan struct{}

	// The fields below are used only by the control goroutine.
	state   *catalog.State
	table   *members.Table
	crashes *crashes.Log
	// confirmation tells how old the configuration may be.
	confirmation freshness.Confirmation
	// unconfirmed is true while that is longer than a daemon in touch needs.
	unconfirmed bool
	// broadcasts limits the evidence that is sent to all daemons at once.
	broadcasts *rate.Limiter
	// storeReads holds the last time that each daemon read the store, as far as this
	// one knows; ownReads is the number of this daemon's last one.
	storeReads map[types.VMID]storeRead
	ownReads   uint64
	lastReader types.VMID
	reading    bool
	// awaited is a version of the configuration, newer than this daemon's, that another one
	// told at awaitedSince.
	awaited      uint64
	awaitedSince time.Time
	dirty        bool
	// viewOutdated is true when the view changes without a change of the state,
	// because a data centre gets no more requests from now on.
	viewOutdated bool
	ctx          context.Context
	work         conc.WaitGroup
}

// New returns a Control with an empty snapshot.
func New(opts Options) *Control {
	const maxSends = 64
	// maxRequests is more than one, so that a peer that does not answer holds nothing up.
	const maxRequests = 2
	if opts.Sound == nil {
		opts.Sound = func(crashes.Trait) bool { return false }
	}
	if opts.Demand == nil {
		opts.Demand = func() demand.Counts { return nil }
	}
	if opts.Suspended == nil {
		opts.Suspended = func() time.Duration { return 0 }
	}
	if opts.WatchTimeout == 0 {
		opts.WatchTimeout = DefaultWatchTimeout
	}
	c := &Control{
		opts:         opts,
		events:       make(chan func(time.Time), eventBuffer),
		sendSlots:    make(chan struct{}, maxSends),
		configSlots:  make(chan struct{}, maxSends),
		requestSlots: make(chan struct{}, maxRequests),
		state:        catalog.NewState(),
		table:        members.New(opts.Self, opts.Seeds),
		crashes:      crashes.NewLog(),
		broadcasts:   rate.NewLimiter(rate.Every(broadcastInterval), maxBroadcasts),
		storeReads:   make(map[types.VMID]storeRead),
		// Numbers of reads go on growing after a restart.
		ownReads: uint64(max(opts.Now().UnixMilli(), 0)),
	}
	c.state.SetEvacuationLimit(opts.EvacuationLimit)
	c.publish(opts.Now())
	return c
}

// Load returns the newest snapshot.
func (c *Control) Load() *Snapshot {
	return c.snapshotHolder.load()
}

// Next returns the newest snapshot and a channel that is closed when a newer one
// is published.
func (c *Control) Next() (*Snapshot, <-chan struct{}) {
	return c.snapshotHolder.next()
}

// submit sends an event to the control goroutine. It blocks while the event
// buffer is full, and returns false if ctx ends first.
func (c *Control) submit(ctx context.Context, event func(now time.Time)) bool {
	select {
	case c.events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}

// offer sends an event to the control goroutine, or drops it if the event buffer
// is full.
func (c *Control) offer(event func(now time.Time)) {
	select {
	case c.events <- event:
	default:
		c.opts.Log.Warn("control event dropped: event buffer is full")
	}
}

// Run runs the control goroutine until ctx ends.
func (c *Control) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	c.ctx = ctx
	defer c.work.Wait()
	// Also after a panic: what runs in the background must not keep it from ending.
	defer cancel()
	reader := newReader(c)
	c.work.Go(func() { reader.supervise(ctx) })
	c.work.Go(func() { reader.superviseEvacuations(ctx) })
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	c.tick(c.opts.Now())
	evacuated := time.NewTimer(heartbeatInterval)
	defer evacuated.Stop()
	settled := time.NewTimer(heartbeatInterval)
	defer settled.Stop()
	joining := true
	for {
		select {
		case event := <-c.events:
			c.handle(event)
			c.drainEvents()
		case <-ticker.C:
			c.handle(c.tick)
		case <-evacuated.C:
			c.viewOutdated, c.dirty = true, true
		case <-settled.C:
			c.handle(c.decide)
		case <-ctx.Done():
			return
		}
		if joining && !c.table.Joining() {
			joining = false
			ticker.Reset(heartbeatInterval)
		}
		if c.dirty {
			c.publish(c.opts.Now())
		}
		if next := c.state.NextEvacuation(c.opts.Now()); !next.IsZero() {
			evacuated.Reset(next.Sub(c.opts.Now()))
		}
		if next := c.crashes.NextDecision(c.opts.Now()); !next.IsZero() {
			settled.Reset(next.Sub(c.opts.Now()))
		}
	}
}

// drainEvents handles all queued events, so that one snapshot includes them.
func (c *Control) drainEvents() {
	for range len(c.events) {
		c.handle(<-c.events)
	}
}

// handle runs an event. An event that panics may leave the state inconsistent, so
// the state is reset.
func (c *Control) handle(event func(now time.Time)) {
	err := c.opts.Guard.Do("control event", func() { event(c.opts.Now()) })
	if err != nil {
		c.resetState()
	}
}

// resetState replaces the state by an empty one that keeps the newest configuration.
// Requests use the view of the last snapshot until the new state has received at least
// the same position from the store or another daemon.
func (c *Control) resetState() {
	newest := c.state.ConfigRecord()
	c.state = catalog.NewState()
	c.state.AdoptConfig(newest)
	c.state.SetEvacuationLimit(c.opts.EvacuationLimit)
	c.table = c.table.EmptyCopy()
	c.crashes = crashes.NewLog()
	c.confirmation.Forget()
	clear(c.storeReads)
	c.lastReader = ""
	c.dirty = true
}

// tick expires old state and sends heartbeats.
func (c *Control) tick(now time.Time) {
	logDropped(c.opts.Log, c.state.Expire(now))
	c.table.Forget(now)
	c.crashes.Expire(now)
	c.decide(now)
	c.heartbeat(now)
	c.askConfirmation(now)
	c.dirty = true
}

// publish builds and publishes a new snapshot.
func (c *Control) publish(now time.Time) {
	c.dirty = false
	defer func() { c.viewOutdated = false }()
	c.confirmation.Settle(c.state.Applied(), c.state.ConfigVersion())
	previous := c.snapshotHolder.load()
	next := &Snapshot{
		Self:    c.table.Self(),
		Members: c.table.Live(now),
		Peak:    c.table.Peak(),
		Joining: c.table.Joining(),
		Demand:  c.table.Demand(),
		Left:    c.table.LeftRegions(),

		StoreReadAt: c.storeReads[c.lastReader].at,
		ConfirmedAt: c.confirmation.At(),

		Withheld:  c.crashes.Withheld(),
		Suspected: c.crashes.Suspected(),
	}
	switch {
	case previous == nil:
		next.View = c.state.View(now)
	case c.state.Applied().Before(previous.View.Position()):
		next.View, next.ConfirmedAt = previous.View, previous.ConfirmedAt
		if len(next.Members) == 0 {
			next.Members = previous.Members
		}
	case c.state.ConsumeChanged() || c.viewOutdated:
		next.View = c.state.View(now)
	default:
		next.View = previous.View
	}
	startsServing := next.View.Config != nil && next.Self.State == members.Starting
	if startsServing {
		c.table.SetState(members.Serving)
		next.Self = c.table.Self()
	}
	c.snapshotHolder.store(next)
	c.opts.OnSnapshot(next)
	logChanges(c.opts.Log, previous, next)
	if startsServing && c.ctx != nil {
		// The others send requests here only once they know that it serves.
		c.heartbeat(now)
	}
}

// SetSeeds replaces the seeds.
func (c *Control) SetSeeds(seeds []types.VMID) {
	c.offer(func(time.Time) { c.table.SetSeeds(seeds) })
}

// ReportUnreachable records that a daemon could not be reached.
func (c *Control) ReportUnreachable(vm types.VMID, err error) {
	c.offer(func(now time.Time) { c.markUnreachable(vm, err, now) })
}
