package proxy_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/crashes"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

var _ = Describe("a request", func() {
	It("reaches one endpoint with method, path, query, host and body as sent", func() {
		w, e := newTestProxy(catalog.NonIdempotent), newEndpoint(respondOK)
		w.start(e)
		resp := w.call("PUT", "/r/a%2Fb//c?x=1&y=%20", "the body", "X-Own", "kept", "Connection", "X-Hop", "X-Hop", "dropped")
		Expect(resp.status).To(Equal(200))
		Expect(resp.body).To(Equal("answer to q1"))
		Expect(e.count()).To(Equal(1))
		arrived := e.arrived[0]
		Expect(arrived.Method).To(Equal("PUT"))
		Expect(arrived.RequestURI).To(Equal("/r/a%2Fb//c?x=1&y=%20"))
		Expect(arrived.Host).To(Equal("a.example"))
		Expect(e.bodies[0]).To(Equal("the body"))
		Expect(arrived.Header.Get("X-Own")).To(Equal("kept"))
		Expect(arrived.Header.Get("X-Hop")).To(BeEmpty())
		Expect(arrived.Header.Get(headerEndpoint)).To(Equal("e0"))
	})

	It("is refused without a route and reaches no endpoint", func() {
		w, e := newTestProxy(catalog.Idempotent), newEndpoint(respondOK)
		w.start(e)
		Expect(w.call("GET", "/other/", "").status).To(Equal(404))
		Expect(e.count()).To(BeZero())
	})

	It("is refused as not run while no configuration is known", func() {
		w := newTestProxy(catalog.Idempotent)
		w.start()
		w.snap.View = &catalog.View{}
		resp := w.call("GET", "/r/", "")
		Expect(resp.status).To(Equal(503))
		Expect(resp.header.Get("Retry-After")).NotTo(BeEmpty())
	})

	It("is refused if its body or header is too large", func() {
		w, e := newTestProxy(catalog.NonIdempotent), newEndpoint(respondOK)
		w.limits = catalog.Limits{BodyBytes: 100, HeaderBytes: 1000}
		w.start(e)
		Expect(w.call("POST", "/r/", strings.Repeat("x", 101)).status).To(Equal(413))
		Expect(w.call("POST", "/r/", "", "X-Large", strings.Repeat("x", 1000)).status).To(Equal(431))
		Expect(e.count()).To(BeZero())
	})

	DescribeTable("that is ambiguous reaches no endpoint",
		func(raw string) {
			w, e := newTestProxy(catalog.NonIdempotent), newEndpoint(respondOK)
			w.start(e)
			connection, err := net.Dial("tcp", w.callerServer.Listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = connection.Close() }()
			_, err = io.WriteString(connection, strings.ReplaceAll(raw, "\n", "\r\n"))
			Expect(err).NotTo(HaveOccurred())
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(BeNumerically(">=", 400))
			Expect(e.count()).To(BeZero())
		},
		Entry("two lengths", "POST /r/ HTTP/1.1\nHost: a.example\nX-Id: q\nContent-Length: 3\nContent-Length: 4\n\nabcd"),
		Entry("an unsupported transfer coding", "POST /r/ HTTP/1.1\nHost: a.example\nX-Id: q\nTransfer-Encoding: gzip, chunked\n\n0\n\n"),
		Entry("no host", "GET /r/ HTTP/1.1\nX-Id: q\n\n"),
		Entry("CONNECT", "CONNECT a.example:80 HTTP/1.1\nHost: a.example\nX-Id: q\n\n"),
	)

	It("with a length and chunked coding is read as chunked, and no request is smuggled", func() {
		w, e := newTestProxy(catalog.NonIdempotent), newEndpoint(respondOK)
		w.start(e)
		connection, err := net.Dial("tcp", w.callerServer.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = connection.Close() }()
		smuggled := "POST /r/a HTTP/1.1\r\nHost: a.example\r\nX-Id: q\r\nContent-Length: 60\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"3\r\nabc\r\n0\r\n\r\nGET /other/ HTTP/1.1\r\nHost: a.example\r\nX-Id: hidden\r\n\r\n"
		_, err = io.WriteString(connection, smuggled)
		Expect(err).NotTo(HaveOccurred())
		_, err = http.ReadResponse(bufio.NewReader(connection), nil)
		Expect(err).NotTo(HaveOccurred())
		for i, body := range e.bodies {
			Expect(body).To(Equal("abc"))
			Expect(e.arrived[i].Header.Get(headerID)).To(Equal("q"))
		}
	})

	It("whose content crashed several endpoints reaches no endpoint", func() {
		w, e := newTestProxy(catalog.Idempotent), newEndpoint(respondOK)
		w.start(e)
		Expect(w.call("GET", "/r/", "").status).To(Equal(200))
		w.withhold(time.Now().Add(time.Minute), crashes.ContentTrait(service, "GET", "/r/", "", nil))
		Expect(w.call("GET", "/r/", "").status).To(Equal(503))
		Expect(e.count()).To(Equal(1))
	})
})

var _ = Describe("a response", func() {
	DescribeTable("that can't be the endpoint's complete response is no success",
		func(respond http.HandlerFunc) {
			w, e := newTestProxy(catalog.NonIdempotent), newEndpoint(respond)
			w.start(e)
			resp := w.call("POST", "/r/", "x")
			Expect(resp.status).To(Equal(502))
			Expect(e.count()).To(Equal(1))
		},
		Entry("without a signature", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(headerID, r.Header.Get(headerID))
			_, _ = io.WriteString(w, "x")
		}),
		Entry("of another request", func(w http.ResponseWriter, r *http.Request) {
			signResponse(w, r)
			w.Header().Set(headerID, "other")
			_, _ = io.WriteString(w, "x")
		}),
		Entry("encoded", func(w http.ResponseWriter, r *http.Request) {
			signResponse(w, r)
			w.Header().Set("Content-Encoding", "gzip")
			_, _ = io.WriteString(w, "x")
		}),
		Entry("shorter than its length", func(w http.ResponseWriter, r *http.Request) {
			signResponse(w, r)
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "x")
		}),
		Entry("a refusal of another request", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(headerID, "other")
			respondNotRun(w, r)
		}),
	)

	It("of a server error is relayed with the endpoint's status, signature and body", func() {
		w, e := newTestProxy(catalog.NonIdempotent), newEndpoint(respondServerError)
		w.start(e)
		resp := w.call("POST", "/r/", "x")
		Expect(resp.status).To(Equal(500))
		Expect(resp.body).To(Equal("failed"))
		Expect(resp.header.Get(headerSignature)).To(Equal("s"))
	})
})

var _ = Describe("a further attempt", func() {
	It("follows a refusal that was not run, also for a non-idempotent request", func() {
		w, full, free := newTestProxy(catalog.NonIdempotent), newEndpoint(respondNotRun), newEndpoint(respondOK)
		w.start(full, free)
		for range 6 {
			Expect(w.call("POST", "/r/", "x").status).To(Equal(200))
		}
		Expect(free.count()).To(Equal(6))
	})

	It("ends in a refusal with Retry-After if every endpoint refused", func() {
		w := newTestProxy(catalog.NonIdempotent)
		w.start(newEndpoint(respondNotRun), newEndpoint(respondNotRun))
		resp := w.call("POST", "/r/", "x")
		Expect(resp.status).To(Equal(503))
		Expect(resp.header.Get("Retry-After")).NotTo(BeEmpty())
	})

	It("never follows a broken connection of a non-idempotent request", func() {
		w := newTestProxy(catalog.NonIdempotent)
		broken := newEndpoint(func(w http.ResponseWriter, _ *http.Request) { resetConnection(w) })
		other := newEndpoint(func(w http.ResponseWriter, _ *http.Request) { resetConnection(w) })
		w.start(broken, other)
		Expect(w.call("POST", "/r/", "x").status).To(Equal(502))
		Expect(broken.count() + other.count()).To(Equal(1))
	})

	It("never follows a broken keep-alive connection either, whatever the method", func() {
		w := newTestProxy(catalog.NonIdempotent)
		calls := 0
		e := newEndpoint(func(rw http.ResponseWriter, r *http.Request) {
			calls++
			if calls == 1 {
				respondOK(rw, r)
				return
			}
			resetConnection(rw)
		})
		w.start(e)
		Expect(w.call("GET", "/r/", "").status).To(Equal(200))
		Expect(w.call("GET", "/r/", "").status).To(Equal(502))
		Expect(e.count()).To(Equal(2))
	})

	It("follows a server error of an idempotent request, at another endpoint", func() {
		w, broken, good := newTestProxy(catalog.Idempotent), newEndpoint(respondServerError), newEndpoint(respondOK)
		w.start(broken, good)
		for range 4 {
			Expect(w.call("GET", "/r/", "").status).To(Equal(200))
		}
	})

	It("respects the route's attempt limit", func() {
		w := newTestProxy(catalog.Idempotent)
		es := []*endpoint{newEndpoint(respondServerError), newEndpoint(respondServerError), newEndpoint(respondServerError)}
		w.start(es...)
		Expect(w.call("GET", "/r/", "").status).To(Equal(500))
		Expect(es[0].count() + es[1].count() + es[2].count()).To(Equal(2))
	})

	It("respects the retry budget", func() {
		w := newTestProxy(catalog.Idempotent)
		w.retryRatio, w.retryFixed = 0, 5
		a, b := newEndpoint(respondServerError), newEndpoint(respondServerError)
		w.start(a, b)
		for range 30 {
			w.call("GET", "/r/", "")
		}
		Expect(a.count() + b.count()).To(BeNumerically("<=", 30+5))
	})

	It("goes to another endpoint if one has no listener", func() {
		w, gone, good := newTestProxy(catalog.NonIdempotent), newEndpoint(respondOK), newEndpoint(respondOK)
		w.start(gone, good)
		gone.server.Close()
		for range 4 {
			Expect(w.call("POST", "/r/", "x").status).To(Equal(200))
		}
	})
})

var _ = Describe("time", func() {
	It("ends a request at the route's timeout with 504", func() {
		w := newTestProxy(catalog.NonIdempotent)
		w.route.Timeout = 300 * time.Millisecond
		release := make(chan struct{})
		DeferCleanup(func() { close(release) })
		w.start(newEndpoint(func(http.ResponseWriter, *http.Request) { <-release }))
		Expect(w.call("POST", "/r/", "x").status).To(Equal(504))
	})

	It("ends an endpoint's work when the caller leaves", func() {
		w := newTestProxy(catalog.Idempotent)
		ended := make(chan struct{})
		w.start(newEndpoint(func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			close(ended)
		}))
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		outgoing, err := http.NewRequestWithContext(ctx, http.MethodGet, w.callerServer.URL+"/r/", nil)
		Expect(err).NotTo(HaveOccurred())
		outgoing.Host = "a.example"
		_, err = http.DefaultTransport.RoundTrip(outgoing)
		Expect(err).To(HaveOccurred())
		Eventually(ended, eventuallyTimeout).Should(BeClosed())
	})

	It("refuses a body that does not arrive in the time allowed", func() {
		w, e := newTestProxy(catalog.NonIdempotent), newEndpoint(respondOK)
		w.start(e)
		connection, err := net.Dial("tcp", w.callerServer.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = connection.Close() }()
		_, err = io.WriteString(connection, "POST /r/ HTTP/1.1\r\nHost: a.example\r\nX-Id: q\r\nX-Allowed: 200ms\r\nContent-Length: 10\r\n\r\nabc")
		Expect(err).NotTo(HaveOccurred())
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(400))
		Expect(e.count()).To(BeZero())
	})
})

var _ = Describe("a stream", func() {
	const whole = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n"

	It("is relayed event by event", func() {
		w := newTestProxy(catalog.Streaming)
		w.start(newEndpoint(eventStream(4, 0)))
		resp := w.call("POST", "/r/", "x")
		Expect(resp.err).NotTo(HaveOccurred())
		Expect(resp.body).To(Equal(whole))
	})

	It("that broke off never looks complete, and is not run again", func() {
		w, a, b := newTestProxy(catalog.Streaming), newEndpoint(eventStream(4, 2)), newEndpoint(eventStream(4, 2))
		w.start(a, b)
		resp := w.call("POST", "/r/", "x")
		Expect(resp.err).To(HaveOccurred())
		Expect(resp.body).NotTo(ContainSubstring("half"))
		Expect(a.count() + b.count()).To(Equal(1))
	})

	It("that is resumable resumes at another endpoint after the last complete event", func() {
		w, a, b := newTestProxy(catalog.Streaming), newEndpoint(eventStream(4, 2)), newEndpoint(eventStream(4, 2))
		w.route.Resumable = true
		w.start(a, b)
		resp := w.call("POST", "/r/", "x")
		Expect(resp.err).NotTo(HaveOccurred())
		Expect(resp.body).To(Equal(whole))
		Expect(a.count()).To(Equal(1))
		Expect(b.count()).To(Equal(1))
	})

	It("is not continued with a response of another kind", func() {
		w, a, b := newTestProxy(catalog.Streaming), newEndpoint(eventStream(4, 2)), newEndpoint(respondServerError)
		w.route.Resumable = true
		w.start(a, b)
		for range 4 {
			resp := w.call("POST", "/r/", "x")
			Expect(resp.err != nil || resp.status == 500 || resp.body == whole).To(BeTrue())
			Expect(resp.body).NotTo(ContainSubstring("piece 2\n\nfailed"))
		}
	})
})

var _ = Describe("another region", func() {
	// startRegions starts a proxy in the south whose requests can only run in the north.
	startRegions := func(kind catalog.Kind, homes []types.Region, es ...*endpoint) (south, north *testProxy) {
		north = newTestProxy(kind)
		north.route.AllowedRegions = homes
		north.start(es...)
		south = newTestProxy(kind)
		south.route.AllowedRegions = homes
		south.moveSouth(north.asMember())
		south.start(es...)
		return south, north
	}

	It("runs a request whose route excludes the local region, over one hop", func() {
		e := newEndpoint(respondOK)
		south, _ := startRegions(catalog.NonIdempotent, []types.Region{"north"}, e)
		resp := south.call("POST", "/r/x?y=1", "the body")
		Expect(resp.status).To(Equal(200))
		Expect(resp.body).To(Equal("answer to q1"))
		Expect(e.arrived[0].RequestURI).To(Equal("/r/x?y=1"))
		Expect(e.bodies[0]).To(Equal("the body"))
		Expect(e.arrived[0].Header).NotTo(HaveKey("X-Gateway-Forward"))
	})

	It("runs a request for which the local region has no endpoint, however busy it is", func() {
		e := newEndpoint(respondOK)
		south, _ := startRegions(catalog.NonIdempotent, nil, e)
		south.snap.Members[0].Loads = []members.Load{{Service: service, InFlight: 1000}}
		Expect(south.call("POST", "/r/", "x").status).To(Equal(200))
		Expect(e.count()).To(Equal(1))
	})

	// callsNorth makes a few calls in the south, whose own endpoint takes 300 ms, while the
	// daemon in the north tells of a response time, and returns how many go north.
	callsNorth := func(told int, homes ...types.Region) int {
		north := newEndpoint(respondOK)
		local := newEndpoint(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(300 * time.Millisecond)
			respondOK(w, r)
		})
		south, _ := startRegions(catalog.Idempotent, homes, north)
		view := south.snap.View
		view.Endpoints[service] = append(view.Endpoints[service], catalog.ActiveEndpoint{Endpoint: &catalog.Endpoint{
			ID: "own", Service: service, Address: local.address(), Region: "south", Slots: 4,
		}})
		callForPredictions(view.Config)
		view.Config.Prepare()
		south.update()
		south.snap.Members[0].Loads = []members.Load{{Service: service, InFlight: 1, ResponseMillis: told}}
		for range 12 {
			Expect(south.call("GET", "/r/", "").status).To(Equal(200))
		}
		return north.count()
	}

	It("gets some of the requests that the local region would answer later, although it has capacity", func() {
		Expect(callsNorth(10)).To(And(BeNumerically(">", 0), BeNumerically("<", 12)))
	})

	It("gets none of them if it told nothing, if the way takes longer, or if the data may not go there", func() {
		Expect(callsNorth(0)).To(BeZero())
		Expect(callsNorth(60_000)).To(BeZero())
		Expect(callsNorth(10, "south")).To(BeZero())
	})

	It("runs large prompts where their prefix is cached, however busy it is", func() {
		north, local := newEndpoint(respondOK), newEndpoint(respondOK)
		south, _ := startRegions(catalog.Idempotent, nil, north)
		view := south.snap.View
		view.Endpoints[service] = append(view.Endpoints[service], catalog.ActiveEndpoint{Endpoint: &catalog.Endpoint{
			ID: "own", Service: service, Address: local.address(), Region: "south", Slots: 4,
		}})
		south.update()
		south.snap.Members[0].Loads = []members.Load{{Service: service, InFlight: 1000}}
		homes := map[types.Region]int{}
		for prefix := range uint64(20) {
			home, _ := balance.PrefixHome(view.Endpoints[service], prefix, func(catalog.ActiveEndpoint) bool { return true })
			homes[home.Region]++
			Expect(south.call("GET", "/r/", "", headerPrefix, strconv.FormatUint(prefix, 10)).status).To(Equal(200))
		}
		Expect(homes).To(HaveLen(2))
		Expect(north.count()).To(Equal(homes["north"]))
		Expect(local.count()).To(Equal(homes["south"]))
	})

	It("lets an endpoint copy a prefix from the evacuated home of the prefix, once", func() {
		var copied []string
		here := newEndpoint(func(w http.ResponseWriter, r *http.Request) {
			copied = append(copied, r.Header.Get(headerFetchFrom))
			respondOK(w, r)
		})
		w := newTestProxy(catalog.Idempotent)
		w.modelEngine = true
		w.start(here)
		w.snap.View.Config.Services[service].Engine.FetchRate = 200_000
		home := catalog.ActiveEndpoint{Endpoint: &catalog.Endpoint{ID: "gone", Service: service, Address: "10.0.0.9:80", Region: "south", Slots: 4}}
		prefix := uint64(1)
		for ; ; prefix++ {
			both := append([]catalog.ActiveEndpoint{home}, w.snap.View.Endpoints[service]...)
			if first, _ := balance.PrefixHome(both, prefix, func(catalog.ActiveEndpoint) bool { return true }); first.ID == home.ID {
				break
			}
		}
		w.snap.View.Leaving = map[types.ServiceName][]catalog.ActiveEndpoint{service: {home}}
		w.update()
		for range 2 {
			Expect(w.call("GET", "/r/", "", headerPrefix, strconv.FormatUint(prefix, 10)).status).To(Equal(200))
		}
		Expect(copied).To(Equal([]string{"10.0.0.9:80", ""}))
	})

	It("receives large prompts through a daemon in the endpoint's data centre", func() {
		here, there := newEndpoint(respondOK), newEndpoint(respondOK)
		south, north := startRegions(catalog.Idempotent, nil, there)
		other := newTestProxy(catalog.Idempotent)
		other.start(here)
		near, far := north.asMember(), other.asMember()
		near.DataCentre, far.DataCentre = "north-a", "north-b"
		south.snap.Members = []members.Member{near, far}
		for _, placed := range south.snap.View.Endpoints[service] {
			placed.DataCentre = "north-a"
		}
		south.update()
		for prefix := range 20 {
			Expect(south.call("GET", "/r/", "", headerPrefix, strconv.Itoa(prefix)).status).To(Equal(200))
		}
		Expect(there.count()).To(Equal(20))
		Expect(here.count()).To(BeZero())
	})

	It("has the second home if the first has no capacity; if it has none either, the refusal comes at once", func() {
		const prefix = 7
		first, second := newEndpoint(respondOK), newEndpoint(respondOK)
		startRegion := func(region types.Region, e *endpoint) *testProxy {
			w := newTestProxy(catalog.Idempotent)
			w.modelEngine, w.region, w.endpointRegion = true, region, region
			w.self = types.VMID(region)
			w.start(e)
			return w
		}
		north, east := startRegion("north", first), startRegion("east", second)
		south := newTestProxy(catalog.Idempotent)
		south.modelEngine, south.region, south.self = true, "south", "south"
		south.members = []members.Member{north.asMember(), east.asMember()}
		south.start(first, second)
		placed := south.snap.View.Endpoints[service]
		home, _ := balance.PrefixHome(placed, prefix, func(catalog.ActiveEndpoint) bool { return true })
		for _, ep := range placed {
			ep.Region = "east"
			if ep.ID == home.ID {
				ep.Region = "north"
			}
		}
		south.update()
		fillWithLargePrompts := func(w *testProxy) {
			info := balance.RequestInfo{
				Service: service, Prefix: prefix, PrefixTokens: 13_300, PromptTokens: 17_000, Objective: time.Second,
				Arrived: time.Now(), Deadline: time.Now().Add(time.Minute),
			}
			for {
				if permit, _ := w.gate.Try(info); permit == nil {
					return
				}
			}
		}
		fillWithLargePrompts(north)
		Expect(south.call("GET", "/r/", "", headerPrefix, strconv.Itoa(prefix)).status).To(Equal(200))
		Expect([]int{first.count(), second.count()}).To(Equal([]int{0, 1}))
		fillWithLargePrompts(east)
		started := time.Now()
		resp := south.call("GET", "/r/", "", headerPrefix, strconv.Itoa(prefix))
		Expect(resp.status).To(Equal(503))
		Expect(resp.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(time.Since(started)).To(BeNumerically("<", south.route.Objective))
	})

	It("resumes a stream that broke off there", func() {
		es := []*endpoint{newEndpoint(eventStream(4, 2)), newEndpoint(eventStream(4, 2))}
		south, _ := startRegions(catalog.Streaming, []types.Region{"north"}, es...)
		south.route.Resumable = true
		resp := south.call("POST", "/r/", "x")
		Expect(resp.err).NotTo(HaveOccurred())
		Expect(strings.Count(resp.body, "data:")).To(Equal(4))
		Expect([]int{es[0].count(), es[1].count()}).To(Equal([]int{1, 1}))
	})

	It("retries a request at another endpoint than the one that failed it there", func() {
		es := []*endpoint{newEndpoint(respondServerError), newEndpoint(respondServerError)}
		south, _ := startRegions(catalog.Idempotent, []types.Region{"north"}, es...)
		resp := south.call("GET", "/r/", "")
		Expect(resp.status).To(Equal(500))
		Expect(resp.header).NotTo(HaveKey("X-Gateway-Endpoint"))
		Expect([]int{es[0].count(), es[1].count()}).To(Equal([]int{1, 1}))
	})

	It("passes its streams on, and the end of a caller", func() {
		south, _ := startRegions(catalog.Streaming, []types.Region{"north"}, newEndpoint(eventStream(3, 0)))
		resp := south.call("POST", "/r/", "x")
		Expect(resp.err).NotTo(HaveOccurred())
		Expect(strings.Count(resp.body, "data:")).To(Equal(3))
	})

	It("never lets a stream that broke off look complete", func() {
		south, _ := startRegions(catalog.Streaming, []types.Region{"north"}, newEndpoint(eventStream(4, 2)))
		Expect(south.call("POST", "/r/", "x").err).To(HaveOccurred())
	})

	It("respects the route's attempt limit across the hop", func() {
		es := []*endpoint{newEndpoint(respondServerError), newEndpoint(respondServerError), newEndpoint(respondServerError)}
		south, _ := startRegions(catalog.Idempotent, []types.Region{"north"}, es...)
		Expect(south.call("GET", "/r/", "").status).To(Equal(500))
		Expect(es[0].count() + es[1].count() + es[2].count()).To(Equal(2))
	})

	It("passes on the Retry-After of a busy region if no other region is left", func() {
		busy := newEndpoint(respondOK)
		south, north := startRegions(catalog.NonIdempotent, []types.Region{"north"}, busy)
		release := north.fillQueue(busy)
		defer release()
		resp := south.call("POST", "/r/", "x")
		Expect(resp.status).To(Equal(503))
		Expect(resp.body).To(ContainSubstring(string(types.CodeOverloaded)))
		advice, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(advice).To(BeNumerically(">=", 0.7))
	})

	It("says that a request was not run when it was refused there", func() {
		south, _ := startRegions(catalog.NonIdempotent, []types.Region{"north"}, newEndpoint(respondNotRun), newEndpoint(respondNotRun))
		resp := south.call("POST", "/r/", "x")
		Expect(resp.status).To(Equal(503))
		Expect(resp.header.Get("X-Gateway-Failure")).To(BeEmpty())
	})

	It("does not run a request whose route excludes it, and does not forward it again", func() {
		e := newEndpoint(respondOK)
		south, north := startRegions(catalog.NonIdempotent, []types.Region{"east"}, e)
		north.snap.Members = []members.Member{south.asMember()}
		Expect(south.call("POST", "/r/", "x").status).To(Equal(503))
		Expect(e.count()).To(BeZero())
	})

	It("ignores an envelope from a caller", func() {
		w, e := newTestProxy(catalog.NonIdempotent), newEndpoint(respondOK)
		w.start(e)
		w.call("POST", "/r/", "x", "X-Gateway-Forward", "{}")
		Expect(e.arrived[0].Header).NotTo(HaveKey("X-Gateway-Forward"))
	})
})
