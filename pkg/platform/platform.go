// Package platform defines what the system reads of the customer's platform.
// Every interface is read-only: the system writes no shared state.
package platform

import (
	"context"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// MaxValueBytes is the largest value that the configuration service holds.
const MaxValueBytes = 1 << 20

// ConfigService reads published values. Each call, a waiting watch included,
// counts against the service's read rate.
type ConfigService interface {
	// Read returns the value of a key. It returns ErrNotFound for an unknown
	// key and any other error when the service can't be reached.
	Read(ctx context.Context, key string) (Value, error)
	// Watch waits until the key's version differs from after, or until ctx
	// ends, and returns the value then.
	Watch(ctx context.Context, key string, after uint64) (Value, error)
}

// Value is a published value with the service's version of it.
type Value struct {
	Data    []byte `json:"data"`
	Version uint64 `json:"version"`
}

// VMList reads the lagging list of live and leaving VMs.
type VMList interface {
	// List returns all VMs, entries and endpoints.
	List(ctx context.Context) (VMListing, error)
}

// VMListing is one reading of the VM list.
type VMListing struct {
	// Version grows with each change of the list.
	Version uint64 `json:"version"`
	VMs     []VM   `json:"vms"`
}

// Role tells what runs on a VM.
type Role string

// The roles of a VM.
const (
	RoleEntry    Role = "entry"
	RoleEndpoint Role = "endpoint"
)

// VM is one published VM.
type VM struct {
	Role       Role             `json:"role"`
	Region     types.Region     `json:"region"`
	DataCentre types.DataCentre `json:"data_centre"`
	// Peer is an entry's address for other daemons, "ip:port"; it is also the
	// VM's identity.
	Peer types.VMID `json:"peer,omitempty"`
	// Address is where callers (entry) or daemons (endpoint) send requests.
	Address string `json:"address"`
	// Leaving is true when the platform is about to take the VM away.
	Leaving bool `json:"leaving,omitempty"`

	// The remaining fields describe an endpoint.
	Endpoint types.EndpointID   `json:"endpoint,omitempty"`
	Service  types.ServiceName  `json:"service,omitempty"`
	Version  types.ModelVersion `json:"version,omitempty"`
	// Slots is how many requests the endpoint runs at once.
	Slots int `json:"slots,omitempty"`
	// ChecksFencing is true when the endpoint refuses orders with an old
	// fencing number.
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

// ClientDirectory names entries for a caller's first contact.
type ClientDirectory interface {
	// Entries returns caller addresses of entries, "ip:port".
	Entries(ctx context.Context) ([]string, error)
}

// WeightStore describes the rate-limited store of model weights.
type WeightStore interface {
	// Size returns the size in bytes of one version's weights.
	Size(ctx context.Context, model types.ServiceName, version types.ModelVersion) (int64, error)
}

// Error is a stable reason why the platform gave no value.
type Error string

// Error returns the reason.
func (e Error) Error() string {
	return string(e)
}

// The platform's errors.
const (
	// ErrNotFound: the key was never published.
	ErrNotFound Error = "not found"
	// ErrUnavailable: the service can't be reached or refuses to answer.
	ErrUnavailable Error = "platform service unavailable"
)
