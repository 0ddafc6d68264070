package forward

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/flamingomount/flamingomount/pkg/bodies"
	"github.com/flamingomount/flamingomount/pkg/control/once"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/relay"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Handler is the next stage, which handles accepted requests.
type Handler interface {
	Handle(ctx context.Context, req *request.Request, caller *relay.Caller)
}

// ReceiverOptions configures a Receiver.
type ReceiverOptions struct {
	Snapshot func() *snapshot.Snapshot
	Keys     []Key
	Next     Handler
	// OnRevisionFloor is called with the configuration revision that each
	// forwarded request carries; it may be nil. It must not block.
	OnRevisionFloor func(types.Revision)
	RelayLimits     relay.Limits
	// Bodies is the memory of request bodies; nil means no limit.
	Bodies *bodies.Pool
	// MaxBodyBytes bounds a request body. Default 4 MiB.
	MaxBodyBytes int64
	// MaxRequests bounds the requests in flight. Default 5,000.
	MaxRequests int64
	// BodyTimeout bounds the time to receive a request body. Default 30 s.
	BodyTimeout time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// The defaults of ReceiverOptions.
const (
	DefaultMaxBodyBytes = 4 << 20
	DefaultMaxRequests  = 5_000
	DefaultBodyTimeout  = 30 * time.Second
)

// Receiver handles requests that other daemons forward. It does not rely on the
// sender's checks: it verifies that the request has made one hop only, that it is
// addressed to this daemon and that its data may be processed in this region. It
// is safe for concurrent use.
type Receiver struct {
	opts     ReceiverOptions
	requests atomic.Int64
}

var _ http.Handler = (*Receiver)(nil)

// NewReceiver returns a Receiver. Zero fields of opts get their defaults.
func NewReceiver(opts ReceiverOptions) *Receiver {
	if opts.MaxBodyBytes == 0 {
		opts.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if opts.MaxRequests == 0 {
		opts.MaxRequests = DefaultMaxRequests
	}
	if opts.BodyTimeout == 0 {
		opts.BodyTimeout = DefaultBodyTimeout
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Receiver{opts: opts}
}

// ServeHTTP handles one forwarded request. It aborts the connection when the
// response can't be completed.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, incoming *http.Request) {
	w.Header().Set(types.HeaderAttemptID, incoming.Header.Get(types.HeaderAttemptID))
	defer r.requests.Add(-1)
	if r.requests.Add(1) > r.opts.MaxRequests {
		refuse(w, incoming, types.NewFailure(types.NotRun, types.CodeOverloaded, "too many forwarded requests at once"))
		return
	}
	body, failure := r.receiveBody(w, incoming)
	if failure != nil {
		refuse(w, incoming, failure)
		return
	}
	defer body.Release()
	req, failure := r.accept(incoming, body.Bytes())
	if failure != nil {
		refuse(w, incoming, failure)
		return
	}
	req.HoldBody = body.Hold
	caller := relay.NewCaller(w, req.ID, r.opts.RelayLimits)
	r.opts.Next.Handle(incoming.Context(), req, caller)
	if caller.Broken() {
		panic(http.ErrAbortHandler)
	}
}

// refuse responds to a request that is not passed to the next stage. The failure
// covers this send only: an earlier send of a request with a ticket may have run,
// so once.DowngradeNotRun turns the verdict NotRun into MayHaveRun for it.
func refuse(w http.ResponseWriter, incoming *http.Request, failure *types.Failure) {
	relay.WriteFailure(w, "", once.DowngradeNotRun("", incoming.Header.Get(types.HeaderTicket), failure))
}

// receiveBody reads the body within the limits of size, memory and time.
func (r *Receiver) receiveBody(w http.ResponseWriter, incoming *http.Request) (*bodies.Body, *types.Failure) {
	body, err := r.opts.Bodies.Receive(w, incoming, bodies.Limits{Bytes: r.opts.MaxBodyBytes, Timeout: r.opts.BodyTimeout})
	switch {
	case errors.Is(err, bodies.ErrNoMemory), errors.Is(err, bodies.ErrYielded):
		return nil, types.NewFailure(types.NotRun, types.CodeOverloaded, err.Error())
	case err != nil:
		return nil, types.NewFailure(types.NotRun, types.CodeBadRequest, "the forwarded body can't be read")
	}
	return body, nil
}

// accept verifies the envelope of a request whose body was received, and returns the request.
func (r *Receiver) accept(incoming *http.Request, body []byte) (*request.Request, *types.Failure) {
	now := r.opts.Now()
	envelope, err := Open(r.opts.Keys, incoming.Header.Get(HeaderEnvelope), body, now)
	if err != nil {
		return nil, types.NewFailure(types.NotRun, types.CodeForbidden, err.Error())
	}
	if r.opts.OnRevisionFloor != nil {
		r.opts.OnRevisionFloor(envelope.Floor)
	}
	return Accept(envelope, body, r.opts.Snapshot(), now)
}

// Accept checks an envelope that Open has authenticated and returns its request.
// Its failures have the verdict NotRun, except that CodeOwnerGone has MayHaveRun.
func Accept(e *Envelope, body []byte, view *snapshot.Snapshot, now time.Time) (*request.Request, *types.Failure) {
	if failure := checkDestination(e, view); failure != nil {
		return nil, failure
	}
	service, found := view.Config.Services[e.Service]
	if !found {
		return nil, types.NewFailure(types.NotRun, types.CodeUnknownService, "the service is not known here")
	}
	org, found := view.Config.Orgs[e.Org]
	if !found {
		return nil, types.NewFailure(types.NotRun, types.CodeForbidden, "the organisation is not known here")
	}
	if !residencyAllows(service, org, view.Self.Region) {
		return nil, types.NewFailure(types.NotRun, types.CodeResidency,
			"the data of this service may not be sent to region "+string(view.Self.Region))
	}
	return &request.Request{
		ID: e.ID, Service: service, Org: org, Rank: max(e.Rank, service.MaxRank),
		Arrived: now, Deadline: now.Add(time.Duration(e.TimeLeftMS) * time.Millisecond),
		Repeatable: e.Repeatable,
		Key:        e.Key, Ticket: e.Ticket, Path: e.Path, Floor: e.Floor,
		CallerKey: e.CallerKey, Fingerprint: e.Fingerprint, Prefix: e.Prefix, Streamed: e.Streamed, Version: e.Version,
		InputTokens: e.InputTokens, OutputTokens: e.OutputTokens,
		Method: e.Method, URLPath: e.URLPath, Query: e.Query, Header: e.Header, Body: body,
	}, nil
}

// checkDestination refuses loops, requests that are addressed to another daemon
// or to an earlier incarnation of this one, and any request while this daemon is
// not ready.
func checkDestination(e *Envelope, view *snapshot.Snapshot) *types.Failure {
	self := view.Self.Incarnation
	if len(e.Path) != maxHops {
		return types.NewFailure(types.NotRun, types.CodeLoop, "a request may be forwarded once only")
	}
	for _, hop := range e.Path {
		if hop.VM == self.VM {
			return types.NewFailure(types.NotRun, types.CodeLoop, "the request was forwarded by this daemon itself")
		}
	}
	if e.To != self.VM {
		return types.NewFailure(types.NotRun, types.CodeForbidden, "the request was forwarded to another daemon")
	}
	if !e.Owner.IsZero() && e.Owner != self {
		return types.NewFailure(types.MayHaveRun, types.CodeOwnerGone, "the incarnation that may run this request is gone")
	}
	if view.Config == nil || view.Paused {
		return types.NewFailure(types.NotRun, types.CodeNotReady, view.NotReady())
	}
	return nil
}

// residencyAllows reports whether the organisation's data for the service may be
// sent to the region.
func residencyAllows(service *published.Service, org *published.Organisation, region types.Region) bool {
	if org.Home != "" && org.Home != region {
		return false
	}
	return service.Allows(region)
}
