// Package freshness tells since when a daemon may lack news of the configuration: it keeps
// a lower bound of the moment up to which the daemon has every version that the store has
// acknowledged. Only an answer raises the bound, and at most to the moment at which the
// question was sent: an answer cannot be older than that, whereas a message may have been
// on its way for any time.
//
// All times are of one clock of this daemon that counts also the time for which its VM was
// suspended. Nothing here reads a clock.
package freshness

import (
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
)

// maxPending bounds the answers that wait until this daemon has what they tell of.
const maxPending = 8

// answer tells that every version up to a moment is included in a position of the store,
// or, in the reply of a daemon, in the version that it told.
type answer struct {
	position catalog.Position
	reply    bool
	at       time.Time
}

// Confirmation is the lower bound of one daemon. The zero value confirms nothing.
type Confirmation struct {
	at      time.Time
	pending []answer
	// newest is the newest version of the configuration that any daemon has told of.
	newest uint64
}

// RecordReading records that the store was asked at askedAt and answered with the state of
// a position.
func (c *Confirmation) RecordReading(position catalog.Position, askedAt time.Time) {
	c.add(answer{position: position, at: askedAt})
}

// RecordReply records that another daemon was asked at askedAt, and replied that it has a
// version of the configuration and that its own bound was age ago. A reply with an age that
// is not positive confirms nothing.
func (c *Confirmation) RecordReply(version uint64, age time.Duration, askedAt time.Time) {
	c.RecordVersion(version)
	if age > 0 && version > 0 {
		c.add(answer{reply: true, at: askedAt.Add(-age)})
	}
}

// RecordVersion records a version of the configuration that another daemon has. Until this
// daemon has it too, nothing raises the bound: a store that came back from a copy may lack
// it.
func (c *Confirmation) RecordVersion(version uint64) {
	c.newest = max(c.newest, version)
}

// add keeps the latest answers that may still raise the bound.
func (c *Confirmation) add(a answer) {
	if !a.at.After(c.at) {
		return
	}
	c.pending = append(c.pending, a)
	if len(c.pending) > maxPending {
		c.pending = c.pending[1:]
	}
}

// Settle raises the bound by the answers that tell of nothing that this daemon lacks, given
// the position up to which it has every change and the version of its configuration. It
// reports whether the bound was raised. The versions that replies told are among those that
// RecordVersion knows. Readings of another era are dropped: what an
// earlier one showed may be lost, and a later one may not show all yet.
func (c *Confirmation) Settle(applied catalog.Position, version uint64) (raised bool) {
	if version == 0 || version < c.newest {
		return false
	}
	c.pending = slices.DeleteFunc(c.pending, func(a answer) bool {
		sameEra := a.position.Era == applied.Era
		included := a.reply || sameEra && !applied.Before(a.position)
		if included && a.at.After(c.at) {
			c.at, raised = a.at, true
		}
		return included || !sameEra || !a.at.After(c.at)
	})
	return raised
}

// At returns the bound; zero if nothing is confirmed.
func (c *Confirmation) At() time.Time {
	return c.at
}

// Age returns how long ago the bound was, to be told to another daemon; zero if nothing is
// confirmed.
func (c *Confirmation) Age(now time.Time) time.Duration {
	if c.at.IsZero() {
		return 0
	}
	return max(now.Sub(c.at), 1)
}

// Forget drops the answers that wait. The bound stays: it holds for the configuration in
// force, whatever else of the state is lost.
func (c *Confirmation) Forget() {
	c.pending = nil
}

// Share of the limit after which a daemon that has heard nothing newer refuses credentials.
// The rest is left for what differs between clocks.
const trustedShare = 0.8

// TrustedUntil returns the time until which the credentials of a configuration confirmed at
// a time may be used, if one that was taken away must stop working within the limit.
func TrustedUntil(confirmedAt time.Time, limit time.Duration) time.Time {
	if confirmedAt.IsZero() {
		return confirmedAt
	}
	return confirmedAt.Add(time.Duration(float64(limit) * trustedShare))
}
