package control

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingomount/flamingomount/pkg/gateway/crashes"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Limits of evidence that is sent to all daemons at once; the rest goes with the
// heartbeats.
const (
	broadcastInterval = 250 * time.Millisecond
	maxBroadcasts     = 4
)

// ReportCrash records that an endpoint crashed, and the traits of each request of this
// daemon that may have caused it.
func (c *Control) ReportCrash(endpoint types.EndpointID, requests ...crashes.Traits) {
	c.offer(func(now time.Time) {
		report := crashes.NewCrash(endpoint, requests...)
		c.opts.Log.WithFields(logrus.Fields{"endpoint": endpoint, "suspects": len(report.Suspects)}).Warn("endpoint crashed")
		if c.addEvidence(crashes.Evidence{Crashes: []crashes.Crash{report}}, now) {
			c.broadcast(crashes.Evidence{Crashes: []crashes.Crash{report}}, now)
		}
	})
}

// ReportSound records that an answer got on to a request with the traits.
func (c *Control) ReportSound(traits crashes.Traits) {
	suspected := c.Load().Suspected
	var cleared crashes.Traits
	for _, trait := range traits {
		if suspected[trait] {
			cleared = append(cleared, trait)
		}
	}
	if len(cleared) == 0 {
		return
	}
	c.offer(func(now time.Time) {
		var evidence crashes.Evidence
		for _, trait := range cleared {
			if c.crashes.Clear(trait, now) {
				evidence.Clearances = append(evidence.Clearances, crashes.Clearance{Trait: trait})
			}
		}
		if !evidence.Empty() {
			c.dirty = true
			c.broadcast(evidence, now)
		}
	})
}

// mergeEvidence merges the evidence of a message and relays it if the message asks
// for that.
func (c *Control) mergeEvidence(message *Message, now time.Time) {
	if message.Evidence.Empty() {
		return
	}
	c.addEvidence(message.Evidence, now)
	if message.Relay {
		c.sendEvidence(message.Evidence, now, false)
	}
}

// addEvidence merges evidence and reports whether any was new. It logs the first that
// is beyond the limits.
func (c *Control) addEvidence(evidence crashes.Evidence, now time.Time) bool {
	wasFull := c.crashes.Full()
	added := c.crashes.Merge(evidence, now)
	c.dirty = c.dirty || added
	if c.crashes.Full() && !wasFull {
		c.opts.Log.Warn("crashes do not count: too many are tracked")
	}
	return added
}

// decide withholds what explains the crashes, and tells the others.
func (c *Control) decide(now time.Time) {
	if len(c.crashes.Decide(c.opts.Sound, now)) > 0 {
		c.dirty = true
		c.broadcast(crashes.Evidence{Withheld: c.crashes.News(now).Withheld}, now)
	}
}

// broadcast sends evidence to all live daemons within two hops.
func (c *Control) broadcast(evidence crashes.Evidence, now time.Time) {
	if c.broadcasts.AllowN(now, 1) {
		c.sendEvidence(evidence, now, true)
	}
}

// sendEvidence sends evidence to the daemons of the local data centre, and, if
// everywhere is set, to one daemon of each other one, which relays it.
func (c *Control) sendEvidence(evidence crashes.Evidence, now time.Time, everywhere bool) {
	self := c.table.Self()
	notified := make(map[types.DataCentre]bool)
	for _, member := range c.table.Live(now) {
		message := &Message{From: self.VM, ConfigVersion: c.state.ConfigVersion(), Evidence: evidence}
		message.setApplied(c.state.Applied())
		if member.DataCentre != self.DataCentre {
			if !everywhere || notified[member.DataCentre] {
				continue
			}
			notified[member.DataCentre] = true
			message.Relay = true
		}
		c.send(member.VM, message)
	}
}
