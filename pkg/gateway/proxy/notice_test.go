package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/gateway/proxy"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// farDataCentre makes requests prefer other endpoints while these have room.
const farDataCentre = types.DataCentre("far")

// saysLeaving makes responses say that the endpoint is leaving.
func saysLeaving(respond http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerLeaving, "1")
		respond(w, r)
	}
}

// successOf returns the successful response of a kind of route.
func successOf(kind catalog.Kind) http.HandlerFunc {
	if kind == catalog.Streaming {
		return eventStream(2, 0)
	}
	return respondOK
}

// asksPause turns requests away and asks for a pause.
func asksPause(pause time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerBackoff, pause.String())
		respondNotRun(w, r)
	}
}

// startNearAndFar starts the proxy with an endpoint that gets the requests while
// it can, and another one.
func startNearAndFar(w *testProxy, near, far *endpoint) {
	w.start(near, far)
	w.snap.View.Endpoints[service][1].DataCentre = farDataCentre
	w.update()
}

// endpointOf returns the published endpoint with an index.
func (w *testProxy) endpointOf(index int) *catalog.Endpoint {
	return w.snap.View.Endpoints[service][index].Endpoint
}

var _ = Describe("An endpoint that says that it is leaving", func() {
	DescribeTable("gets no further request", func(kind catalog.Kind, method string, respond http.HandlerFunc) {
		w := newTestProxy(kind)
		near, far := newEndpoint(saysLeaving(respond)), newEndpoint(successOf(kind))
		startNearAndFar(w, near, far)
		w.call(method, "/r/", "")
		Expect(near.count()).To(Equal(1))
		for range 20 {
			Expect(w.call(method, "/r/", "").status).To(Equal(200))
		}
		Expect(near.count()).To(Equal(1))
	},
		Entry("after a success", catalog.Idempotent, "GET", respondOK),
		Entry("after a failure", catalog.Idempotent, "GET", respondServerError),
		Entry("after a failure that can't be repeated", catalog.NonIdempotent, "POST", respondServerError),
		Entry("after a refusal", catalog.NonIdempotent, "POST", respondNotRun),
		Entry("after a response to another request", catalog.Idempotent, "GET", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerID, "another")
		}),
		Entry("after a response without a signature", catalog.Idempotent, "GET", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(headerID, r.Header.Get(headerID))
		}),
		Entry("after a response that breaks off", catalog.Idempotent, "GET", func(w http.ResponseWriter, r *http.Request) {
			signResponse(w, r)
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}),
		Entry("after a stream", catalog.Streaming, "POST", eventStream(3, 0)),
	)

	DescribeTable("gets none from the moment when the head of its response is read", func(kind catalog.Kind, head func(http.ResponseWriter, *http.Request), rest string) {
		w := newTestProxy(kind)
		finish := make(chan struct{})
		near := newEndpoint(saysLeaving(func(w http.ResponseWriter, r *http.Request) {
			signResponse(w, r)
			head(w, r)
			_ = http.NewResponseController(w).Flush()
			<-finish
			_, _ = io.WriteString(w, rest)
		}))
		far := newEndpoint(successOf(kind))
		startNearAndFar(w, near, far)
		var running conc.WaitGroup
		defer running.Wait()
		defer sync.OnceFunc(func() { close(finish) })()
		var first callerResponse
		running.Go(func() { first = w.call("POST", "/r/", "x") })
		Eventually(func() bool { return w.gate.Takes(w.endpointOf(0)) }, eventuallyTimeout).Should(BeFalse())
		for range 20 {
			Expect(w.call("POST", "/r/", "x").status).To(Equal(200))
		}
		Expect(near.count()).To(Equal(1))
		finish <- struct{}{}
		running.Wait()
		Expect(first.err).NotTo(HaveOccurred())
		Expect(first.status).To(Equal(200))
		Expect(first.body).To(HaveSuffix(rest))
	},
		Entry("a stream", catalog.Streaming, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "id: 1\ndata: piece 1\n\n")
		}, "id: 2\ndata: piece 2\n\n"),
		Entry("a body that comes slowly", catalog.Idempotent, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "first half")
		}, "second half"),
	)

	It("gets no request that waited for a connection to it; that request is not counted as sent and goes elsewhere", func() {
		expectElsewhereAfter(saysLeaving(respondOK), http.StatusOK, 3)
	})

	It("as the last one of its service makes requests be refused as not run, and at once", func() {
		w := newTestProxy(catalog.NonIdempotent)
		only := newEndpoint(saysLeaving(respondOK))
		w.start(only)
		Expect(w.call("POST", "/r/", "x").status).To(Equal(200))
		began := time.Now()
		resp := w.call("POST", "/r/", "x")
		Expect(resp.status).To(Equal(503))
		Expect(resp.body).To(ContainSubstring(types.NotRun.String()))
		Expect(time.Since(began)).To(BeNumerically("<", w.route.Objective))
		Expect(only.count()).To(Equal(1))
	})

	It("as the last one of its region makes requests go to another region", func() {
		expectRemoteAfterFirst(saysLeaving(respondOK), 4)
	})

	It("is not the one that answered for another one with the same address", func() {
		w := newTestProxy(catalog.Idempotent)
		w.start(newEndpoint(saysLeaving(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) })))
		w.call("GET", "/r/", "")
		Expect(w.gate.Takes(w.endpointOf(0))).To(BeTrue())
	})

	It("gets no request that the transport would send again after its kept connection was closed", func() {
		w := newTestProxy(catalog.Idempotent)
		w.route.MaxAttempts = 1
		raw := newRawEndpoint(func(connection net.Conn, id string, number int) bool {
			if number > 0 {
				w.gate.Note(w.endpointOf(0), balance.Notice{Leaving: true})
				return false
			}
			_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: 2\r\n\r\nok", headerID, id, headerSignature)
			return true
		})
		startWithRaw(w, raw)
		Expect(w.call("GET", "/r/", "").status).To(Equal(200))
		Expect(w.call("GET", "/r/", "").status).NotTo(Equal(200))
		Consistently(raw.count, 200*time.Millisecond).Should(Equal(2))
	})

	It("gets nothing later than its response under load", func() {
		w := newTestProxy(catalog.Idempotent)
		var mu sync.Mutex
		var arrivals []time.Time
		var said time.Time
		near := newEndpoint(func(rw http.ResponseWriter, r *http.Request) {
			mu.Lock()
			arrivals = append(arrivals, time.Now())
			leaving := len(arrivals) > 200
			if leaving && said.IsZero() {
				said = time.Now()
			}
			mu.Unlock()
			if leaving {
				rw.Header().Set(headerLeaving, "1")
			}
			respondOK(rw, r)
		})
		startNearAndFar(w, near, newEndpoint(respondOK))
		var callers conc.WaitGroup
		for range 16 {
			callers.Go(func() {
				for range 100 {
					Expect(w.call("GET", "/r/", "").status).To(Equal(200))
				}
			})
		}
		callers.Wait()
		mu.Lock()
		defer mu.Unlock()
		Expect(said).NotTo(BeZero())
		Expect(len(arrivals)).To(BeNumerically("<=", 201+16))
		Expect(arrivals[len(arrivals)-1].Sub(said)).To(BeNumerically("<", 500*time.Millisecond))
	})

	It("together with most others leaves the callers to those that stay", func() {
		const all, staying = 6, 2
		w := newTestProxy(catalog.NonIdempotent)
		w.route.MaxAttempts = 1
		var leaving atomic.Bool
		var late atomic.Int64
		var endpoints []*endpoint
		for i := range all {
			var said atomic.Pointer[time.Time]
			endpoints = append(endpoints, newEndpoint(func(rw http.ResponseWriter, r *http.Request) {
				now := time.Now()
				if first := said.Load(); first != nil && now.Sub(*first) > 500*time.Millisecond {
					late.Add(1)
				}
				if i >= staying && leaving.Load() {
					rw.Header().Set(headerLeaving, "1")
					said.CompareAndSwap(nil, &now)
				}
				respondOK(rw, r)
			}))
		}
		w.start(endpoints...)
		began := time.Now()
		var callers conc.WaitGroup
		for range 8 {
			callers.Go(func() {
				for time.Since(began) < 1500*time.Millisecond {
					Expect(w.call("POST", "/r/", "x").status).To(Equal(200))
					leaving.Store(time.Since(began) > 300*time.Millisecond)
				}
			})
		}
		callers.Wait()
		for i := range endpoints {
			Expect(w.gate.Takes(w.endpointOf(i))).To(Equal(i < staying))
		}
		Expect(late.Load()).To(BeZero())
	})

	Describe("to another daemon", func() {
		// startOwner starts a daemon of the region that gets the large prompts for the
		// endpoint from the other daemon, which receives them from callers.
		startOwner := func(kind catalog.Kind, e *endpoint) (origin, owner *testProxy) {
			owner = newTestProxy(kind)
			owner.modelEngine = true
			owner.start(e)
			member := owner.asMember()
			origin = newTestProxy(kind)
			origin.modelEngine = true
			for port := 1; ; port++ {
				origin.self = types.VMID(fmt.Sprintf("127.0.0.1:%d", port))
				chosen, _ := balance.LargePromptOwner(owner.snap.View.Endpoints[service][0], []balance.Daemon{{VM: origin.self}, {VM: member.VM}})
				if chosen == member.VM {
					break
				}
			}
			origin.members = []members.Member{member}
			origin.start(e)
			return origin, owner
		}
		const prefix = 7

		DescribeTable("gets nothing from both of them", func(kind catalog.Kind, respond http.HandlerFunc, status int) {
			e := newEndpoint(saysLeaving(respond))
			origin, owner := startOwner(kind, e)
			resp := origin.call("POST", "/r/", "x", headerPrefix, strconv.Itoa(prefix))
			Expect(resp.status).To(Equal(status))
			Expect(resp.header).NotTo(HaveKey("X-Gateway-Leaving"))
			Expect(owner.gate.Takes(owner.endpointOf(0))).To(BeFalse())
			Expect(origin.gate.Takes(origin.endpointOf(0))).To(BeFalse())
			Expect(origin.call("POST", "/r/", "x").status).To(Equal(503))
			Expect(owner.call("POST", "/r/", "x").status).To(Equal(503))
			Expect(e.count()).To(Equal(1))
		},
			Entry("after a success", catalog.NonIdempotent, respondOK, 200),
			Entry("after a failure", catalog.NonIdempotent, respondServerError, 500),
			Entry("after a refusal", catalog.NonIdempotent, respondNotRun, 503),
			Entry("after a stream", catalog.Streaming, eventStream(2, 0), 200),
		)

		It("is not the home of large prompts any more", func() {
			home := newEndpoint(saysLeaving(respondOK))
			origin, owner := startOwner(catalog.NonIdempotent, home)
			counter := &requestCounter{RoundTripper: proxy.NewTransport(), address: string(owner.asMember().VM)}
			origin.transport = counter
			next := newEndpoint(respondOK)
			origin.start(home, next)
			large := func(prefix uint64) callerResponse {
				return origin.call("POST", "/r/", "x", headerPrefix, strconv.FormatUint(prefix, 10))
			}
			moveToOwner(origin, 1, origin.self)
			prefix := prefixOwnedBy(origin, 0)
			for range 5 {
				Expect(large(prefix).status).To(Equal(200))
			}
			Expect(counter.count()).To(Equal(1))
			Expect([]int{home.count(), next.count()}).To(Equal([]int{1, 4}))
		})

		It("does not bind the next incarnation here", func() {
			e := newEndpoint(saysLeaving(respondOK))
			origin, owner := startOwner(catalog.NonIdempotent, e)
			owner.endpointOf(0).StartedAt, origin.endpointOf(0).StartedAt = 1000, 2000
			owner.update()
			origin.update()
			Expect(origin.call("POST", "/r/", "x", headerPrefix, strconv.Itoa(prefix)).status).To(Equal(200))
			Expect(origin.gate.Takes(origin.endpointOf(0))).To(BeTrue())
		})

		It("pauses only for the daemon that it asked", func() {
			e := newEndpoint(asksPause(time.Minute))
			origin, owner := startOwner(catalog.NonIdempotent, e)
			resp := origin.call("POST", "/r/", "x", headerPrefix, strconv.Itoa(prefix))
			Expect(resp.status).To(Equal(503))
			Expect(owner.gate.Takes(owner.endpointOf(0))).To(BeFalse())
			Expect(origin.gate.Takes(origin.endpointOf(0))).To(BeTrue())
		})

		It("of another region does not affect an endpoint of this region with the same ID", func() {
			local, remote := newEndpoint(respondOK), newEndpoint(saysLeaving(respondOK))
			north := newTestProxy(catalog.NonIdempotent)
			north.route.AllowedRegions = []types.Region{"north"}
			north.start(remote)
			south := newTestProxy(catalog.NonIdempotent)
			south.route.AllowedRegions = []types.Region{"north"}
			south.endpointRegion = "south"
			south.moveSouth(north.asMember())
			south.start(local)
			addRemoteEndpoint(south, "north")
			Expect(south.call("POST", "/r/", "x").status).To(Equal(200))
			Expect(remote.count()).To(Equal(1))
			Expect(south.gate.Takes(south.endpointOf(0))).To(BeTrue())
		})
	})
})

// requestCounter counts the requests that are sent to an address.
type requestCounter struct {
	http.RoundTripper
	address string
	sent    atomic.Int64
}

func (c *requestCounter) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.URL.Host == c.address {
		c.sent.Add(1)
	}
	return c.RoundTripper.RoundTrip(request)
}

func (c *requestCounter) count() int {
	return int(c.sent.Load())
}

// prefixOwnedBy returns a prefix whose home is the endpoint with an index.
func prefixOwnedBy(w *testProxy, index int) uint64 {
	for prefix := uint64(1); ; prefix++ {
		home, _ := balance.PrefixHome(w.snap.View.Endpoints[service], prefix, func(catalog.ActiveEndpoint) bool { return true })
		if home.ID == w.endpointOf(index).ID {
			return prefix
		}
	}
}

// moveToOwner renames an endpoint so that a daemon sends it its large prompts.
func moveToOwner(w *testProxy, index int, owner types.VMID) {
	daemons := []balance.Daemon{{VM: w.self}, {VM: w.members[0].VM}}
	for number := 0; ; number++ {
		w.endpointOf(index).ID = types.EndpointID(fmt.Sprintf("own-%d", number))
		if chosen, _ := balance.LargePromptOwner(w.snap.View.Endpoints[service][index], daemons); chosen == owner {
			w.update()
			return
		}
	}
}

// addRemoteEndpoint publishes an endpoint of another region to the proxy.
func addRemoteEndpoint(w *testProxy, region types.Region) {
	w.snap.View.Endpoints[service] = append(w.snap.View.Endpoints[service], catalog.ActiveEndpoint{Endpoint: &catalog.Endpoint{
		ID: "remote", Service: service, Address: "unused:80", Region: region, Slots: 4,
	}})
	w.update()
}

// expectRemoteAfterFirst sends five requests to a proxy whose region has one endpoint, which
// responds as told, and another region another one. All are answered; the first endpoint gets
// only the first, and the other one a number of them.
func expectRemoteAfterFirst(respond http.HandlerFunc, remote int) {
	GinkgoHelper()
	localEndpoint, remoteEndpoint := newEndpoint(respond), newEndpoint(respondOK)
	north := newTestProxy(catalog.NonIdempotent)
	north.start(remoteEndpoint)
	north.endpointOf(0).ID = "remote"
	north.update()
	south := newTestProxy(catalog.NonIdempotent)
	south.endpointRegion = "south"
	south.moveSouth(north.asMember())
	south.start(localEndpoint)
	addRemoteEndpoint(south, "north")
	for range 5 {
		Expect(south.call("POST", "/r/", "x").status).To(Equal(200))
	}
	Expect([]int{localEndpoint.count(), remoteEndpoint.count()}).To(Equal([]int{1, remote}))
}
