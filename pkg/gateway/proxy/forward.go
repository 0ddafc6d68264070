package proxy

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/bodies"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/stage/relay"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// headerForward carries the envelope of a request forwarded between daemons.
const headerForward = "X-Gateway-Forward"

// maxForwardedBody bounds the body of a forwarded request.
const maxForwardedBody = 16 << 20

// envelope is the metadata that a daemon sends with a request that it forwards to
// another daemon. It includes the route, so that both use the same version of it.
type envelope struct {
	ForwardedBy types.VMID        `json:"from"`
	Route       *catalog.Route    `json:"route"`
	Service     types.ServiceName `json:"service"`
	// Tried lists the endpoints that the request was sent to before.
	Tried       []types.EndpointID `json:"tried,omitempty"`
	ModelEngine bool               `json:"model,omitempty"`
	// Left is the time until the deadline.
	Left time.Duration `json:"left"`
	// Waited is the time since the caller's request arrived.
	Waited time.Duration `json:"waited"`
	// CallerLimited is true if the caller named how long it waits.
	CallerLimited bool   `json:"caller_limited,omitempty"`
	ResumeAfter   string `json:"resume_after,omitempty"`
	// PrefixUncached is true if the home of the prefix had no capacity.
	PrefixUncached bool `json:"anew,omitempty"`
	// ArriveWithin is the time in which the request must reach an endpoint if it
	// may have reached one before; zero sets no limit. Later it is refused.
	ArriveWithin time.Duration `json:"arrive_within,omitempty"`
	// Elsewhere is true if the sender can forward the request to another daemon of the
	// receiver's region: a receiver that is leaving then refuses it.
	Elsewhere bool `json:"elsewhere,omitempty"`
	// Credential is the digest of the caller's credential, and ConfigVersion the version
	// of the configuration in which an organisation holds it; both are empty if the
	// request needs none. The receiver looks it up in its own configuration.
	Credential    catalog.CredentialDigest `json:"credential,omitempty"`
	ConfigVersion uint64                   `json:"config_version,omitempty"`
	// Reserve asks the receiver to reserve an endpoint before it reads the body, and to
	// say so in an interim response with headerReserved. The body comes after that.
	Reserve bool `json:"reserve,omitempty"`
}

// forward sends the request to another daemon, of this region or another one,
// and relays its response.
func (r *run) forward(member members.Member) *types.Failure {
	r.noteForward(member)
	var w attemptConn
	snap := r.h.opts.Snapshot()
	env := r.envelope(snap)
	env.Elsewhere = r.canGoElsewhere(snap, member)
	outgoing, err := r.forwardRequest(member, env, &w)
	if err != nil {
		return failureWithCause(types.NotRun, types.CodeInternal, "the request can't be forwarded", err)
	}
	defer w.cancel()
	defer w.limit(earliest(r.forwardBy(), r.usableBy()), r.h.budgetTime)()
	response, err := r.h.opts.Transport.RoundTrip(outgoing)
	return r.relayForwarded(member, &w, response, err)
}

// completeHandover waits for the response to an admitted handover and relays it.
func (r *run) completeHandover(plan *handover) *types.Failure {
	r.noteForward(plan.member)
	defer plan.conn.cancel()
	<-plan.done
	return r.relayForwarded(plan.member, &plan.conn, plan.response, plan.err)
}

// noteForward records an attempt at another daemon.
func (r *run) noteForward(member members.Member) {
	r.region = member.Region
	r.hops++
	r.tried = append(r.tried, types.EndpointID("daemon "+string(member.VM)))
}

// relayForwarded relays the response of another daemon, or returns the failure of an
// attempt that got none.
func (r *run) relayForwarded(member members.Member, w *attemptConn, response *http.Response, err error) *types.Failure {
	if err != nil {
		return r.handleForwardError(member, w, err)
	}
	defer closeBody(response)
	if !relay.IsFinalStatus(response.StatusCode) {
		failure, _ := r.rejectResponse(w, relay.ErrNoStatus)
		return failure
	}
	r.noteRemoteResponse(member, response.Header)
	failure := r.failureFromDaemon(response)
	if failure != nil && refusedByLeaving(failure, response.Header) {
		r.noteLeavingDaemon(member.VM)
	}
	r.recordEndpoint(response.Header)
	if failure != nil {
		return failure
	}
	failure, _ = r.handleResponse(response, w)
	return failure
}

// refusedByLeaving reports whether a daemon refused a request because it is leaving
// itself, and not the endpoint to which it sent the request.
func refusedByLeaving(failure *types.Failure, header http.Header) bool {
	return failure.Code == types.CodeDraining && failure.Verdict == types.NotRun && header.Get(headerEndpoint) == ""
}

// noteLeavingDaemon records that a daemon refused the request because it is leaving.
// The attempt does not count as one at another daemon, and the home that the daemon
// owned may be tried by way of another one.
func (r *run) noteLeavingDaemon(vm types.VMID) {
	r.leavingDaemons = append(r.leavingDaemons, vm)
	r.hops--
	if len(r.homes) > 0 {
		r.homes = r.homes[:len(r.homes)-1]
	}
}

// canGoElsewhere reports whether the request can be forwarded to another daemon of a
// member's region if the member refuses it. The last attempt that may be refused, and
// one that is not repeated, must be accepted by a leaving daemon too.
func (r *run) canGoElsewhere(snap *control.Snapshot, member members.Member) bool {
	if r.unreached >= maxUnreached || r.trial != 0 {
		return false
	}
	return slices.ContainsFunc(r.serving(snap, member.Region), func(other members.Member) bool { return other.VM != member.VM })
}

// recordEndpoint records which endpoint the other daemon sent the request to.
func (r *run) recordEndpoint(header http.Header) {
	if id := header.Get(headerEndpoint); id != "" {
		r.remoteTried = append(r.remoteTried, types.EndpointID(id))
		header.Del(headerEndpoint)
	}
}

// excludedEndpoints lists the endpoints that further attempts should avoid.
func (r *run) excludedEndpoints() []types.EndpointID {
	return slices.Concat(r.req.Tried, r.remoteTried, r.tried)
}

// envelope describes the next attempt to another daemon.
func (r *run) envelope(snap *control.Snapshot) envelope {
	env := envelope{
		ForwardedBy: snap.Self.VM, Route: r.req.Route, Service: r.req.Service, ModelEngine: r.req.ModelEngine, Tried: r.excludedEndpoints(),
		Left:          r.req.Deadline.Sub(r.h.opts.Now()),
		Waited:        r.h.opts.Now().Sub(r.req.Arrived),
		CallerLimited: !r.req.CallerDeadline.IsZero(), ResumeAfter: r.lastEvent, PrefixUncached: len(r.homes) > 1,
	}
	if !r.chargedAt.IsZero() {
		env.ArriveWithin = hopTime
	}
	if r.req.Organisation != nil && snap.View.Config != nil {
		env.Credential, env.ConfigVersion = r.req.Credential, snap.View.Config.Version
	}
	return env
}

// forwardRequest builds the request of an attempt at another daemon.
func (r *run) forwardRequest(member members.Member, env envelope, w *attemptConn) (*http.Request, error) {
	encoded, err := json.Marshal(env)
	if err != nil {
		return nil, err
	}
	header := r.outgoingHeader()
	header.Set(headerForward, string(encoded))
	return r.outgoing(string(member.VM), header, w), nil
}

// handleForwardError returns the failure of a forwarded attempt that got no
// response.
func (r *run) handleForwardError(member members.Member, w *attemptConn, err error) *types.Failure {
	if r.ctx.Err() != nil {
		if w.connected() {
			r.verdict = r.verdict.Merge(types.MayHaveRun)
		}
		return r.contextFailure(r.verdict)
	}
	if !w.mayHaveArrived() {
		r.reached = false
		// A kept connection that was closed, or the end of the time to send, says
		// nothing of the daemon.
		if !w.connected() && !w.expired.Load() {
			r.h.opts.Reporter.ReportUnreachable(member.VM, err)
		}
		return failureWithCause(types.NotRun, types.CodeUnreachable, "the other daemon can't be reached", err)
	}
	r.verdict = r.verdict.Merge(types.MayHaveRun)
	return failureWithCause(types.MayHaveRun, types.CodeEndpointFailed, "the connection to the other daemon broke", err)
}

// failureFromDaemon returns the failure that the other daemon itself caused, or
// nil if it relays an endpoint's response.
func (r *run) failureFromDaemon(response *http.Response) *types.Failure {
	code := response.Header.Get(headerFailure)
	if code == "" {
		return nil
	}
	verdict := types.MayHaveRun
	if err := verdict.UnmarshalText([]byte(response.Header.Get(headerVerdict))); err != nil {
		verdict = types.MayHaveRun
	}
	r.verdict = r.verdict.Merge(verdict)
	r.reached = verdict != types.NotRun || arrivedOverHop(response.Header)
	failure := types.NewFailure(verdict, types.Code(code), "refused by the other daemon")
	if wait, err := time.ParseDuration(response.Header.Get("Retry-After") + "s"); err == nil {
		failure.RetryAfter = wait
	}
	_ = discardBody(response)
	return failure
}

// arrivedOverHop reports whether the other daemon's attempts may have reached an
// endpoint, also if that refused the request. An older daemon only names the
// endpoint that it tried.
func arrivedOverHop(header http.Header) bool {
	arrivals, err := strconv.Atoi(header.Get(headerArrivals))
	if err != nil {
		return header.Get(headerEndpoint) != ""
	}
	return arrivals > 0
}

// IsForwarded reports whether a request comes from another daemon's proxy.
func IsForwarded(r *http.Request) bool {
	return r.Header.Get(headerForward) != ""
}

// ServeForwarded serves a request that another daemon forwarded.
func (h *Handler) ServeForwarded(w http.ResponseWriter, r *http.Request) {
	req, err := h.parseForwarded(r)
	if err != nil {
		failure := types.NewFailure(types.NotRun, types.CodeBadRequest, err.Error())
		writeFailure(w, "", failure, true)
		return
	}
	defer func() { req.received.Release() }()
	defer h.releaseReserved(req)
	failure := h.identify(req, h.opts.Snapshot())
	if failure == nil {
		failure = h.reserveForwarded(w, r, req)
	}
	if failure == nil {
		failure = h.receiveForwarded(w, r, req)
	}
	if failure == nil {
		failure = h.refuseForwarded(req)
	}
	if failure != nil {
		writeFailure(w, req.ID, failure, true)
		return
	}
	h.serve(r.Context(), w, req)
}

// refuseForwarded returns a failure if the daemon stops and another daemon can take the
// forwarded request, or if it no longer passes any request on. The end of its stop could
// cut off the answer sooner than that of the daemon that took the request from its caller.
func (h *Handler) refuseForwarded(req *Request) *types.Failure {
	if req.Elsewhere && h.draining.Load() {
		return stopFailure()
	}
	return h.refuseLate()
}

// receiveForwarded reads the body of a forwarded request within the limits of size, memory and
// time.
func (h *Handler) receiveForwarded(w http.ResponseWriter, r *http.Request, req *Request) *types.Failure {
	timeout := bodyReadTimeout
	if req.Reserve {
		timeout = reservedTime
	}
	return h.receiveBody(w, r, req, bodies.Limits{Bytes: maxForwardedBody, Timeout: timeout})
}

// parseForwarded decodes the envelope and the header of a forwarded request.
func (h *Handler) parseForwarded(r *http.Request) (*Request, error) {
	now := h.opts.Now()
	arrivedAt := h.inBudgetTime(now)
	var env envelope
	if err := json.Unmarshal([]byte(r.Header.Get(headerForward)), &env); err != nil {
		return nil, eris.Wrap(err, "forwarded request")
	}
	if env.Route == nil || env.ForwardedBy == "" || env.Left <= 0 {
		return nil, errors.New("forwarded request: the envelope is incomplete")
	}
	header := r.Header
	header.Del(headerForward)
	info, err := h.opts.Dialect.RequestInfo(header)
	if err != nil {
		return nil, eris.Wrap(err, "forwarded request")
	}
	if env.ResumeAfter != "" {
		info.ResumeAfter = env.ResumeAfter
	}
	if env.Credential != "" {
		info.Credential = env.Credential
	}
	req := newRequest(r, info, env.Route)
	req.Service, req.ModelEngine, req.AttemptLimit, req.ForwardedBy = env.Service, env.ModelEngine, 1, env.ForwardedBy
	req.Arrived, req.Deadline = now.Add(-max(env.Waited, 0)), now.Add(env.Left)
	req.PrefixUncached, req.Tried, req.Elsewhere, req.Reserve = env.PrefixUncached, env.Tried, env.Elsewhere, env.Reserve
	req.identifiedIn = env.ConfigVersion
	if env.CallerLimited {
		req.CallerDeadline = req.Deadline
	}
	if env.ArriveWithin != 0 {
		req.ArriveBy = arrivedAt.Add(env.ArriveWithin)
	}
	return req, nil
}
