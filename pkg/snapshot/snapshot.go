// Package snapshot defines the immutable view of the deployment that traffic
// goroutines read without a lock. The control goroutine builds a new Snapshot
// for each change and publishes it through an atomic pointer. After publication
// only the Counters of an Endpoint and ConfigOrigin.Confirmed change, by atomic
// operations.
package snapshot

import (
	"sync/atomic"
	"time"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Snapshot is one daemon's view of the deployment at one moment.
type Snapshot struct {
	// TakenAt is when the control goroutine built the snapshot.
	TakenAt time.Time
	// Self is the identity and location of this daemon.
	Self Self
	// Config is the configuration in force; nil until one is accepted.
	Config *published.Configuration
	// Origin tells where Config came from; nil until one is accepted.
	Origin *ConfigOrigin
	// Endpoints lists the endpoints of each service in every region, sorted
	// by ID.
	Endpoints map[types.ServiceName][]*Endpoint
	// Members lists the other daemons, sorted by VM.
	Members []Member
	// Regions holds the summaries that other regions send, by region.
	Regions map[types.Region]*RegionSummary
	// Quarantine maps each quarantined fingerprint to the time at which its
	// quarantine ends.
	Quarantine map[request.Fingerprint]time.Time
	// Prefixes tells which endpoints hold which prompt prefixes in their
	// caches; nil when nothing is known.
	Prefixes PrefixIndex
	// Draining is true when this daemon is draining and accepts no new requests.
	Draining bool
	// Paused is true from when the daemon detects that its process was paused
	// until it has refreshed its state.
	Paused bool
}

// PrefixIndex is an immutable view of the endpoints' prefix caches.
type PrefixIndex interface {
	// Holders returns the endpoints believed to have the prefix with this hash
	// in their caches, sorted by ID. The caller must not modify the slice.
	Holders(prefix uint64) []types.EndpointID
}

// NotReady returns the reason why the daemon accepts no new requests, or "" if
// it accepts them.
func (s *Snapshot) NotReady() string {
	switch {
	case s.Config == nil:
		return "this entry has not accepted a configuration yet"
	case s.Paused:
		return "this entry was paused and refreshes what it knows"
	case s.Draining:
		return "this entry is leaving"
	}
	return ""
}

// ConfigOrigin tells where the configuration in force came from. Confirmed
// changes after publication, by atomic operations.
type ConfigOrigin struct {
	// FromService is true when the configuration was read from the
	// configuration service, false when a peer relayed it.
	FromService bool
	// Refused is the time and text of the last configuration alarm, such as a
	// rejected revision; empty when there was none.
	Refused string
	// Confirmed is when the configuration service or a peer last reported the
	// same revision and hash, in Unix milliseconds.
	Confirmed *atomic.Int64
}

// Self is the identity and location of the daemon that owns the snapshot.
type Self struct {
	Incarnation types.Incarnation `json:"incarnation"`
	Region      types.Region      `json:"region"`
	DataCentre  types.DataCentre  `json:"data_centre"`
	// CallerAddress is where callers reach this daemon, "ip:port".
	CallerAddress string `json:"caller_address"`
}

// EndpointState is the state of an endpoint as this daemon sees it.
type EndpointState uint8

// The states of an endpoint.
const (
	// EndpointReady receives new requests.
	EndpointReady EndpointState = iota
	// EndpointLeaving is draining: it finishes its requests in flight and
	// receives no new ones.
	EndpointLeaving
	// EndpointEjected failed too often and receives no new requests until its
	// ejection ends.
	EndpointEjected
	// EndpointGone is no longer published.
	EndpointGone
)

var endpointStateNames = [...]string{"ready", "leaving", "ejected", "gone"}

// String returns the state's name, or "unknown" for an invalid state.
func (s EndpointState) String() string {
	if int(s) >= len(endpointStateNames) {
		return "unknown"
	}
	return endpointStateNames[s]
}

// Endpoint is one back end.
type Endpoint struct {
	ID types.EndpointID
	// Hash is the endpoint's hash for rendezvous hashing; zero means that it is
	// computed from the ID at each use. See score.HashEndpoint.
	Hash       uint64
	Address    string // "ip:port" of its HTTP interface
	Region     types.Region
	DataCentre types.DataCentre
	Service    types.ServiceName
	Version    types.ModelVersion
	State      EndpointState
	// Reason is a short phrase that says why State is not EndpointReady.
	Reason string
	// SlowStartAt is when the endpoint returned to service and its slow start
	// began; zero means that it receives its full share of requests.
	SlowStartAt time.Time
	// Slots is how many requests the endpoint can run concurrently.
	Slots int
	// Load is the endpoint's last load report.
	Load Load
	// Counters counts this daemon's own attempts at the endpoint.
	Counters *Counters
}

// Load is an endpoint's report of its own load.
type Load struct {
	// TakenAt is when the endpoint took the measurements; zero means that no
	// report has arrived.
	TakenAt time.Time
	Running int
	Queued  int
	// CacheUsed is the fraction of the prefix cache in use, 0 to 1.
	CacheUsed float64
}

// Counters counts this daemon's own attempts at one endpoint. Traffic
// goroutines update it with atomic operations.
type Counters struct {
	InFlight atomic.Int64
	// Sent and Done count attempts since the daemon started.
	Sent atomic.Int64
	Done atomic.Int64
	// SentAtReport and DoneAtReport are the values of Sent and Done when the
	// last load report was taken.
	SentAtReport atomic.Int64
	DoneAtReport atomic.Int64
	// Limit is the adaptive concurrency limit; zero means that none has
	// been set yet.
	Limit atomic.Int64
	// Pace is the smoothed ratio, in thousandths, of the actual to the expected
	// duration of attempts; zero means that none was measured.
	Pace atomic.Int64
}

// Member is another daemon.
type Member struct {
	Incarnation types.Incarnation `json:"incarnation"`
	Region      types.Region      `json:"region"`
	DataCentre  types.DataCentre  `json:"data_centre"`
	// CallerAddress is where callers reach the daemon, "ip:port".
	CallerAddress string         `json:"caller_address"`
	State         MemberState    `json:"state"`
	Revision      types.Revision `json:"revision"`
	// HeardAt is when the last message from this incarnation arrived.
	HeardAt time.Time `json:"heard_at"`
}

// MemberState is the liveness of a daemon as another daemon sees it.
type MemberState string

// The states of a member.
const (
	// MemberListed is in the published list but has not been heard from.
	MemberListed MemberState = "listed"
	// MemberAlive has been heard from recently enough.
	MemberAlive MemberState = "alive"
	// MemberSuspect has not been heard from for too long.
	MemberSuspect MemberState = "suspect"
	// MemberLeaving has announced that it is leaving.
	MemberLeaving MemberState = "leaving"
)

// RegionSummary is the state that a region reports to the other regions. It
// contains no caller data.
type RegionSummary struct {
	Region   types.Region   `json:"region"`
	Revision types.Revision `json:"revision"`
	// TakenAt is by the sender's clock; ReceivedAt is by this daemon's clock.
	TakenAt    time.Time        `json:"taken_at"`
	ReceivedAt time.Time        `json:"received_at"`
	Entries    []types.VMID     `json:"entries"`
	Services   []ServiceSummary `json:"services"`
	// Unavailable lists the daemons of the region that are leaving or suspected.
	Unavailable []types.VMID `json:"out,omitempty"`
}

// ServiceSummary is the capacity that a region has for one service and rank.
type ServiceSummary struct {
	Service types.ServiceName `json:"service"`
	Rank    types.Rank        `json:"rank"`
	// FreeSlots is the number of new requests that could start immediately.
	FreeSlots int `json:"free_slots"`
	// Wait is the predicted waiting time of a new request.
	Wait time.Duration `json:"wait"`
}

// Holder publishes snapshots from the control goroutine to traffic goroutines.
// The zero value holds an empty snapshot.
type Holder struct {
	current atomic.Pointer[Snapshot]
}

var emptySnapshot = &Snapshot{}

// Load returns the latest snapshot; it is never nil.
func (h *Holder) Load() *Snapshot {
	current := h.current.Load()
	if current == nil {
		return emptySnapshot
	}
	return current
}

// Store publishes a snapshot. The caller must not modify it afterwards.
func (h *Holder) Store(next *Snapshot) {
	h.current.Store(next)
}
