package proxy_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// handoverTimes holds when a silent stream was ended, and when another request came.
type handoverTimes struct {
	silentEnded, resumed atomic.Value
}

// Guards against a silent stream that is given up before another daemon has taken the rest.
var _ = Describe("A silent stream over a hop", func() {
	const (
		// silence is longer than the time after which a stream is resumed elsewhere, and
		// shorter than callers wait.
		silence = 1600 * time.Millisecond
		// overlap bounds the time for which both endpoints may be at work.
		overlap = 400 * time.Millisecond
		whole   = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n"
	)
	var south *testProxy
	// startSouth starts a proxy whose requests can only run in the north.
	startSouth := func(north []members.Member, es ...*endpoint) {
		south = newTestProxy(catalog.Streaming)
		south.route.Timeout, south.route.Objective, south.route.LongestGap = 0, 100*time.Millisecond, 100*time.Millisecond
		south.route.Resumable, south.route.AllowedRegions = true, []types.Region{"north"}
		south.moveSouth(north...)
		south.start(es...)
	}
	// seen is what the endpoints of the spec tell. An endpoint may outlive its spec, so it
	// takes this when it is made.
	var seen *handoverTimes
	BeforeEach(func() { seen = &handoverTimes{} })
	// silentAfterFirst sends one event of three and, after a pause, the others.
	silentAfterFirst := func(pause time.Duration) http.HandlerFunc {
		seen := seen
		return func(w http.ResponseWriter, r *http.Request) {
			signResponse(w, r)
			w.Header().Set("Content-Type", "text/event-stream")
			for id := 1; id <= 3; id++ {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", id, id)
				_ = http.NewResponseController(w).Flush()
				if id > 1 {
					continue
				}
				select {
				case <-time.After(pause):
				case <-r.Context().Done():
					seen.silentEnded.Store(time.Now())
					return
				}
			}
		}
	}
	// fakeDaemon is a daemon that answers the first request by a stream that is silent
	// for a time, and any other as told.
	fakeDaemon := func(other http.HandlerFunc) members.Member {
		var requests atomic.Int64
		silent := silentAfterFirst(silence)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if requests.Add(1) > 1 {
				other(w, r)
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set("X-Gateway-Endpoint", "e0")
			silent(w, r)
		}))
		DeferCleanup(server.CloseClientConnections)
		return northDaemon(server)
	}
	// silentFirst makes the first request at either endpoint a stream that is silent for a
	// time; the others resume.
	silentFirst := func(pause time.Duration) (es []*endpoint) {
		var requests atomic.Int64
		seen, silent := seen, silentAfterFirst(pause)
		for range 2 {
			es = append(es, newEndpoint(func(w http.ResponseWriter, r *http.Request) {
				if requests.Add(1) == 1 {
					silent(w, r)
					return
				}
				seen.resumed.Store(time.Now())
				eventStream(3, 0)(w, r)
			}))
		}
		return es
	}
	startNorth := func(es ...*endpoint) *testProxy {
		north := newTestProxy(catalog.Streaming)
		north.route.Resumable = true
		north.start(es...)
		return north
	}
	// expectWholeAfter expects a whole stream of its first endpoint after a change that is
	// made while it is silent.
	expectWholeAfter := func(es []*endpoint, change func()) {
		GinkgoHelper()
		responses := make(chan callerResponse, 1)
		go func() {
			defer GinkgoRecover()
			responses <- south.call("POST", "/r/", "x")
		}()
		Eventually(func() int { return arrivals(es) }, eventuallyTimeout).Should(Equal(1))
		change()
		var resp callerResponse
		Eventually(responses, eventuallyTimeout).Should(Receive(&resp))
		Expect(resp.err).NotTo(HaveOccurred())
		Expect(resp.body).To(Equal(whole))
		Expect(arrivals(es)).To(Equal(1))
	}
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.Header().Set("X-Gateway-Failure", string(types.CodeOverloaded))
		w.Header().Set("X-Gateway-Verdict", types.NotRun.String())
		w.WriteHeader(http.StatusServiceUnavailable)
	}

	DescribeTable("goes on when the other daemon refuses the rest", func(fields ...string) {
		member := fakeDaemon(refuse)
		startSouth([]members.Member{member}, newEndpoint(respondOK), newEndpoint(respondOK))
		resp := south.call("POST", "/r/", "x", fields...)
		Expect(resp.err).NotTo(HaveOccurred())
		Expect(resp.body).To(Equal(whole))
		Expect(left(south)).To(Equal(int(south.retryFixed * 0.9)))
	},
		Entry("of a large prompt", headerPrefix, "7"),
		Entry("of any other request"),
	)

	It("goes on when the other region has no room", func() {
		es := silentFirst(silence)
		north := startNorth(es...)
		startSouth([]members.Member{north.asMember()}, es...)
		expectWholeAfter(es, func() {
			north.fillSlots()
		})
	})

	It("goes on when the other daemon is leaving", func() {
		es := silentFirst(silence)
		north, leaving := startNorth(es...), startNorth(es...)
		startSouth([]members.Member{north.asMember()}, es...)
		expectWholeAfter(es, func() {
			leaving.handler.Leave(time.Minute)
			moved := *south.snap
			moved.Members = []members.Member{leaving.asMember()}
			south.published.Store(&moved)
		})
	})

	It("goes on when the other endpoint is cold", func() {
		es := silentFirst(silence)
		north := newTestProxy(catalog.Streaming)
		north.route.Resumable, north.bounds = true, balance.Bounds{ColdOvershoot: 1}
		north.start(es...)
		north.snap.View.Config.Services[service].ColdPerSecond = 100
		north.update()
		startSouth([]members.Member{north.asMember()}, es...)
		expectWholeAfter(es, func() {
			view := *north.snap.View
			cold := slices.Clone(view.Endpoints[service])
			for i := range cold {
				cold[i].ColdUntil = time.Now().Add(time.Minute)
			}
			view.Endpoints = map[types.ServiceName][]catalog.ActiveEndpoint{service: cold}
			north.gate.Update(&view, balance.Membership{Self: north.self, PeakLive: 1})
		})
	})

	It("goes on, and nothing is sent elsewhere, when its next event comes before the other daemon has room", func() {
		var bodies atomic.Int64
		var asked sync.WaitGroup
		asked.Add(1)
		member := fakeDaemon(func(_ http.ResponseWriter, r *http.Request) {
			defer asked.Done()
			if data, _ := io.ReadAll(r.Body); len(data) > 0 {
				bodies.Add(1)
			}
		})
		startSouth([]members.Member{member}, newEndpoint(respondOK), newEndpoint(respondOK))
		resp := south.call("POST", "/r/", "x")
		Expect(resp.err).NotTo(HaveOccurred())
		Expect(resp.body).To(Equal(whole))
		asked.Wait()
		Expect(bodies.Load()).To(BeZero())
		Expect(left(south)).To(Equal(int(south.retryFixed * 0.9)))
	})

	DescribeTable("resumes at another endpoint, charged once, each event once", func(method, body string, fields ...string) {
		es := silentFirst(time.Minute)
		north := startNorth(es...)
		startSouth([]members.Member{north.asMember()}, es...)
		started := time.Now()
		resp := south.call(method, "/r/", body, fields...)
		Expect(time.Since(started)).To(BeNumerically("<", minStallTimeout))
		Expect(resp.err).NotTo(HaveOccurred())
		Expect(resp.body).To(Equal(whole))
		Expect([]int{es[0].count(), es[1].count()}).To(Equal([]int{1, 1}))
		Eventually(seen.silentEnded.Load, eventuallyTimeout).ShouldNot(BeNil(), "the endpoint learns of it after the caller has its answer")
		Expect(seen.silentEnded.Load()).To(BeTemporally("~", seen.resumed.Load().(time.Time), overlap))
		Expect(es[0].bodies).To(Equal([]string{body}))
		Expect(es[1].bodies).To(Equal([]string{body}))
		Expect(left(south)).To(Equal(int(south.retryFixed*0.9) - 1))
	},
		Entry("for a large prompt", "POST", "x", headerPrefix, "7"),
		Entry("for any other one", "POST", "x"),
		Entry("without a body", "GET", ""),
	)

	It("goes on when the retry budget is spent", func() {
		es := silentFirst(silence)
		north := startNorth(es...)
		startSouth([]members.Member{north.asMember()}, es...)
		left(south)
		resp := south.call("POST", "/r/", "x")
		Expect(resp.err).NotTo(HaveOccurred())
		Expect(resp.body).To(Equal(whole))
		Expect(arrivals(es)).To(Equal(1))
	})

	Describe("at the other daemon", func() {
		var north *testProxy
		var e *endpoint
		var body *io.PipeWriter
		var request *http.Request
		BeforeEach(func() {
			e = newEndpoint(eventStream(3, 0))
			north = startNorth(e)
			var reader *io.PipeReader
			reader, body = io.Pipe()
			DeferCleanup(func() { _ = body.Close() })
			var err error
			request, err = http.NewRequest("POST", north.peerServer.URL+"/r/", reader)
			Expect(err).NotTo(HaveOccurred())
			request.Header.Set(headerID, "q1")
			request.Header.Set("X-Gateway-Forward",
				`{"from":"127.0.0.1:2","route":{"name":"r","kind":"streaming"},"service":"svc","left":60000000000,"elsewhere":true,"reserve":true}`)
		})
		send := func() <-chan callerResponse {
			responses := make(chan callerResponse, 1)
			go func() {
				response, err := http.DefaultTransport.RoundTrip(request)
				if err != nil {
					responses <- callerResponse{err: err}
					return
				}
				defer func() { _ = response.Body.Close() }()
				data, err := io.ReadAll(response.Body)
				responses <- callerResponse{status: response.StatusCode, header: response.Header, body: string(data), err: err}
			}()
			return responses
		}

		It("leaves no endpoint reserved when its body does not come", func() {
			responses := send()
			Eventually(func() int { return inFlight(north) }, eventuallyTimeout).Should(Equal(1))
			var resp callerResponse
			Eventually(responses, eventuallyTimeout).Should(Receive(&resp))
			Expect(resp.header.Get("X-Gateway-Verdict")).To(Equal(types.NotRun.String()))
			Eventually(func() int { return inFlight(north) }, eventuallyTimeout).Should(BeZero())
			Expect(e.count()).To(BeZero())
		})

		It("runs at the reserved endpoint, also if the daemon begins to leave meanwhile", func() {
			responses := send()
			Eventually(func() int { return inFlight(north) }, eventuallyTimeout).Should(Equal(1))
			north.handler.Leave(time.Minute)
			_, err := io.WriteString(body, "x")
			Expect(err).NotTo(HaveOccurred())
			Expect(body.Close()).To(Succeed())
			var resp callerResponse
			Eventually(responses, eventuallyTimeout).Should(Receive(&resp))
			Expect(resp.body).To(Equal(whole))
			Expect(inFlight(north)).To(BeZero())
		})

		It("is refused before its body comes when there is no room", func() {
			north.fillSlots()
			var resp callerResponse
			Eventually(send(), eventuallyTimeout).Should(Receive(&resp))
			Expect(resp.header.Get("X-Gateway-Failure")).To(Equal(string(types.CodeOverloaded)))
		})
	})
})

// left spends what is left of a proxy's fixed retries and returns their number.
func left(w *testProxy) int {
	spent := 0
	for w.budgets.Allow(service, time.Now()) {
		spent++
	}
	return spent
}

// inFlight returns the number of requests that have an endpoint of a proxy's region.
func inFlight(w *testProxy) int {
	total := 0
	for _, load := range w.gate.Loads() {
		total += load.InFlight
	}
	return total
}
