// Package proxy carries requests: it matches a request to a route, selects an
// endpoint, sends attempts, classifies their results, retries where that is safe,
// and relays the response. A request that this region can't run is forwarded to a
// daemon of another region; a forwarded request is never forwarded again.
package proxy

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingomount/flamingomount/pkg/bodies"
	"github.com/flamingomount/flamingomount/pkg/gateway/balance/gate"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/crashes"
	"github.com/flamingomount/flamingomount/pkg/gateway/demand"
	"github.com/flamingomount/flamingomount/pkg/gateway/quota/exchange"
	"github.com/flamingomount/flamingomount/pkg/graceful"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/stage/relay"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Defaults and limits of requests.
const (
	// notReadyRetryAfter is the Retry-After advice while no configuration is known.
	notReadyRetryAfter = 500 * time.Millisecond
	// drainingRetryAfter is the advice of a daemon that stops: the caller's next
	// connection goes to another one.
	drainingRetryAfter = 10 * time.Millisecond
	// defaultTimeout bounds requests other than streams if neither the caller nor
	// the route sets a limit.
	defaultTimeout = 30 * time.Second
	// defaultBodyBytes and defaultHeaderBytes apply when the configuration
	// sets no limits.
	defaultBodyBytes   = 4 << 20
	defaultHeaderBytes = 16 << 10
	// writeTimeout bounds each write to a caller.
	writeTimeout = 10 * time.Second
	// maxBufferedBytes bounds a response that is buffered until it is complete.
	maxBufferedBytes = 1 << 20
)

// Reporter receives the observations of attempts. Its methods must not block.
type Reporter interface {
	// ReportBroken is called when an endpoint broke off its answer to a request with
	// these traits before the answer had got on.
	ReportBroken(endpoint types.EndpointID, address string, traits crashes.Traits)
	// ReportSound is called when an answer got on to a request with these traits.
	ReportSound(traits crashes.Traits)
	// ReportUnreachable is called when a daemon could not be reached.
	ReportUnreachable(vm types.VMID, err error)
}

// Options configures a Handler.
type Options struct {
	Snapshot func() *control.Snapshot
	// NextSnapshot returns the newest snapshot and a channel that is closed when
	// a newer one is published; nil if requests don't wait at the start.
	NextSnapshot func() (*control.Snapshot, <-chan struct{})
	Gate         *gate.Gate
	Dialect      Dialect
	Reporter     Reporter
	RetryBudgets *RetryBudgets
	// Quotas limits organisations; nil means that nothing does.
	Quotas *exchange.Exchange
	// Demand counts callers' requests by route; nil means a counter of its own.
	Demand *demand.Counter
	// Transport sends attempts; nil means NewTransport.
	Transport http.RoundTripper
	// Bodies is the memory of request bodies; nil means no limit.
	Bodies  *bodies.Pool
	Log     Logger
	Metrics *Metrics
	Now     func() time.Time
	// Rand must be safe for concurrent use.
	Rand route.Rand
	// RevocationLimit is the time within which a credential that was taken away stops
	// working, also while this daemon hears nothing; zero sets no limit. ConfigLimit is
	// the time within which a daemon that hears of changes has them; zero means at once.
	RevocationLimit, ConfigLimit time.Duration
	// Suspended returns for how long the VM was suspended, which Now does not count;
	// nil means never.
	Suspended func() time.Duration
}

// Logger logs requests. Its methods must not block.
type Logger interface {
	// Request logs how a request ended.
	Request(fields logrus.Fields, failed bool)
}

// Handler serves the requests of callers. It is safe for concurrent use.
type Handler struct {
	opts Options
	// trials holds the withheld traits that a request tries now.
	trials sync.Map
	// draining makes the handler refuse forwarded requests that another daemon can take.
	draining atomic.Bool
	// admitUntil is the last moment, in budget time, at which a request is passed
	// on; nil means that there is none.
	admitUntil atomic.Pointer[time.Time]
	startedAt  time.Time
	stop       stopState
}

var _ http.Handler = (*Handler)(nil)

// New returns a handler.
func New(opts Options) *Handler {
	startedAt := opts.Now()
	if opts.Transport == nil {
		opts.Transport = NewTransport()
	}
	if opts.Demand == nil {
		opts.Demand = demand.NewCounter(opts.Now)
	}
	return &Handler{opts: opts, startedAt: startedAt}
}

// Leave makes the handler refuse requests that are complete only after the admission time
// from now on, whichever connection they come on: the stop of the daemon would cut them
// off. Forwarded requests that another daemon can take are refused at once.
func (h *Handler) Leave(admission time.Duration) {
	until := h.budgetTime().Add(admission)
	h.admitUntil.Store(&until)
	h.draining.Store(true)
}

// refuseLate returns a failure if the daemon stops and no longer passes requests on.
func (h *Handler) refuseLate() *types.Failure {
	until := h.admitUntil.Load()
	if until == nil || h.budgetTime().Before(*until) {
		return nil
	}
	return stopFailure()
}

// stopFailure is the refusal of a request that a stopping daemon does not pass on.
func stopFailure() *types.Failure {
	return notRunFailure(types.CodeDraining, "this daemon stops", drainingRetryAfter)
}

// ServeHTTP serves a caller's request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := h.opts.Now()
	snap := h.awaitStartup(r.Context(), h.identifiable)
	req, failure := h.accept(r, snap, arrived)
	if failure == nil {
		h.opts.Demand.Record(req.Route)
		h.opts.RetryBudgets.RecordRequest(req.Service, h.inBudgetTime(arrived))
		failure = h.readBody(w, r, req, snap)
		defer func() { req.received.Release() }()
	}
	if failure == nil {
		failure = h.refuseLate()
	}
	if failure != nil {
		h.refuse(w, r, failure)
		return
	}
	h.serve(r.Context(), w, req)
}

// refuse responds to a request that can't be accepted.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, failure *types.Failure) {
	h.opts.Metrics.countRefusal(failure)
	// A header without an ID that can be read gives none.
	info, _ := h.opts.Dialect.RequestInfo(r.Header)
	h.opts.Log.Request(logrus.Fields{
		"request": info.ID, "method": r.Method, "host": r.Host, "path": pathOf(r), "code": failure.Code, "reason": failure.Message,
	}, true)
	writeFailure(w, "", failure, false)
}

// accept decodes the header of a request and finds its route.
func (h *Handler) accept(r *http.Request, snap *control.Snapshot, arrived time.Time) (*Request, *types.Failure) {
	return h.acceptAs("", r, snap, arrived)
}

// acceptAs is accept for a request of a named organisation, whatever its header says; an
// empty name takes what the header says.
func (h *Handler) acceptAs(caller types.OrgName, r *http.Request, snap *control.Snapshot, arrived time.Time) (*Request, *types.Failure) {
	config := snap.View.Config
	if config == nil {
		return nil, notRunFailure(types.CodeNotReady, "this entry knows no configuration yet", notReadyRetryAfter)
	}
	if failure := checkHeader(r, config.Limits); failure != nil {
		return nil, failure
	}
	matched := config.Match(stripPort(r.Host), pathOf(r))
	if matched == nil {
		return nil, types.NewFailure(types.NotRun, types.CodeUnknownService, "no route for this host and path")
	}
	header := r.Header
	relay.RemoveHopHeaders(header)
	header.Del(headerForward)
	info, err := h.opts.Dialect.RequestInfo(header)
	if err != nil {
		return nil, types.NewFailure(types.NotRun, types.CodeBadRequest, err.Error())
	}
	if caller != "" {
		info.Credential = config.CredentialOf(caller)
	}
	req := newRequest(r, info, matched)
	if !req.hasExactTarget() {
		return nil, types.NewFailure(types.NotRun, types.CodeBadRequest, "the path can't be passed on as it was sent")
	}
	if failure := h.identify(req, snap); failure != nil {
		return nil, failure
	}
	req.Service, req.AttemptLimit, req.Arrived = matched.ServiceFor(string(info.ID)), max(matched.MaxAttempts, 1), arrived
	if service := config.Services[req.Service]; service != nil {
		req.ModelEngine = service.Engine != nil
	}
	req.setDeadline(info.CallerTimeout)
	return req, nil
}

// setDeadline sets the deadlines from the caller's timeout and the route's
// timeout.
func (r *Request) setDeadline(callerTimeout time.Duration) {
	r.Deadline = r.Arrived.Add(defaultTimeout)
	if r.Route.Kind == catalog.Streaming {
		r.Deadline = r.Arrived.Add(maxStreamTime)
	}
	if r.Route.Timeout > 0 {
		r.Deadline = r.Arrived.Add(r.Route.Timeout)
	}
	if callerTimeout <= 0 {
		return
	}
	r.CallerDeadline = r.Arrived.Add(callerTimeout)
	if r.CallerDeadline.Before(r.Deadline) {
		r.Deadline = r.CallerDeadline
	}
}

// checkHeader refuses request headers that no endpoint should receive.
func checkHeader(r *http.Request, limits catalog.Limits) *types.Failure {
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace || r.RequestURI == "*" {
		return types.NewFailure(types.NotRun, types.CodeBadRequest, "the method is not supported")
	}
	if len(r.Header["Content-Length"]) > 1 {
		return types.NewFailure(types.NotRun, types.CodeBadRequest, "the request has several lengths")
	}
	limit := limits.HeaderBytes
	if limit <= 0 {
		limit = defaultHeaderBytes
	}
	if headerBytes(r) > limit {
		failure := types.NewFailure(types.NotRun, types.CodeTooLarge, "the head of the request is too large")
		failure.Status = http.StatusRequestHeaderFieldsTooLarge
		return failure
	}
	return nil
}

// headerBytes is the size of the request header as sent, to within a few bytes.
func headerBytes(r *http.Request) int64 {
	const perField = 4 // colon, space and line end
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + perField
		}
	}
	return int64(size)
}

// stripPort returns the host without its port. The colons of an IPv6 address in
// brackets are no port.
func stripPort(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon > strings.LastIndexByte(host, ']') {
		return host[:colon]
	}
	return host
}

// pathOf returns the path as it was sent, still encoded.
func pathOf(r *http.Request) string {
	if !strings.HasPrefix(r.RequestURI, "/") {
		return r.URL.EscapedPath()
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// serve runs an accepted request and writes its response.
func (h *Handler) serve(ctx context.Context, w http.ResponseWriter, req *Request) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	graceful.NameRequest(ctx, string(req.ID))
	run := &run{h: h, ctx: ctx, req: req, out: newResponseWriter(w, req.ForwardedBy != ""), complete: h.opts.Now()}
	defer run.recordPanic()
	defer run.releaseReserved()
	defer run.endTrial()
	failure := run.loop()
	run.finish(failure)
	if run.out.broken {
		panic(http.ErrAbortHandler)
	}
}
