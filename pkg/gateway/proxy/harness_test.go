package proxy_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/balance/gate"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/gateway/proxy"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestProxy(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "proxy")
}

const patience = 30 * time.Second

// Header fields of the dialect that the tests speak.
const (
	fieldID       = "X-Id"
	fieldSeal     = "X-Seal"
	fieldNotRun   = "X-Not-Run"
	fieldEndpoint = "X-Endpoint"
	fieldAfter    = "X-After"
	fieldAllowed  = "X-Allowed"
	fieldPrefix   = "X-Prefix"
)

type testDialect struct{}

var _ proxy.Dialect = testDialect{}

func (testDialect) RequestInfo(header http.Header) (proxy.RequestInfo, error) {
	call := proxy.RequestInfo{ID: types.RequestID(header.Get(fieldID)), ResumeAfter: header.Get(fieldAfter)}
	if allowed, err := time.ParseDuration(header.Get(fieldAllowed)); err == nil {
		call.CallerTimeout = allowed
	}
	if prefix, err := strconv.ParseUint(header.Get(fieldPrefix), 10, 64); err == nil {
		call.Prefix, call.PrefixTokens, call.PromptTokens = prefix, 13_300, 17_000
	}
	return call, nil
}

func (testDialect) Attempt(header http.Header, attempt proxy.Attempt) {
	header.Set(fieldEndpoint, string(attempt.Endpoint))
	if attempt.ResumeAfter != "" {
		header.Set(fieldAfter, attempt.ResumeAfter)
	}
}

func (testDialect) ResponseInfo(status int, header http.Header) proxy.ResponseInfo {
	misdirected := status == http.StatusMisdirectedRequest
	return proxy.ResponseInfo{
		ID: types.RequestID(header.Get(fieldID)), Signed: header.Get(fieldSeal) != "",
		NotRun: misdirected || header.Get(fieldNotRun) != "", Misdirected: misdirected,
	}
}

func (testDialect) EventID(event []byte) string {
	for line := range strings.Lines(string(event)) {
		if rest, found := strings.CutPrefix(line, "id:"); found {
			return strings.TrimSpace(rest)
		}
	}
	return ""
}

// reports keeps what the proxy reports.
type reports struct {
	mu      sync.Mutex
	crashes int
}

func (r *reports) ReportCrash(request.Fingerprint, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes++
}
func (r *reports) ReportCompletion(request.Fingerprint) {}
func (r *reports) ReportUnreachable(types.VMID, error)  {}
func (r *reports) Request(_ logrus.Fields, _ bool)      {}

// endpoint is a stand-in that counts what reached it.
type endpoint struct {
	server  *httptest.Server
	mu      sync.Mutex
	arrived []*http.Request
	bodies  []string
}

func newEndpoint(answer http.HandlerFunc) *endpoint {
	e := &endpoint{}
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		e.mu.Lock()
		e.arrived, e.bodies = append(e.arrived, r), append(e.bodies, string(body))
		e.mu.Unlock()
		answer(w, r)
	}))
	DeferCleanup(e.server.CloseClientConnections)
	return e
}

func (e *endpoint) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.arrived)
}

func (e *endpoint) address() string {
	return e.server.Listener.Addr().String()
}

// Answers of endpoints.
func sealed(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(fieldID, r.Header.Get(fieldID))
	w.Header().Set(fieldSeal, "s")
}

func answerOK(w http.ResponseWriter, r *http.Request) {
	sealed(w, r)
	_, _ = io.WriteString(w, "answer to "+r.Header.Get(fieldID))
}

func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(fieldNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func fail(w http.ResponseWriter, r *http.Request) {
	sealed(w, r)
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = io.WriteString(w, "failed")
}

// cut closes the connection, after a part of an answer when it has begun.
func cut(w http.ResponseWriter) {
	connection, _, err := w.(http.Hijacker).Hijack()
	Expect(err).NotTo(HaveOccurred())
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

// events streams events with the IDs after the one in the request, and cuts the
// connection after cutAt of them; zero cuts none.
func events(total, cutAt int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		sealed(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		after := 0
		_, _ = fmt.Sscanf(r.Header.Get(fieldAfter), "%d", &after)
		for sent, id := 0, after+1; id <= total; id++ {
			if cutAt > 0 && sent == cutAt {
				_, _ = io.WriteString(w, "id: half an ev")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", id, id)
			_ = http.NewResponseController(w).Flush()
			sent++
		}
	}
}

// world is a proxy before a few endpoints.
type world struct {
	route   *catalog.Route
	limits  catalog.Limits
	suspect map[request.Fingerprint]bool
	ratio   float64
	burst   float64
	region  types.Region
	self    types.VMID
	members []members.Member
	// endpointRegion is where the endpoints are.
	endpointRegion types.Region
	reports        *reports
	// model makes the service one of model engines.
	model bool

	handler *proxy.Handler
	front   *httptest.Server
	peers   *httptest.Server
	snap    *control.Snapshot
	gate    *gate.Gate
}

const service = types.ServiceName("svc")

func newWorld(kind catalog.Kind) *world {
	return &world{
		route: &catalog.Route{
			Name: "r", Host: "a.example", Prefix: "/r/", Kind: kind, MaxAttempts: 2, Timeout: 20 * time.Second, Objective: time.Second,
			Backends: []catalog.Backend{{Service: service, Weight: 1}},
		},
		ratio: 0.2, burst: 20, region: "north", endpointRegion: "north", self: "127.0.0.1:1", reports: &reports{},
	}
}

func (w *world) start(endpoints ...*endpoint) {
	config := &catalog.Config{
		Version: 1, Routes: []*catalog.Route{w.route}, Limits: w.limits,
		Services: map[types.ServiceName]*catalog.Service{service: {Name: service}},
	}
	if w.model {
		config.Services[service].Engine = &catalog.Engine{Slots: 4, CacheTokens: 300_000}
	}
	config.Prepare()
	view := &catalog.View{Config: config, Endpoints: map[types.ServiceName][]catalog.ActiveEndpoint{}, Evacuated: map[types.DataCentre]bool{}}
	for i, one := range endpoints {
		view.Endpoints[service] = append(view.Endpoints[service], catalog.ActiveEndpoint{Endpoint: &catalog.Endpoint{
			ID: types.EndpointID(fmt.Sprintf("e%d", i)), Service: service, Address: one.address(), Region: w.endpointRegion, Slots: 4,
		}})
	}
	w.snap = &control.Snapshot{
		Self: members.Member{VM: w.self, Region: w.region, State: members.Serving}, Members: w.members,
		RegionPeak: 1, View: view, Suspects: w.suspect,
	}
	pool := balance.NewPool(w.region, "", balance.Bounds{})
	w.gate = gate.New(pool, time.Now)
	w.update()
	w.handler = w.newHandler()
	w.front = httptest.NewServer(w.handler)
	w.peers = httptest.NewServer(http.HandlerFunc(w.handler.ServeForwarded))
	DeferCleanup(w.front.CloseClientConnections)
	DeferCleanup(w.peers.CloseClientConnections)
}

func (w *world) newHandler() *proxy.Handler {
	return proxy.New(proxy.Options{
		Snapshot: func() *control.Snapshot { return w.snap }, Gate: w.gate, Dialect: testDialect{}, Reporter: w.reports,
		RetryBudgets: proxy.NewRetryBudgets(w.ratio, w.burst, 0), Log: w.reports, Metrics: proxy.NewMetrics(prometheus.NewRegistry()),
		Now: time.Now, Rand: rand.New(rand.NewPCG(1, 2)),
	})
}

// withoutServers prepares the world for calls of its handler alone.
func (w *world) withoutServers() {
	config := &catalog.Config{Version: 1, Services: map[types.ServiceName]*catalog.Service{service: {Name: service}}}
	config.Prepare()
	w.snap = &control.Snapshot{
		Self: members.Member{VM: w.self, Region: w.region, State: members.Serving}, RegionPeak: 1,
		View: &catalog.View{Config: config, Endpoints: map[types.ServiceName][]catalog.ActiveEndpoint{}},
	}
	w.gate = gate.New(balance.NewPool(w.region, "", balance.Bounds{}), time.Now)
	w.handler = w.newHandler()
}

// forwarded hands the handler a request with an envelope.
func (w *world) forwarded(note, body string) {
	request := httptest.NewRequest("POST", "/r/", strings.NewReader(body))
	request.Header[http.CanonicalHeaderKey("X-Gateway-Forward")] = []string{note}
	request.Header.Set(fieldID, "q")
	w.handler.ServeForwarded(httptest.NewRecorder(), request)
}

// fill takes every place of the region's endpoints, those for waiting requests
// included, until the returned function is called.
func (w *world) fill(e *endpoint) (release func()) {
	ask := balance.RequestInfo{Service: service, Rank: w.route.Rank, Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}
	ctx, cancel := context.WithCancel(context.Background())
	for {
		place, _ := w.gate.Try(ask)
		if place == nil {
			break
		}
	}
	const waiting = 512
	for range waiting {
		go func() { _, _, _ = w.gate.Acquire(ctx, ask) }()
	}
	Eventually(func() int { return w.gate.Loads()[0].Waiting }, patience).Should(Equal(waiting))
	return cancel
}

// update hands the view to the balancer once more.
func (w *world) update() {
	view := *w.snap.View
	w.gate.Update(&view, balance.Membership{Self: w.self, PeakLive: 1})
}

// asMember describes the world as a daemon to another one.
func (w *world) asMember() members.Member {
	return members.Member{VM: types.VMID(w.peers.Listener.Addr().String()), Region: w.region, State: members.Serving}
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (w *world) call(method, path, body string, fields ...string) answer {
	outgoing, err := http.NewRequest(method, w.front.URL+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	outgoing.Host = "a.example"
	outgoing.Header.Set(fieldID, "q1")
	for i := 0; i+1 < len(fields); i += 2 {
		outgoing.Header.Set(fields[i], fields[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(outgoing)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}

// fingerprintOf marks the content of a request without a body as fatal.
func (w *world) fingerprintOf(method, path string) map[request.Fingerprint]bool {
	return map[request.Fingerprint]bool{proxy.Fingerprint(method, path, "", nil): true}
}
