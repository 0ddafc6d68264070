// Package control owns what a daemon believes: the published records, the other
// daemons, and the contents that crash endpoints. One goroutine owns all of it,
// takes events, and publishes immutable snapshots that traffic goroutines read
// without a lock.
package control

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/guard"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Intervals of the control goroutine.
const (
	// heartbeatInterval is the time between two heartbeats of a daemon.
	heartbeatInterval = 500 * time.Millisecond
	// joinInterval is the same while a daemon looks for the others.
	joinInterval = 200 * time.Millisecond
	// eventBuffer bounds the events that wait for the control goroutine.
	eventBuffer = 256
)

// Peers sends messages to other daemons.
type Peers interface {
	// Send sends a message and returns the answer.
	Send(ctx context.Context, to types.VMID, message *Message) (*Message, error)
}

// Options configures a Control.
type Options struct {
	Self  members.Member
	Seeds []types.VMID
	Store Store
	Peers Peers
	// WatchTimeout bounds one waiting call to the store, so that a connection that
	// went silent is noticed well before the bounds on changes; zero means
	// DefaultWatchWait.
	WatchTimeout time.Duration
	// OnSnapshot is called with each new snapshot; it must not block.
	OnSnapshot func(*Snapshot)
	// Loads returns what the daemon has in flight; it must not block.
	Loads func() []members.Load
	Log   logrus.FieldLogger
	// Guard catches panics of events and messages.
	Guard *guard.Guard
	Now   func() time.Time
	Rand  route.Rand
}

// Control owns the control state.
type Control struct {
	opts   Options
	events chan func(now time.Time)
	holder holder
	// sends limits the messages under way.
	sends chan struct{}

	// The fields below belong to the control goroutine.
	state   *catalog.State
	table   *members.Table
	crashes *crashLog
	// newsAt is when the store was last heard of, by origin of the news.
	newsAt  map[types.VMID]time.Time
	newest  types.VMID
	reading bool
	dirty   bool
	ctx     context.Context
	work    conc.WaitGroup
}

// New returns control state with an empty snapshot.
func New(opts Options) *Control {
	const maxSends = 64
	if opts.WatchTimeout == 0 {
		opts.WatchTimeout = DefaultWatchTimeout
	}
	c := &Control{
		opts:    opts,
		events:  make(chan func(time.Time), eventBuffer),
		sends:   make(chan struct{}, maxSends),
		state:   catalog.NewState(),
		table:   members.New(opts.Self, opts.Seeds),
		crashes: newCrashLog(),
		newsAt:  make(map[types.VMID]time.Time),
	}
	c.publish(opts.Now())
	return c
}

// Load returns the newest snapshot.
func (c *Control) Load() *Snapshot {
	return c.holder.load()
}

// submit hands an event to the control goroutine; it blocks while many wait.
func (c *Control) submit(ctx context.Context, event func(now time.Time)) bool {
	select {
	case c.events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}

// offer hands an event to the control goroutine, or drops it when many wait.
func (c *Control) offer(event func(now time.Time)) {
	select {
	case c.events <- event:
	default:
		c.opts.Log.Warn("control event dropped: too many are waiting")
	}
}

// Run owns the state until ctx ends.
func (c *Control) Run(ctx context.Context) {
	c.ctx = ctx
	defer c.work.Wait()
	reader := newReader(c)
	c.work.Go(func() { reader.keep(ctx) })
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	c.tick(c.opts.Now())
	joining := true
	for {
		select {
		case event := <-c.events:
			c.handle(event)
			c.drainEvents()
		case <-ticker.C:
			c.handle(c.tick)
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
	}
}

// drainEvents handles what waits, so that one snapshot shows all of it.
func (c *Control) drainEvents() {
	for range len(c.events) {
		c.handle(<-c.events)
	}
}

// handle runs an event. One that panics may have left the state half changed, so
// the state begins anew.
func (c *Control) handle(event func(now time.Time)) {
	err := c.opts.Guard.Do("control event", func() { event(c.opts.Now()) })
	if err != nil {
		c.restart()
	}
}

// restart begins with empty state. Traffic goes on with the last snapshot until
// the store or another daemon has told as much as it shows.
func (c *Control) restart() {
	c.state = catalog.NewState()
	c.table = c.table.EmptyCopy()
	c.crashes = newCrashLog()
	clear(c.newsAt)
	c.newest = ""
	c.dirty = true
}

// tick sends heartbeats and lets time pass for every part.
func (c *Control) tick(now time.Time) {
	c.state.Expire(now)
	c.table.Forget(now)
	c.crashes.expire(now)
	c.table.Beat(c.opts.Loads())
	for _, vm := range c.table.Targets(now, c.opts.Rand) {
		c.send(vm, c.message(vm, now))
	}
	c.dirty = true
}

// publish builds a new snapshot.
func (c *Control) publish(now time.Time) {
	c.dirty = false
	previous := c.holder.load()
	next := &Snapshot{
		Self:       c.table.Self(),
		Members:    c.table.Live(now),
		RegionPeak: c.table.Peak(),
		FleetPeak:  c.table.FleetPeak(),
		Joining:    c.table.Joining(),
		Suspects:   c.crashes.suspects(),
	}
	switch {
	case previous == nil:
		next.View = c.state.View()
	case c.state.AppliedRevision() < previous.View.AppliedRevision:
		next.View = previous.View
		if len(next.Members) == 0 {
			next.Members = previous.Members
		}
	case c.state.TakeChanged():
		next.View = c.state.View()
	default:
		next.View = previous.View
	}
	if next.View.Config != nil && next.Self.State == members.Starting {
		c.table.SetState(members.Serving)
		next.Self = c.table.Self()
	}
	c.holder.store(next)
	c.opts.OnSnapshot(next)
	logChanges(c.opts.Log, previous, next)
}

// message is the heartbeat that is sent to a daemon now.
func (c *Control) message(to types.VMID, now time.Time) *Message {
	message := c.note(now)
	message.Members = c.table.HeartbeatMembers(to, now)
	return message
}

// note is a message without the table.
func (c *Control) note(now time.Time) *Message {
	message := &Message{
		From:            c.table.Self().VM,
		AppliedRevision: c.state.AppliedRevision(),
		Crashes:         c.crashes.recent(now),
	}
	if at, known := c.newsAt[c.newest]; known {
		message.Origin, message.StoreReadAge = c.newest, now.Sub(at)
	}
	return message
}

// send sends a message and takes the answer as an event.
func (c *Control) send(to types.VMID, message *Message) {
	select {
	case c.sends <- struct{}{}:
	default:
		c.opts.Log.WithField("to", to).Warn("peer message dropped: too many are under way")
		return
	}
	c.work.Go(func() {
		defer func() { <-c.sends }()
		// A panic was logged; the next heartbeat tries again.
		_ = c.opts.Guard.Do("message", func() { c.exchange(to, message) })
	})
}

// exchange sends a message and hands the answer to the control goroutine.
func (c *Control) exchange(to types.VMID, message *Message) {
	answer, err := c.opts.Peers.Send(c.ctx, to, message)
	if err != nil {
		c.submit(c.ctx, func(now time.Time) { c.unreachable(to, err, now) })
		return
	}
	c.submit(c.ctx, func(now time.Time) { c.take(answer, now) })
}

func (c *Control) unreachable(vm types.VMID, err error, now time.Time) {
	c.table.MarkUnreachable(vm, now)
	c.dirty = true
	c.opts.Log.WithError(err).WithField("to", vm).Debug("peer could not be reached")
}

// Receive takes a message of another daemon and returns the answer.
func (c *Control) Receive(ctx context.Context, message *Message) *Message {
	answers := make(chan *Message, 1)
	ok := c.submit(ctx, func(now time.Time) {
		// No answer tells the other daemon that its message was not taken.
		defer close(answers)
		behind := message.AppliedRevision
		c.take(message, now)
		answer := c.answer(message, now)
		if c.state.AppliedRevision() > behind {
			delta := c.state.Since(behind, now)
			answer.Delta = &delta
		}
		answers <- answer
	})
	if !ok {
		return nil
	}
	select {
	case answer := <-answers:
		return answer
	case <-ctx.Done():
		return nil
	}
}

// answer answers a message. Only heartbeats, which carry a table, are answered
// with one: news of the store come often and go to every daemon.
func (c *Control) answer(message *Message, now time.Time) *Message {
	if len(message.Members) == 0 {
		return c.note(now)
	}
	return c.message(message.From, now)
}

// take merges what another daemon told. When it knows more of the store than it
// told, it is asked.
func (c *Control) take(message *Message, now time.Time) {
	c.table.Merge(message.Members, now)
	c.dirty = true
	for _, crash := range message.Crashes {
		c.crashes.add(crash, now)
	}
	if message.Delta != nil {
		c.state.Apply(*message.Delta, now)
	}
	if message.AppliedRevision > c.state.AppliedRevision() {
		c.send(message.From, c.note(now))
		return
	}
	if message.Origin != "" {
		c.heard(message.Origin, now.Add(-message.StoreReadAge))
	}
	if message.Relay && message.Delta != nil {
		c.pass(*message.Delta, message.Origin, now)
	}
}

// heard notes when a daemon last read the store.
func (c *Control) heard(origin types.VMID, at time.Time) {
	if at.After(c.newsAt[origin]) {
		c.newsAt[origin] = at
	}
	if c.newest == "" || c.newsAt[origin].After(c.newsAt[c.newest]) {
		c.newest = origin
	}
}

// news tells how old the news of the store are.
func (c *Control) news(now time.Time) members.StoreAge {
	return members.StoreAge{
		Newest:  now.Sub(c.newsAt[c.newest]),
		Primary: now.Sub(c.newsAt[c.table.PrimaryReader(now)]),
		Wait:    c.opts.WatchTimeout,
	}
}

// spread tells the daemons of the own data centre, and one of each other data
// centre of the region, what was just read from the store; that one passes it
// on. Other regions have readers of their own.
func (c *Control) spread(delta catalog.Delta, now time.Time) {
	self := c.table.Self()
	c.pass(delta, self.VM, now)
	told := map[types.DataCentre]bool{self.DataCentre: true}
	for _, member := range c.table.Live(now) {
		if member.Region != self.Region || told[member.DataCentre] || member.State == members.Leaving {
			continue
		}
		told[member.DataCentre] = true
		message := c.note(now)
		message.Delta, message.Relay = &delta, true
		c.send(member.VM, message)
	}
}

// pass tells the daemons of the own data centre what the origin read.
func (c *Control) pass(delta catalog.Delta, origin types.VMID, now time.Time) {
	self := c.table.Self()
	for _, member := range c.table.Live(now) {
		if member.Region == self.Region && member.DataCentre == self.DataCentre {
			message := c.note(now)
			message.Origin, message.StoreReadAge = origin, now.Sub(c.newsAt[origin])
			message.Delta = &delta
			c.send(member.VM, message)
		}
	}
}

// Leave tells every daemon that this one leaves.
func (c *Control) Leave(ctx context.Context) {
	c.submit(ctx, func(now time.Time) {
		c.table.SetState(members.Leaving)
		c.table.Beat(c.opts.Loads())
		c.dirty = true
		for _, member := range c.table.Live(now) {
			message := c.note(now)
			message.Members = []members.Member{c.table.Self()}
			c.send(member.VM, message)
		}
	})
}

// SetSeeds takes seeds that have changed.
func (c *Control) SetSeeds(seeds []types.VMID) {
	c.offer(func(time.Time) { c.table.SetSeeds(seeds) })
}

// ReportCrash notes that an endpoint broke off while it ran a content. Heartbeats
// tell the other daemons; they are told at once when it is not the first crash,
// since most contents that were running at a crash are innocent.
func (c *Control) ReportCrash(content request.Fingerprint, attempt string) {
	c.offer(func(now time.Time) {
		crash := Crash{Content: content, Attempt: attempt}
		if !c.crashes.add(crash, now) {
			return
		}
		c.dirty = true
		if c.crashes.count(content) < 2 {
			return
		}
		for _, member := range c.table.Live(now) {
			c.send(member.VM, &Message{
				From: c.table.Self().VM, AppliedRevision: c.state.AppliedRevision(), Crashes: []Crash{crash},
			})
		}
	})
}

// ReportCompletion notes that an endpoint answered a content.
func (c *Control) ReportCompletion(content request.Fingerprint) {
	c.offer(func(now time.Time) {
		c.crashes.completed(content, now)
		c.dirty = true
	})
}

// ReportUnreachable notes that a daemon could not be reached.
func (c *Control) ReportUnreachable(vm types.VMID, err error) {
	c.offer(func(now time.Time) { c.unreachable(vm, err, now) })
}
