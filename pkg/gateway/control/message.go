package control

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Message is what one daemon tells another: its table of daemons, how far it
// knows the store, and changes that the other lacks. The answer is a message
// as well.
type Message struct {
	From    types.VMID       `json:"from"`
	Members []members.Member `json:"members,omitempty"`
	// AppliedRevision is the revision up to which the sender knows every change.
	AppliedRevision uint64 `json:"complete"`
	// Origin is the daemon that read the store last, and NewsAge how long ago
	// as the sender knows it; empty when nobody has read it yet.
	Origin       types.VMID    `json:"origin,omitempty"`
	StoreReadAge time.Duration `json:"news_age,omitempty"`
	// Delta holds changes that the receiver may lack.
	Delta *catalog.Delta `json:"delta,omitempty"`
	// Relay asks the receiver to tell Delta to its own data centre.
	Relay bool `json:"pass_on,omitempty"`
	// Crashes names contents after which an endpoint crashed.
	Crashes []Crash `json:"crashes,omitempty"`
}

// Crash says that an endpoint broke off while it ran a content.
type Crash struct {
	Content request.Fingerprint `json:"content"`
	// Attempt identifies the attempt, so that a crash told twice counts once.
	Attempt string `json:"attempt"`
	// Age is how long ago it was.
	Age time.Duration `json:"age"`
}
