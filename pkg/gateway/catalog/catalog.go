// Package catalog holds what a deployment publishes for traffic that is routed
// by host and path: the operators' configuration, the endpoints that announce
// themselves and the data centres that are being evacuated.
//
// The state is a set of records ordered by revision. Applying records is
// idempotent and commutes, so that daemons may pass them on in any order. All
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
	// Streaming requests answer with a stream of events and run at most once,
	// unless the route is resumable.
	Streaming Kind = "streaming"
)

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	Kind   Kind   `json:"kind"`
	// Resumable streams may go on at another endpoint after an event ID.
	Resumable bool `json:"resumable,omitempty"`
	// Timeout bounds the time until a request is answered; zero means none.
	Timeout time.Duration `json:"timeout"`
	// Objective is the time to the answer, or to the first event of a stream,
	// that callers should see.
	Objective time.Duration `json:"objective"`
	// LongestGap is the longest pause between events of a stream that callers
	// should see; zero means unknown.
	LongestGap time.Duration `json:"longest_gap,omitempty"`
	// Rank is the urgency; 0 is the most urgent.
	Rank int `json:"rank"`
	// Backends lists the services with their weights.
	Backends []Backend `json:"backends"`
	// MaxAttempts bounds the endpoints that one request may be sent to.
	MaxAttempts int `json:"max_attempts"`
	// AllowedRegions lists the regions that the route's data may enter; empty means all.
	AllowedRegions []types.Region `json:"homes,omitempty"`
	// Affinity is true for requests whose prompts share cached prefixes.
	Affinity bool `json:"affinity,omitempty"`
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Allows reports whether the route's data may be in the region.
func (r *Route) Allows(region types.Region) bool {
	if len(r.AllowedRegions) == 0 {
		return true
	}
	for _, home := range r.AllowedRegions {
		if home == region {
			return true
		}
	}
	return false
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

// Backend is a service that takes a part of a route's requests.
type Backend struct {
	Service types.ServiceName `json:"service"`
	// Weight is the part of the requests relative to the other backends.
	Weight int `json:"weight"`
}

// Service is a group of endpoints that can stand for each other.
type Service struct {
	Name types.ServiceName `json:"name"`
	// MaxConnections bounds the connections to one endpoint, of all callers
	// together; zero means unknown.
	MaxConnections int `json:"max_connections,omitempty"`
	// ColdStart is how long an endpoint stays cold after its start.
	ColdStart time.Duration `json:"cold_start,omitempty"`
	// ColdPerSecond is the rate of requests that a cold endpoint bears; zero
	// means that cold endpoints need no care.
	ColdPerSecond float64 `json:"cold_per_second,omitempty"`
	// Engine is nil for services that are no model engines.
	Engine *Engine `json:"engine,omitempty"`
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int `json:"slots"`
	// CacheTokens is the memory for running requests and cached prefixes.
	CacheTokens int `json:"cache_tokens"`
}

// Limits bounds what a caller may send.
type Limits struct {
	HeaderBytes int64 `json:"header_bytes,omitempty"`
	BodyBytes   int64 `json:"body_bytes,omitempty"`
	// HeaderTimeout bounds the time to send the head of a request.
	HeaderTimeout time.Duration `json:"header_timeout,omitempty"`
	// IdleTimeout is how long a connection may stay idle.
	IdleTimeout time.Duration `json:"idle_timeout,omitempty"`
}

// Config is one whole version of the operators' configuration. It is immutable
// once it has been prepared.
type Config struct {
	Version  uint64                         `json:"version"`
	Routes   []*Route                       `json:"routes"`
	Services map[types.ServiceName]*Service `json:"services"`
	Limits   Limits                         `json:"limits"`

	byHost map[string][]*Route
}

// sound reports whether the configuration can be used; nil is.
func (c *Config) sound() bool {
	if c == nil {
		return true
	}
	for _, service := range c.Services {
		if service == nil {
			return false
		}
	}
	return !slices.Contains(c.Routes, nil)
}

// Endpoint is one back end as it announces itself.
type Endpoint struct {
	ID         types.EndpointID  `json:"id"`
	Service    types.ServiceName `json:"service"`
	Address    string            `json:"address"`
	DataCentre types.DataCentre  `json:"data_centre"`
	Region     types.Region      `json:"region"`
	Slots      int               `json:"slots,omitempty"`
	// Draining endpoints finish what they have and take nothing new.
	Draining bool `json:"draining,omitempty"`
	// Cold is how much longer the endpoint stays cold, as of the record.
	Cold time.Duration `json:"cold,omitempty"`
	// StartedAt is the start of the endpoint in Unix milliseconds of its own clock;
	// a restart under the same ID changes it. Zero means unknown.
	StartedAt int64 `json:"born,omitempty"`
}

// Record is one published item at one revision. At most one of the contents is
// set; a record without any names nothing to use.
type Record struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	// Deleted records stand for an item that was removed.
	Deleted bool `json:"deleted,omitempty"`
	// Grace is how much longer a deleted endpoint is used, since its entry may
	// only have expired while the store could not be reached.
	Grace time.Duration `json:"grace,omitempty"`

	Config    *Config          `json:"config,omitempty"`
	Endpoint  *Endpoint        `json:"endpoint,omitempty"`
	Evacuated types.DataCentre `json:"evacuated,omitempty"`
}
