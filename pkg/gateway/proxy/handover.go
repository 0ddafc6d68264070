package proxy

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"sync"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/oncebody"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Limits of handovers.
const (
	// handoverTime bounds the time from asking another daemon until it has reserved an
	// endpoint.
	handoverTime = 600 * time.Millisecond
	// reservedTime bounds the time for which a daemon keeps an endpoint reserved for a
	// request whose body has not come. It leaves hopTime of arrivalTime.
	reservedTime = arrivalTime - hopTime
)

// headerReserved is set in the interim response of a daemon that has reserved an
// endpoint for the request and waits for its body.
const headerReserved = "X-Gateway-Reserved"

// errNotMoved means that a stream stays with its attempt.
var errNotMoved = errors.New("the stream stays with its attempt")

// handover moves a silent stream to another daemon. That daemon gets the header of the
// request, reserves an endpoint and says so in an interim response. Only then the silent
// attempt is ended and the body sent, so that a refusal costs nothing and no two
// endpoints run the request.
type handover struct {
	member members.Member
	// home is the home of the prefix that the other daemon owns; nil unless the prompt is
	// large.
	home *catalog.ActiveEndpoint
	conn attemptConn
	body *heldBody
	// admitted is true once the body was released. The detector's mutex guards it.
	admitted bool
	// done is closed once response and err are set.
	done     chan struct{}
	response *http.Response
	err      error
}

// planHandover selects another daemon that may have an endpoint for the rest of the stream.
func (r *run) planHandover(snap *control.Snapshot) (*handover, bool) {
	if r.hops >= maxHops || !r.remoteEndpointLeft(snap) {
		return nil, false
	}
	plan := &handover{done: make(chan struct{}), body: newHeldBody(r.req.Body)}
	if r.req.PrefixTokens < balance.MinLargePrefixTokens {
		var found bool
		plan.member, found = r.pickRemoteDaemon(snap, remoteOnlyMinFree)
		return plan, found
	}
	home, found := r.nextHome(snap)
	if !found {
		return nil, false
	}
	plan.home = &home
	plan.member, found = ownerOf(home, r.serving(snap, home.Region))
	return plan, found && plan.member.VM != snap.Self.VM
}

// beginHandover asks another daemon to take the rest of the stream. The caller holds the
// detector's mutex.
func (r *run) beginHandover(d *stallDetector, silent *attemptConn) {
	snap := r.h.opts.Snapshot()
	plan, found := r.planHandover(snap)
	if !found {
		return
	}
	plan.conn.interim = func(status int, header textproto.MIMEHeader) error {
		return r.admitHandover(d, plan, silent, status, header)
	}
	outgoing, err := r.handoverRequest(snap, plan)
	if err != nil {
		return
	}
	d.handover = plan
	go r.h.sendHandover(d, plan, outgoing)
}

// handoverRequest builds the request of a handover.
func (r *run) handoverRequest(snap *control.Snapshot, plan *handover) (*http.Request, error) {
	env := r.envelope(snap)
	env.Reserve, env.Elsewhere = true, true
	env.PrefixUncached = plan.home != nil && len(r.homes) > 0
	outgoing, err := r.forwardRequest(plan.member, env, &plan.conn)
	if err != nil {
		return nil, err
	}
	outgoing.Body = plan.body
	if len(r.req.Body) == 0 {
		outgoing.ContentLength = -1
	}
	return outgoing, nil
}

// sendHandover sends the request of a handover and waits for its response. One that was
// not admitted is discarded.
func (h *Handler) sendHandover(d *stallDetector, plan *handover, outgoing *http.Request) {
	expiry := time.AfterFunc(handoverTime, func() { d.withdraw(plan) })
	defer expiry.Stop()
	plan.response, plan.err = h.opts.Transport.RoundTrip(outgoing)
	close(plan.done)
	if d.withdraw(plan) {
		plan.discard()
	}
}

// admitHandover handles the interim response to the request of a handover. If the stream
// is still silent, its attempt is ended, the body is sent, and the next attempt is this one.
func (r *run) admitHandover(d *stallDetector, plan *handover, silent *attemptConn, status int, header textproto.MIMEHeader) error {
	if status != http.StatusEarlyHints || header.Get(headerReserved) == "" {
		return errNotMoved
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.handover != plan || plan.admitted || r.h.draining.Load() || !r.reserveRetry() {
		plan.conn.cancel()
		return errNotMoved
	}
	plan.admitted = true
	r.handover = plan
	silent.cancel()
	plan.body.release()
	return nil
}

// withdraw ends a handover unless it was admitted, and reports whether it was not.
func (d *stallDetector) withdraw(plan *handover) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if plan.admitted {
		return false
	}
	if d.handover == plan {
		d.handover = nil
	}
	plan.conn.cancel()
	return true
}

// discard waits for the end of a handover's request and drops its response.
func (p *handover) discard() {
	p.conn.cancel()
	<-p.done
	if p.response != nil {
		closeBody(p.response)
	}
}

// takeHandover returns the handover that was admitted during the last attempt; nil if
// there is none. Its retry is charged.
func (r *run) takeHandover() *handover {
	plan := r.handover
	if plan == nil {
		return nil
	}
	r.handover = nil
	if reserved := r.retryReservedAt.Swap(nil); reserved != nil {
		r.chargedAt = *reserved
	}
	if plan.home != nil {
		r.homes = append(r.homes, *plan.home)
	}
	return plan
}

// dropHandover ends a handover that was admitted and is not waited for. Its request may
// have arrived, so its charge and its units are spent.
func (r *run) dropHandover(plan *handover) {
	plan.discard()
	r.chargedAt = time.Time{}
	r.quota.spend()
}

// reserveForwarded reserves an endpoint, if the daemon that forwarded the request asks for
// that, and tells it so before the body is read. Without an endpoint it refuses the
// request. A retry is charged after that, so arrivalTime from then on keeps its limit.
func (h *Handler) reserveForwarded(w http.ResponseWriter, r *http.Request, req *Request) *types.Failure {
	if !req.Reserve {
		return nil
	}
	failure := h.refuseForwarded(req)
	if failure == nil {
		failure = h.reserveEndpoint(r, w, req)
	}
	if failure != nil {
		// The body does not come, so the connection can't be used again.
		w.Header().Set("Connection", "close")
		return failure
	}
	// The daemon that forwarded the request relies on the endpoint from now on.
	req.Elsewhere, req.ArriveBy = false, h.budgetTime().Add(arrivalTime)
	w.Header().Set(headerReserved, "1")
	w.WriteHeader(http.StatusEarlyHints)
	w.Header().Del(headerReserved)
	return nil
}

// reserveEndpoint reserves an endpoint of this region for a request, without waiting. One
// whose rate is bounded since it is cold can't be reserved: the rate counts requests when
// they are sent.
func (h *Handler) reserveEndpoint(r *http.Request, w http.ResponseWriter, req *Request) *types.Failure {
	asking := &run{h: h, ctx: r.Context(), req: req, out: newResponseWriter(w, true)}
	dest, failure := asking.placeLocally(h.opts.Snapshot())
	if failure != nil {
		return failure
	}
	req.reserved = dest.endpoint
	if h.opts.Gate.LimitedAsCold(dest.endpoint.Endpoint.ID) {
		asking.releaseReserved()
		return notRunFailure(types.CodeOverloaded, "the endpoint is cold", notReadyRetryAfter)
	}
	return nil
}

// heldBody is a request body that can be read only once it was released.
type heldBody struct {
	body     *oncebody.Body
	released chan struct{}
	closed   chan struct{}
	once     sync.Once
}

var _ io.ReadCloser = (*heldBody)(nil)

func newHeldBody(data []byte) *heldBody {
	return &heldBody{body: oncebody.New(data), released: make(chan struct{}), closed: make(chan struct{})}
}

// release lets the body be read. It must be called at most once.
func (b *heldBody) release() {
	close(b.released)
}

// Read implements io.Reader. It waits until the body is released or closed.
func (b *heldBody) Read(p []byte) (int, error) {
	select {
	case <-b.released:
		return b.body.Read(p)
	case <-b.closed:
		return 0, net.ErrClosed
	}
}

// Close implements io.Closer.
func (b *heldBody) Close() error {
	b.once.Do(func() { close(b.closed) })
	return nil
}
