package proxy

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// headerForward carries the envelope of a request between daemons.
const headerForward = "X-Gateway-Forward"

// maxForwardedBody bounds the body of a forwarded request.
const maxForwardedBody = 16 << 20

// envelope is what the daemon that took a request from its caller tells the one
// that runs it. The route travels with it, so that both act on one version.
type envelope struct {
	ForwardedBy types.VMID        `json:"from"`
	Route       *catalog.Route    `json:"route"`
	Service     types.ServiceName `json:"service"`
	// Tried lists the endpoints that were asked before.
	Tried       []types.EndpointID `json:"tried,omitempty"`
	ModelEngine bool               `json:"model,omitempty"`
	// Left is the time until the deadline.
	Left time.Duration `json:"left"`
	// Waited is the time since the caller's request arrived.
	Waited time.Duration `json:"waited"`
	// CallerLimited is true when the caller named the time that it waits.
	CallerLimited bool   `json:"caller_limited,omitempty"`
	ResumeAfter   string `json:"resume_after,omitempty"`
	// PrefixUncached is true when the home of the prefix had no room.
	PrefixUncached bool `json:"anew,omitempty"`
}

// forward sends the request to another daemon, of this region or another one,
// and relays what it answers.
func (r *run) forward(member members.Member) *types.Failure {
	r.region = member.Region
	r.hops++
	r.tried = append(r.tried, types.EndpointID("daemon "+string(member.VM)))
	var w wire
	outgoing, err := r.forwardRequest(member, &w)
	if err != nil {
		return caused(types.NotRun, types.CodeInternal, "the request can't be forwarded", err)
	}
	defer w.cancel()
	response, err := r.h.opts.Transport.RoundTrip(outgoing)
	if err != nil {
		return r.hopUnanswered(member, &w, err)
	}
	defer closeBody(response)
	r.noteEndpoint(response.Header)
	if failure := r.hopFailure(response); failure != nil {
		return failure
	}
	failure, _ := r.judge(response, &w)
	return failure
}

// noteEndpoint notes which endpoint the other daemon asked.
func (r *run) noteEndpoint(header http.Header) {
	if id := header.Get(headerEndpoint); id != "" {
		r.asked = append(r.asked, types.EndpointID(id))
		header.Del(headerEndpoint)
	}
}

// avoid lists the endpoints that a further attempt should not go to.
func (r *run) avoid() []types.EndpointID {
	return slices.Concat(r.req.Tried, r.asked, r.tried)
}

func (r *run) forwardRequest(member members.Member, w *wire) (*http.Request, error) {
	note := envelope{
		ForwardedBy: r.h.opts.Snapshot().Self.VM, Route: r.req.Route, Service: r.req.Service, ModelEngine: r.req.ModelEngine, Tried: r.avoid(),
		Left:          r.req.Deadline.Sub(r.h.opts.Now()),
		Waited:        r.h.opts.Now().Sub(r.req.Arrived),
		CallerLimited: !r.req.CallerDeadline.IsZero(), ResumeAfter: r.lastEvent, PrefixUncached: len(r.homes) > 1,
	}
	text, err := json.Marshal(note)
	if err != nil {
		return nil, err
	}
	header := r.req.Header.Clone()
	header.Set(headerForward, string(text))
	return r.outgoing(string(member.VM), header, w), nil
}

// hopUnanswered judges a hop without an answer.
func (r *run) hopUnanswered(member members.Member, w *wire, err error) *types.Failure {
	if w.connected() {
		r.verdict = r.verdict.Merge(types.MayHaveRun)
	}
	if r.ctx.Err() != nil {
		return r.timeUp(r.verdict)
	}
	if !w.connected() {
		r.reached = false
		r.h.opts.Reporter.ReportUnreachable(member.VM, err)
		return caused(types.NotRun, types.CodeUnreachable, "the other daemon can't be reached", err)
	}
	return caused(types.MayHaveRun, types.CodeEndpointFailed, "the connection to the other daemon broke", err)
}

// hopFailure returns the failure that the other daemon made itself; nil when it
// relays an endpoint's answer.
func (r *run) hopFailure(response *http.Response) *types.Failure {
	code := response.Header.Get(headerFailure)
	if code == "" {
		return nil
	}
	verdict := types.MayHaveRun
	if err := verdict.UnmarshalText([]byte(response.Header.Get(headerVerdict))); err != nil {
		verdict = types.MayHaveRun
	}
	r.verdict = r.verdict.Merge(verdict)
	r.reached = verdict != types.NotRun
	failure := types.NewFailure(verdict, types.Code(code), "refused by the other daemon")
	if wait, err := time.ParseDuration(response.Header.Get("Retry-After") + "s"); err == nil {
		failure.RetryAfter = wait
	}
	// The failure's body is of no use; reading it keeps the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxResponseHeadBytes))
	return failure
}

// IsForwarded reports whether a request comes from another daemon's proxy.
func IsForwarded(r *http.Request) bool {
	return r.Header.Get(headerForward) != ""
}

// ServeForwarded serves a request that another daemon forwarded.
func (h *Handler) ServeForwarded(w http.ResponseWriter, r *http.Request) {
	req, err := h.openEnvelope(r)
	if err != nil {
		failure := types.NewFailure(types.NotRun, types.CodeBadRequest, err.Error())
		writeFailure(w, "", failure, true)
		return
	}
	h.held.Add(int64(len(req.Body)))
	defer h.held.Add(-int64(len(req.Body)))
	h.serve(r.Context(), w, req)
}

func (h *Handler) openEnvelope(r *http.Request) (*Request, error) {
	var note envelope
	if err := json.Unmarshal([]byte(r.Header.Get(headerForward)), &note); err != nil {
		return nil, eris.Wrap(err, "forwarded request")
	}
	if note.Route == nil || note.ForwardedBy == "" || note.Left <= 0 {
		return nil, errors.New("forwarded request: the envelope is incomplete")
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxForwardedBody))
	if err != nil {
		return nil, eris.Wrap(err, "forwarded request")
	}
	header := r.Header
	header.Del(headerForward)
	call, err := h.opts.Dialect.RequestInfo(header)
	if err != nil {
		return nil, eris.Wrap(err, "forwarded request")
	}
	if note.ResumeAfter != "" {
		call.ResumeAfter = note.ResumeAfter
	}
	now := h.opts.Now()
	req := newRequest(r, call, note.Route)
	req.Body, req.Service, req.ModelEngine, req.AttemptLimit, req.ForwardedBy = body, note.Service, note.ModelEngine, 1, note.ForwardedBy
	req.Arrived, req.Deadline = now.Add(-max(note.Waited, 0)), now.Add(note.Left)
	req.PrefixUncached, req.Tried = note.PrefixUncached, note.Tried
	if note.CallerLimited {
		req.CallerDeadline = req.Deadline
	}
	return req, nil
}
