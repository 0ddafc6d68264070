// Package control owns the control state of a daemon: the published records, the
// other daemons, and what in requests crashes endpoints. One goroutine
// owns this state, handles events, and publishes immutable snapshots that request
// goroutines read without a lock.
package control

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/crashes"
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
	// WatchTimeout bounds one watch call to the store, so that a dead connection is
	// noticed well before the time limit for changes to take effect; zero means
	// DefaultWatchTimeout.
	WatchTimeout time.Duration
	// EvacuationLimit is the time, from the request of an evacuation, within
	// which the data centre must get no more requests; zero means at once.
	EvacuationLimit time.Duration
	// OnSnapshot is called with each new snapshot and must not block.
	OnSnapshot func(*Snapshot)
	// Loads returns the daemon's load by service; it must not block.
	Loads func() []members.Load
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

	// The fields below are used only by the control goroutine.
	state   *catalog.State
	table   *members.Table
	crashes *crashes.Log
	// broadcasts limits the evidence that is sent to all daemons at once.
	broadcasts *rate.Limiter
	// storeReads holds the last time that each daemon read the store, as far as this
	// one knows; ownReads is the number of this daemon's last one.
	storeReads map[types.VMID]storeRead
	ownReads   uint64
	lastReader types.VMID
	reading    bool
	dirty      bool
	// viewOutdated is true when the view changes without a change of the state,
	// because a data centre gets no more requests from now on.
	viewOutdated bool
	ctx          context.Context
	work         conc.WaitGroup
}

// New returns a Control with an empty snapshot.
func New(opts Options) *Control {
	const maxSends = 64
	if opts.Sound == nil {
		opts.Sound = func(crashes.Trait) bool { return false }
	}
	if opts.WatchTimeout == 0 {
		opts.WatchTimeout = DefaultWatchTimeout
	}
	c := &Control{
		opts:       opts,
		events:     make(chan func(time.Time), eventBuffer),
		sendSlots:  make(chan struct{}, maxSends),
		state:      catalog.NewState(),
		table:      members.New(opts.Self, opts.Seeds),
		crashes:    crashes.NewLog(),
		broadcasts: rate.NewLimiter(rate.Every(broadcastInterval), maxBroadcasts),
		storeReads: make(map[types.VMID]storeRead),
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
	c.ctx = ctx
	defer c.work.Wait()
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

// resetState replaces the state by an empty one. Requests use the view of the last
// snapshot until the new state has received at least the same revision from the
// store or another daemon.
func (c *Control) resetState() {
	c.state = catalog.NewState()
	c.state.SetEvacuationLimit(c.opts.EvacuationLimit)
	c.table = c.table.EmptyCopy()
	c.crashes = crashes.NewLog()
	clear(c.storeReads)
	c.lastReader = ""
	c.dirty = true
}

// tick expires old state and sends heartbeats.
func (c *Control) tick(now time.Time) {
	c.state.Expire(now)
	c.table.Forget(now)
	c.crashes.Expire(now)
	c.decide(now)
	c.heartbeat(now)
	c.dirty = true
}

// heartbeat sends a heartbeat to some of the other daemons.
func (c *Control) heartbeat(now time.Time) {
	c.table.Beat(c.opts.Loads())
	for _, vm := range c.table.Targets(now, c.opts.Rand) {
		c.send(vm, c.message(vm, now))
	}
}

// publish builds and publishes a new snapshot.
func (c *Control) publish(now time.Time) {
	c.dirty = false
	defer func() { c.viewOutdated = false }()
	previous := c.snapshotHolder.load()
	next := &Snapshot{
		Self:    c.table.Self(),
		Members: c.table.Live(now),
		Peak:    c.table.Peak(),
		Joining: c.table.Joining(),

		StoreReadAt: c.storeReads[c.lastReader].at,

		Withheld:  c.crashes.Withheld(),
		Suspected: c.crashes.Suspected(),
	}
	switch {
	case previous == nil:
		next.View = c.state.View(now)
	case c.state.AppliedRevision() < previous.View.AppliedRevision:
		next.View = previous.View
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

// message returns a heartbeat to a daemon, which carries the table.
func (c *Control) message(to types.VMID, now time.Time) *Message {
	message := c.statusMessage(now)
	message.Members = c.table.HeartbeatMembers(to, now)
	return message
}

// statusMessage returns a message without the table.
func (c *Control) statusMessage(now time.Time) *Message {
	message := &Message{
		From:            c.table.Self().VM,
		AppliedRevision: c.state.AppliedRevision(),
		Evidence:        c.crashes.News(now),
		Joining:         c.table.Joining(),
		Evacuations:     c.state.EvacuationAges(now),
	}
	if _, found := c.storeReads[c.lastReader]; found {
		c.addStoreRead(message, c.lastReader, now)
	}
	return message
}

// send sends a message in the background; the reply is handled as an event.
func (c *Control) send(to types.VMID, message *Message) {
	select {
	case c.sendSlots <- struct{}{}:
	default:
		c.opts.Log.WithField("to", to).Warn("peer message dropped: too many messages in flight")
		return
	}
	c.work.Go(func() {
		defer func() { <-c.sendSlots }()
		// The guard logs a panic; the next heartbeat retries.
		_ = c.opts.Guard.Do("message", func() { c.exchange(to, message) })
	})
}

// exchange sends a message and passes the reply to the control goroutine.
func (c *Control) exchange(to types.VMID, message *Message) {
	sentAt := c.opts.Now()
	reply, err := c.opts.Peers.Send(c.ctx, to, message)
	if err != nil {
		c.submit(c.ctx, func(now time.Time) { c.markUnreachable(to, err, now) })
		return
	}
	c.submit(c.ctx, func(now time.Time) {
		c.mergeMessage(reply, now)
		c.state.ConfirmEvacuations(reply.Evacuations, sentAt)
	})
}

func (c *Control) markUnreachable(vm types.VMID, err error, now time.Time) {
	c.table.MarkUnreachable(vm, now)
	c.dirty = true
	c.opts.Log.WithError(err).WithField("to", vm).Debug("peer unreachable")
}

// Receive handles a message from another daemon and returns the reply, or nil if
// the message was not handled.
func (c *Control) Receive(ctx context.Context, message *Message) *Message {
	replies := make(chan *Message, 1)
	ok := c.submit(ctx, func(now time.Time) {
		// If the event panics, the closed channel yields a nil reply, which tells
		// the sender that its message was not handled.
		defer close(replies)
		senderRevision := message.AppliedRevision
		c.mergeMessage(message, now)
		c.askEvacuationAges(message, now)
		reply := c.reply(message, now)
		if c.state.AppliedRevision() > senderRevision {
			delta := c.state.Since(senderRevision, now)
			reply.Delta = &delta
		}
		replies <- reply
	})
	if !ok {
		return nil
	}
	select {
	case reply := <-replies:
		return reply
	case <-ctx.Done():
		return nil
	}
}

// reply returns the reply to a message. Only a heartbeat, which carries the
// table, gets the table in return: store changes are frequent and go to every
// daemon.
func (c *Control) reply(message *Message, now time.Time) *Message {
	reply := c.statusMessage(now)
	if len(message.Members) > 0 {
		reply = c.message(message.From, now)
	}
	if message.Joining {
		reply.Evidence = c.crashes.All(now)
	}
	return reply
}

// mergeMessage merges a message from another daemon. If the sender has a later
// revision of the store than this daemon even after the merge, this daemon
// requests the missing changes.
func (c *Control) mergeMessage(message *Message, now time.Time) {
	c.table.Merge(message.Members, now)
	c.dirty = true
	c.mergeEvidence(message, now)
	if message.Delta != nil {
		c.state.Apply(*message.Delta, now)
	}
	if message.AppliedRevision > c.state.AppliedRevision() {
		c.send(message.From, c.statusMessage(now))
		return
	}
	if message.StoreReader != "" {
		c.recordStoreRead(message.StoreReader, storeRead{at: now.Add(-message.StoreReadAge), number: message.StoreReadNumber})
	}
	if message.Relay && message.Delta != nil {
		c.sendToDataCentre(*message.Delta, message.StoreReader, now)
	}
}

// askEvacuationAges asks the sender of a message for the age of an evacuation
// that the message brought: only a reply bounds the age, since a message may have
// been on its way for any time.
func (c *Control) askEvacuationAges(message *Message, now time.Time) {
	if message.Delta == nil {
		return
	}
	if slices.ContainsFunc(message.Delta.Records, func(record catalog.Record) bool { return record.Evacuated != "" }) {
		c.send(message.From, c.statusMessage(now))
	}
}

// storeRead is one time that a daemon read the store.
type storeRead struct {
	at time.Time
	// number grows with each read of the daemon; zero if the sender told none.
	number uint64
}

// recordStoreRead records a time that a daemon read the store. The time of a known
// read is not moved: each message that tells of it was on its way for a while, so
// that its age is told too low, and lower each time that it is passed on.
func (c *Control) recordStoreRead(origin types.VMID, read storeRead) {
	known := c.storeReads[origin]
	isNew := read.number == 0 || read.number > known.number
	if isNew && read.at.After(known.at) {
		c.storeReads[origin] = read
	}
	if c.lastReader == "" || c.storeReads[origin].at.After(c.storeReads[c.lastReader].at) {
		c.lastReader = origin
	}
}

// recordOwnRead records that this daemon has read the store.
func (c *Control) recordOwnRead(now time.Time) {
	c.ownReads++
	c.recordStoreRead(c.table.Self().VM, storeRead{at: now, number: c.ownReads})
}

// addStoreRead adds the last time that a daemon read the store to a message.
func (c *Control) addStoreRead(message *Message, origin types.VMID, now time.Time) {
	read := c.storeReads[origin]
	message.StoreReader, message.StoreReadAge, message.StoreReadNumber = origin, now.Sub(read.at), read.number
}

// storeAge returns how long ago daemons last read the store.
func (c *Control) storeAge(now time.Time) members.StoreAge {
	return members.StoreAge{
		Newest:  now.Sub(c.storeReads[c.lastReader].at),
		Primary: now.Sub(c.storeReads[c.table.PrimaryReader(now)].at),
		Wait:    c.opts.WatchTimeout,
	}
}

// distribute sends changes just read from the store to the daemons of the local
// data centre and to one daemon of each other data centre of the region, which
// relays them. Other regions have their own readers.
func (c *Control) distribute(delta catalog.Delta, now time.Time) {
	self := c.table.Self()
	c.sendToDataCentre(delta, self.VM, now)
	notified := map[types.DataCentre]bool{self.DataCentre: true}
	for _, member := range c.table.Live(now) {
		if member.Region != self.Region || notified[member.DataCentre] || member.State == members.Leaving {
			continue
		}
		notified[member.DataCentre] = true
		message := c.statusMessage(now)
		message.Delta, message.Relay = &delta, true
		c.send(member.VM, message)
	}
}

// sendToDataCentre sends changes that origin read from the store to the daemons of
// the local data centre.
func (c *Control) sendToDataCentre(delta catalog.Delta, origin types.VMID, now time.Time) {
	self := c.table.Self()
	for _, member := range c.table.Live(now) {
		if member.Region == self.Region && member.DataCentre == self.DataCentre {
			message := c.statusMessage(now)
			c.addStoreRead(message, origin, now)
			message.Delta = &delta
			c.send(member.VM, message)
		}
	}
}

// Leave announces to every live daemon that this one is leaving.
func (c *Control) Leave(ctx context.Context) {
	c.submit(ctx, func(now time.Time) {
		c.table.SetState(members.Leaving)
		c.table.Beat(c.opts.Loads())
		c.dirty = true
		for _, member := range c.table.Live(now) {
			message := c.statusMessage(now)
			message.Members = []members.Member{c.table.Self()}
			c.send(member.VM, message)
		}
	})
}

// SetSeeds replaces the seeds.
func (c *Control) SetSeeds(seeds []types.VMID) {
	c.offer(func(time.Time) { c.table.SetSeeds(seeds) })
}

// ReportUnreachable records that a daemon could not be reached.
func (c *Control) ReportUnreachable(vm types.VMID, err error) {
	c.offer(func(now time.Time) { c.markUnreachable(vm, err, now) })
}
