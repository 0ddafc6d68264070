// Package snapshot defines the immutable view of the deployment that traffic
// goroutines read without a lock. The control goroutine builds a new Snapshot
// for each change and publishes it through an atomic pointer. Only the Counters
// that an Endpoint points to change after publication, by atomic operations.
package snapshot

import (
	"sync/atomic"
	"time"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Snapshot is what one daemon knows at one moment.
type Snapshot struct {
	// TakenAt is the control goroutine's time of building the snapshot.
	TakenAt time.Time
	// Self is the daemon's own place.
	Self Self
	// Config is the configuration in force; nil until one was accepted.
	Config *published.Configuration
	// Origin tells where Config came from; nil until one was accepted.
	Origin *ConfigOrigin
	// Endpoints lists the endpoints of each service in every region, sorted
	// by ID.
	Endpoints map[types.ServiceName][]*Endpoint
	// Members lists the other daemons, sorted by VM.
	Members []Member
	// Regions holds what other regions report of themselves, by region.
	Regions map[types.Region]*RegionSummary
	// Quarantine holds the quarantined fingerprints and their end.
	Quarantine map[request.Fingerprint]time.Time
	// Prefixes tells which endpoints hold which prompt prefixes in their
	// caches; nil when nothing is known.
	Prefixes PrefixIndex
	// Draining is true when this daemon is leaving.
	Draining bool
	// Paused is true from when the daemon noticed that it had been paused
	// until it has refreshed what it knows.
	Paused bool
}

// PrefixIndex is an immutable view of the endpoints' prefix caches.
type PrefixIndex interface {
	// Holders lists the endpoints believed to hold the prefix, sorted by ID.
	// The caller must not change the list.
	Holders(prefix uint64) []types.EndpointID
}

// ConfigOrigin tells where the configuration in force came from. Confirmed
// changes after publication, by atomic operations.
type ConfigOrigin struct {
	// FromService is true when the configuration service was read, false when
	// a peer passed it on.
	FromService bool
	// Refused is what was refused last, and why; empty for nothing.
	Refused string
	// Confirmed is when the service or a peer last named the same revision and
	// hash, in Unix milliseconds.
	Confirmed *atomic.Int64
}

// Self is the place and identity of the daemon that owns the snapshot.
type Self struct {
	Incarnation types.Incarnation `json:"incarnation"`
	Region      types.Region      `json:"region"`
	DataCentre  types.DataCentre  `json:"data_centre"`
	// CallerAddress is where callers reach this daemon, "ip:port".
	CallerAddress string `json:"caller_address"`
}

// EndpointState is the health of an endpoint as this daemon sees it.
type EndpointState uint8

// The states of an endpoint.
const (
	// EndpointReady receives new work.
	EndpointReady EndpointState = iota
	// EndpointLeaving finishes what it has and receives nothing new.
	EndpointLeaving
	// EndpointEjected failed too often and receives nothing until a time.
	EndpointEjected
	// EndpointGone is no longer published.
	EndpointGone
)

var endpointStateNames = [...]string{"ready", "leaving", "ejected", "gone"}

// String returns the state's name.
func (s EndpointState) String() string {
	if int(s) >= len(endpointStateNames) {
		return "unknown"
	}
	return endpointStateNames[s]
}

// Endpoint is one back end.
type Endpoint struct {
	ID types.EndpointID
	// Hash spreads endpoints for rendezvous hashing; zero means that it is
	// computed from the ID at each use. See score.HashEndpoint.
	Hash       uint64
	Address    string // "ip:port" of its HTTP interface
	Region     types.Region
	DataCentre types.DataCentre
	Service    types.ServiceName
	Version    types.ModelVersion
	State      EndpointState
	// Reason says in one phrase why State is not EndpointReady.
	Reason string
	// RampStart is when the endpoint returned to service; zero means that it
	// takes its full share.
	RampStart time.Time
	// Slots is how many requests the endpoint runs at once.
	Slots int
	// Load is the endpoint's last report.
	Load Load
	// Counters is this daemon's own traffic to the endpoint.
	Counters *Counters
}

// Load is a report an endpoint made of itself.
type Load struct {
	// TakenAt is when the endpoint took the figures; zero means no report.
	TakenAt time.Time
	Running int
	Queued  int
	// CacheUsed is the used share of the prefix cache, 0 to 1.
	CacheUsed float64
}

// Counters counts this daemon's own attempts at one endpoint. Traffic
// goroutines update it with atomic operations.
type Counters struct {
	InFlight atomic.Int64
	// Sent and Done count attempts since the daemon started.
	Sent atomic.Int64
	Done atomic.Int64
	// SentAtReport and DoneAtReport are Sent and Done when the last load
	// report was taken.
	SentAtReport atomic.Int64
	DoneAtReport atomic.Int64
	// Limit is the adaptive concurrency limit; zero means none yet.
	Limit atomic.Int64
	// Pace is the smoothed ratio, in thousandths, of the time that attempts
	// took to the time that was expected; zero means that none was measured.
	Pace atomic.Int64
}

// Member is another daemon.
type Member struct {
	Incarnation types.Incarnation `json:"incarnation"`
	Region      types.Region      `json:"region"`
	DataCentre  types.DataCentre  `json:"data_centre"`
	// CallerAddress is where callers reach it, "ip:port".
	CallerAddress string         `json:"caller_address"`
	State         MemberState    `json:"state"`
	Revision      types.Revision `json:"revision"`
	// HeardAt is when a message of this incarnation last arrived.
	HeardAt time.Time `json:"heard_at"`
}

// MemberState is the liveness of a daemon as another sees it.
type MemberState string

// The states of a member.
const (
	// MemberListed is published but has not been heard from.
	MemberListed MemberState = "listed"
	// MemberAlive has been heard from in time.
	MemberAlive MemberState = "alive"
	// MemberSuspect has been silent for too long.
	MemberSuspect MemberState = "suspect"
	// MemberLeaving has announced that it leaves.
	MemberLeaving MemberState = "leaving"
)

// RegionSummary is what a region tells the others about itself. It holds no
// caller data.
type RegionSummary struct {
	Region   types.Region   `json:"region"`
	Revision types.Revision `json:"revision"`
	// TakenAt is the sender's time; ReceivedAt is this daemon's.
	TakenAt    time.Time        `json:"taken_at"`
	ReceivedAt time.Time        `json:"received_at"`
	Entries    []types.VMID     `json:"entries"`
	Services   []ServiceSummary `json:"services"`
	// Out lists daemons of the region that leave or are suspected.
	Out []types.VMID `json:"out,omitempty"`
}

// ServiceSummary is the room that a region has for one service and rank.
type ServiceSummary struct {
	Service types.ServiceName `json:"service"`
	Rank    types.Rank        `json:"rank"`
	// FreeSlots is the number of requests that could start at once.
	FreeSlots int `json:"free_slots"`
	// Wait is the predicted wait of a new request.
	Wait time.Duration `json:"wait"`
}

// Holder publishes snapshots from the control goroutine to traffic goroutines.
// The zero value holds an empty snapshot.
type Holder struct {
	current atomic.Pointer[Snapshot]
}

var empty = &Snapshot{}

// Load returns the newest snapshot; it is never nil.
func (h *Holder) Load() *Snapshot {
	current := h.current.Load()
	if current == nil {
		return empty
	}
	return current
}

// Store publishes a snapshot. The caller must not change it afterwards.
func (h *Holder) Store(next *Snapshot) {
	h.current.Store(next)
}
