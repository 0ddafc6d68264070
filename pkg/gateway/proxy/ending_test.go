package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/gateway/proxy"
	"github.com/flamingomount/flamingomount/pkg/graceful"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// lineLog records the lines about requests.
type lineLog struct {
	mu    sync.Mutex
	lines []logrus.Fields
}

// Request implements proxy.Logger.
func (l *lineLog) Request(fields logrus.Fields, failed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fields["failed"] = failed
	l.lines = append(l.lines, fields)
}

// of returns the line about a request; nil if there is none.
func (l *lineLog) of(id string) logrus.Fields {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, fields := range l.lines {
		if fields["request"] == types.RequestID(id) {
			return fields
		}
	}
	return nil
}

// panickingTransport panics instead of sending a request.
type panickingTransport struct{}

// RoundTrip implements http.RoundTripper.
func (panickingTransport) RoundTrip(*http.Request) (*http.Response, error) { panic("a fault") }

// endingFixture is a proxy behind servers that shut down gracefully.
type endingFixture struct {
	*testProxy
	log            *lineLog
	registry       *prometheus.Registry
	callers, peers *graceful.Server
	callersAddress string
	peersAddress   string
	endings        chan graceful.Ending
}

func newEndingFixture() *endingFixture {
	return &endingFixture{testProxy: newTestProxy(catalog.Streaming), log: &lineLog{}, registry: prometheus.NewRegistry(), endings: make(chan graceful.Ending, 10)}
}

// serve starts the proxy and its servers.
func (f *endingFixture) serve(endpoints ...*endpoint) {
	f.start(endpoints...)
	options := f.options()
	options.Log, options.Metrics = f.log, proxy.NewMetrics(f.registry)
	f.handler = proxy.New(options)
	f.callers, f.callersAddress = f.listen(f.handler)
	f.peers, f.peersAddress = f.listen(http.HandlerFunc(f.handler.ServeForwarded))
}

func (f *endingFixture) listen(handler http.Handler) (*graceful.Server, string) {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	guarded := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if recover() != nil {
				panic(http.ErrAbortHandler)
			}
		}()
		handler.ServeHTTP(w, r)
	})
	server := graceful.New(graceful.Options{
		Listener: listener, HTTP: &http.Server{Handler: guarded}, Unanswered: func(ending graceful.Ending) { f.endings <- ending },
	})
	var serving conc.WaitGroup
	serving.Go(func() { Expect(server.Serve()).To(Succeed()) })
	DeferCleanup(func() {
		_ = server.Close()
		serving.Wait()
	})
	return server, listener.Addr().String()
}

// stream sends a request and returns its connection after the first event.
func (f *endingFixture) stream(address, id, fields string, before ...string) net.Conn {
	GinkgoHelper()
	conn, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	reader := bufio.NewReader(conn)
	for _, earlier := range before {
		_, _ = io.WriteString(conn, earlier)
		response, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, response.Body)
		Expect(err).NotTo(HaveOccurred())
	}
	_, _ = fmt.Fprintf(conn, "GET /r/x HTTP/1.1\r\nHost: a.example\r\nX-Id: %s\r\n%s\r\n", id, fields)
	response, err := http.ReadResponse(reader, nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.StatusCode).To(Equal(http.StatusOK))
	_, err = response.Body.Read(make([]byte, 1))
	Expect(err).NotTo(HaveOccurred())
	return conn
}

// line waits for the line about a request.
func (f *endingFixture) line(id string) logrus.Fields {
	GinkgoHelper()
	Eventually(func() logrus.Fields { return f.log.of(id) }, eventuallyTimeout).ShouldNot(BeNil())
	return f.log.of(id)
}

// counted returns the counter of incomplete requests.
func (f *endingFixture) counted(endedBy, stopping string) float64 {
	GinkgoHelper()
	families, err := f.registry.Gather()
	Expect(err).NotTo(HaveOccurred())
	for _, family := range families {
		if family.GetName() != "flamingomount_gateway_incomplete_requests_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			if metric.GetLabel()[0].GetValue() == endedBy && metric.GetLabel()[1].GetValue() == stopping {
				return metric.GetCounter().GetValue()
			}
		}
	}
	return -1
}

// holdAfterEvent sends one event of a stream and goes on when release is closed. It may run
// longer than its spec.
func holdAfterEvent(release <-chan struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		signResponse(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		_ = http.NewResponseController(w).Flush()
		select {
		case <-release:
		case <-r.Context().Done():
		}
	}
}

// Guards against answers that end around a stop and leave no trace of what ended them.
var _ = Describe("the line of a request that got no whole answer", func() {
	const forwarded = `X-Gateway-Forward: {"from":"127.0.0.1:9","route":{"name":"r","kind":"streaming"},"service":"svc","left":5000000000}` + "\r\n"
	const unknown = "GET /none HTTP/1.1\r\nHost: a.example\r\n\r\n"
	var f *endingFixture
	var hold http.HandlerFunc
	BeforeEach(func() {
		release := make(chan struct{})
		DeferCleanup(func() { close(release) })
		hold = holdAfterEvent(release)
		f = newEndingFixture()
	})

	It("names the schedule, the time in the stop and the kept connection", func() {
		f.serve(newEndpoint(hold))
		f.stream(f.callersAddress, "q", "", unknown)
		f.handler.StopBegan(time.Minute)
		f.callers.CancelRequests()
		line := f.line("q")
		Expect(line).To(And(HaveKeyWithValue("failed", true), HaveKeyWithValue("code", types.CodeDraining), HaveKeyWithValue("broken_off", true)))
		Expect(line["ended_by"]).To(BeEquivalentTo("schedule"))
		Expect(line["ended_at"]).To(Equal("127.0.0.1:1"))
		Expect(line["connection"]).To(BeEquivalentTo("kept"))
		Expect(line["answer"]).To(BeEquivalentTo("begun"))
		Expect(line["last_event_ms"]).To(BeNumerically(">=", 0))
		Expect(line["stop_ms"]).To(BeNumerically(">=", time.Minute.Milliseconds()))
		Expect(line["stop_arrival_ms"]).To(BeNumerically("<=", line["stop_ms"]))
		Expect(f.counted("schedule", "true")).To(BeEquivalentTo(1))
		Eventually(f.endings, eventuallyTimeout).Should(Receive(Equal(graceful.Ending{Reason: graceful.Aborted, Request: "q"})))
	})

	It("names the cut of a forwarded request at the far daemon, not the daemon that forwarded it", func() {
		f.serve(newEndpoint(hold))
		f.stream(f.peersAddress, "q", forwarded)
		f.handler.StopBegan(0)
		f.handler.CutOff()
		Expect(f.peers.Close()).To(Succeed())
		line := f.line("q")
		Expect(line["ended_by"]).To(BeEquivalentTo("cut"))
		Expect(line["connection"]).To(BeEquivalentTo("forwarded"))
		Expect(line["code"]).To(Equal(types.CodeDraining))
		Eventually(f.endings, eventuallyTimeout).Should(Receive(Equal(graceful.Ending{Reason: graceful.Cut, Request: "q"})))
	})

	It("names the caller that left", func() {
		f.serve(newEndpoint(hold))
		Expect(f.stream(f.callersAddress, "q", "").Close()).To(Succeed())
		line := f.line("q")
		Expect(line["ended_by"]).To(BeEquivalentTo("caller"))
		Expect(line["connection"]).To(BeEquivalentTo("new"))
		Expect(line).NotTo(HaveKey("stop_ms"))
		Expect(f.counted("caller", "false")).To(BeEquivalentTo(1))
	})

	It("names the other daemon that broke off", func() {
		far := httptest.NewServer(eventStream(2, 1))
		DeferCleanup(far.CloseClientConnections)
		vm := types.VMID(far.Listener.Addr().String())
		f.endpointRegion = "south"
		f.members = []members.Member{{VM: vm, Region: "south", State: members.Serving}}
		f.route.MaxAttempts = 1
		f.serve(newEndpoint(hold))
		f.stream(f.callersAddress, "q", "")
		line := f.line("q")
		Expect(line["ended_by"]).To(BeEquivalentTo("daemon"))
		Expect(line["ended_at"]).To(Equal("daemon " + string(vm)))
		Expect(line["answer"]).To(BeEquivalentTo("begun"))
	})

	It("exists after a panic", func() {
		f.transport = panickingTransport{}
		f.serve(newEndpoint(hold))
		conn, err := net.Dial("tcp", f.callersAddress)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		_, _ = io.Copy(conn, strings.NewReader("GET /r/x HTTP/1.1\r\nHost: a.example\r\nX-Id: q\r\n\r\n"))
		line := f.line("q")
		Expect(line["ended_by"]).To(BeEquivalentTo("panic"))
		Expect(line["failed"]).To(BeTrue())
	})
})
