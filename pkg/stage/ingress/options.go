// Package ingress is the first stage of a daemon: the HTTP interface to
// callers. It authenticates callers, refuses requests that can't be served as
// early as possible, and passes all others to the next stage.
package ingress

import (
	"context"
	"time"

	"github.com/flamingomount/flamingomount/pkg/bodies"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/relay"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Handler is the next stage. It writes the response or the failure to caller
// and returns after the last byte.
type Handler interface {
	Handle(ctx context.Context, req *request.Request, caller *relay.Caller)
}

// Observer is notified of requests that ingress refuses. Its method must not
// block.
type Observer interface {
	RequestRefused(id types.RequestID, service types.ServiceName, failure *types.Failure)
}

// Ticketer issues tickets for non-repeatable requests.
type Ticketer interface {
	// Ticket returns a ticket for the organisation, bound to the owner.
	Ticket(org types.OrgName, owner types.Incarnation, floor types.Revision) (string, error)
}

// Fingerprinter computes fingerprints of requests' contents with the key that
// the fleet shares.
type Fingerprinter interface {
	Of(service types.ServiceName, method, path string, body []byte) request.Fingerprint
}

// Limits holds the limits on callers' requests. A zero field means its default.
type Limits struct {
	// MaxRequests is the maximum number of requests in flight. Default 20,000.
	MaxRequests int64
	// MaxBodyBytes is the maximum size of a request body if the service
	// publishes no limit. Default 4 MiB.
	MaxBodyBytes int64
	// BodyTimeout is the maximum time to receive a request body. Default 30 s.
	BodyTimeout time.Duration
	// Deadline is the timeout of a request if the caller sets none and the
	// service publishes none for the request's rank. Default 2 min.
	Deadline time.Duration
	// MaxDeadline is the longest timeout that a caller may set; a longer one is
	// reduced to it. Default 1 h.
	MaxDeadline time.Duration
	// EntriesLifetime is how long callers may cache the list of entries.
	// Default entries.DefaultLifetime.
	EntriesLifetime time.Duration
}

// Default values of Limits.
const (
	DefaultMaxRequests  = 20_000
	DefaultMaxBodyBytes = 4 << 20
	DefaultBodyTimeout  = 30 * time.Second
	DefaultDeadline     = 2 * time.Minute
	DefaultMaxDeadline  = time.Hour
)

// WithDefaults returns a copy of the limits in which each zero field is set to
// its default. A zero EntriesLifetime stays; entries.List applies its default.
func (l Limits) WithDefaults() Limits {
	l.MaxRequests = orDefault(l.MaxRequests, DefaultMaxRequests)
	l.MaxBodyBytes = orDefault(l.MaxBodyBytes, DefaultMaxBodyBytes)
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
	// Tickets may be nil, in which case no tickets are issued.
	Tickets Ticketer
	// Fingerprints may be nil, in which case fingerprints are zero.
	Fingerprints Fingerprinter
	// Bodies is the memory of request bodies; nil means no limit.
	Bodies      *bodies.Pool
	Limits      Limits
	RelayLimits relay.Limits
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Rand must be safe for concurrent use.
	Rand route.Rand
}
