// Package membership decides which daemons are alive. It starts from the
// platform's lagging VM list and adds heartbeats: each daemon probes one member
// of its own region per interval and attaches recent changes to every message,
// so that its cost does not grow with the fleet. Members of other regions are
// known from the list and from the messages that they happen to send.
package membership

import (
	"cmp"
	"time"

	"github.com/flamingomount/flamingomount/pkg/snapshot"
)

// Options tune the membership. The zero value of a field means its default.
type Options struct {
	// Self is the daemon's own place.
	Self snapshot.Self
	// Interval is the time between two heartbeats; default 1.5 s.
	Interval time.Duration
	// ReplyTimeout is how long a probe waits for its answer; default 500 ms.
	ReplyTimeout time.Duration
	// MaxMisses is how many probes in a row must fail before a member is
	// suspected; default 3.
	MaxMisses int
	// ResuspectDelay is how long this daemon leaves a member alone that refuted
	// its suspicion, as it does when only one direction is cut; default 20 s.
	ResuspectDelay time.Duration
	// MaxUpdates bounds the member updates in one message; default 8.
	MaxUpdates int
	// MaxPushes bounds the extra messages that one tick sends to spread a
	// failure or a leave at once; default 2.
	MaxPushes int
}

func (o Options) withDefaults() Options {
	o.Interval = cmp.Or(o.Interval, 1500*time.Millisecond)
	o.ReplyTimeout = cmp.Or(o.ReplyTimeout, 500*time.Millisecond)
	o.MaxMisses = cmp.Or(o.MaxMisses, 3)
	o.ResuspectDelay = cmp.Or(o.ResuspectDelay, 20*time.Second)
	o.MaxUpdates = cmp.Or(o.MaxUpdates, 8)
	o.MaxPushes = cmp.Or(o.MaxPushes, 2)
	return o
}
