package control

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Message is a gossip message between daemons: the sender's table of daemons, its
// revision of the store, and changes that the receiver may lack. The reply is a
// Message as well.
type Message struct {
	From    types.VMID       `json:"from"`
	Members []members.Member `json:"members,omitempty"`
	// AppliedRevision is the revision up to which the sender has every change.
	AppliedRevision uint64 `json:"complete"`
	// StoreReader is the daemon that read the store last, and StoreReadAge how long
	// ago it did, as far as the sender knows; empty if no daemon has read it yet.
	StoreReader  types.VMID    `json:"origin,omitempty"`
	StoreReadAge time.Duration `json:"news_age,omitempty"`
	// Delta holds changes that the receiver may lack.
	Delta *catalog.Delta `json:"delta,omitempty"`
	// Relay asks the receiver to send Delta to the daemons of its data centre.
	Relay bool `json:"pass_on,omitempty"`
	// Crashes lists crashes of endpoints and the contents that they ran.
	Crashes []Crash `json:"crashes,omitempty"`
	// Evacuations holds the ages of the evacuations in force, as far as the
	// sender knows them.
	Evacuations []catalog.EvacuationAge `json:"evacuations,omitempty"`
}

// Crash records that an endpoint crashed while it ran a request content.
type Crash struct {
	Content request.Fingerprint `json:"content"`
	// Attempt identifies the attempt, so that a crash received twice counts once.
	Attempt string `json:"attempt"`
	// Age is how long ago the crash happened.
	Age time.Duration `json:"age"`
}
