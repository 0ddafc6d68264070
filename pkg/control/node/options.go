// Package node is the control state of one daemon: it joins configuration,
// membership, regions, VM list and endpoints. It is a deterministic function of
// its events; whoever runs it carries out what it asks for.
package node

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/configsync"
	"github.com/flamingomount/flamingomount/pkg/control/endpoints"
	"github.com/flamingomount/flamingomount/pkg/control/event"
	"github.com/flamingomount/flamingomount/pkg/control/membership"
	"github.com/flamingomount/flamingomount/pkg/control/quarantine"
	"github.com/flamingomount/flamingomount/pkg/control/regions"
	"github.com/flamingomount/flamingomount/pkg/peer"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Outliers decides which endpoints are ejected. The control goroutine alone
// calls it.
type Outliers interface {
	endpoints.Health
	// Track takes the endpoints that are published now.
	Track(view map[types.ServiceName][]*snapshot.Endpoint)
	// Observe takes a finished attempt; true when an endpoint's state changed.
	Observe(e event.AttemptFinished) bool
	// Tick lets time pass; true when an endpoint's state changed.
	Tick(now time.Time) bool
}

// Quarantine decides which requests are quarantined. The control goroutine
// alone calls it.
type Quarantine interface {
	// Observe takes a finished attempt; true when the quarantine changed.
	Observe(e event.AttemptFinished) bool
	// Active returns the quarantined fingerprints and their end.
	Active(now time.Time) map[request.Fingerprint]time.Time
	// NextGossip returns what to attach to the next message; few or none.
	NextGossip() []quarantine.Entry
	// Merge takes what a peer knows; true when the quarantine changed.
	Merge(now time.Time, entries []quarantine.Entry) bool
	// SetPolicy takes the published limits of a new configuration.
	SetPolicy(policy published.Policy)
	// Tick lets time pass; true when the quarantine changed.
	Tick(now time.Time) bool
}

// Headroom says what room the own region has, for other regions. It returns one
// summary for each service and rank, made from the snapshot.
type Headroom func(snap *snapshot.Snapshot, now time.Time) []snapshot.ServiceSummary

// Options tune a node. Self, Config.Keys and Rand must be set; the zero value
// of any other field means its default.
type Options struct {
	Self snapshot.Self
	// Rand is the only source of randomness.
	Rand *rand.Rand
	// Config, Membership and Regions tune the parts; their Self is filled in.
	Config     configsync.Options
	Membership membership.Options
	Regions    regions.Options
	// Seeds are peers to ask while no VM list was read.
	Seeds []types.VMID
	// ListInterval is the time between two readings of the VM list by the first
	// reader of a data centre; the second one reads a fourth as often, and a
	// daemon whose peers are silent at FallbackEvery. Default 2 s.
	ListInterval time.Duration
	// PauseThreshold is the gap between two ticks that counts as a pause; default
	// 2 s.
	PauseThreshold time.Duration
	// Fanout is how many peers a new revision or list is pushed to; default 3.
	Fanout int
	// Outliers, Quarantine and Headroom may be nil.
	Outliers   Outliers
	Quarantine Quarantine
	Headroom   Headroom
}

func (o Options) withDefaults() Options {
	o.Config.Self, o.Membership.Self, o.Regions.Self = o.Self, o.Self, o.Self
	o.ListInterval = cmp.Or(o.ListInterval, 2*time.Second)
	o.PauseThreshold = cmp.Or(o.PauseThreshold, DefaultPauseThreshold)
	o.Fanout = cmp.Or(o.Fanout, 3)
	if o.Headroom == nil {
		o.Headroom = FreeSlots
	}
	return o
}

// DefaultPauseThreshold is the gap between two events that counts as a pause.
const DefaultPauseThreshold = 2 * time.Second

// TickInterval is the time between two ticks that a node expects.
const TickInterval = 250 * time.Millisecond

// Output is what a node asks for after an event.
type Output struct {
	// Reply answers the peer message of the event.
	Reply *peer.Message
	// Sends are messages to other daemons.
	Sends []*peer.Message
	// Reads are reads of the configuration service.
	Reads []configsync.Read
	// ReadList asks for a reading of the VM list.
	ReadList bool
	// Snapshot is the new view; nil when nothing changed.
	Snapshot *snapshot.Snapshot
	// Alarms must be logged as errors.
	Alarms []configsync.Alarm
}
