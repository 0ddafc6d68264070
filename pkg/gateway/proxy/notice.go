package proxy

import (
	"net/http"
	"net/http/httptrace"
	"strconv"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// headerLeaving tells the daemon that forwarded a request that the endpoint in
// headerEndpoint is leaving. Its value is the start time of that endpoint in Unix
// milliseconds, 0 if unknown.
const headerLeaving = "X-Gateway-Leaving"

// trace returns the hooks that follow the connection of the attempt.
func (w *attemptConn) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn: func(string) { w.connecting.Begin() },
		GotConn: w.gotConn,
		// The connection's writer calls it, also after an error.
		WroteRequest: w.upload.ended,
		// A nil function leaves the limit on interim responses as it is.
		Got1xxResponse: w.interim,
	}
}

// gotConn records the connection. If it comes too late, if the endpoint has said
// meanwhile that it wants no request, or if the request is withheld from all endpoints,
// it is closed, so that nothing is sent on it.
func (w *attemptConn) gotConn(info httptrace.GotConnInfo) {
	wanted := w.connecting.Connected(connectionOf(info.Conn))
	if w.tooLate != nil && w.tooLate() || w.withheld != nil && w.withheld() {
		w.expired.Store(true)
		wanted = false
	}
	if !wanted {
		_ = info.Conn.Close()
		return
	}
	if counting, ok := info.Conn.(*countingConn); ok {
		w.writtenBefore.Store(counting.written.Load())
	}
	w.conn.Store(&info.Conn)
}

// roundTrip sends the request of an attempt at an endpoint, unless the endpoint
// wants no request before a connection to it is obtained.
func (r *run) roundTrip(outgoing *http.Request, permit *balance.Permit, w *attemptConn) (*http.Response, error) {
	w.connecting = r.h.opts.Gate.NewConnecting(permit, w.cancel)
	defer w.connecting.End()
	if !w.connecting.Begin() {
		return nil, outgoing.Context().Err()
	}
	return r.h.opts.Transport.RoundTrip(outgoing)
}

// handleLimit returns the failure of an attempt that was not sent because the endpoint is
// or may be cold and gets as many requests as it can take, and releases its
// permit.
func (r *run) handleLimit(permit *balance.Permit) *types.Failure {
	r.reached = false
	r.h.opts.Gate.Done(permit, balance.Abandoned)
	return notRunFailure(types.CodeOverloaded, "the endpoint is or may be cold", refusedRetryAfter)
}

// handleWithdrawal returns the failure of an attempt that was not sent because the
// endpoint wants no request, and releases its permit.
func (r *run) handleWithdrawal(permit *balance.Permit) *types.Failure {
	r.reached = false
	r.h.opts.Gate.Done(permit, balance.Abandoned)
	return notRunFailure(types.CodeDraining, "the endpoint takes no more requests", notReadyRetryAfter)
}

// noteResponse records what an endpoint says of itself in the header of a
// response, before any of the response is passed on. A response to a misdirected
// request concerns the endpoint that has the address now.
func (r *run) noteResponse(permit *balance.Permit, response *http.Response) {
	info := r.h.opts.Dialect.ResponseInfo(response.StatusCode, response.Header)
	notice := balance.Notice{Leaving: info.Leaving, Backoff: info.Backoff}
	if notice.Empty() {
		return
	}
	if info.Misdirected {
		r.h.opts.Gate.NoteSuccessor(permit.Endpoint.Endpoint, notice)
		return
	}
	if info.Leaving {
		r.out.leavingEndpoint = permit.Endpoint.Endpoint
	}
	r.h.opts.Gate.Note(permit.Endpoint.Endpoint, notice)
}

// noteRemoteResponse records that the endpoint to which another daemon sent the
// request is leaving. Only endpoints of the local region get requests from this
// daemon. A pause binds the daemon that was asked for it, not this one.
func (r *run) noteRemoteResponse(member members.Member, header http.Header) {
	value := header.Get(headerLeaving)
	header.Del(headerLeaving)
	id := header.Get(headerEndpoint)
	if value == "" || id == "" || member.Region != r.h.opts.Snapshot().Self.Region {
		return
	}
	startedAt, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return
	}
	r.h.opts.Gate.NoteRemote(types.EndpointID(id), startedAt, balance.Notice{Leaving: true})
}

// setLeavingHeader tells the daemon that forwarded the request that the endpoint of
// the last attempt is leaving.
func (w *responseWriter) setLeavingHeader(header http.Header) {
	header.Del(headerLeaving)
	if w.leavingEndpoint != nil && w.leavingEndpoint.ID == w.endpoint {
		header.Set(headerLeaving, strconv.FormatInt(w.leavingEndpoint.StartedAt, 10))
	}
}

// endpointRefusal returns the failure of a request that an endpoint turned away. It
// names the end of the first pause if no endpoint takes requests until then.
func (r *run) endpointRefusal() *types.Failure {
	if r.h.opts.Gate.PauseLeft(r.req.Service) > 0 {
		return refusalFailure(r.h.opts.Gate.Refuse(r.balancerRequest()))
	}
	return notRunFailure(types.CodeOverloaded, "the endpoint has no room", refusedRetryAfter)
}
