package admin

import (
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/flamingomount/flamingomount/pkg/bodies"
	"github.com/flamingomount/flamingomount/pkg/burn"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
	"github.com/flamingomount/flamingomount/pkg/usage"
)

// maxBundleBytes bounds the body of a validation.
const maxBundleBytes = 64 << 20

// Sources is where the API reads from. Every function must be set and safe for
// concurrent use.
type Sources struct {
	Snapshot func() *snapshot.Snapshot
	// Status returns everything but the parts that the snapshot holds.
	Status func() Status
	Queues func() Queues
	Orders func() Orders
	// Explain routes a made-up request with a trace.
	Explain func(*request.Request) (route.Decision, *types.Failure)
	// Validate checks a bundle against this build, the keys that the daemon
	// accepts and the revision in force.
	Validate func(values map[string][]byte) Validation
	Usage    func(team types.TeamName) []usage.Line
	Burn     func() (burn.DaemonReport, error)
	// Metrics serves the Prometheus scrape.
	Metrics http.Handler
	// Now reads the clock.
	Now func() time.Time
}

// Options configures the API.
type Options struct {
	// OperatorHash is the hash of a credential that acts as an operator even
	// when no configuration is in force; empty means none.
	OperatorHash published.CredentialHash
	// Bodies is the memory of bundles that are validated; nil means no limit.
	Bodies *bodies.Pool
	// BodyTimeout is the longest time to receive a bundle; zero means DefaultBodyTimeout.
	BodyTimeout time.Duration
}

// DefaultBodyTimeout is the longest time to receive a bundle unless Options say another.
const DefaultBodyTimeout = 30 * time.Second

// API serves the administration API.
type API struct {
	sources Sources
	opts    Options
	router  *httprouter.Router
}

var _ http.Handler = (*API)(nil)

// New returns the API over the sources.
func New(sources Sources, opts Options) *API {
	if opts.BodyTimeout == 0 {
		opts.BodyTimeout = DefaultBodyTimeout
	}
	api := &API{sources: sources, opts: opts, router: httprouter.New()}
	for _, op := range operations {
		api.router.Handle(op.Method, op.Path, api.authenticated(op))
	}
	api.router.GET("/healthz", api.serveHealth)
	api.router.GET("/readyz", api.serveReady)
	api.router.Handler(http.MethodGet, "/metrics", sources.Metrics)
	return api
}

// ServeHTTP serves one call.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.router.ServeHTTP(w, r)
}

// authenticated finds out who asks before the operation runs.
func (a *API) authenticated(op operation) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		who := a.identify(r)
		if who == nil {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeProblem(w, types.CodeUnauthenticated, "an administrator's credential is needed")
			return
		}
		if op.OperatorOnly && who.Role != published.RoleOperator {
			writeProblem(w, types.CodeForbidden, "this call is for operators")
			return
		}
		answer, problem := op.answer(a, who, w, r)
		if problem != nil {
			writeProblem(w, problem.Code, problem.Message)
			return
		}
		writeJSON(w, http.StatusOK, answer)
	}
}

func (a *API) identify(r *http.Request) *published.Administrator {
	credential, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return nil
	}
	hash := published.HashCredential(credential)
	if a.opts.OperatorHash != "" && subtle.ConstantTimeCompare([]byte(hash), []byte(a.opts.OperatorHash)) == 1 {
		return &published.Administrator{Name: "local operator", Role: published.RoleOperator}
	}
	config := a.sources.Snapshot().Config
	if config == nil {
		return nil
	}
	return config.Administrators[hash]
}

// serveHealth answers 200 while the process can answer at all.
func (a *API) serveHealth(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	_, _ = io.WriteString(w, "ok\n")
}

// serveReady answers 200 while the daemon takes requests.
func (a *API) serveReady(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	status := a.sources.Status()
	if status.Ready {
		_, _ = io.WriteString(w, "ready\n")
		return
	}
	http.Error(w, status.NotReady, http.StatusServiceUnavailable)
}

func writeProblem(w http.ResponseWriter, code types.Code, message string) {
	writeJSON(w, types.StatusOf(code), Problem{Code: code, Message: message})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
