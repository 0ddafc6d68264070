package dispatch_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/dispatch"
	"github.com/flamingomount/flamingomount/pkg/stage/relay"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestDispatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dispatch")
}

// fixedRouter routes every request to one address.
type fixedRouter string

// Route returns an endpoint with the address.
func (o fixedRouter) Route(route.Input) (route.Decision, *types.Failure) {
	return route.Decision{Endpoint: &snapshot.Endpoint{ID: "e1", Address: string(o)}}, nil
}

func newDispatcher(address string) *dispatch.Dispatcher {
	return dispatch.New(dispatch.Options{
		Router:   fixedRouter(address),
		Snapshot: func() *snapshot.Snapshot { return &snapshot.Snapshot{} },
		Rand:     rand.New(rand.NewPCG(1, 2)),
	})
}

func newRequest(repeatable bool, body string) *request.Request {
	return &request.Request{
		ID: "r1", Service: &published.Service{Name: "orders", Kind: published.KindPlain},
		Org: &published.Organisation{Name: "bagmati"}, Repeatable: repeatable,
		Deadline: time.Now().Add(time.Minute), Method: http.MethodPost,
		URLPath: "/v1/services/orders/new", Body: []byte(body),
		Header: request.Header{
			"Idempotency-Key": {"k1"}, "Authorization": {"Bearer secret"},
			"Connection": {"X-Hop"}, "X-Hop": {"1"}, "Content-Type": {"text/plain"},
		},
	}
}

// closingServer answers the first request on each connection. After it has read
// the second one, it closes the connection without a response, like an endpoint
// that crashes while it runs a request.
type closingServer struct {
	listener net.Listener
	received atomic.Int64
	running  conc.WaitGroup
}

func newClosingServer() *closingServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &closingServer{listener: listener}
	s.running.Go(s.accept)
	DeferCleanup(func() {
		_ = listener.Close()
		s.running.Wait()
	})
	return s
}

func (s *closingServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.running.Go(func() { s.serve(conn) })
	}
}

func (s *closingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for first := true; ; first = false {
		incoming, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var body bytes.Buffer
		_, _ = body.ReadFrom(incoming.Body)
		s.received.Add(1)
		if !first {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok",
			types.HeaderAttemptID, incoming.Header.Get(types.HeaderAttemptID))
	}
}

func (s *closingServer) address() string {
	return s.listener.Addr().String()
}

func run(d *dispatch.Dispatcher, req *request.Request) (dispatch.Summary, *httptest.ResponseRecorder) {
	recorder := httptest.NewRecorder()
	caller := relay.NewCaller(recorder, req.ID, relay.Limits{})
	return d.Run(context.Background(), req, caller), recorder
}

var _ = Describe("the replay of requests by net/http", func() {
	It("happens to a request with an idempotency key that is sent without the guard", func() {
		server := newClosingServer()
		transport := dispatch.NewTransport(false)
		defer transport.CloseIdleConnections()
		for range 2 {
			outgoing, err := http.NewRequest(http.MethodPost, "http://"+server.address(), bytes.NewReader([]byte("order")))
			Expect(err).NotTo(HaveOccurred())
			outgoing.Header.Set(types.HeaderIdempotencyKey, "k1")
			response, err := transport.RoundTrip(outgoing)
			Expect(err).NotTo(HaveOccurred())
			_, _ = new(bytes.Buffer).ReadFrom(response.Body)
			_ = response.Body.Close()
		}
		Expect(server.received.Load()).To(BeNumerically("==", 3))
	})

	DescribeTable("does not happen to attempts",
		func(body string) {
			server := newClosingServer()
			d := newDispatcher(server.address())
			first, _ := run(d, newRequest(true, body))
			Expect(first.Verdict).To(Equal(types.Ran))
			second, _ := run(d, newRequest(true, body))
			Expect(second.Verdict).To(Equal(types.MayHaveRun))
			Expect(server.received.Load()).To(BeNumerically("==", 2))
		},
		Entry("with a body", "order"),
		Entry("without a body", ""),
	)

	It("can't happen to non-repeatable requests, because each has its own connection", func() {
		server := newClosingServer()
		d := newDispatcher(server.address())
		for range 3 {
			summary, _ := run(d, newRequest(false, "order"))
			Expect(summary.Verdict).To(Equal(types.Ran))
		}
		Expect(server.received.Load()).To(BeNumerically("==", 3))
	})
})

// serviceRecorder is a router that fails every request and records its service.
type serviceRecorder struct {
	service *published.Service
}

// Route records the service of the request.
func (r *serviceRecorder) Route(in route.Input) (route.Decision, *types.Failure) {
	r.service = in.Request.Service
	return route.Decision{}, types.NewFailure(types.NotRun, types.CodeNoEndpoint, "none")
}

var _ = Describe("a request that waited while the configuration changed", func() {
	It("follows the configuration in force", func() {
		req := newRequest(true, "x")
		current := *req.Service
		current.Regions = []types.Region{"pokhara"}
		config := &published.Configuration{
			Services: map[types.ServiceName]*published.Service{"orders": &current},
			Orgs:     map[types.OrgName]*published.Organisation{"bagmati": req.Org},
		}
		router := new(serviceRecorder)
		d := dispatch.New(dispatch.Options{
			Router:   router,
			Snapshot: func() *snapshot.Snapshot { return &snapshot.Snapshot{Config: config} },
			Rand:     rand.New(rand.NewPCG(1, 2)),
		})
		run(d, req)
		Expect(router.service).To(BeIdenticalTo(&current))

		delete(config.Services, "orders")
		summary, _ := run(d, req)
		Expect(summary.Failure.Code).To(Equal(types.CodeUnknownService))
		Expect(summary.Verdict).To(Equal(types.NotRun))
	})
})

var _ = Describe("an attempt", func() {
	serve := func(handler http.HandlerFunc) *dispatch.Dispatcher {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(types.HeaderAttemptID, r.Header.Get(types.HeaderAttemptID))
			handler(w, r)
		}))
		DeferCleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		return newDispatcher(server.Listener.Addr().String())
	}

	It("forwards no credentials or hop-by-hop headers and strips the service's path prefix", func() {
		var received *http.Request
		d := serve(func(_ http.ResponseWriter, r *http.Request) { received = r })
		run(d, newRequest(true, "x"))
		Expect(received.URL.Path).To(Equal("/new"))
		Expect(received.Header).NotTo(HaveKey("Authorization"))
		Expect(received.Header).NotTo(HaveKey("X-Hop"))
		Expect(received.Header.Get(types.HeaderIdempotencyKey)).To(Equal("k1"))
		Expect(received.Header.Get(types.HeaderDeadline)).NotTo(BeEmpty())
	})

	It("follows no redirect and relays no informational response or trailer", func() {
		d := serve(func(w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(http.StatusEarlyHints)
			w.Header().Set("Trailer", "X-Late")
			w.Header().Set("Location", "http://"+r.Host+"/elsewhere")
			w.WriteHeader(http.StatusFound)
			_, _ = w.Write([]byte("moved"))
			w.Header().Set("X-Late", "1")
		})
		summary, recorder := run(d, newRequest(true, "x"))
		Expect(summary.Attempts).To(Equal(1))
		Expect(recorder.Code).To(Equal(http.StatusFound))
		Expect(recorder.Header()).NotTo(HaveKey("Trailer"))
		Expect(recorder.Result().Trailer).To(BeEmpty())
	})

	It("counts the time to the first token of a stream to its relaying, not to the headers", func() {
		const prefill = 2 * time.Second
		var passed atomic.Int64
		start := time.Now()
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(types.HeaderAttemptID, r.Header.Get(types.HeaderAttemptID))
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{}}]}\n\n")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(100 * time.Millisecond)
			passed.Store(int64(prefill))
			_, _ = fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n")
		}))
		DeferCleanup(server.Close)
		d := dispatch.New(dispatch.Options{
			Router: fixedRouter(server.Listener.Addr().String()), Snapshot: func() *snapshot.Snapshot { return &snapshot.Snapshot{} },
			Rand: rand.New(rand.NewPCG(1, 2)), Now: func() time.Time { return start.Add(time.Duration(passed.Load())) },
		})
		req := newRequest(true, "x")
		req.Streamed, req.Service.Kind = true, published.KindModel

		summary, _ := run(d, req)

		Expect(summary.Failure).To(BeNil())
		Expect(summary.Tokens).To(Equal(1))
		Expect(summary.FirstToken).To(BeTemporally("==", start.Add(prefill)))
	})

	It("is cancelled at the endpoint when the caller disconnects", func() {
		entered, left := make(chan struct{}), make(chan struct{})
		d := serve(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = new(bytes.Buffer).ReadFrom(r.Body)
			close(entered)
			<-r.Context().Done()
			close(left)
		})
		ctx, cancel := context.WithCancel(context.Background())
		var running conc.WaitGroup
		var summary dispatch.Summary
		running.Go(func() {
			req := newRequest(true, "x")
			summary = d.Run(ctx, req, relay.NewCaller(httptest.NewRecorder(), req.ID, relay.Limits{}))
		})
		Eventually(entered).Should(BeClosed())
		cancel()
		Eventually(left, "5s").Should(BeClosed())
		running.Wait()
		Expect(summary.Failure.Code).To(Equal(types.CodeCallerGone))
		Expect(summary.Verdict).To(Equal(types.MayHaveRun))
	})

	It("has the verdict not-run when no connection was made", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(listener.Close()).To(Succeed())
		summary, recorder := run(newDispatcher(listener.Addr().String()), newRequest(false, "x"))
		Expect(summary.Verdict).To(Equal(types.NotRun))
		Expect(recorder.Header().Get(types.HeaderVerdict)).To(Equal("not-run"))
	})

	It("has the verdict not-run after a 503 only if the service's configuration says so", func() {
		d := serve(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
		summary, _ := run(d, newRequest(false, "x"))
		Expect(summary.Verdict).To(Equal(types.MayHaveRun))
		promised := newRequest(false, "x")
		promised.Service.RefusalMeansNotRun = true
		summary, _ = run(d, promised)
		Expect(summary.Verdict).To(Equal(types.NotRun))
	})
})
