// Package catalog holds the published state of a deployment for traffic that is
// routed by host and path: the operators' configuration, the endpoints that
// announce themselves and the data centres that are being evacuated.
//
// The state is a set of records ordered by position: the era of the store and the
// revision in it. Applying records is
// idempotent and commutative, so daemons may relay them in any order. All
// methods take the time as a parameter; nothing here reads a clock.
package catalog

import (
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// Kind says how often a request of a route may run.
type Kind string

// The kinds of route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non-idempotent"
	// Streaming requests return a stream of events and run at most once, unless
	// the route is resumable.
	Streaming Kind = "streaming"
)

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	// sentPrefix is Prefix as it stands in requests.
	sentPrefix string
	Kind       Kind `json:"kind"`
	// Resumable streams may resume at another endpoint after an event ID.
	Resumable bool `json:"resumable,omitempty"`
	// Timeout bounds the time to the response; zero means no bound.
	Timeout time.Duration `json:"timeout"`
	// Objective is the target for the time to the response, or to the first
	// event of a stream, as callers see it.
	Objective time.Duration `json:"objective"`
	// LongestGap is the target for the longest time between two events of a
	// stream, as callers see it; zero means unknown.
	LongestGap time.Duration `json:"longest_gap,omitempty"`
	// Rank is the priority; 0 is the highest.
	Rank int `json:"rank"`
	// Backends lists the services that share the route's requests.
	Backends []Backend `json:"backends"`
	// MaxAttempts bounds the number of endpoints to which one request is sent.
	MaxAttempts int `json:"max_attempts"`
	// AllowedRegions lists the regions that the route's data may enter; empty
	// means all.
	AllowedRegions []types.Region `json:"homes,omitempty"`
	// Affinity enables cache affinity: the prompts of the route share prefixes
	// that endpoints cache.
	Affinity bool `json:"affinity,omitempty"`
	// Public routes need no credential where the configuration has organisations.
	Public bool `json:"public,omitempty"`
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Allows reports whether the route's data may be in the region.
func (r *Route) Allows(region types.Region) bool {
	return allows(r.AllowedRegions, region)
}

// allows reports whether a list of regions holds the region; an empty list holds all.
func allows(regions []types.Region, region types.Region) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// Uses reports whether the route sends requests to the service.
func (r *Route) Uses(service types.ServiceName) bool {
	for _, backend := range r.Backends {
		if backend.Service == service {
			return true
		}
	}
	return false
}

// Backend is a service that receives a share of a route's requests.
type Backend struct {
	Service types.ServiceName `json:"service"`
	// Weight is the share of the requests relative to the other backends.
	Weight int `json:"weight"`
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name types.ServiceName `json:"name"`
	// MaxConnections bounds the connections to one endpoint from all callers
	// together; zero means unknown.
	MaxConnections int `json:"max_connections,omitempty"`
	// ColdStart is how long an endpoint stays cold after its start.
	ColdStart time.Duration `json:"cold_start,omitempty"`
	// ColdPerSecond is the rate of requests that a cold endpoint can serve; zero
	// means that cold endpoints need no slow start.
	ColdPerSecond float64 `json:"cold_per_second,omitempty"`
	// HealthPath is the path of the endpoints' health check; empty if there is
	// none.
	HealthPath string `json:"health_path,omitempty"`
	// Engine is nil for services that are not model engines.
	Engine *Engine `json:"engine,omitempty"`
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests an engine runs concurrently.
	Slots int `json:"slots"`
	// CacheTokens is the memory for running requests and cached prefixes, in
	// tokens.
	CacheTokens int `json:"cache_tokens"`
	// FetchRate is how many tokens of a cached prefix an engine can copy from
	// another one per second; zero means that it can't.
	FetchRate float64 `json:"fetch_rate,omitempty"`
}

// Limits bounds what a caller may send.
type Limits struct {
	HeaderBytes int64 `json:"header_bytes,omitempty"`
	BodyBytes   int64 `json:"body_bytes,omitempty"`
	// HeaderTimeout bounds the time to send the headers of a request.
	HeaderTimeout time.Duration `json:"header_timeout,omitempty"`
	// IdleTimeout is how long a connection may stay idle.
	IdleTimeout time.Duration `json:"idle_timeout,omitempty"`
}

// Config is one complete version of the operators' configuration. It is
// immutable once Prepare has been called.
type Config struct {
	Version  uint64                         `json:"version"`
	Routes   []*Route                       `json:"routes"`
	Services map[types.ServiceName]*Service `json:"services"`
	Limits   Limits                         `json:"limits"`
	// Organisations lists who may call; without any, requests need no credential.
	Organisations []*Organisation `json:"organisations,omitempty"`

	byHost       map[string][]*Route
	byCredential map[CredentialDigest]*Organisation
	urgencies    []urgency
	mixed        map[types.ServiceName]bool
	// packed is the configuration as it is sent to other daemons; nil if that is not known.
	packed *packedConfig
}

// valid reports whether the configuration contains no nil route, service or
// organisation. A nil configuration is valid.
func (c *Config) valid() bool {
	if c == nil {
		return true
	}
	for _, service := range c.Services {
		if service == nil {
			return false
		}
	}
	return !slices.Contains(c.Routes, nil) && !slices.Contains(c.Organisations, nil)
}

// Endpoint is what an endpoint announces about itself.
type Endpoint struct {
	ID         types.EndpointID  `json:"id"`
	Service    types.ServiceName `json:"service"`
	Address    string            `json:"address"`
	DataCentre types.DataCentre  `json:"data_centre"`
	Region     types.Region      `json:"region"`
	Slots      int               `json:"slots,omitempty"`
	// Draining endpoints finish their requests in flight and accept no new ones.
	Draining bool `json:"draining,omitempty"`
	// Cold is the remaining cold time when the record was written.
	Cold time.Duration `json:"cold,omitempty"`
	// StartedAt is the start time of the endpoint in Unix milliseconds of its own
	// clock; a restart under the same ID changes it. Zero means unknown.
	StartedAt int64 `json:"born,omitempty"`
}

// Record is one published item at one revision. At most one of Config, Endpoint
// and Evacuated is set; a record with none of them publishes nothing.
type Record struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	// Era is the era of Revision; zero if the store has no eras.
	Era uint64 `json:"era,omitempty"`
	// Deleted marks a tombstone: the item was removed.
	Deleted bool `json:"deleted,omitempty"`
	// Grace is how much longer a deleted endpoint is used, because its entry may
	// only have expired while the store could not be reached.
	Grace time.Duration `json:"grace,omitempty"`
	// Held is how much longer the endpoint gets no requests, because it was known to be
	// gone before the store came back from a copy that shows it.
	Held time.Duration `json:"held,omitempty"`

	Config *Config `json:"config,omitempty"`
	// PackedConfig stands for Config in a packed delta; see Delta.Pack.
	PackedConfig []byte `json:"packed_config,omitempty"`

	Endpoint  *Endpoint        `json:"endpoint,omitempty"`
	Evacuated types.DataCentre `json:"evacuated,omitempty"`
}

// Position returns the record's position.
func (r Record) Position() Position {
	return Position{Era: r.Era, Revision: r.Revision}
}
