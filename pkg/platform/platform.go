// Package platform defines the interfaces through which the system reads the
// customer's platform. All of them are read-only: the system writes no shared
// state.
package platform

import (
	"context"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// MaxValueBytes is the size limit, in bytes, of a value in the
// configuration service.
const MaxValueBytes = 1 << 20

// ConfigService reads published values. Every call, including a pending watch,
// counts against the service's read rate limit.
type ConfigService interface {
	// Read returns the value of a key. It returns ErrNotFound for an unknown
	// key and a different error if the service cannot be reached.
	Read(ctx context.Context, key string) (Value, error)
	// Watch blocks until the key's version differs from after or ctx ends,
	// and then returns the value.
	Watch(ctx context.Context, key string, after uint64) (Value, error)
}

// Value is a published value and the version that the service assigned to it.
type Value struct {
	Data    []byte `json:"data"`
	Version uint64 `json:"version"`
}

// VMList reads the list of live and leaving VMs. The list lags behind the
// actual state.
type VMList interface {
	// List returns all VMs, both entries and endpoints.
	List(ctx context.Context) (VMListing, error)
}

// VMListing is the VM list as returned by one read.
type VMListing struct {
	// Version increases with each change to the list.
	Version uint64 `json:"version"`
	VMs     []VM   `json:"vms"`
}

// Role states what runs on a VM.
type Role string

// The roles of a VM.
const (
	RoleEntry    Role = "entry"
	RoleEndpoint Role = "endpoint"
)

// VM describes one VM in the published list.
type VM struct {
	Role       Role             `json:"role"`
	Region     types.Region     `json:"region"`
	DataCentre types.DataCentre `json:"data_centre"`
	// Peer is the address, "ip:port", at which other daemons reach an entry.
	// It also identifies the VM.
	Peer types.VMID `json:"peer,omitempty"`
	// Address receives requests: from callers on an entry, from daemons on an
	// endpoint.
	Address string `json:"address"`
	// Leaving is true when the platform is about to remove the VM.
	Leaving bool `json:"leaving,omitempty"`

	// The remaining fields apply only to endpoints.
	Endpoint types.EndpointID   `json:"endpoint,omitempty"`
	Service  types.ServiceName  `json:"service,omitempty"`
	Version  types.ModelVersion `json:"version,omitempty"`
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int `json:"slots,omitempty"`
	// ChecksFencing is true when the endpoint rejects commands that carry an
	// outdated fencing token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// VMKey identifies a VM in the list: an entry by its peer address, an endpoint
// by its endpoint ID.
type VMKey string

// Key returns the VM's key.
func (v *VM) Key() VMKey {
	if v.Role == RoleEntry {
		return VMKey(v.Peer)
	}
	return VMKey(v.Endpoint)
}

// ClientDirectory lists the entries that a caller can contact first.
type ClientDirectory interface {
	// Entries returns the caller-facing addresses of entries, "ip:port".
	Entries(ctx context.Context) ([]string, error)
}

// WeightStore reads metadata from the rate-limited store of model weights.
type WeightStore interface {
	// Size returns the size, in bytes, of the weights of one model version.
	Size(ctx context.Context, model types.ServiceName, version types.ModelVersion) (int64, error)
}

// Error is a fixed reason why the platform returned no value.
type Error string

// Error returns the reason as text.
func (e Error) Error() string {
	return string(e)
}

// Errors returned by implementations of the platform interfaces.
const (
	// ErrNotFound means that the key was never published.
	ErrNotFound Error = "not found"
	// ErrUnavailable means that the service cannot be reached or refuses to
	// respond.
	ErrUnavailable Error = "platform service unavailable"
)
