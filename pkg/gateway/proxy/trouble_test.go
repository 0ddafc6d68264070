package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/graceful"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// rawEndpoint is a fake endpoint that writes raw bytes to its connections.
type rawEndpoint struct {
	listener net.Listener
	mu       sync.Mutex
	requests int
}

// newRawEndpoint starts an endpoint that calls respond for each request of a
// connection, with its number on that connection, until respond returns false.
func newRawEndpoint(respond func(connection net.Conn, id string, number int) bool) *rawEndpoint {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	e := &rawEndpoint{listener: listener}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(connection, respond)
		}
	}()
	DeferCleanup(listener.Close)
	return e
}

func (e *rawEndpoint) serve(connection net.Conn, respond func(net.Conn, string, int) bool) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for number := 0; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		e.mu.Lock()
		e.requests++
		e.mu.Unlock()
		if !respond(connection, request.Header.Get(headerID), number) {
			return
		}
	}
}

func (e *rawEndpoint) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests
}

// startWithRaw starts a proxy whose endpoints are raw ones.
func startWithRaw(w *testProxy, endpoints ...*rawEndpoint) *testProxy {
	placeholders := make([]*endpoint, len(endpoints))
	for i := range placeholders {
		placeholders[i] = newEndpoint(respondOK)
	}
	w.start(placeholders...)
	for i, placed := range w.snap.View.Endpoints[service] {
		placed.Address = endpoints[i].listener.Addr().String()
	}
	w.update()
	return w
}

// signedResponse returns the bytes of a signed response with a body.
func signedResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", headerID, id, headerSignature, len(body), body)
}

func writeText(connection net.Conn, text string) bool {
	_, err := connection.Write([]byte(text))
	return err == nil
}

// writeForever writes a text until the other side closes the connection.
func writeForever(connection net.Conn, text string) {
	block := strings.Repeat(text, 1+(16<<10)/len(text))
	for writeText(connection, block) {
	}
}

var _ = Describe("A second copy of a response", func() {
	DescribeTable("never reaches another caller", func(writeCopy func(connection net.Conn, id string)) {
		e := newRawEndpoint(func(connection net.Conn, id string, _ int) bool {
			if !writeText(connection, signedResponse(id, "answer to "+id)) {
				return false
			}
			writeCopy(connection, id)
			return true
		})
		w := newTestProxy(catalog.Idempotent)
		w.route.MaxAttempts, w.retryRatio, w.retryFixed = 3, 5, 500
		startWithRaw(w, e, newRawEndpoint(func(connection net.Conn, id string, _ int) bool {
			return writeText(connection, signedResponse(id, "answer to "+id))
		}))
		for i := range 60 {
			id := fmt.Sprintf("q%d", i)
			resp := w.call("GET", "/r/", "", headerID, id)
			if resp.status == 200 {
				Expect(resp.body).To(Equal("answer to " + id))
			}
			time.Sleep(time.Duration(i%4) * time.Millisecond)
		}
	},
		Entry("at once", func(connection net.Conn, id string) { writeText(connection, signedResponse(id, "answer to "+id)) }),
		Entry("late", func(connection net.Conn, id string) {
			time.Sleep(2 * time.Millisecond)
			writeText(connection, signedResponse(id, "answer to "+id))
		}),
		Entry("in two parts", func(connection net.Conn, id string) {
			text := signedResponse(id, "answer to "+id)
			writeText(connection, text[:20])
			time.Sleep(time.Millisecond)
			writeText(connection, text[20:])
		}),
		Entry("where the next response is due", func(connection net.Conn, id string) {
			go func() {
				time.Sleep(time.Millisecond)
				writeText(connection, signedResponse(id, "answer to "+id))
			}()
		}),
	)
})

// callDiscardingBody sends a request and keeps only the first bytes of the body.
func (w *testProxy) callDiscardingBody() callerResponse {
	const kept = 100
	outgoing, err := http.NewRequest("POST", w.callerServer.URL+"/r/", strings.NewReader("x"))
	Expect(err).NotTo(HaveOccurred())
	outgoing.Host = "a.example"
	outgoing.Header.Set(headerID, "q1")
	response, err := http.DefaultTransport.RoundTrip(outgoing)
	if err != nil {
		return callerResponse{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, kept))
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	return callerResponse{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

var _ = Describe("An endless response", func() {
	const headerStart = "HTTP/1.1 200 OK\r\n" + headerSignature + ": s\r\n" + headerID + ": q1\r\n"
	entries := []TableEntry{
		Entry("in header lines", headerStart, "X-A: b\r\n"),
		Entry("in one header line", headerStart+"X-A: ", "b"),
		Entry("in the status line", "HTTP/1.1 200 ", "O"),
		Entry("without any protocol", "", "\x00\xff"),
		Entry("in provisional responses", "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"),
		Entry("in chunk extensions", headerStart+"Transfer-Encoding: chunked\r\n\r\n5;", "a=b;"),
		Entry("in a chunk's size", headerStart+"Transfer-Encoding: chunked\r\n\r\n", "0"),
		Entry("in trailers", headerStart+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n"),
		Entry("after the declared length", headerStart+"Content-Length: 2\r\n\r\nok", "more"),
		Entry("in a body without a length", headerStart+"\r\n", "body "),
		Entry("in a chunked body", headerStart+"Transfer-Encoding: chunked\r\n\r\n", "5\r\nbytes\r\n"),
	}
	// callFlooding calls an endpoint that never stops writing and checks that it
	// is cut off, in bounded time and memory.
	callFlooding := func(w *testProxy, start, text string) callerResponse {
		closed := make(chan struct{})
		var once sync.Once
		e := newRawEndpoint(func(connection net.Conn, _ string, _ int) bool {
			writeText(connection, start)
			writeForever(connection, text)
			once.Do(func() { close(closed) })
			return false
		})
		w.route.Timeout = 2 * time.Second
		startWithRaw(w, e)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		started := time.Now()
		resp := w.callDiscardingBody()
		Expect(time.Since(started)).To(BeNumerically("<", 10*time.Second))
		Eventually(closed, eventuallyTimeout).Should(BeClosed())
		runtime.GC()
		runtime.ReadMemStats(&after)
		Expect(int64(after.HeapAlloc) - int64(before.HeapAlloc)).To(BeNumerically("<", 16<<20))
		Expect(e.count()).To(Equal(1))
		return resp
	}

	DescribeTable("ends in a correct verdict for a non-idempotent request", func(start, text string) {
		resp := callFlooding(newTestProxy(catalog.NonIdempotent), start, text)
		if resp.status == 200 && resp.err == nil {
			Expect(resp.body).To(Equal("ok"))
			return
		}
		Expect(resp.status).NotTo(Equal(503), "the request may have run")
	}, entries)

	DescribeTable("ends a stream so that it does not look complete", func(start, text string) {
		resp := callFlooding(newTestProxy(catalog.Streaming), start, text)
		if resp.err == nil {
			Expect(resp.status).To(Or(Equal(502), Equal(504)))
		}
	}, Entry("in one event", headerStart+"Transfer-Encoding: chunked\r\n\r\n", "5\r\ndata:\r\n"),
		Entry("in events that never end the stream", headerStart+"\r\n", "id: 1\ndata: x\n\n"),
		Entry("in header lines", headerStart, "X-A: b\r\n"))
})

var _ = Describe("Slow streams", func() {
	// slowStream sends events with a pause, and then single bytes that are no event.
	slowStream := func(events int, pause time.Duration) *rawEndpoint {
		return newRawEndpoint(func(connection net.Conn, id string, _ int) bool {
			writeText(connection, "HTTP/1.1 200 OK\r\n"+headerSignature+": s\r\n"+headerID+": "+id+"\r\nConnection: close\r\n\r\n")
			for number := range events {
				writeText(connection, fmt.Sprintf("id: %d\ndata: piece\n\n", number+1))
				time.Sleep(pause)
			}
			for events < 3 && writeText(connection, ":") {
				time.Sleep(20 * time.Millisecond)
			}
			return false
		})
	}
	newSlowProxy := func() *testProxy {
		w := newTestProxy(catalog.Streaming)
		w.route.Timeout, w.route.Objective, w.route.LongestGap = 0, 100*time.Millisecond, 100*time.Millisecond
		return w
	}

	It("are not ended while events arrive", func() {
		w := newSlowProxy()
		startWithRaw(w, slowStream(5, 1200*time.Millisecond))
		resp := w.call("POST", "/r/", "x")
		Expect(resp.err).NotTo(HaveOccurred())
		Expect(strings.Count(resp.body, "data:")).To(Equal(5))
	})

	It("end if only bytes arrive, even if neither caller nor route sets a limit", func() {
		w := newSlowProxy()
		startWithRaw(w, slowStream(1, 0))
		started := time.Now()
		Expect(w.call("POST", "/r/", "x").err).To(HaveOccurred())
		Expect(time.Since(started)).To(BeNumerically("~", 2*time.Second, 1500*time.Millisecond))
	})

	It("resume elsewhere if they are resumable, before the caller gives up", func() {
		w := newSlowProxy()
		w.route.Resumable = true
		stalled := slowStream(1, 0)
		healthy := newRawEndpoint(func(connection net.Conn, id string, _ int) bool {
			return writeText(connection, "HTTP/1.1 200 OK\r\n"+headerSignature+": s\r\n"+headerID+": "+id+"\r\nConnection: close\r\n\r\nid: 2\ndata: rest\n\n") && false
		})
		startWithRaw(w, stalled, healthy)
		// The endpoint of the local data centre is the first choice.
		w.snap.View.Endpoints[service][1].DataCentre = "elsewhere"
		w.update()
		started := time.Now()
		resp := w.call("POST", "/r/", "x")
		Expect(resp.err).NotTo(HaveOccurred())
		Expect(time.Since(started)).To(BeNumerically("<", minStallTimeout))
		Expect(resp.body).To(Equal("id: 1\ndata: piece\n\nid: 2\ndata: rest\n\n"))
		Expect([]int{stalled.count(), healthy.count()}).To(Equal([]int{1, 1}))
	})

	DescribeTable("that are resumable but resume nowhere end when their caller gives up, if no limit is set", func(events, endpoints, earlierCalls int) {
		w := newSlowProxy()
		w.route.Resumable, w.retryRatio, w.retryFixed = true, 0, 0
		var list []*rawEndpoint
		for range endpoints {
			list = append(list, slowStream(events, 0))
		}
		startWithRaw(w, list...)
		var started time.Time
		for range earlierCalls + 1 {
			started = time.Now()
			ended := make(chan error, 1)
			go func() {
				defer GinkgoRecover()
				ended <- w.call("POST", "/r/", "x").err
			}()
			Eventually(ended, eventuallyTimeout).Should(Receive(HaveOccurred()))
		}
		Expect(time.Since(started)).To(BeNumerically("~", minStallTimeout, 1500*time.Millisecond))
	},
		Entry("before the first event", 0, 2, 0),
		Entry("when no other endpoint is left", 1, 1, 0),
		Entry("when an earlier call has spent the retry budget", 1, 2, 1),
	)

	// lateStream sends its header, pauses, sends two events with a pause between
	// them and ends.
	const longPause = 1300 * time.Millisecond
	lateStream := func(beforeFirst, between time.Duration) *rawEndpoint {
		return newRawEndpoint(func(connection net.Conn, id string, _ int) bool {
			writeText(connection, "HTTP/1.1 200 OK\r\n"+headerSignature+": s\r\n"+headerID+": "+id+"\r\nConnection: close\r\n\r\n")
			time.Sleep(beforeFirst)
			writeText(connection, "id: 1\ndata: piece\n\n")
			time.Sleep(between)
			writeText(connection, "id: 2\ndata: piece\n\n")
			return false
		})
	}

	DescribeTable("that nothing can resume are not ended while their caller waits", func(beforeFirst, between time.Duration, endpoints int) {
		w := newSlowProxy()
		w.route.Resumable = true
		var list []*rawEndpoint
		for range endpoints {
			list = append(list, lateStream(beforeFirst, between))
		}
		startWithRaw(w, list...)
		resp := w.call("POST", "/r/", "x")
		Expect(resp.err).NotTo(HaveOccurred())
		Expect(strings.Count(resp.body, "data:")).To(Equal(2))
	},
		Entry("before the first event", longPause, time.Duration(0), 2),
		Entry("when no other endpoint is left", time.Duration(0), longPause, 1),
	)

	It("are not ended while their caller waits and the daemon is leaving", func() {
		w := newSlowProxy()
		w.route.Resumable = true
		first, second := lateStream(0, longPause), lateStream(0, longPause)
		startWithRaw(w, first, second)
		w.handler.Leave(time.Minute)
		resp := w.call("POST", "/r/", "x")
		Expect(resp.err).NotTo(HaveOccurred())
		Expect(strings.Count(resp.body, "data:")).To(Equal(2))
		Expect(first.count() + second.count()).To(Equal(1))
	})

	// Guards against a stream that is ended to resume, which its trial does not permit.
	It("are not ended while their caller waits and they try what is withheld", func() {
		w := newSlowProxy()
		w.route.Resumable = true
		first, second := lateStream(0, longPause), lateStream(0, longPause)
		startWithRaw(w, first, second)
		w.withhold(time.Now().Add(-time.Second), deadlyPart)
		resp := w.call("POST", "/r/", "x", headerParts, "deadly")
		Expect(resp.err).NotTo(HaveOccurred())
		Expect(strings.Count(resp.body, "data:")).To(Equal(2))
		Expect(first.count() + second.count()).To(Equal(1))
	})

	DescribeTable("over a hop are not ended while their caller waits and the other region has no further endpoint", func(fields ...string) {
		south, north := newSlowProxy(), newSlowProxy()
		late := lateStream(0, longPause)
		startWithRaw(north, late)
		south.route.Resumable, south.route.AllowedRegions = true, []types.Region{"north"}
		south.moveSouth(north.asMember())
		startWithRaw(south, late)
		resp := south.call("POST", "/r/", "x", fields...)
		Expect(resp.err).NotTo(HaveOccurred())
		Expect(strings.Count(resp.body, "data:")).To(Equal(2))
		Expect(late.count()).To(Equal(1))
	},
		Entry("for a large prompt", headerPrefix, "7"),
		Entry("for any other one"),
	)

	It("are not ended while their caller waits and every other endpoint is full", func() {
		w := newSlowProxy()
		w.route.Resumable = true
		startWithRaw(w, lateStream(0, longPause), lateStream(0, longPause))
		responses := make(chan callerResponse, 1)
		go func() {
			defer GinkgoRecover()
			responses <- w.call("POST", "/r/", "x")
		}()
		Eventually(func() int { return len(w.gate.Loads()) }, eventuallyTimeout).Should(Equal(1))
		w.fillSlots()
		var resp callerResponse
		Eventually(responses, eventuallyTimeout).Should(Receive(&resp))
		Expect(resp.err).NotTo(HaveOccurred())
		Expect(strings.Count(resp.body, "data:")).To(Equal(2))
	})
})

var _ = Describe("A request at the limits", func() {
	// respondLarge sends more than the proxy buffers and then nothing.
	respondLarge := func(w http.ResponseWriter, r *http.Request) {
		signResponse(w, r)
		_, _ = w.Write(make([]byte, 3<<20))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}

	It("does not count as a crash when its deadline ends a large response", func() {
		w := newTestProxy(catalog.Idempotent)
		w.route.Timeout = 500 * time.Millisecond
		w.start(newEndpoint(respondLarge))
		Expect(w.call("GET", "/r/", "").err).To(HaveOccurred())
		Consistently(func() int {
			w.fakeReporter.mu.Lock()
			defer w.fakeReporter.mu.Unlock()
			return w.fakeReporter.crashes
		}, 100*time.Millisecond).Should(BeZero())
	})

	It("is rejected whole when another daemon forwards more than the largest body", func() {
		w := newTestProxy(catalog.Idempotent)
		here := newEndpoint(respondOK)
		w.start(here)
		envelope := `{"from":"d","route":{"kind":"idempotent","max_attempts":1},"service":"svc","left":20000000000}`
		w.serveForwarded(envelope, strings.Repeat("x", 16<<20+1))
		Expect(here.count()).To(BeZero())
		w.serveForwarded(envelope, strings.Repeat("x", 16<<20))
		Expect(here.count()).To(Equal(1))
	})

	DescribeTable("finds its route whatever the form of the host", func(host string) {
		w := newTestProxy(catalog.Idempotent)
		w.route.Host = "[2001:db8::1]"
		w.start(newEndpoint(respondOK))
		outgoing, err := http.NewRequest("GET", w.callerServer.URL+"/r/", nil)
		Expect(err).NotTo(HaveOccurred())
		outgoing.Host = host
		outgoing.Header.Set(headerID, "q1")
		response, err := http.DefaultTransport.RoundTrip(outgoing)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.StatusCode).To(Equal(200))
	}, Entry("an IPv6 address", "[2001:db8::1]"), Entry("an IPv6 address with a port", "[2001:db8::1]:8080"))
})

// minStallTimeout is how long callers of these routes wait for an event.
const minStallTimeout = 2 * time.Second

// FuzzForwarded checks that no envelope makes the proxy panic.
func FuzzForwarded(f *testing.F) {
	f.Add(`{}`, "")
	f.Add(`{"from":"d","route":{},"left":1}`, "x")
	f.Add(`{"from":"d","route":{"kind":"streaming","backends":[]},"service":"svc","left":-1,"waited":-9223372036854775808}`, "x")
	f.Add(`{"from":"d","route":{"kind":"idempotent"},"service":"svc","left":9223372036854775807,"tried":["",""]}`, "")
	w := newTestProxy(catalog.Idempotent)
	w.startHandlerOnly()
	f.Fuzz(func(_ *testing.T, envelope, body string) {
		w.serveForwarded(envelope, body)
	})
}

var _ = Describe("A stream that ends inside an event", func() {
	It("leaves its connection, which another request may use by then, open", func() {
		var mu sync.Mutex
		connections := map[string]bool{}
		e := newEndpoint(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			connections[r.RemoteAddr] = true
			mu.Unlock()
			signResponse(w, r)
			_, _ = io.WriteString(w, "id: 1\ndata: half an ev")
		})
		w := newTestProxy(catalog.Streaming)
		w.start(e)
		for range 3 {
			Expect(w.call("POST", "/r/", "x").err).To(HaveOccurred())
		}
		Expect(e.count()).To(Equal(3))
		Expect(connections).To(HaveLen(1))
	})
})

var _ = Describe("A request that waits for capacity when its daemon stops", func() {
	It("is told that the daemon stops and that it was not run", func() {
		busy := newEndpoint(respondOK)
		w := newTestProxy(catalog.NonIdempotent)
		w.route.Objective = 20 * time.Second
		w.start(busy)
		for {
			if permit, _ := w.gate.Try(balance.RequestInfo{Service: service, Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}); permit == nil {
				break
			}
		}
		ctx, stop := context.WithCancelCause(context.Background())
		request := httptest.NewRequest("POST", "/r/", strings.NewReader("x")).WithContext(ctx)
		request.Host = "a.example"
		request.Header.Set(headerID, "q1")
		recorder := httptest.NewRecorder()
		var running conc.WaitGroup
		running.Go(func() { w.handler.ServeHTTP(recorder, request) })
		Eventually(func() int { return w.gate.Loads()[0].Waiting }, eventuallyTimeout).Should(Equal(1))
		stop(graceful.ErrStopping)
		running.Wait()
		Expect(recorder.Code).To(Equal(503))
		Expect(recorder.Body.String()).To(ContainSubstring(string(types.CodeDraining)))
		Expect(busy.count()).To(BeZero())
	})
})
