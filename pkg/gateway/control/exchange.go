package control

import (
	"context"
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// heartbeat sends a heartbeat to some of the other daemons.
func (c *Control) heartbeat(now time.Time) {
	c.table.Beat(c.opts.Loads())
	for _, vm := range c.table.Targets(now, c.opts.Rand) {
		c.send(vm, c.message(vm, now))
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
		From:          c.table.Self().VM,
		ConfigVersion: c.state.ConfigVersion(),
		Evidence:      c.crashes.News(now),
		Joining:       c.table.Joining(),
		Evacuations:   c.state.EvacuationAges(now),
		ConfirmedAge:  c.confirmation.Age(c.counted(now)),
	}
	message.setApplied(c.state.Applied())
	if _, found := c.storeReads[c.lastReader]; found {
		c.addStoreRead(message, c.lastReader, now)
	}
	return message
}

// send sends a message in the background; the reply is handled as an event.
func (c *Control) send(to types.VMID, message *Message) {
	slots := c.sendSlots
	if message.Delta != nil && message.Delta.HoldsConfig() {
		slots = c.configSlots
	}
	if !c.sendIn(slots, to, message) {
		c.opts.Log.WithField("to", to).Warn("peer message dropped: too many messages in flight")
	}
}

// sendIn sends a message in the background if one of the slots is free, and reports whether it
// does.
func (c *Control) sendIn(slots chan struct{}, to types.VMID, message *Message) bool {
	select {
	case slots <- struct{}{}:
	default:
		return false
	}
	c.work.Go(func() {
		defer func() { <-slots }()
		// The guard logs a panic; the next heartbeat retries.
		_ = c.opts.Guard.Do("message", func() { c.exchange(to, message) })
	})
	return true
}

// awaitsPush reports whether a newer configuration has been in force elsewhere for so short a
// time that it is probably on its way: to request it too would send it over the links twice.
func (c *Control) awaitsPush(version uint64, now time.Time) bool {
	own := c.state.ConfigVersion()
	if own == 0 || version <= own {
		return false
	}
	if c.awaited <= own {
		c.awaited, c.awaitedSince = version, now
	}
	return now.Sub(c.awaitedSince) < pushTime
}

// request asks another daemon for the changes that this one lacks. It does nothing while
// enough requests are under way: the same changes would pass this daemon's link many times.
// The next message of a daemon that is ahead makes it ask again.
func (c *Control) request(from types.VMID, now time.Time) {
	c.sendIn(c.requestSlots, from, c.statusMessage(now))
}

// exchange sends a message and passes the reply to the control goroutine.
func (c *Control) exchange(to types.VMID, message *Message) {
	sentAt := c.opts.Now()
	countedAt := c.counted(sentAt)
	reply, err := c.opts.Peers.Send(c.ctx, to, message)
	if err != nil {
		c.submit(c.ctx, func(now time.Time) { c.markUnreachable(to, err, now) })
		return
	}
	c.submit(c.ctx, func(now time.Time) {
		c.mergeMessage(reply, now)
		c.state.ConfirmEvacuations(reply.Evacuations, sentAt)
		c.confirmation.RecordReply(reply.ConfigVersion, reply.ConfirmedAge, countedAt)
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
		c.mergeMessage(message, now)
		c.askEvacuationAges(message, now)
		c.askConfig(message, now)
		reply := c.reply(message, now)
		reply.Delta = c.missing(message, now)
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
		reply.Demand = c.table.ToldDemand(now)
	}
	return reply
}

// missing returns what the sender of a message lacks; nil if that is nothing. A
// configuration is sent on request only: it may be too large to be sent by every daemon that
// has it.
func (c *Control) missing(message *Message, now time.Time) *catalog.Delta {
	applied, sender := c.state.Applied(), message.applied()
	if message.Era == nil {
		// Its release knows revisions only.
		sender.Era = applied.Era
	}
	delta := catalog.Delta{Era: applied.Era, From: applied.Revision, To: applied.Revision}
	behind := sender.Before(applied)
	switch {
	case message.Joining && c.state.Settling(now) && sender.Era <= applied.Era:
		behind, delta = true, c.state.Whole(now)
	case behind:
		delta = c.state.Since(sender, now)
	}
	if message.Era != nil && message.ConfigVersion < c.state.ConfigVersion() {
		if behind && !message.requestsChanges() {
			// The sender sees in the reply that it is behind, and requests what it lacks.
			return nil
		}
		return withConfig(delta, c.state.ConfigRecord())
	}
	if !behind {
		return nil
	}
	return &delta
}

// withConfig returns the delta with the record of the newest configuration, which the
// store may have lost.
func withConfig(delta catalog.Delta, newest catalog.Record) *catalog.Delta {
	if !slices.ContainsFunc(delta.Records, func(record catalog.Record) bool { return record.Config == newest.Config }) {
		delta.Records = append(delta.Records, newest)
	}
	return &delta
}

// askConfig asks the sender of a message for its configuration if it has a newer one at
// no later position: the store may have lost it.
func (c *Control) askConfig(message *Message, now time.Time) {
	if message.ConfigVersion > c.state.ConfigVersion() && !c.state.Applied().Before(message.applied()) {
		c.request(message.From, now)
	}
}

// mergeMessage merges a message from another daemon. If the sender has a later
// position of the store than this daemon even after the merge, this daemon
// requests the missing changes.
func (c *Control) mergeMessage(message *Message, now time.Time) {
	c.table.Merge(message.Members, now)
	c.table.MergeDemand(message.Demand, now)
	c.dirty = true
	c.confirmation.RecordVersion(message.ConfigVersion)
	c.mergeEvidence(message, now)
	if message.Delta != nil {
		c.state.Apply(*message.Delta, now)
		c.logRestoration()
	}
	sender, applied := message.applied(), c.state.Applied()
	if applied.Before(sender) {
		if !c.awaitsPush(message.ConfigVersion, now) {
			c.request(message.From, now)
		}
		return
	}
	if sender.Era < applied.Era {
		// Its reads were of a store that is gone, and so are its changes.
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

// distribute sends changes just read from the store to one daemon of each other data centre
// of the region, which relays them, and to the daemons of the local data centre. Other regions
// have their own readers.
func (c *Control) distribute(delta catalog.Delta, now time.Time) {
	for _, relay := range c.table.Relays(now) {
		message := c.statusMessage(now)
		message.Delta, message.Relay = &delta, true
		c.send(relay, message)
	}
	c.sendToDataCentre(delta, c.table.Self().VM, now)
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
		c.table.Leave(c.opts.Demand(), now)
		c.table.Beat(c.opts.Loads())
		c.dirty = true
		for _, member := range c.table.Live(now) {
			message := c.statusMessage(now)
			message.Members = []members.Member{c.table.Self()}
			c.send(member.VM, message)
		}
	})
}
