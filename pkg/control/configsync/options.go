// Package configsync decides which configuration a daemon accepts and where it
// reads it from. A few daemons of each data centre, chosen by rendezvous
// hashing over its live members, watch the configuration service; the others
// learn of a revision from peers. A revision is accepted whole or not at all,
// and never an older one than was accepted or named by a peer.
package configsync

import (
	"cmp"
	"time"

	"github.com/flamingomount/flamingomount/pkg/bundle"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
)

// Options tune the reading of the configuration. The zero value of a field
// means its default, but for Self and Keys.
type Options struct {
	// Self is the daemon's own place.
	Self snapshot.Self
	// Keys are the signing keys that are accepted.
	Keys bundle.Keys
	// Watchers is how many daemons of a data centre watch; default 2.
	Watchers int
	// SettlingTime is how long a fresh daemon asks peers before it trusts the
	// service alone; default 5 s.
	SettlingTime time.Duration
	// AskEvery is the time between two rounds of asking peers while fresh or
	// paused; default 500 ms.
	AskEvery time.Duration
	// RequestTimeout is how long a read or a question waits; default 2 s.
	RequestTimeout time.Duration
	// WatchTimeout is how long a watch waits before it is renewed; default
	// 30 s.
	WatchTimeout time.Duration
	// SilentAfter is how long peers must be silent before a daemon that does
	// not watch reads the service itself; default 10 s.
	SilentAfter time.Duration
	// FallbackEvery is the mean time between two such reads; default 15 s.
	FallbackEvery time.Duration
	// MaxBackoff bounds the wait after failed reads; default 30 s.
	MaxBackoff time.Duration
	// ReadsPerSecond bounds this daemon's reads of blobs; default 8.
	ReadsPerSecond float64
	// MaxBlobs bounds the blobs of one question to a peer; default 100.
	MaxBlobs int
}

func (o Options) withDefaults() Options {
	o.Watchers = cmp.Or(o.Watchers, 2)
	o.SettlingTime = cmp.Or(o.SettlingTime, 5*time.Second)
	o.AskEvery = cmp.Or(o.AskEvery, 500*time.Millisecond)
	o.RequestTimeout = cmp.Or(o.RequestTimeout, 2*time.Second)
	o.WatchTimeout = cmp.Or(o.WatchTimeout, 30*time.Second)
	o.SilentAfter = cmp.Or(o.SilentAfter, 10*time.Second)
	o.FallbackEvery = cmp.Or(o.FallbackEvery, 15*time.Second)
	o.MaxBackoff = cmp.Or(o.MaxBackoff, 30*time.Second)
	o.ReadsPerSecond = cmp.Or(o.ReadsPerSecond, 8)
	o.MaxBlobs = cmp.Or(o.MaxBlobs, 100)
	return o
}
