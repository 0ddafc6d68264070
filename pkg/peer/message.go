// Package peer defines the messages between daemons and authenticates them. A
// receiver checks the keyed MAC, the time window, the nonce, the receiver's VM and
// the sender's incarnation. For the transport, see package peerhttp.
package peer

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/quarantine"
	"github.com/flamingomount/flamingomount/pkg/platform"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Message is a request or a reply between daemons. Empty optional fields are
// omitted. Receivers ignore unknown fields, so that daemons of different versions
// can communicate.
type Message struct {
	From       types.Incarnation `json:"from"`
	Region     types.Region      `json:"region"`
	DataCentre types.DataCentre  `json:"dc"`
	// To is the VM that the message is addressed to; any other VM refuses it.
	To types.VMID `json:"to"`
	// SentAt is the sender's wall clock in Unix milliseconds.
	SentAt int64 `json:"at"`
	// Nonce tells apart messages of one incarnation, so that a replay is
	// recognised.
	Nonce uint64 `json:"nonce"`

	// Revision is the configuration revision that the sender has accepted, or
	// zero if it has none. It is a floor for the receiver's revision.
	Revision types.Revision `json:"rev,omitempty"`
	// ManifestHash is a prefix of the hash of the sender's manifest, long enough
	// to detect two different manifests with the same revision.
	ManifestHash string `json:"hash,omitempty"`
	// Established is true when the sender is ready for traffic.
	Established bool `json:"est,omitempty"`
	// Beat orders the states that an incarnation reports about itself.
	Beat uint64 `json:"beat,omitempty"`
	// Leaving is true when the sender has begun to leave the fleet.
	Leaving bool `json:"leaving,omitempty"`

	// Members holds recent membership changes.
	Members []MemberUpdate `json:"members,omitempty"`

	// WantManifest requests the signed manifest in the reply.
	WantManifest bool `json:"want_manifest,omitempty"`
	// WantBlobs requests blobs by content hash.
	WantBlobs []string `json:"want_blobs,omitempty"`
	// Manifest is a signed manifest.
	Manifest []byte `json:"manifest,omitempty"`
	// Blobs holds the blobs requested by WantBlobs; the receiver checks each
	// against its hash.
	Blobs [][]byte `json:"blobs,omitempty"`

	// ListVersion is the version of the VM list that the sender holds.
	ListVersion uint64 `json:"list,omitempty"`
	// WantList requests the complete VM list.
	WantList bool `json:"want_list,omitempty"`
	// Listing is the complete VM list.
	Listing *platform.VMListing `json:"listing,omitempty"`
	// ListChange is the difference between two versions of the VM list.
	ListChange *ListChange `json:"list_change,omitempty"`

	// Exchange requests the region summaries that are newer than Digests.
	Exchange bool `json:"exchange,omitempty"`
	// WantSummaries names the regions for which the replying daemon lacks the
	// newest summary.
	WantSummaries []types.Region `json:"want_summaries,omitempty"`
	// Digests identifies the newest summary that the sender holds for each region.
	Digests []SummaryDigest `json:"digests,omitempty"`
	// Summaries holds region summaries that the receiver lacks.
	Summaries []snapshot.RegionSummary `json:"summaries,omitempty"`

	// Endpoints reports endpoints that are leaving.
	Endpoints []EndpointLeaving `json:"endpoints,omitempty"`
	// Crashes holds what the sender recently learned about requests that crash
	// endpoints.
	Crashes []quarantine.Entry `json:"crashes,omitempty"`
	// Isolation asks the receiver whether a request may run; the reply carries
	// IsolationAnswer. Such messages carry no other optional field.
	Isolation       *quarantine.OwnerRequest `json:"isolation,omitempty"`
	IsolationAnswer *quarantine.Answer       `json:"isolation_answer,omitempty"`
}

// MemberUpdate is the state of a daemon as relayed by another daemon.
type MemberUpdate struct {
	Incarnation types.Incarnation    `json:"inc"`
	State       snapshot.MemberState `json:"state"`
	// Beat orders updates about one incarnation: the larger value wins.
	Beat     uint64         `json:"beat"`
	Revision types.Revision `json:"rev,omitempty"`
}

// SummaryDigest identifies one version of a region's summary.
type SummaryDigest struct {
	Region types.Region `json:"region"`
	// TakenAt is when the summary was taken, in Unix milliseconds.
	TakenAt int64 `json:"at"`
}

// ListChange is the difference between versions From and To of the VM list.
type ListChange struct {
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	// Updated holds the VMs that were added or changed.
	Updated []platform.VM `json:"set,omitempty"`
	// Removed holds the keys of the VMs that were removed.
	Removed []platform.VMKey `json:"removed,omitempty"`
}

// EndpointLeaving reports that an endpoint was observed to be leaving.
type EndpointLeaving struct {
	Endpoint types.EndpointID `json:"endpoint"`
	// SeenAt is the time of the observation.
	SeenAt time.Time `json:"seen_at"`
}
