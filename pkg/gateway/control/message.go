package control

import (
	"encoding/json"
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
	// PackedDelta stands for Delta between daemons if that holds a configuration. Releases
	// that don't know it find no delta, and request one.
	PackedDelta *catalog.Delta `json:"packed_delta,omitempty"`
	// Unpacks is true if the sender reads PackedDelta.
	Unpacks bool `json:"unpacks,omitempty"`
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

// encode returns the message as it is sent. A configuration is packed if the receiver reads
// that.
func (m *Message) encode(receiverUnpacks bool) ([]byte, error) {
	sent := *m
	sent.Unpacks = true
	if receiverUnpacks && m.Delta != nil {
		packed, found, err := m.Delta.Pack()
		if err != nil {
			return nil, err
		}
		if found {
			sent.Delta, sent.PackedDelta = nil, packed
		}
	}
	return json.Marshal(&sent)
}

// unpack restores the delta of a message that was received, within a memory.
func (m *Message) unpack(memory catalog.Memory) error {
	if m.PackedDelta == nil {
		return nil
	}
	if err := m.PackedDelta.Unpack(memory); err != nil {
		return err
	}
	m.Delta, m.PackedDelta = m.PackedDelta, nil
	return nil
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

// requestsChanges reports whether the sender asks for what it lacks: it does when it joins,
// and by a message that tells neither of daemons nor of changes.
func (m *Message) requestsChanges() bool {
	return m.Joining || len(m.Members) == 0 && m.Delta == nil
}

// setApplied sets the position up to which the sender has every change.
func (m *Message) setApplied(position catalog.Position) {
	m.AppliedRevision, m.Era = position.Revision, &position.Era
}
