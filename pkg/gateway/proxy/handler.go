// Package proxy carries requests: it finds the route, asks for an endpoint,
// makes attempts, judges them, retries where that is safe, and relays the
// answer. A request that this region can't run goes to a daemon of another
// region, once.
package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance/gate"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/stage/relay"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Defaults and limits of requests.
const (
	// notReadyRetry is the advice while no configuration is known.
	notReadyRetry = 500 * time.Millisecond
	// defaultAllowed bounds requests, streams apart, for which neither caller nor
	// route does.
	defaultAllowed = 30 * time.Second
	// defaultBodyBytes and defaultHeaderBytes hold where the configuration
	// sets none.
	defaultBodyBytes   = 4 << 20
	defaultHeaderBytes = 16 << 10
	// maxBodyTime bounds the time to receive a body.
	maxBodyTime = 10 * time.Second
	// restOfBodyTime bounds the wait for the rest of a body that nobody reads.
	restOfBodyTime = time.Second
	// writeTimeout bounds each write to a caller.
	writeTimeout = 10 * time.Second
	// maxWholeBytes bounds an answer that is held until it is whole.
	maxWholeBytes = 1 << 20
)

// Reporter learns what attempts showed about contents. Its methods don't block.
type Reporter interface {
	// ReportCrash is called when an endpoint broke off while it ran a content.
	ReportCrash(content request.Fingerprint, attempt string)
	// ReportCompletion is called when a suspected content was answered.
	ReportCompletion(content request.Fingerprint)
	// ReportUnreachable is called when a daemon could not be reached.
	ReportUnreachable(vm types.VMID, err error)
}

// Options configures a Handler.
type Options struct {
	Snapshot     func() *control.Snapshot
	Gate         *gate.Gate
	Dialect      Dialect
	Reporter     Reporter
	RetryBudgets *RetryBudgets
	// Transport makes attempts; nil means NewTransport.
	Transport http.RoundTripper
	// BodyMemory bounds the bytes of request bodies held at once.
	BodyMemory int64
	Log        Logger
	Metrics    *Metrics
	Now        func() time.Time
	// Rand must be safe for concurrent use.
	Rand route.Rand
}

// Logger writes the lines of requests; it must not block.
type Logger interface {
	// Request writes how a request ended.
	Request(fields logrus.Fields, failed bool)
}

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	opts Options
	held atomic.Int64
	// leaving makes every answer close its connection.
	leaving atomic.Bool
}

var _ http.Handler = (*Handler)(nil)

// New returns a handler.
func New(opts Options) *Handler {
	if opts.Transport == nil {
		opts.Transport = NewTransport()
	}
	return &Handler{opts: opts}
}

// Leave makes every further answer ask its caller to connect elsewhere.
func (h *Handler) Leave() {
	h.leaving.Store(true)
}

// ServeHTTP serves a caller's request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := h.opts.Now()
	if h.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	snap := h.opts.Snapshot()
	req, failure := h.accept(r, snap, arrived)
	if failure == nil {
		failure = h.readBody(w, r, req, snap)
		defer h.held.Add(-int64(len(req.Body)))
	}
	if failure != nil {
		h.refuse(w, r, failure)
		return
	}
	h.serve(r.Context(), w, req)
}

// refuse answers a request that goes no further.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, failure *types.Failure) {
	h.opts.Metrics.refused(failure)
	h.opts.Log.Request(logrus.Fields{
		"method": r.Method, "host": r.Host, "path": r.URL.Path, "code": failure.Code, "reason": failure.Message,
	}, true)
	// What is left of the body must not hold up the answer.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(restOfBodyTime))
	writeFailure(w, "", failure, false)
}

// accept decodes the head of a request and finds its route.
func (h *Handler) accept(r *http.Request, snap *control.Snapshot, arrived time.Time) (*Request, *types.Failure) {
	config := snap.View.Config
	if config == nil {
		return nil, notRun(types.CodeNotReady, "this entry knows no configuration yet", notReadyRetry)
	}
	if failure := checkHead(r, config.Limits); failure != nil {
		return nil, failure
	}
	found := config.Match(hostOf(r.Host), r.URL.Path)
	if found == nil {
		return nil, types.NewFailure(types.NotRun, types.CodeUnknownService, "no route for this host and path")
	}
	header := r.Header
	relay.RemoveHopHeaders(header)
	header.Del(headerForward)
	call, err := h.opts.Dialect.RequestInfo(header)
	if err != nil {
		return nil, types.NewFailure(types.NotRun, types.CodeBadRequest, err.Error())
	}
	req := newRequest(r, call, found)
	req.Service, req.AttemptLimit, req.Arrived = found.ServiceFor(string(call.ID)), max(found.MaxAttempts, 1), arrived
	if service := config.Services[req.Service]; service != nil {
		req.ModelEngine = service.Engine != nil
	}
	req.setDeadline(call.CallerTimeout)
	return req, nil
}

// setDeadline derives the deadlines from what the caller allows and the route's
// timeout.
func (r *Request) setDeadline(allowed time.Duration) {
	r.Deadline = r.Arrived.Add(defaultAllowed)
	if r.Route.Kind == catalog.Streaming {
		r.Deadline = r.Arrived.Add(maxStreamTime)
	}
	if r.Route.Timeout > 0 {
		r.Deadline = r.Arrived.Add(r.Route.Timeout)
	}
	if allowed <= 0 {
		return
	}
	r.CallerDeadline = r.Arrived.Add(allowed)
	if r.CallerDeadline.Before(r.Deadline) {
		r.Deadline = r.CallerDeadline
	}
}

// checkHead refuses heads that no endpoint should see.
func checkHead(r *http.Request, limits catalog.Limits) *types.Failure {
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

// headerBytes is the size of the head as it was sent, to within a few bytes.
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

// hostOf strips the port.
func hostOf(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		return host[:at]
	}
	return host
}

// pathOf returns the path as it was sent.
func pathOf(r *http.Request) string {
	if !strings.HasPrefix(r.RequestURI, "/") {
		return r.URL.EscapedPath()
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// readBody reads the whole body within the limits of size, memory and time.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, req *Request, snap *control.Snapshot) *types.Failure {
	limit := snap.View.Config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength > limit {
		return tooLarge()
	}
	if h.opts.BodyMemory > 0 && h.held.Load()+max(r.ContentLength, 0) > h.opts.BodyMemory {
		return notRun(types.CodeOverloaded, "too many bytes of request bodies are held", notReadyRetry)
	}
	control := http.NewResponseController(w)
	if r.Body != http.NoBody {
		// A server without deadlines is served too.
		_ = control.SetReadDeadline(time.Now().Add(min(maxBodyTime, time.Until(req.Deadline))))
	}
	body, err := readAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if err != nil {
		w.Header().Set("Connection", "close")
		return bodyFailure(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	req.Body = body
	h.held.Add(int64(len(body)))
	return nil
}

// readAll reads to the end; size is the expected length, or negative.
func readAll(source io.Reader, size int64) ([]byte, error) {
	if size == 0 {
		return nil, nil
	}
	const startBytes = 1 << 10
	body := make([]byte, 0, max(size+1, startBytes))
	for {
		n, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
	}
}

func bodyFailure(err error) *types.Failure {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return tooLarge()
	}
	failure := types.NewFailure(types.NotRun, types.CodeBadRequest, "the body could not be read")
	failure.Cause = err
	return failure
}

func tooLarge() *types.Failure {
	return types.NewFailure(types.NotRun, types.CodeTooLarge, "the body is too large")
}

// serve runs an accepted request and writes its answer.
func (h *Handler) serve(ctx context.Context, w http.ResponseWriter, req *Request) {
	snap := h.opts.Snapshot()
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	run := &run{h: h, ctx: ctx, req: req, out: newCaller(w, req.ForwardedBy != "")}
	run.checkSuspect(snap)
	failure := run.loop()
	run.finish(failure)
	if run.out.broken {
		panic(http.ErrAbortHandler)
	}
}
