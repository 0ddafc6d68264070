package proxy_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/flamingomount/flamingomount/pkg/bodies"
	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/balance/gate"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/crashes"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/gateway/proxy"
	"github.com/flamingomount/flamingomount/pkg/gateway/quota/exchange"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// TestMain registers the fail handler before any goroutine of a test can use it.
func TestMain(m *testing.M) {
	RegisterFailHandler(Fail)
	os.Exit(m.Run())
}

func TestProxy(t *testing.T) {
	RunSpecs(t, "proxy")
}

const eventuallyTimeout = 30 * time.Second

// Header fields of the dialect that the tests use.
const (
	headerID           = "X-Id"
	headerSignature    = "X-Seal"
	headerNotRun       = "X-Not-Run"
	headerEndpoint     = "X-Endpoint"
	headerFetchFrom    = "X-Test-Fetch-From"
	headerResumeAfter  = "X-After"
	headerTimeout      = "X-Allowed"
	headerPrefix       = "X-Prefix"
	headerLeaving      = "X-Leaving"
	headerBackoff      = "X-Backoff"
	headerParts        = "X-Parts"
	headerCredential   = "X-Credential"
	headerOrganisation = "X-Organisation"
	headerRank         = "X-Rank"
)

type testDialect struct{}

var _ proxy.Dialect = testDialect{}

func (testDialect) RequestInfo(header http.Header) (proxy.RequestInfo, error) {
	info := proxy.RequestInfo{ID: types.RequestID(header.Get(headerID)), ResumeAfter: header.Get(headerResumeAfter)}
	if allowed, err := time.ParseDuration(header.Get(headerTimeout)); err == nil {
		info.CallerTimeout = allowed
	}
	if parts := header.Get(headerParts); parts != "" {
		info.SharedParts = strings.Split(parts, ",")
	}
	if prefix, err := strconv.ParseUint(header.Get(headerPrefix), 10, 64); err == nil {
		info.Prefix, info.PrefixTokens, info.PromptTokens = prefix, 13_300, 17_000
	}
	if credential := header.Get(headerCredential); credential != "" {
		info.Credential = catalog.DigestOf(credential)
	}
	return info, nil
}

func (testDialect) Describe(header http.Header, prompt proxy.Prompt) {
	header.Set(headerID, string(prompt.ID))
	var ids []string
	for _, part := range prompt.Parts {
		ids = append(ids, part.ID)
	}
	if len(ids) > 0 {
		header.Set(headerPrefix, ids[0])
		header.Set(headerParts, strings.Join(ids, ","))
	}
}

func (testDialect) RemoveCaller(header http.Header) {
	header.Del(headerCredential)
	header.Del(headerOrganisation)
}

func (testDialect) Attempt(header http.Header, attempt proxy.Attempt) {
	header.Set(headerEndpoint, string(attempt.Endpoint))
	if attempt.ModelEngine {
		header.Set(headerRank, strconv.Itoa(attempt.Rank))
	}
	if attempt.Organisation != "" {
		header.Set(headerOrganisation, string(attempt.Organisation))
	}
	if attempt.ResumeAfter != "" {
		header.Set(headerResumeAfter, attempt.ResumeAfter)
	}
	if attempt.FetchFrom != "" {
		header.Set(headerFetchFrom, attempt.FetchFrom)
	}
}

func (testDialect) ResponseInfo(status int, header http.Header) proxy.ResponseInfo {
	misdirected := status == http.StatusMisdirectedRequest
	backoff, _ := time.ParseDuration(header.Get(headerBackoff))
	return proxy.ResponseInfo{
		Leaving: header.Get(headerLeaving) != "", Backoff: backoff,
		ID: types.RequestID(header.Get(headerID)), Signed: header.Get(headerSignature) != "",
		NotRun: misdirected || header.Get(headerNotRun) != "", Misdirected: misdirected,
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

// fakeReporter records the answers that broke off and those that got on.
type fakeReporter struct {
	mu      sync.Mutex
	crashes int
	// broken and sound are the traits of the last report of each kind.
	broken, sound crashes.Traits
}

func (r *fakeReporter) ReportBroken(_ types.EndpointID, _ string, traits crashes.Traits) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes++
	r.broken = traits
}

func (r *fakeReporter) ReportSound(traits crashes.Traits) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sound = traits
}

// reported returns the traits of the last answers that broke off and that got on.
func (r *fakeReporter) reported() (broken, sound crashes.Traits) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken, r.sound
}

func (r *fakeReporter) ReportUnreachable(types.VMID, error) {}
func (r *fakeReporter) Request(_ logrus.Fields, _ bool)     {}

// endpoint is a fake endpoint that records the requests that reached it.
type endpoint struct {
	server  *httptest.Server
	mu      sync.Mutex
	arrived []*http.Request
	bodies  []string
}

func newEndpoint(respond http.HandlerFunc) *endpoint {
	e := &endpoint{}
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		e.mu.Lock()
		e.arrived, e.bodies = append(e.arrived, r), append(e.bodies, string(body))
		e.mu.Unlock()
		respond(w, r)
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

// signResponse sets the header fields of a signed response.
func signResponse(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerID, r.Header.Get(headerID))
	w.Header().Set(headerSignature, "s")
}

func respondOK(w http.ResponseWriter, r *http.Request) {
	signResponse(w, r)
	_, _ = io.WriteString(w, "answer to "+r.Header.Get(headerID))
}

func respondNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func respondServerError(w http.ResponseWriter, r *http.Request) {
	signResponse(w, r)
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = io.WriteString(w, "failed")
}

// resetConnection closes the connection with a TCP reset.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	Expect(err).NotTo(HaveOccurred())
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// eventStream streams events whose IDs follow the one in the request, and breaks
// off inside an event after cutAt of them; zero never breaks off.
func eventStream(total, cutAt int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		signResponse(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		after := 0
		_, _ = fmt.Sscanf(r.Header.Get(headerResumeAfter), "%d", &after)
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

// testProxy is a proxy with a few endpoints behind it.
type testProxy struct {
	route  *catalog.Route
	limits catalog.Limits
	// organisations are those of the configuration.
	organisations []*catalog.Organisation
	// quotas limits them; nil means that nothing does.
	quotas *exchange.Exchange
	// bodies is the memory of bodies; nil means no limit.
	bodies *bodies.Pool
	// revocationLimit and configLimit are the options of the same names.
	revocationLimit, configLimit time.Duration
	withheld                     map[crashes.Trait]crashes.Verdict
	retryRatio                   float64
	retryFixed                   float64
	region                       types.Region
	self                         types.VMID
	members                      []members.Member
	// endpointRegion is the region of the endpoints.
	endpointRegion types.Region
	fakeReporter   *fakeReporter
	bounds         balance.Bounds
	// modelEngine makes the service one that runs model engines.
	modelEngine bool
	// predicts makes the configuration call for predictions.
	predicts bool
	// transport sends the attempts; nil means the usual one.
	transport http.RoundTripper

	handler      *proxy.Handler
	callerServer *httptest.Server
	peerServer   *httptest.Server
	snap         *control.Snapshot
	// published replaces snap while requests run.
	published atomic.Pointer[control.Snapshot]
	gate      *gate.Gate
	// taken are the permits of fillSlots.
	taken   []*balance.Permit
	budgets *proxy.RetryBudgets
}

const service = types.ServiceName("svc")

func newTestProxy(kind catalog.Kind) *testProxy {
	return &testProxy{
		route: &catalog.Route{
			Name: "r", Host: "a.example", Prefix: "/r/", Kind: kind, MaxAttempts: 2, Timeout: 20 * time.Second, Objective: time.Second,
			Backends: []catalog.Backend{{Service: service, Weight: 1}},
		},
		retryRatio: 0.2, retryFixed: 20, region: "north", endpointRegion: "north", self: "127.0.0.1:1", fakeReporter: &fakeReporter{},
	}
}

func (w *testProxy) start(endpoints ...*endpoint) {
	config := &catalog.Config{
		Version: 1, Routes: []*catalog.Route{w.route}, Limits: w.limits, Organisations: w.organisations,
		Services: map[types.ServiceName]*catalog.Service{service: {Name: service}},
	}
	if w.modelEngine {
		config.Services[service].Engine = &catalog.Engine{Slots: 4, CacheTokens: 300_000}
	}
	if w.predicts {
		callForPredictions(config)
	}
	config.Prepare()
	view := &catalog.View{Config: config, Endpoints: map[types.ServiceName][]catalog.ActiveEndpoint{}, Evacuated: map[types.DataCentre]bool{}}
	for i, ep := range endpoints {
		view.Endpoints[service] = append(view.Endpoints[service], catalog.ActiveEndpoint{Endpoint: &catalog.Endpoint{
			ID: types.EndpointID(fmt.Sprintf("e%d", i)), Service: service, Address: ep.address(), Region: w.endpointRegion, Slots: 4,
		}})
	}
	w.snap = &control.Snapshot{
		Self: members.Member{VM: w.self, Region: w.region, State: members.Serving}, Members: w.members,
		Peak: members.Peak{DataCentre: 1, Region: 1, Fleet: 1}, View: view, Withheld: w.withheld,
	}
	pool := balance.NewPool(w.region, "", w.bounds)
	w.gate = gate.New(pool, time.Now)
	w.update()
	w.handler = w.newHandler()
	w.callerServer = httptest.NewServer(w.handler)
	w.peerServer = httptest.NewServer(http.HandlerFunc(w.handler.ServeForwarded))
	DeferCleanup(w.callerServer.CloseClientConnections)
	DeferCleanup(w.peerServer.CloseClientConnections)
}

// callForPredictions makes a configuration call for predictions, by routes to another service
// than those of the specs.
func callForPredictions(config *catalog.Config) {
	const chat = types.ServiceName("chat")
	backends := []catalog.Backend{{Service: chat, Weight: 1}}
	config.Services[chat] = &catalog.Service{Name: chat, Engine: &catalog.Engine{}}
	config.Routes = append(config.Routes,
		&catalog.Route{Host: "chat.example", Prefix: "/", Rank: 0, Objective: 500 * time.Millisecond, Timeout: 5 * time.Second, Backends: backends},
		&catalog.Route{Host: "chat.example", Prefix: "/s/", Rank: 1, Objective: time.Second, Timeout: 10 * time.Second, Backends: backends})
}

func (w *testProxy) newHandler() *proxy.Handler {
	return proxy.New(w.options())
}

func (w *testProxy) options() proxy.Options {
	w.budgets = proxy.NewRetryBudgets(w.retryRatio, w.retryFixed, 0, longAgo)
	w.budgets.SetFleetSize(1)
	return proxy.Options{
		Snapshot: w.snapshot, Gate: w.gate, Dialect: testDialect{}, Reporter: w.fakeReporter,
		RetryBudgets: w.budgets, Log: w.fakeReporter, Metrics: proxy.NewMetrics(prometheus.NewRegistry()),
		Now: time.Now, Rand: rand.New(rand.NewPCG(1, 2)), Transport: w.transport,
		Bodies: w.bodies, RevocationLimit: w.revocationLimit, ConfigLimit: w.configLimit, Quotas: w.quotas,
	}
}

// startHandlerOnly sets up the handler without servers and endpoints.
func (w *testProxy) startHandlerOnly() {
	config := &catalog.Config{Version: 1, Services: map[types.ServiceName]*catalog.Service{service: {Name: service}}}
	config.Prepare()
	w.snap = &control.Snapshot{
		Self: members.Member{VM: w.self, Region: w.region, State: members.Serving}, Peak: members.Peak{DataCentre: 1, Region: 1, Fleet: 1},
		View: &catalog.View{Config: config, Endpoints: map[types.ServiceName][]catalog.ActiveEndpoint{}},
	}
	w.gate = gate.New(balance.NewPool(w.region, "", balance.Bounds{}), time.Now)
	w.handler = w.newHandler()
}

// serveForwarded passes the handler a request with an envelope and returns the
// response.
func (w *testProxy) serveForwarded(envelope, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest("POST", "/r/", strings.NewReader(body))
	request.Header[http.CanonicalHeaderKey("X-Gateway-Forward")] = []string{envelope}
	request.Header.Set(headerID, "q")
	recorder := httptest.NewRecorder()
	w.handler.ServeForwarded(recorder, request)
	return recorder
}

// fillQueue takes every slot of the region's endpoints and every place in the
// queue. The waiting requests leave when the returned function is called.
func (w *testProxy) fillQueue(e *endpoint) (release func()) {
	info := w.fillSlots()
	ctx, cancel := context.WithCancel(context.Background())
	const waiting = 512
	for range waiting {
		go func() { _, _, _ = w.gate.Acquire(ctx, info) }()
	}
	Eventually(func() int { return w.gate.Loads()[0].Waiting }, eventuallyTimeout).Should(Equal(waiting))
	return cancel
}

// fillSlots takes every slot of the region's endpoints. It returns the request that
// took them.
func (w *testProxy) fillSlots() balance.RequestInfo {
	info := balance.RequestInfo{Service: service, Rank: w.route.Rank, Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}
	for {
		permit, _ := w.gate.Try(info)
		if permit == nil {
			return info
		}
		w.taken = append(w.taken, permit)
	}
}

// releaseSlot gives back a slot that fillSlots took.
func (w *testProxy) releaseSlot() {
	permit := w.taken[0]
	w.taken = w.taken[1:]
	w.gate.Done(permit, balance.Abandoned)
}

// addEndpoint adds an endpoint of a region to those that a started proxy knows.
func (w *testProxy) addEndpoint(id types.EndpointID, e *endpoint, region types.Region) {
	w.snap.View.Endpoints[service] = append(w.snap.View.Endpoints[service], catalog.ActiveEndpoint{Endpoint: &catalog.Endpoint{
		ID: id, Service: service, Address: e.address(), Region: region, Slots: 4,
	}})
	w.update()
}

// update passes the view to the balancer again.
func (w *testProxy) update() {
	view := *w.snap.View
	w.gate.Update(&view, balance.Membership{Self: w.self, PeakLive: 1})
}

// moveSouth puts the proxy into another region than that of newTestProxy, with other
// daemons that it knows.
func (w *testProxy) moveSouth(others ...members.Member) {
	w.region, w.self, w.members = "south", "127.0.0.1:2", others
}

// northDaemon describes a server as a daemon of the region of newTestProxy.
func northDaemon(server *httptest.Server) members.Member {
	return members.Member{VM: types.VMID(server.Listener.Addr().String()), Region: "north", State: members.Serving}
}

// asMember describes the proxy as another daemon's member list has it.
func (w *testProxy) asMember() members.Member {
	return members.Member{VM: types.VMID(w.peerServer.Listener.Addr().String()), Region: w.region, State: members.Serving}
}

// callerResponse is the response that a caller received.
type callerResponse struct {
	status int
	header http.Header
	body   string
	err    error
}

func (w *testProxy) call(method, path, body string, fields ...string) callerResponse {
	outgoing, err := http.NewRequest(method, w.callerServer.URL+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	outgoing.Host = "a.example"
	outgoing.Header.Set(headerID, "q1")
	for i := 0; i+1 < len(fields); i += 2 {
		outgoing.Header.Set(fields[i], fields[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(outgoing)
	if err != nil {
		return callerResponse{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return callerResponse{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}

// withhold makes the traits withheld until a time.
func (w *testProxy) withhold(retryAt time.Time, traits ...crashes.Trait) {
	snap := *w.snapshot()
	snap.Withheld = make(map[crashes.Trait]crashes.Verdict)
	for _, trait := range traits {
		snap.Withheld[trait] = crashes.Verdict{Crashes: 3, RetryAt: retryAt}
	}
	w.published.Store(&snap)
}

// withholdTogether makes two traits withheld until a time, each only with the other.
func (w *testProxy) withholdTogether(retryAt time.Time, a, b crashes.Trait) {
	w.withhold(retryAt, a, b)
	verdicts := w.snapshot().Withheld
	for trait, other := range map[crashes.Trait]crashes.Trait{a: b, b: a} {
		verdict := verdicts[trait]
		verdict.With = crashes.Traits{other}
		verdicts[trait] = verdict
	}
}

// snapshot returns the newest snapshot.
func (w *testProxy) snapshot() *control.Snapshot {
	if published := w.published.Load(); published != nil {
		return published
	}
	return w.snap
}

// close ends the proxy's servers, for specs that start many.
func (w *testProxy) close() {
	w.callerServer.CloseClientConnections()
	w.peerServer.CloseClientConnections()
}
