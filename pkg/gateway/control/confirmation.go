package control

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
)

// Ages of a daemon's configuration, if credentials that were taken away must stop working
// within a limit.
const (
	// askAfter is the age after which a daemon asks another one at each heartbeat: its
	// own heartbeats have brought nothing newer.
	askAfter = 700 * time.Millisecond
	// askAnyAfter is the age after which it asks any daemon: those that should know do not.
	askAnyAfter = 2 * time.Second
	// unconfirmedAfter is the age that is logged.
	unconfirmedAfter = 3 * time.Second
)

// counted converts a time of Now to the clock that counts suspensions of the VM.
func (c *Control) counted(now time.Time) time.Time {
	return now.Add(c.opts.Suspended())
}

// recordReading records that the store was asked at askedAt, which is countedAt in the clock
// that counts suspensions, and answered with the state of a position. A store that has just
// come back from a copy may lack what it acknowledged before.
func (c *Control) recordReading(position catalog.Position, askedAt, countedAt time.Time) {
	c.state.RecordReading(position, askedAt)
	if c.state.ShowsAll(position, askedAt) {
		c.confirmation.RecordReading(position, countedAt)
	}
	c.dirty = true
}

// askConfirmation asks another daemon how old its configuration may be, if that of this one
// may be too old.
func (c *Control) askConfirmation(now time.Time) {
	if c.opts.RevocationLimit <= 0 {
		return
	}
	age := c.confirmation.Age(c.counted(now))
	c.noteUnconfirmed(age)
	if age > 0 && age <= askAfter {
		return
	}
	if vm, found := c.table.ConfirmationSource(age == 0 || age > askAnyAfter, now, c.opts.Rand); found {
		c.request(vm, now)
	}
}

// noteUnconfirmed logs when the configuration may be too old for credentials, and when it is
// confirmed again. At the start nothing is confirmed yet.
func (c *Control) noteUnconfirmed(age time.Duration) {
	unconfirmed := !c.table.Joining() && (age == 0 || age > unconfirmedAfter)
	if unconfirmed == c.unconfirmed {
		return
	}
	c.unconfirmed = unconfirmed
	log := c.opts.Log.WithField("age_ms", age.Milliseconds()).WithField("version", c.state.ConfigVersion())
	if unconfirmed {
		log.Warn("the configuration is not confirmed: credentials may be refused")
	} else {
		log.Info("the configuration is confirmed")
	}
}
