package proxy_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// budgetFixed is the fixed number of retries of the proxies in these tests; the
// ratio is zero.
const budgetFixed = 5

// shortObjective keeps requests that find no endpoint from waiting.
const shortObjective = 20 * time.Millisecond

// callers is the number of requests that these tests send.
const callers = 30

// startBudgeted starts a proxy in front of endpoints with a budget of budgetFixed
// retries and an attempt limit that does not bind.
func startBudgeted(kind catalog.Kind, endpoints ...*endpoint) *testProxy {
	w := newTestProxy(kind)
	w.retryRatio, w.retryFixed, w.route.MaxAttempts, w.route.Objective = 0, budgetFixed, 9, shortObjective
	w.start(endpoints...)
	return w
}

// startBudgetedBehindHop is startBudgeted with the endpoints in another region.
func startBudgetedBehindHop(kind catalog.Kind, endpoints ...*endpoint) *testProxy {
	north := newTestProxy(kind)
	north.start(endpoints...)
	south := newTestProxy(kind)
	south.retryRatio, south.retryFixed, south.route.MaxAttempts, south.route.Objective = 0, budgetFixed, 9, shortObjective
	south.moveSouth(north.asMember())
	south.start(endpoints...)
	return south
}

func callMany(w *testProxy, method, body string) {
	for i := range callers {
		w.call(method, fmt.Sprintf("/r/%d", i), body, headerID, fmt.Sprintf("q%d", i))
		time.Sleep(time.Millisecond)
	}
}

func arrivals(endpoints []*endpoint) int {
	total := 0
	for _, e := range endpoints {
		total += e.count()
	}
	return total
}

func newEndpoints(count int, respond http.HandlerFunc) []*endpoint {
	var endpoints []*endpoint
	for range count {
		endpoints = append(endpoints, newEndpoint(respond))
	}
	return endpoints
}

func respondMisdirected(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusMisdirectedRequest)
}

var _ = Describe("The retry budget", func() {
	DescribeTable("bounds the arrivals at endpoints that refuse",
		func(start func(catalog.Kind, ...*endpoint) *testProxy, respond http.HandlerFunc) {
			endpoints := newEndpoints(4, respond)
			callMany(start(catalog.Idempotent, endpoints...), "GET", "")
			Expect(arrivals(endpoints)).To(BeNumerically("<=", callers+budgetFixed))
		},
		Entry("in the local region", startBudgeted, http.HandlerFunc(respondNotRun)),
		Entry("by way of another daemon", startBudgetedBehindHop, http.HandlerFunc(respondNotRun)),
		Entry("as misdirected, in the local region", startBudgeted, http.HandlerFunc(respondMisdirected)),
		Entry("as misdirected, by way of another daemon", startBudgetedBehindHop, http.HandlerFunc(respondMisdirected)),
	)

	It("bounds the arrivals at endpoints that read a request on a kept connection and reset it", func() {
		respond := func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodHead {
				signResponse(w, r)
				return
			}
			resetConnection(w)
		}
		endpoints := newEndpoints(1, respond)
		w := startBudgeted(catalog.Idempotent, endpoints...)
		w.call("HEAD", "/r/", "")
		for i := range callers {
			w.call("GET", "/r/", "", headerID, fmt.Sprintf("q%d", i))
			w.call("HEAD", "/r/", "", headerID, fmt.Sprintf("h%d", i))
		}
		Expect(arrivals(endpoints)).To(BeNumerically("<=", 1+2*callers+budgetFixed))
	})

	It("counts an endpoint's refusal by way of another daemon towards the attempt limit", func() {
		endpoints := newEndpoints(4, respondNotRun)
		south := startBudgetedBehindHop(catalog.Idempotent, endpoints...)
		south.route.MaxAttempts = 1
		south.call("GET", "/r/", "")
		Expect(arrivals(endpoints)).To(Equal(1))
	})

	It("is not spent on refusals of daemons that sent the request to no endpoint", func() {
		north := newTestProxy(catalog.NonIdempotent)
		north.start(newEndpoint(respondOK))
		refused := map[string]bool{}
		daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if id := r.Header.Get(headerID); !refused[id] {
				refused[id] = true
				w.Header().Set("X-Gateway-Failure", string(types.CodeOverloaded))
				w.Header().Set("X-Gateway-Verdict", types.NotRun.String())
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			north.handler.ServeForwarded(w, r)
		}))
		DeferCleanup(daemon.CloseClientConnections)
		south := newTestProxy(catalog.NonIdempotent)
		south.retryRatio, south.retryFixed = 0, 0
		south.moveSouth(northDaemon(daemon))
		south.start(newEndpoint(respondOK))
		for i := range 4 {
			Expect(south.call("POST", "/r/", "x", headerID, fmt.Sprintf("q%d", i)).status).To(Equal(200))
		}
	})

	DescribeTable("counts what another daemon says of its attempts",
		func(endpoint, arrivals string, attempts int) {
			received := 0
			daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				received++
				w.Header().Set("X-Gateway-Failure", string(types.CodeOverloaded))
				w.Header().Set("X-Gateway-Verdict", types.NotRun.String())
				for name, value := range map[string]string{"X-Gateway-Endpoint": endpoint, "X-Gateway-Arrivals": arrivals} {
					if value != "" {
						w.Header().Set(name, value)
					}
				}
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			DeferCleanup(daemon.CloseClientConnections)
			south := newTestProxy(catalog.Idempotent)
			south.route.MaxAttempts = 1
			south.moveSouth(northDaemon(daemon))
			south.start(newEndpoint(respondOK))
			Expect(south.call("GET", "/r/", "").status).To(Equal(503))
			Expect(received).To(Equal(attempts))
		},
		Entry("an endpoint refused the request", "e1", "1", 1),
		Entry("no connection to the endpoint was obtained", "e1", "0", 2),
		Entry("an older daemon names an endpoint only", "e1", "", 1),
		Entry("an older daemon refused it without an endpoint", "", "", 2),
		Entry("a value that is no number", "e1", "many", 1),
	)

	It("is not spent on retries that find no endpoint", func() {
		endpoints := newEndpoints(1, respondNotRun)
		w := startBudgeted(catalog.Idempotent, endpoints...)
		callMany(w, "GET", "")
		Expect(spendAll(w.budgets, service, time.Now())).To(Equal(budgetFixed - 1))
	})

	It("is charged once for attempts that reach no endpoint before one that does", func() {
		endpoints := newEndpoints(4, respondNotRun)
		w := startBudgeted(catalog.Idempotent, endpoints...)
		endpoints[1].server.Listener.Close()
		endpoints[2].server.Listener.Close()
		w.call("GET", "/r/", "")
		spent := budgetFixed - 1 - spendAll(w.budgets, service, time.Now())
		Expect(spent).To(Equal(max(arrivals(endpoints)-1, 0)))
	})

	It("does not let a forwarded retry wait longer than the time for which it is charged", func() {
		busy := newEndpoint(respondOK)
		w := newTestProxy(catalog.Idempotent)
		w.start(busy)
		for {
			if permit, _ := w.gate.Try(balance.RequestInfo{Service: service, Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}); permit == nil {
				break
			}
		}
		envelope := `{"from":"127.0.0.1:9","route":{"name":"r","kind":"idempotent"},"service":"svc","left":20000000000,"arrive_within":%d}`
		started := time.Now()
		response := w.serveForwarded(fmt.Sprintf(envelope, 50*time.Millisecond), "")
		Expect(time.Since(started)).To(BeNumerically("<", 5*time.Second))
		Expect(response.Code).To(Equal(503))
		Expect(response.Header().Get("X-Gateway-Arrivals")).To(Equal("0"))
	})

	It("is told to the other daemon with a forwarded retry, and only with a retry", func() {
		var envelopes []string
		daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			envelopes = append(envelopes, r.Header.Get("X-Gateway-Forward"))
			w.Header().Set("X-Gateway-Failure", string(types.CodeOverloaded))
			w.Header().Set("X-Gateway-Verdict", types.NotRun.String())
			w.Header().Set("X-Gateway-Arrivals", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		DeferCleanup(daemon.CloseClientConnections)
		south := newTestProxy(catalog.Idempotent)
		south.moveSouth(northDaemon(daemon))
		south.start(newEndpoint(respondOK))
		south.call("GET", "/r/", "")
		Expect(envelopes).To(HaveLen(2))
		Expect(envelopes[0]).NotTo(ContainSubstring("arrive_within"))
		Expect(envelopes[1]).To(ContainSubstring("arrive_within"))
	})
})

var _ = Describe("A forwarded retry whose time is over", func() {
	const envelope = `{"from":"127.0.0.1:9","route":{"name":"r","kind":"idempotent"},"service":"svc","left":20000000000,"arrive_within":%d}`
	var (
		good *endpoint
		w    *testProxy
	)
	BeforeEach(func() {
		good = newEndpoint(respondOK)
		w = newTestProxy(catalog.Idempotent)
		w.start(good)
	})

	It("is not sent over a kept connection", func() {
		w.call("GET", "/r/", "")
		for range 20 {
			Expect(w.serveForwarded(fmt.Sprintf(envelope, 1), "").Header().Get("X-Gateway-Arrivals")).To(Equal("0"))
		}
		Expect(good.count()).To(Equal(1))
	})

	It("does not suspend the endpoint that it was not sent to", func() {
		for range 6 {
			w.serveForwarded(fmt.Sprintf(envelope, 1), "")
		}
		permit, _ := w.gate.Try(balance.RequestInfo{Service: service, Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)})
		Expect(permit).NotTo(BeNil())
		Expect(good.count()).To(BeZero())
	})

	It("has spent its time while its body was read", func() {
		request := httptest.NewRequest("POST", "/r/", &slowReader{delay: 200 * time.Millisecond})
		request.Header[http.CanonicalHeaderKey("X-Gateway-Forward")] = []string{fmt.Sprintf(envelope, 100*time.Millisecond)}
		request.Header.Set(headerID, "q")
		w.handler.ServeForwarded(httptest.NewRecorder(), request)
		Expect(good.count()).To(BeZero())
	})
})

// slowReader returns one byte after a delay, and then io.EOF.
type slowReader struct {
	delay time.Duration
	done  bool
}

func (s *slowReader) Read(p []byte) (int, error) {
	if s.done {
		return 0, io.EOF
	}
	time.Sleep(s.delay)
	s.done = true
	return copy(p, "x"), nil
}
