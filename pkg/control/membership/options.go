// Package membership detects which daemons are alive. It combines the platform's VM
// list, which lags, with heartbeats and gossip: each daemon probes one member of its
// own region per interval and attaches recent changes to every message, so its cost
// does not grow with the fleet. Members of other regions are known from the list, from
// the messages that they happen to send and from the summaries of their regions.
package membership

import (
	"cmp"
	"time"

	"github.com/flamingomount/flamingomount/pkg/snapshot"
)

// Options configure the membership. The zero value of a field means its default.
type Options struct {
	// Self identifies this daemon: its incarnation, region and data centre.
	Self snapshot.Self
	// Interval is the time between two regular heartbeats; default 1.5 s.
	Interval time.Duration
	// ReplyTimeout is how long a probe waits for its reply; default 500 ms.
	ReplyTimeout time.Duration
	// MaxMisses is the number of consecutive failed probes after which a member
	// is suspected; default 3.
	MaxMisses int
	// ResuspectDelay is how long this daemon does not suspect a member again,
	// counted from its suspicion and anew from the refutation. It prevents flapping
	// when only one direction is cut and the member refutes each suspicion;
	// default 20 s.
	ResuspectDelay time.Duration
	// MaxUpdates bounds the member updates in one message; default 8.
	MaxUpdates int
	// MaxPushes bounds the extra messages that one call of Targets adds to spread a
	// failure or a leave immediately; default 2.
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
