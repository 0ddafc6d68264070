// Package configsync decides which configuration a daemon accepts and from where
// it fetches it. A few daemons in each data centre, chosen by rendezvous hashing
// over its live members, watch the configuration service; the others learn of
// new revisions from peers. A revision is accepted completely or not at all, and
// never if it is older than one that was accepted or that a peer reported.
package configsync

import (
	"cmp"
	"time"

	"github.com/flamingomount/flamingomount/pkg/bundle"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
)

// Options configure a State. A zero field takes its default, except Self and
// Keys, which have none.
type Options struct {
	// Self is the daemon's identity and location.
	Self snapshot.Self
	// Keys are the trusted keys for manifest signatures.
	Keys bundle.Keys
	// Watchers is the number of daemons per data centre that watch the service;
	// default 2.
	Watchers int
	// SettlingTime is how long a starting daemon asks peers before it uses a
	// configuration without having heard from a ready peer; default 5 s.
	// It also limits how long package node refreshes its state after a pause.
	SettlingTime time.Duration
	// RequestInterval is the interval between requests to peers for their manifest,
	// before the daemon has settled or while a peer reports a newer revision;
	// default 500 ms.
	RequestInterval time.Duration
	// RequestTimeout is the timeout of a service read or a request to a peer;
	// default 2 s.
	RequestTimeout time.Duration
	// WatchTimeout is how long a watch waits for a change before it is renewed;
	// default 30 s.
	WatchTimeout time.Duration
	// SilentAfter is the time without a message from any peer after which a
	// daemon that is not a watcher reads the service itself; default 10 s.
	SilentAfter time.Duration
	// FallbackInterval is the mean time between two such reads; default 15 s.
	FallbackInterval time.Duration
	// MaxBackoff is the maximum backoff after failed reads of the manifest;
	// default 30 s.
	MaxBackoff time.Duration
	// ReadsPerSecond limits the rate at which this daemon reads blobs from the
	// service; default 8.
	ReadsPerSecond float64
	// MaxBlobs is the maximum number of blobs in one request to a peer; default
	// 100.
	MaxBlobs int
}

func (o Options) withDefaults() Options {
	o.Watchers = cmp.Or(o.Watchers, 2)
	o.SettlingTime = cmp.Or(o.SettlingTime, 5*time.Second)
	o.RequestInterval = cmp.Or(o.RequestInterval, 500*time.Millisecond)
	o.RequestTimeout = cmp.Or(o.RequestTimeout, 2*time.Second)
	o.WatchTimeout = cmp.Or(o.WatchTimeout, 30*time.Second)
	o.SilentAfter = cmp.Or(o.SilentAfter, 10*time.Second)
	o.FallbackInterval = cmp.Or(o.FallbackInterval, 15*time.Second)
	o.MaxBackoff = cmp.Or(o.MaxBackoff, 30*time.Second)
	o.ReadsPerSecond = cmp.Or(o.ReadsPerSecond, 8)
	o.MaxBlobs = cmp.Or(o.MaxBlobs, 100)
	return o
}
