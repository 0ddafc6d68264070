package ingress

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/flamingomount/flamingomount/pkg/control/once"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/relay"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// retryWhenNotReady is the advice to callers of a daemon that has no
// configuration yet or has just been paused.
const retryWhenNotReady = time.Second

// Server is the HTTP handler for callers. It is safe for concurrent use.
type Server struct {
	opts     Options
	router   *httprouter.Router
	requests budget
	memory   budget
}

var _ http.Handler = (*Server)(nil)

// New returns a server.
func New(opts Options) *Server {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	opts.Limits = opts.Limits.WithDefaults()
	s := &Server{
		opts:     opts,
		requests: budget{limit: opts.Limits.MaxRequests},
		memory:   budget{limit: opts.Limits.MaxBodyMemory},
	}
	s.router = s.routes()
	return s
}

func (s *Server) routes() *httprouter.Router {
	router := httprouter.New()
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.HandleOPTIONS = false
	router.NotFound = s.refuseWith(types.CodeUnknownService, http.StatusNotFound, "no such path")
	router.MethodNotAllowed = s.refuseWith(types.CodeBadRequest, http.StatusMethodNotAllowed, "the method is not allowed here")
	router.POST("/v1/chat/completions", s.handle(s.model))
	router.POST("/v1/completions", s.handle(s.model))
	router.GET("/v1/models", s.handle(s.models))
	router.GET("/v1/entries", s.handle(s.entries))
	for _, method := range []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"} {
		router.Handle(method, "/v1/services/:service/*path", s.handle(s.plain))
	}
	return router
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// call is one HTTP request of an identified caller.
type call struct {
	w       http.ResponseWriter
	r       *http.Request
	params  httprouter.Params
	id      types.RequestID
	arrived time.Time
	view    *snapshot.Snapshot
	who     identity
	// service is set as soon as it is known; for logs.
	service types.ServiceName
	// held is the number of body bytes reserved.
	held int64
}

// step handles an identified call and returns a failure that is still to be
// written.
type step func(c *call) *types.Failure

// handle identifies the caller before anything else happens.
func (s *Server) handle(next step) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		c := &call{w: w, r: r, params: params, id: s.newRequestID(), arrived: s.opts.Now(), view: s.opts.Snapshot()}
		if !s.requests.take(1) {
			s.refuse(c, overloaded("too many requests are handled at once"))
			return
		}
		defer s.requests.release(1)
		defer func() { s.memory.release(c.held) }()
		failure := s.identify(c)
		if failure == nil {
			failure = next(c)
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
	failure.RetryAfter = retryWhenNotReady
	return failure
}

func (s *Server) identify(c *call) *types.Failure {
	if c.view.Config == nil || c.view.Paused {
		failure := types.NewFailure(types.NotRun, types.CodeNotReady, c.view.NotReady())
		failure.RetryAfter = retryWhenNotReady
		return failure
	}
	who, failure := identify(c.r.Header, c.view.Config)
	c.who = who
	return failure
}

// refuse answers a call that goes no further. The body, if any, stays unread.
func (s *Server) refuse(c *call, failure *types.Failure) {
	key, ticket := c.r.Header.Get(types.HeaderIdempotencyKey), c.r.Header.Get(types.HeaderTicket)
	failure = once.DowngradeNotRun(key, ticket, failure)
	if s.opts.Observer != nil {
		s.opts.Observer.Refused(c.id, c.service, failure)
	}
	relay.WriteFailure(c.w, c.id, failure)
}

func (s *Server) refuseWith(code types.Code, status int, message string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		failure := types.NewFailure(types.NotRun, code, message)
		failure.Status = status
		relay.WriteFailure(w, s.newRequestID(), failure)
	})
}

// model handles a call of a model service.
func (s *Server) model(c *call) *types.Failure {
	named := types.ServiceName(c.r.Header.Get(types.HeaderService))
	c.service = named
	if failure := checkModelRegions(named, c.who, c.view); failure != nil {
		return failure
	}
	allowed, failure := s.checkHead(c)
	if failure != nil {
		return failure
	}
	data, failure := s.receive(c, s.modelBodyLimit(c))
	if failure != nil {
		return failure
	}
	body, failure := parseModelBody(data)
	if failure != nil {
		return failure
	}
	service, failure := s.chosenModel(c, named, body.Model)
	if failure != nil {
		return failure
	}
	req, failure := s.request(c, service, allowed)
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
	s.next(c, req, data)
	return nil
}

// chosenModel checks the model that the body names.
func (s *Server) chosenModel(c *call, named, model types.ServiceName) (*published.Service, *types.Failure) {
	if named != "" && named != model {
		return nil, badRequest("the header " + types.HeaderService + " and the body name different models")
	}
	c.service = model
	service, failure := c.who.service(model, published.KindModel, c.view.Config)
	if failure != nil {
		return nil, failure
	}
	return service, checkRegion(service, c.who, c.view)
}

// modelBodyLimit is the largest bound of the caller's model services, since
// the body itself names the model.
func (s *Server) modelBodyLimit(c *call) int64 {
	var limit int64
	for _, service := range c.who.modelServices(c.view.Config) {
		limit = max(limit, service.MaxBodyBytes)
	}
	return orDefault(limit, s.opts.Limits.MaxBodyBytes)
}

// plain handles a call of a plain service.
func (s *Server) plain(c *call) *types.Failure {
	c.service = types.ServiceName(c.params.ByName("service"))
	service, failure := c.who.service(c.service, published.KindPlain, c.view.Config)
	if failure != nil {
		return failure
	}
	if failure := checkRegion(service, c.who, c.view); failure != nil {
		return failure
	}
	callPath := c.params.ByName("path")
	if failure := checkPath(c.r, callPath); failure != nil {
		return failure
	}
	key := c.r.Header.Get(types.HeaderIdempotencyKey)
	if failure := checkKey(key); failure != nil {
		return failure
	}
	allowed, failure := s.checkHead(c)
	if failure != nil {
		return failure
	}
	data, failure := s.receive(c, orDefault(service.MaxBodyBytes, s.opts.Limits.MaxBodyBytes))
	if failure != nil {
		return failure
	}
	req, failure := s.request(c, service, allowed)
	if failure != nil {
		return failure
	}
	req.Repeatable = repeatable(service, c.r.Method, callPath)
	req.Key = key
	req.Ticket = c.r.Header.Get(types.HeaderTicket)
	s.next(c, req, data)
	return nil
}

// checkHead checks rank and deadline before the body is read.
func (s *Server) checkHead(c *call) (time.Duration, *types.Failure) {
	if failure := checkRankHeader(c.r.Header); failure != nil {
		return 0, failure
	}
	return timeAllowed(c.r.Header, s.opts.Limits.MaxDeadline)
}

// receive reads the body within the limits of memory and time.
func (s *Server) receive(c *call, limit int64) ([]byte, *types.Failure) {
	size := limit
	if c.r.ContentLength >= 0 {
		size = c.r.ContentLength
	}
	if size > limit {
		return nil, tooLarge(limit)
	}
	if !s.memory.take(size) {
		return nil, overloaded("too many bytes of request bodies are held at once")
	}
	c.held = size
	return readBody(c.w, c.r, limit, s.opts.Limits.BodyTimeout)
}

// request builds the value that passes through the later stages.
func (s *Server) request(c *call, service *published.Service, allowed time.Duration) (*request.Request, *types.Failure) {
	rank, failure := rankOf(c.r.Header, service, c.who.credential)
	if failure != nil {
		return nil, failure
	}
	if allowed == 0 {
		allowed = orDefault(service.Deadlines[rank], s.opts.Limits.Deadline)
	}
	return &request.Request{
		ID:       c.id,
		Service:  service,
		Org:      c.who.org,
		Rank:     rank,
		Arrived:  c.arrived,
		Deadline: c.arrived.Add(allowed),
		Floor:    c.view.Config.Revision,

		CallerKey: c.callerKey(),

		Method:  c.r.Method,
		URLPath: c.r.URL.Path,
		Query:   c.r.URL.RawQuery,
		Header:  request.Header(c.r.Header),
	}, nil
}

// next hands the request to the next stage. An answer that broke off aborts the
// connection, so that the caller does not see a clean end.
func (s *Server) next(c *call, req *request.Request, body []byte) {
	req.Body = body
	if s.opts.Fingerprints != nil {
		req.Fingerprint = s.opts.Fingerprints.Of(req.Service.Name, req.Method, req.URLPath, body)
	}
	caller := relay.NewCaller(c.w, c.id, s.opts.RelayLimits)
	s.opts.Next.Handle(c.r.Context(), req, caller)
	if caller.Broken() {
		panic(http.ErrAbortHandler)
	}
}

// modelList is the answer of GET /v1/models.
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

// models lists the model services that the caller may use.
func (s *Server) models(c *call) *types.Failure {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, service := range c.who.modelServices(c.view.Config) {
		list.Data = append(list.Data, modelItem{ID: service.Name, Object: "model", OwnedBy: service.Team})
	}
	writeJSON(c.w, list)
	return nil
}

// entries tells the caller which entries to use.
func (s *Server) entries(c *call) *types.Failure {
	var chosen *published.Service
	if name := types.ServiceName(c.r.URL.Query().Get("service")); name != "" {
		service, known := c.view.Config.Services[name]
		if !known || !c.who.mayUse(name) {
			return types.NewFailure(types.NotRun, types.CodeForbidden, "the credential is not for this service")
		}
		chosen = service
	}
	writeJSON(c.w, s.entriesAnswer(c, chosen))
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
