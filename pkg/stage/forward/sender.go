package forward

import (
	"cmp"
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/dispatch"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// SenderOptions configures a Sender.
type SenderOptions struct {
	Snapshot func() *snapshot.Snapshot
	// Key seals envelopes.
	Key Key
	// Scheme is "http" or "https"; empty means "http".
	Scheme string
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Rand chooses among the entries of a region. It must be safe for concurrent
	// use.
	Rand route.Rand
}

// Sender builds requests to other daemons. It is safe for concurrent use.
type Sender struct {
	opts SenderOptions
}

var _ dispatch.Forwarder = (*Sender)(nil)

// NewSender returns a Sender. Empty Scheme and Now get their defaults.
func NewSender(opts SenderOptions) *Sender {
	if opts.Scheme == "" {
		opts.Scheme = "http"
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Sender{opts: opts}
}

// Prepare returns the HTTP request to a live entry of the region, or to the owner
// if to.Owner is set. It returns a failure for a request that was forwarded
// already and for a region to which the request's data may not be sent.
func (s *Sender) Prepare(ctx context.Context, req *request.Request, to dispatch.Destination) (*http.Request, *types.Failure) {
	if len(req.Path) >= maxHops {
		return nil, types.NewFailure(types.NotRun, types.CodeLoop, "a forwarded request is not forwarded again")
	}
	view := s.opts.Snapshot()
	member, found := s.chooseMember(view, to)
	if !found {
		return nil, types.NewFailure(types.NotRun, types.CodeNoEndpoint, "no live entry to forward the request to")
	}
	if !residencyAllows(req.Service, req.Org, member.Region) {
		return nil, types.NewFailure(types.NotRun, types.CodeResidency, "the data of this service may not be sent to region "+string(member.Region))
	}
	sealed, err := Seal(s.opts.Key, s.envelope(req, to, member, view), req.Body)
	if err != nil || len(sealed) > MaxEnvelopeBytes {
		failure := types.NewFailure(types.NotRun, types.CodeInternal, "the request's head can't be forwarded")
		failure.Cause = err
		return nil, failure
	}
	target := &url.URL{Scheme: s.opts.Scheme, Host: string(member.Incarnation.VM), Path: Path}
	outgoing := &http.Request{
		Method: http.MethodPost, URL: target, Host: target.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{HeaderEnvelope: {sealed}},
	}
	if !req.Repeatable {
		outgoing.Header.Set(types.HeaderTicket, cmp.Or(req.Ticket, req.Key))
	}
	return outgoing.WithContext(ctx), nil
}

func (s *Sender) envelope(req *request.Request, to dispatch.Destination, member snapshot.Member, view *snapshot.Snapshot) *Envelope {
	now := s.opts.Now()
	return &Envelope{
		To: member.Incarnation.VM, Owner: to.Owner, SentAt: now.UnixMilli(), ID: req.ID,
		Service: req.Service.Name, Org: req.Org.Name, Rank: req.Rank,
		TimeLeftMS: max(req.Deadline.Sub(now).Milliseconds(), 1), Repeatable: req.Repeatable,
		Key: req.Key, Ticket: req.Ticket,
		Path:  append(append([]types.Incarnation(nil), req.Path...), view.Self.Incarnation),
		Floor: max(req.Floor, revisionOf(view)), CallerKey: req.CallerKey, Fingerprint: req.Fingerprint, Prefix: req.Prefix,
		Streamed: req.Streamed, Version: req.Version,
		InputTokens: req.InputTokens, OutputTokens: req.OutputTokens,
		Method: req.Method, URLPath: req.URLPath, Query: req.Query,
		Header: request.Header(dispatch.ForwardableHeader(req)),
	}
}

func revisionOf(view *snapshot.Snapshot) types.Revision {
	if view.Config == nil {
		return 0
	}
	return view.Config.Revision
}

// chooseMember returns the owner if to.Owner is set, otherwise a random member of
// the region that is alive or listed.
func (s *Sender) chooseMember(view *snapshot.Snapshot, to dispatch.Destination) (snapshot.Member, bool) {
	var chosen snapshot.Member
	candidates := 0
	for i := range view.Members {
		member := view.Members[i]
		if !to.Owner.IsZero() {
			if member.Incarnation.VM == to.Owner.VM {
				return member, true
			}
			continue
		}
		usable := member.State == snapshot.MemberAlive || member.State == snapshot.MemberListed
		if member.Region != to.Region || !usable {
			continue
		}
		candidates++
		if route.IntN(s.opts.Rand, candidates) == 0 {
			chosen = member
		}
	}
	return chosen, candidates > 0
}
