package ingress

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/flamingomount/flamingomount/pkg/bodies"
	"github.com/flamingomount/flamingomount/pkg/control/once"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/reserve"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/relay"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// defaultRetryAfter is the retry delay sent to callers if the daemon has no
// configuration yet, has just been paused or is overloaded.
const defaultRetryAfter = time.Second

// Server is the HTTP handler for callers. It is safe for concurrent use.
type Server struct {
	opts     Options
	router   *httprouter.Router
	requests *reserve.Budget
}

var _ http.Handler = (*Server)(nil)

// New returns a Server with defaults applied to the limits and the clock.
func New(opts Options) *Server {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	opts.Limits = opts.Limits.WithDefaults()
	s := &Server{opts: opts, requests: reserve.NewBudget(opts.Limits.MaxRequests)}
	s.router = s.routes()
	return s
}

func (s *Server) routes() *httprouter.Router {
	router := httprouter.New()
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.HandleOPTIONS = false
	router.NotFound = s.failureHandler(types.CodeUnknownService, http.StatusNotFound, "no such path")
	router.MethodNotAllowed = s.failureHandler(types.CodeBadRequest, http.StatusMethodNotAllowed, "the method is not allowed here")
	router.POST("/v1/chat/completions", s.authenticated(s.handleModel))
	router.POST("/v1/completions", s.authenticated(s.handleModel))
	router.GET("/v1/models", s.authenticated(s.listModels))
	router.GET("/v1/entries", s.authenticated(s.handleEntries))
	for _, method := range []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"} {
		router.Handle(method, "/v1/services/:service/*path", s.authenticated(s.handlePlain))
	}
	return router
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// call is the state of one HTTP request while ingress handles it.
type call struct {
	w       http.ResponseWriter
	r       *http.Request
	params  httprouter.Params
	id      types.RequestID
	arrived time.Time
	view    *snapshot.Snapshot
	caller  identity
	// service is the requested service, for the Observer. It is set as soon as
	// the request names one, before it is checked.
	service types.ServiceName
	// body holds the memory of the call's body; nil until that was received.
	body *bodies.Body
}

// callHandler handles the call of an authenticated caller. The failure that it
// returns, if any, has not been written to the caller yet.
type callHandler func(c *call) *types.Failure

// authenticated wraps a handler: it enforces the limit on requests in flight,
// authenticates the caller before the handler runs, and writes the failure if
// either refuses the request.
func (s *Server) authenticated(handler callHandler) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		c := &call{w: w, r: r, params: params, id: s.newRequestID(), arrived: s.opts.Now(), view: s.opts.Snapshot()}
		if !s.requests.TryReserve(1) {
			s.refuse(c, overloaded("too many requests are handled at once"))
			return
		}
		defer s.requests.Release(1)
		defer func() { c.body.Release() }()
		failure := s.identify(c)
		if failure == nil {
			failure = handler(c)
		}
		if failure != nil {
			s.refuse(c, failure)
		}
	}
}

func (s *Server) newRequestID() types.RequestID {
	const base = 36
	return types.RequestID("req-" + strconv.FormatUint(s.opts.Rand.Uint64(), base) + strconv.FormatUint(s.opts.Rand.Uint64(), base))
}

func overloaded(message string) *types.Failure {
	failure := types.NewFailure(types.NotRun, types.CodeOverloaded, message)
	failure.RetryAfter = defaultRetryAfter
	return failure
}

func (s *Server) identify(c *call) *types.Failure {
	if c.view.Config == nil || c.view.Paused {
		failure := types.NewFailure(types.NotRun, types.CodeNotReady, c.view.NotReady())
		failure.RetryAfter = defaultRetryAfter
		return failure
	}
	caller, failure := identify(c.r.Header, c.view.Config)
	c.caller = caller
	return failure
}

// refuse reports the failure to the observer and writes it to the caller. It
// does not read the request body.
func (s *Server) refuse(c *call, failure *types.Failure) {
	key, ticket := c.r.Header.Get(types.HeaderIdempotencyKey), c.r.Header.Get(types.HeaderTicket)
	failure = once.DowngradeNotRun(key, ticket, failure)
	if s.opts.Observer != nil {
		s.opts.Observer.RequestRefused(c.id, c.service, failure)
	}
	relay.WriteFailure(c.w, c.id, failure)
}

func (s *Server) failureHandler(code types.Code, status int, message string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		failure := types.NewFailure(types.NotRun, code, message)
		failure.Status = status
		relay.WriteFailure(w, s.newRequestID(), failure)
	})
}

// handleModel handles a request to a model service.
func (s *Server) handleModel(c *call) *types.Failure {
	headerService := types.ServiceName(c.r.Header.Get(types.HeaderService))
	c.service = headerService
	if failure := checkModelRegions(headerService, c.caller, c.view); failure != nil {
		return failure
	}
	timeout, failure := s.checkHeaders(c)
	if failure != nil {
		return failure
	}
	data, failure := s.receiveBody(c, s.modelBodyLimit(c))
	if failure != nil {
		return failure
	}
	if err := c.body.ReserveDecoded(); err != nil {
		return overloaded(err.Error())
	}
	body, failure := parseModelBody(data)
	if failure != nil {
		return failure
	}
	service, failure := s.resolveModel(c, headerService, body.Model)
	if failure != nil {
		return failure
	}
	req, failure := s.request(c, service, timeout)
	if failure != nil {
		return failure
	}
	prompt := body.prompt()
	req.Repeatable = true
	req.Streamed = body.Stream
	req.Version = types.ModelVersion(body.Version)
	req.Prefix = request.PrefixHashes(prompt)
	req.InputTokens = len(prompt) / bytesPerToken
	req.OutputTokens = body.outputTokens()
	s.callNextStage(c, req, data)
	return nil
}

// resolveModel returns the service of the model that the body names. It fails
// if the header names another one, or if the caller may not use the service at
// all or not in the local region.
func (s *Server) resolveModel(c *call, headerService, model types.ServiceName) (*published.Service, *types.Failure) {
	if headerService != "" && headerService != model {
		return nil, badRequest("the header " + types.HeaderService + " and the body name different models")
	}
	c.service = model
	service, failure := c.caller.service(model, published.KindModel, c.view.Config)
	if failure != nil {
		return nil, failure
	}
	return service, checkRegion(service, c.caller, c.view)
}

// modelBodyLimit returns the largest body limit in bytes of the caller's model
// services. The limit of the requested service is not known before the body is
// read, since the body names the model.
func (s *Server) modelBodyLimit(c *call) int64 {
	var limit int64
	for _, service := range c.caller.modelServices(c.view.Config) {
		limit = max(limit, service.MaxBodyBytes)
	}
	return orDefault(limit, s.opts.Limits.MaxBodyBytes)
}

// handlePlain handles a request to a plain service.
func (s *Server) handlePlain(c *call) *types.Failure {
	c.service = types.ServiceName(c.params.ByName("service"))
	service, failure := c.caller.service(c.service, published.KindPlain, c.view.Config)
	if failure != nil {
		return failure
	}
	if failure := checkRegion(service, c.caller, c.view); failure != nil {
		return failure
	}
	callPath := c.params.ByName("path")
	if failure := checkPath(c.r, callPath); failure != nil {
		return failure
	}
	key := c.r.Header.Get(types.HeaderIdempotencyKey)
	if failure := checkIdempotencyKey(key); failure != nil {
		return failure
	}
	timeout, failure := s.checkHeaders(c)
	if failure != nil {
		return failure
	}
	data, failure := s.receiveBody(c, orDefault(service.MaxBodyBytes, s.opts.Limits.MaxBodyBytes))
	if failure != nil {
		return failure
	}
	req, failure := s.request(c, service, timeout)
	if failure != nil {
		return failure
	}
	req.Repeatable = repeatable(service, c.r.Method, callPath)
	req.Key = key
	req.Ticket = c.r.Header.Get(types.HeaderTicket)
	s.callNextStage(c, req, data)
	return nil
}

// checkHeaders checks the rank and deadline headers before the body is read, and
// returns the caller's timeout.
func (s *Server) checkHeaders(c *call) (time.Duration, *types.Failure) {
	if failure := checkRankHeader(c.r.Header); failure != nil {
		return 0, failure
	}
	return callerTimeout(c.r.Header, s.opts.Limits.MaxDeadline)
}

// receiveBody reads the body within the limits of size, memory and time.
func (s *Server) receiveBody(c *call, limit int64) ([]byte, *types.Failure) {
	body, err := s.opts.Bodies.Receive(c.w, c.r, bodies.Limits{Bytes: limit, Timeout: s.opts.Limits.BodyTimeout})
	if err != nil {
		return nil, bodyFailure(err, limit)
	}
	c.body = body
	return body.Bytes(), nil
}

// request builds the request that is passed to the later stages.
func (s *Server) request(c *call, service *published.Service, timeout time.Duration) (*request.Request, *types.Failure) {
	rank, failure := effectiveRank(c.r.Header, service, c.caller.credential)
	if failure != nil {
		return nil, failure
	}
	if timeout == 0 {
		timeout = orDefault(service.Deadlines[rank], s.opts.Limits.Deadline)
	}
	return &request.Request{
		ID:       c.id,
		Service:  service,
		Org:      c.caller.org,
		Rank:     rank,
		Arrived:  c.arrived,
		Deadline: c.arrived.Add(timeout),
		Floor:    c.view.Config.Revision,

		CallerKey: c.callerKey(),

		Method:  c.r.Method,
		URLPath: c.r.URL.Path,
		Query:   c.r.URL.RawQuery,
		Header:  request.Header(c.r.Header),
	}, nil
}

// callNextStage passes the request to the next stage. If the response can't be
// completed, it aborts the connection, so that the caller does not take the
// truncated response for a complete one.
func (s *Server) callNextStage(c *call, req *request.Request, body []byte) {
	req.Body, req.HoldBody = body, c.body.Hold
	if s.opts.Fingerprints != nil {
		req.Fingerprint = s.opts.Fingerprints.Of(req.Service.Name, req.Method, req.URLPath, body)
	}
	caller := relay.NewCaller(c.w, c.id, s.opts.RelayLimits)
	s.opts.Next.Handle(c.r.Context(), req, caller)
	if caller.Broken() {
		panic(http.ErrAbortHandler)
	}
}

// modelList is the response body of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      types.ServiceName `json:"id"`
	Object  string            `json:"object"`
	Created int64             `json:"created"`
	OwnedBy types.TeamName    `json:"owned_by"`
}

// listModels handles GET /v1/models: it lists the model services that the
// caller may use.
func (s *Server) listModels(c *call) *types.Failure {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, service := range c.caller.modelServices(c.view.Config) {
		list.Data = append(list.Data, modelItem{ID: service.Name, Object: "model", OwnedBy: service.Team})
	}
	writeJSON(c.w, list)
	return nil
}

// handleEntries handles GET /v1/entries: it lists the entries that the caller
// may use, optionally for one service.
func (s *Server) handleEntries(c *call) *types.Failure {
	var requested *published.Service
	if name := types.ServiceName(c.r.URL.Query().Get("service")); name != "" {
		service, found := c.view.Config.Services[name]
		if !found || !c.caller.mayUse(name) {
			return types.NewFailure(types.NotRun, types.CodeForbidden, "the credential is not for this service")
		}
		requested = service
	}
	writeJSON(c.w, s.entriesResponse(c, requested))
	return nil
}

func writeJSON(w http.ResponseWriter, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		relay.WriteFailure(w, "", types.AsFailure(err))
		return
	}
	relay.ExtendWriteDeadline(w, relay.DefaultWriteTimeout)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
