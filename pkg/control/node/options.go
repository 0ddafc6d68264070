// Package node holds the control state of one daemon. It combines configuration,
// membership, regions, VM list and endpoints. It is a deterministic state machine:
// the caller feeds it events and carries out the actions that it returns.
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

// Outliers decides which endpoints are ejected. Only the control goroutine calls
// it.
type Outliers interface {
	endpoints.Health
	// Track sets the endpoints to watch: those of the published view.
	Track(view map[types.ServiceName][]*snapshot.Endpoint)
	// Observe records a finished attempt. It returns true if an endpoint's state
	// changed.
	Observe(e event.AttemptFinished) bool
	// Tick advances the time to now. It returns true if an endpoint's state changed.
	Tick(now time.Time) bool
}

// Quarantine decides which requests are quarantined. Only the control goroutine
// calls it.
type Quarantine interface {
	// Observe records a finished attempt. It returns true if the quarantine changed.
	Observe(e event.AttemptFinished) bool
	// Active returns the quarantined fingerprints and when each quarantine ends.
	Active(now time.Time) map[request.Fingerprint]time.Time
	// NextGossip returns the entries to attach to the next message: a few or none.
	NextGossip() []quarantine.Entry
	// Merge applies entries received from a peer. It returns true if the quarantine
	// changed.
	Merge(now time.Time, entries []quarantine.Entry) bool
	// SetPolicy applies the published limits of a new configuration.
	SetPolicy(policy published.Policy)
	// Tick advances the time to now. It returns true if the quarantine changed.
	Tick(now time.Time) bool
}

// Headroom computes the free capacity of the local region, which other regions use.
// It returns one summary for each service and rank, derived from the snapshot.
type Headroom func(snap *snapshot.Snapshot, now time.Time) []snapshot.ServiceSummary

// Options configure a node. Self, Config.Keys and Rand must be set; the zero value
// of any other field means its default.
type Options struct {
	Self snapshot.Self
	// Rand is the only source of randomness.
	Rand *rand.Rand
	// Config, Membership and Regions configure the components. New sets their Self.
	Config     configsync.Options
	Membership membership.Options
	Regions    regions.Options
	// Seeds are the peers to query while no other member is known.
	Seeds []types.VMID
	// ListInterval is the time between two reads of the VM list by the primary
	// reader of a data centre; default 2 s. The secondary reader, and a daemon
	// whose peers are silent or that has no list yet, read a quarter as often.
	ListInterval time.Duration
	// PauseThreshold is the gap between two events that counts as a pause of the
	// process; default DefaultPauseThreshold, 2 s.
	PauseThreshold time.Duration
	// Fanout is the number of peers that an urgent update, such as a new revision
	// or VM list, is pushed to; default 3.
	Fanout int
	// Outliers, Quarantine and Headroom may be nil. A nil Headroom means FreeSlots.
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

// DefaultPauseThreshold is the default gap between two events that counts as a pause
// of the process.
const DefaultPauseThreshold = 2 * time.Second

// TickInterval is the time between two event.Tick events that a node expects.
const TickInterval = 250 * time.Millisecond

// Output lists the actions that a node requests after an event.
type Output struct {
	// Reply is the reply to the peer message that the event carried; nil for none.
	Reply *peer.Message
	// Sends are the messages to send to other daemons.
	Sends []*peer.Message
	// Reads are the reads to make from the configuration service.
	Reads []configsync.Read
	// ReadList requests a read of the VM list.
	ReadList bool
	// Snapshot is the new snapshot; nil if nothing changed.
	Snapshot *snapshot.Snapshot
	// Alarms are to be logged as errors.
	Alarms []configsync.Alarm
}
