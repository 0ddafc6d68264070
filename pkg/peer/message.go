// Package peer defines the messages between daemons and what makes a message
// acceptable: a keyed MAC, a time window, a nonce, the receiver's VM and the
// sender's incarnation. It holds no network code; see package peerhttp.
package peer

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/quarantine"
	"github.com/flamingomount/flamingomount/pkg/platform"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Message is one message between daemons, or the answer to one. A section that
// is empty is left out. Receivers ignore fields that they do not know, so that
// daemons of two versions can talk.
type Message struct {
	From       types.Incarnation `json:"from"`
	Region     types.Region      `json:"region"`
	DataCentre types.DataCentre  `json:"dc"`
	// To is the VM that the message is meant for; any other refuses it.
	To types.VMID `json:"to"`
	// SentAt is the sender's wall clock in Unix milliseconds.
	SentAt int64 `json:"at"`
	// Nonce makes two equal messages differ.
	Nonce uint64 `json:"nonce"`

	// Revision is the configuration that the sender has accepted; zero when
	// it has none. It is a floor for the receiver.
	Revision types.Revision `json:"rev,omitempty"`
	// ManifestHash is the beginning of the hash of the sender's manifest, long
	// enough to notice two manifests of one revision.
	ManifestHash string `json:"hash,omitempty"`
	// Established is true when the sender is ready for traffic.
	Established bool `json:"est,omitempty"`
	// Beat orders what an incarnation says about itself.
	Beat uint64 `json:"beat,omitempty"`
	// Leaving is true when the sender has begun to leave.
	Leaving bool `json:"leaving,omitempty"`

	// Members are recent changes of members.
	Members []MemberUpdate `json:"members,omitempty"`

	// WantManifest asks for the signed manifest in the answer.
	WantManifest bool `json:"want_manifest,omitempty"`
	// WantBlobs asks for blobs by content hash.
	WantBlobs []string `json:"want_blobs,omitempty"`
	// Manifest is a signed manifest.
	Manifest []byte `json:"manifest,omitempty"`
	// Blobs are answers to WantBlobs; each is checked against its hash.
	Blobs [][]byte `json:"blobs,omitempty"`

	// ListVersion is the version of the VM list that the sender holds.
	ListVersion uint64 `json:"list,omitempty"`
	// WantList asks for the whole VM list.
	WantList bool `json:"want_list,omitempty"`
	// Listing is the whole VM list.
	Listing *platform.VMListing `json:"listing,omitempty"`
	// ListChange is the difference between two versions of the VM list.
	ListChange *ListChange `json:"list_change,omitempty"`

	// Exchange asks for the summaries that are newer than Digests.
	Exchange bool `json:"exchange,omitempty"`
	// WantSummaries names the regions of which the answering daemon lacks the
	// newest summary.
	WantSummaries []types.Region `json:"want_summaries,omitempty"`
	// Digests name the newest summary that the sender has of each region.
	Digests []SummaryDigest `json:"digests,omitempty"`
	// Summaries are region summaries that the receiver lacks.
	Summaries []snapshot.RegionSummary `json:"summaries,omitempty"`

	// Endpoints are signs that endpoints leave.
	Endpoints []EndpointSign `json:"endpoints,omitempty"`
	// Crashes holds what the sender lately learned of requests that crash
	// endpoints.
	Crashes []quarantine.Entry `json:"crashes,omitempty"`
	// Isolation asks the receiver whether a request may run; the answer holds
	// IsolationAnswer. Such a message holds nothing else.
	Isolation       *quarantine.OwnerRequest `json:"isolation,omitempty"`
	IsolationAnswer *quarantine.Answer       `json:"isolation_answer,omitempty"`
}

// MemberUpdate is what one daemon passes on about another one.
type MemberUpdate struct {
	Incarnation types.Incarnation    `json:"inc"`
	State       snapshot.MemberState `json:"state"`
	// Beat orders updates of one incarnation: the larger one wins.
	Beat     uint64         `json:"beat"`
	Revision types.Revision `json:"rev,omitempty"`
}

// SummaryDigest names one version of a region's summary.
type SummaryDigest struct {
	Region types.Region `json:"region"`
	// TakenAt is the summary's time in Unix milliseconds.
	TakenAt int64 `json:"at"`
}

// ListChange leads from one version of the VM list to another one.
type ListChange struct {
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	// Set holds VMs that are new or have changed.
	Set []platform.VM `json:"set,omitempty"`
	// Removed holds the keys of VMs that are gone.
	Removed []platform.VMKey `json:"removed,omitempty"`
}

// EndpointSign says that an endpoint was seen to be leaving.
type EndpointSign struct {
	Endpoint types.EndpointID `json:"endpoint"`
	// SeenAt is when the sign was seen.
	SeenAt time.Time `json:"seen_at"`
}
