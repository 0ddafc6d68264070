// Package ingress is the first stage of a daemon: the HTTP interface to
// callers. It tells who calls, refuses early what can't be served, and hands
// every other request to the next stage.
package ingress

import (
	"context"
	"time"

	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/relay"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Handler is the next stage. It writes the answer or the failure to caller and
// returns after the last byte.
type Handler interface {
	Handle(ctx context.Context, req *request.Request, caller *relay.Caller)
}

// Observer learns of requests that ingress refused. Its method must not block.
type Observer interface {
	Refused(id types.RequestID, service types.ServiceName, failure *types.Failure)
}

// Ticketer issues tickets for requests that may not be repeated.
type Ticketer interface {
	// Ticket returns a ticket for the organisation, bound to the owner.
	Ticket(org types.OrgName, owner types.Incarnation, floor types.Revision) (string, error)
}

// Fingerprinter identifies the content of a request under the fleet's key.
type Fingerprinter interface {
	Of(service types.ServiceName, method, path string, body []byte) request.Fingerprint
}

// Limits bounds what callers may send. The zero value of a field means its
// default.
type Limits struct {
	// MaxRequests bounds the requests handled at once. Default 20,000.
	MaxRequests int64
	// MaxBodyBytes bounds a body whose service publishes no bound. Default
	// 4 MiB.
	MaxBodyBytes int64
	// MaxBodyMemory bounds the bytes of all bodies held at once. Default
	// 256 MiB.
	MaxBodyMemory int64
	// BodyTimeout bounds the time to receive a body. Default 30 s.
	BodyTimeout time.Duration
	// Deadline is the time allowed for a request whose service publishes
	// none. Default 2 min.
	Deadline time.Duration
	// MaxDeadline bounds the time a caller may ask for. Default 1 h.
	MaxDeadline time.Duration
	// EntriesLifetime is how long callers may keep the list of entries.
	// Default entries.DefaultLifetime.
	EntriesLifetime time.Duration
}

// The defaults of Limits.
const (
	DefaultMaxRequests   = 20_000
	DefaultMaxBodyBytes  = 4 << 20
	DefaultMaxBodyMemory = 256 << 20
	DefaultBodyTimeout   = 30 * time.Second
	DefaultDeadline      = 2 * time.Minute
	DefaultMaxDeadline   = time.Hour
)

// WithDefaults returns the limits with each zero field set to its default.
func (l Limits) WithDefaults() Limits {
	l.MaxRequests = orDefault(l.MaxRequests, DefaultMaxRequests)
	l.MaxBodyBytes = orDefault(l.MaxBodyBytes, DefaultMaxBodyBytes)
	l.MaxBodyMemory = orDefault(l.MaxBodyMemory, DefaultMaxBodyMemory)
	l.BodyTimeout = orDefault(l.BodyTimeout, DefaultBodyTimeout)
	l.Deadline = orDefault(l.Deadline, DefaultDeadline)
	l.MaxDeadline = orDefault(l.MaxDeadline, DefaultMaxDeadline)
	return l
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// Options configures a Server.
type Options struct {
	Snapshot func() *snapshot.Snapshot
	Next     Handler
	// Observer may be nil.
	Observer Observer
	// Tickets may be nil: then no tickets are issued.
	Tickets Ticketer
	// Fingerprints may be nil: then fingerprints are zero.
	Fingerprints Fingerprinter
	Limits       Limits
	RelayLimits  relay.Limits
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Rand must be safe for concurrent use.
	Rand route.Rand
}
