package control

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/crashes"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Message is a gossip message between daemons: the sender's table of daemons, its
// revision of the store, and changes that the receiver may lack. The reply is a
// Message as well.
type Message struct {
	From    types.VMID       `json:"from"`
	Members []members.Member `json:"members,omitempty"`
	// AppliedRevision is the revision of Era up to which the sender has every change.
	AppliedRevision uint64 `json:"complete"`
	// Era is the store's era; nil in messages of releases that know no eras.
	Era *uint64 `json:"era,omitempty"`
	// ConfigVersion is the version of the sender's configuration; zero if it has none.
	ConfigVersion uint64 `json:"config_version,omitempty"`
	// ConfirmedAge is how long ago the sender had every version of the configuration that
	// the store had acknowledged; zero if it does not know. It holds in replies only.
	ConfirmedAge time.Duration `json:"confirmed_age,omitempty"`
	// StoreReader is the daemon that read the store last, and StoreReadAge how long
	// ago it did, as far as the sender knows; empty if no daemon has read it yet.
	StoreReader  types.VMID    `json:"origin,omitempty"`
	StoreReadAge time.Duration `json:"news_age,omitempty"`
	// StoreReadNumber grows with each time that StoreReader reads the store; zero if
	// it is not known.
	StoreReadNumber uint64 `json:"news_number,omitempty"`
	// Delta holds changes that the receiver may lack.
	Delta *catalog.Delta `json:"delta,omitempty"`
	// Relay asks the receiver to send Delta and Evidence to the daemons of its data
	// centre.
	Relay bool `json:"pass_on,omitempty"`
	// Evidence tells of crashes of endpoints and of what is withheld from them.
	Evidence crashes.Evidence `json:"evidence,omitzero"`
	// Demand holds what callers lately asked for, as daemons that left told it; only
	// replies to daemons that join carry it.
	Demand []members.ToldDemand `json:"demand,omitempty"`
	// Joining is true if the sender has just started and asks for all evidence and for
	// the demand.
	Joining bool `json:"joining,omitempty"`
	// Evacuations holds the ages of the evacuations in force, as far as the
	// sender knows them.
	Evacuations []catalog.EvacuationAge `json:"evacuations,omitempty"`
}

// applied returns the position up to which the sender has every change. Releases that
// know no eras are behind every era that the store names.
func (m *Message) applied() catalog.Position {
	position := catalog.Position{Revision: m.AppliedRevision}
	if m.Era != nil {
		position.Era = *m.Era
	}
	return position
}

// setApplied sets the position up to which the sender has every change.
func (m *Message) setApplied(position catalog.Position) {
	m.AppliedRevision, m.Era = position.Revision, &position.Era
}
