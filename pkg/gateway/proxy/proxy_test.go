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
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

var _ = Describe("a request", func() {
	It("reaches one endpoint with method, path, query, host and body as sent", func() {
		w, e := newWorld(catalog.NonIdempotent), newEndpoint(answerOK)
		w.start(e)
		got := w.call("PUT", "/r/a%2Fb//c?x=1&y=%20", "the body", "X-Own", "kept", "Connection", "X-Hop", "X-Hop", "dropped")
		Expect(got.status).To(Equal(200))
		Expect(got.body).To(Equal("answer to q1"))
		Expect(e.count()).To(Equal(1))
		arrived := e.arrived[0]
		Expect(arrived.Method).To(Equal("PUT"))
		Expect(arrived.RequestURI).To(Equal("/r/a%2Fb//c?x=1&y=%20"))
		Expect(arrived.Host).To(Equal("a.example"))
		Expect(e.bodies[0]).To(Equal("the body"))
		Expect(arrived.Header.Get("X-Own")).To(Equal("kept"))
		Expect(arrived.Header.Get("X-Hop")).To(BeEmpty())
		Expect(arrived.Header.Get(fieldEndpoint)).To(Equal("e0"))
	})

	It("is refused without a route, and reaches nobody", func() {
		w, e := newWorld(catalog.Idempotent), newEndpoint(answerOK)
		w.start(e)
		Expect(w.call("GET", "/other/", "").status).To(Equal(404))
		Expect(e.count()).To(BeZero())
	})

	It("is refused as not run while no configuration is known", func() {
		w := newWorld(catalog.Idempotent)
		w.start()
		w.snap.View = &catalog.View{}
		got := w.call("GET", "/r/", "")
		Expect(got.status).To(Equal(503))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	})

	It("is refused when body or head are too large", func() {
		w, e := newWorld(catalog.NonIdempotent), newEndpoint(answerOK)
		w.limits = catalog.Limits{BodyBytes: 100, HeaderBytes: 1000}
		w.start(e)
		Expect(w.call("POST", "/r/", strings.Repeat("x", 101)).status).To(Equal(413))
		Expect(w.call("POST", "/r/", "", "X-Large", strings.Repeat("x", 1000)).status).To(Equal(431))
		Expect(e.count()).To(BeZero())
	})

	DescribeTable("that is ambiguous reaches nobody",
		func(raw string) {
			w, e := newWorld(catalog.NonIdempotent), newEndpoint(answerOK)
			w.start(e)
			connection, err := net.Dial("tcp", w.front.Listener.Addr().String())
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
		Entry("an unknown coding", "POST /r/ HTTP/1.1\nHost: a.example\nX-Id: q\nTransfer-Encoding: gzip, chunked\n\n0\n\n"),
		Entry("no host", "GET /r/ HTTP/1.1\nX-Id: q\n\n"),
		Entry("CONNECT", "CONNECT a.example:80 HTTP/1.1\nHost: a.example\nX-Id: q\n\n"),
	)

	It("with length and chunks is read as chunks, and nothing is smuggled", func() {
		w, e := newWorld(catalog.NonIdempotent), newEndpoint(answerOK)
		w.start(e)
		connection, err := net.Dial("tcp", w.front.Listener.Addr().String())
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
			Expect(e.arrived[i].Header.Get(fieldID)).To(Equal("q"))
		}
	})

	It("whose content crashed several endpoints reaches nobody", func() {
		w, e := newWorld(catalog.Idempotent), newEndpoint(answerOK)
		w.start(e)
		Expect(w.call("GET", "/r/", "").status).To(Equal(200))
		print := w.fingerprintOf("GET", "/r/")
		w.snap.Suspects = print
		Expect(w.call("GET", "/r/", "").status).To(Equal(503))
		Expect(e.count()).To(Equal(1))
	})
})

var _ = Describe("an answer", func() {
	DescribeTable("that can't be the endpoint's whole answer is no success",
		func(spoiled http.HandlerFunc) {
			w, e := newWorld(catalog.NonIdempotent), newEndpoint(spoiled)
			w.start(e)
			got := w.call("POST", "/r/", "x")
			Expect(got.status).To(Equal(502))
			Expect(e.count()).To(Equal(1))
		},
		Entry("without a signature", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(fieldID, r.Header.Get(fieldID))
			_, _ = io.WriteString(w, "x")
		}),
		Entry("of another request", func(w http.ResponseWriter, r *http.Request) {
			sealed(w, r)
			w.Header().Set(fieldID, "other")
			_, _ = io.WriteString(w, "x")
		}),
		Entry("encoded", func(w http.ResponseWriter, r *http.Request) {
			sealed(w, r)
			w.Header().Set("Content-Encoding", "gzip")
			_, _ = io.WriteString(w, "x")
		}),
		Entry("shorter than its length", func(w http.ResponseWriter, r *http.Request) {
			sealed(w, r)
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "x")
		}),
		Entry("a refusal of another request", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(fieldID, "other")
			refuse(w, r)
		}),
	)

	It("of a failure is passed on with the endpoint's status, signature and body", func() {
		w, e := newWorld(catalog.NonIdempotent), newEndpoint(fail)
		w.start(e)
		got := w.call("POST", "/r/", "x")
		Expect(got.status).To(Equal(500))
		Expect(got.body).To(Equal("failed"))
		Expect(got.header.Get(fieldSeal)).To(Equal("s"))
	})
})

var _ = Describe("a further attempt", func() {
	It("follows a refusal that was not run, also for a request that runs once", func() {
		w, full, free := newWorld(catalog.NonIdempotent), newEndpoint(refuse), newEndpoint(answerOK)
		w.start(full, free)
		for range 6 {
			Expect(w.call("POST", "/r/", "x").status).To(Equal(200))
		}
		Expect(free.count()).To(Equal(6))
	})

	It("ends in a refusal that says when to return, when every endpoint refused", func() {
		w := newWorld(catalog.NonIdempotent)
		w.start(newEndpoint(refuse), newEndpoint(refuse))
		got := w.call("POST", "/r/", "x")
		Expect(got.status).To(Equal(503))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	})

	It("never follows a broken connection of a request that runs once", func() {
		w := newWorld(catalog.NonIdempotent)
		broken := newEndpoint(func(w http.ResponseWriter, _ *http.Request) { cut(w) })
		other := newEndpoint(func(w http.ResponseWriter, _ *http.Request) { cut(w) })
		w.start(broken, other)
		Expect(w.call("POST", "/r/", "x").status).To(Equal(502))
		Expect(broken.count() + other.count()).To(Equal(1))
	})

	It("never follows one on a kept connection either, whatever the method", func() {
		w := newWorld(catalog.NonIdempotent)
		calls := 0
		e := newEndpoint(func(rw http.ResponseWriter, r *http.Request) {
			calls++
			if calls == 1 {
				answerOK(rw, r)
				return
			}
			cut(rw)
		})
		w.start(e)
		Expect(w.call("GET", "/r/", "").status).To(Equal(200))
		Expect(w.call("GET", "/r/", "").status).To(Equal(502))
		Expect(e.count()).To(Equal(2))
	})

	It("follows a failure of a request that may be repeated, at another endpoint", func() {
		w, broken, good := newWorld(catalog.Idempotent), newEndpoint(fail), newEndpoint(answerOK)
		w.start(broken, good)
		for range 4 {
			Expect(w.call("GET", "/r/", "").status).To(Equal(200))
		}
	})

	It("keeps within the route's attempts", func() {
		w := newWorld(catalog.Idempotent)
		es := []*endpoint{newEndpoint(fail), newEndpoint(fail), newEndpoint(fail)}
		w.start(es...)
		Expect(w.call("GET", "/r/", "").status).To(Equal(500))
		Expect(es[0].count() + es[1].count() + es[2].count()).To(Equal(2))
	})

	It("keeps within the retry budget", func() {
		w := newWorld(catalog.Idempotent)
		w.ratio, w.burst = 0, 5
		a, b := newEndpoint(fail), newEndpoint(fail)
		w.start(a, b)
		for range 30 {
			w.call("GET", "/r/", "")
		}
		Expect(a.count() + b.count()).To(BeNumerically("<=", 30+5))
	})

	It("finds another endpoint when one has no listener", func() {
		w, gone, good := newWorld(catalog.NonIdempotent), newEndpoint(answerOK), newEndpoint(answerOK)
		w.start(gone, good)
		gone.server.Close()
		for range 4 {
			Expect(w.call("POST", "/r/", "x").status).To(Equal(200))
		}
	})
})

var _ = Describe("time", func() {
	It("ends a request at the route's timeout with 504", func() {
		w := newWorld(catalog.NonIdempotent)
		w.route.Timeout = 300 * time.Millisecond
		release := make(chan struct{})
		DeferCleanup(func() { close(release) })
		w.start(newEndpoint(func(http.ResponseWriter, *http.Request) { <-release }))
		Expect(w.call("POST", "/r/", "x").status).To(Equal(504))
	})

	It("ends an endpoint's work when the caller leaves", func() {
		w := newWorld(catalog.Idempotent)
		ended := make(chan struct{})
		w.start(newEndpoint(func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			close(ended)
		}))
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		outgoing, err := http.NewRequestWithContext(ctx, http.MethodGet, w.front.URL+"/r/", nil)
		Expect(err).NotTo(HaveOccurred())
		outgoing.Host = "a.example"
		_, err = http.DefaultTransport.RoundTrip(outgoing)
		Expect(err).To(HaveOccurred())
		Eventually(ended, patience).Should(BeClosed())
	})

	It("refuses a body that does not arrive in the time allowed", func() {
		w, e := newWorld(catalog.NonIdempotent), newEndpoint(answerOK)
		w.start(e)
		connection, err := net.Dial("tcp", w.front.Listener.Addr().String())
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

	It("is passed on event by event", func() {
		w := newWorld(catalog.Streaming)
		w.start(newEndpoint(events(4, 0)))
		got := w.call("POST", "/r/", "x")
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(whole))
	})

	It("that broke off never looks complete, and is not run again", func() {
		w, a, b := newWorld(catalog.Streaming), newEndpoint(events(4, 2)), newEndpoint(events(4, 2))
		w.start(a, b)
		got := w.call("POST", "/r/", "x")
		Expect(got.err).To(HaveOccurred())
		Expect(got.body).NotTo(ContainSubstring("half"))
		Expect(a.count() + b.count()).To(Equal(1))
	})

	It("that may be resumed goes on at another endpoint after the last whole event", func() {
		w, a, b := newWorld(catalog.Streaming), newEndpoint(events(4, 2)), newEndpoint(events(4, 2))
		w.route.Resumable = true
		w.start(a, b)
		got := w.call("POST", "/r/", "x")
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(whole))
		Expect(a.count()).To(Equal(1))
		Expect(b.count()).To(Equal(1))
	})

	It("is not continued with the answer of another kind", func() {
		w, a, b := newWorld(catalog.Streaming), newEndpoint(events(4, 2)), newEndpoint(fail)
		w.route.Resumable = true
		w.start(a, b)
		for range 4 {
			got := w.call("POST", "/r/", "x")
			Expect(got.err != nil || got.status == 500 || got.body == whole).To(BeTrue())
			Expect(got.body).NotTo(ContainSubstring("piece 2\n\nfailed"))
		}
	})
})

var _ = Describe("another region", func() {
	// pair starts a proxy in the south whose requests can only run in the north.
	pair := func(kind catalog.Kind, homes []types.Region, es ...*endpoint) (south, north *world) {
		north = newWorld(kind)
		north.route.AllowedRegions = homes
		north.start(es...)
		south = newWorld(kind)
		south.route.AllowedRegions = homes
		south.region, south.self = "south", "127.0.0.1:2"
		south.members = []members.Member{north.asMember()}
		south.start(es...)
		return south, north
	}

	It("runs a request whose route leaves this one out, over one hop", func() {
		e := newEndpoint(answerOK)
		south, _ := pair(catalog.NonIdempotent, []types.Region{"north"}, e)
		got := south.call("POST", "/r/x?y=1", "the body")
		Expect(got.status).To(Equal(200))
		Expect(got.body).To(Equal("answer to q1"))
		Expect(e.arrived[0].RequestURI).To(Equal("/r/x?y=1"))
		Expect(e.bodies[0]).To(Equal("the body"))
		Expect(e.arrived[0].Header).NotTo(HaveKey("X-Gateway-Forward"))
	})

	It("runs a request for which this one has no endpoint, however busy it is", func() {
		e := newEndpoint(answerOK)
		south, _ := pair(catalog.NonIdempotent, nil, e)
		south.snap.Members[0].Loads = []members.Load{{Service: service, InFlight: 1000}}
		Expect(south.call("POST", "/r/", "x").status).To(Equal(200))
		Expect(e.count()).To(Equal(1))
	})

	It("runs large prompts where their prefix is kept, however busy it is", func() {
		north, own := newEndpoint(answerOK), newEndpoint(answerOK)
		south, _ := pair(catalog.Idempotent, nil, north)
		view := south.snap.View
		view.Endpoints[service] = append(view.Endpoints[service], catalog.ActiveEndpoint{Endpoint: &catalog.Endpoint{
			ID: "own", Service: service, Address: own.address(), Region: "south", Slots: 4,
		}})
		south.update()
		south.snap.Members[0].Loads = []members.Load{{Service: service, InFlight: 1000}}
		homes := map[types.Region]int{}
		for prefix := range uint64(20) {
			home, _ := balance.PrefixHome(view.Endpoints[service], prefix, func(catalog.ActiveEndpoint) bool { return true })
			homes[home.Region]++
			Expect(south.call("GET", "/r/", "", fieldPrefix, strconv.FormatUint(prefix, 10)).status).To(Equal(200))
		}
		Expect(homes).To(HaveLen(2))
		Expect(north.count()).To(Equal(homes["north"]))
		Expect(own.count()).To(Equal(homes["south"]))
	})

	It("takes large prompts by a daemon beside the endpoint", func() {
		here, there := newEndpoint(answerOK), newEndpoint(answerOK)
		south, north := pair(catalog.Idempotent, nil, there)
		other := newWorld(catalog.Idempotent)
		other.start(here)
		near, far := north.asMember(), other.asMember()
		near.DataCentre, far.DataCentre = "north-a", "north-b"
		south.snap.Members = []members.Member{near, far}
		for _, placed := range south.snap.View.Endpoints[service] {
			placed.DataCentre = "north-a"
		}
		south.update()
		for prefix := range 20 {
			Expect(south.call("GET", "/r/", "", fieldPrefix, strconv.Itoa(prefix)).status).To(Equal(200))
		}
		Expect(there.count()).To(Equal(20))
		Expect(here.count()).To(BeZero())
	})

	It("asks a second home in another region when the first has no room, and says at once when that has none", func() {
		const prefix = 7
		first, second := newEndpoint(answerOK), newEndpoint(answerOK)
		worldOf := func(region types.Region, e *endpoint) *world {
			w := newWorld(catalog.Idempotent)
			w.model, w.region, w.endpointRegion = true, region, region
			w.self = types.VMID(region)
			w.start(e)
			return w
		}
		north, east := worldOf("north", first), worldOf("east", second)
		south := newWorld(catalog.Idempotent)
		south.model, south.region, south.self = true, "south", "south"
		south.members = []members.Member{north.asMember(), east.asMember()}
		south.start(first, second)
		placed := south.snap.View.Endpoints[service]
		home, _ := balance.PrefixHome(placed, prefix, func(catalog.ActiveEndpoint) bool { return true })
		for _, one := range placed {
			one.Region = "east"
			if one.ID == home.ID {
				one.Region = "north"
			}
		}
		south.update()
		fillLarge := func(w *world) {
			ask := balance.RequestInfo{
				Service: service, Prefix: prefix, PrefixTokens: 13_300, PromptTokens: 17_000, Objective: time.Second,
				Arrived: time.Now(), Deadline: time.Now().Add(time.Minute),
			}
			for {
				if place, _ := w.gate.Try(ask); place == nil {
					return
				}
			}
		}
		fillLarge(north)
		Expect(south.call("GET", "/r/", "", fieldPrefix, strconv.Itoa(prefix)).status).To(Equal(200))
		Expect([]int{first.count(), second.count()}).To(Equal([]int{0, 1}))
		fillLarge(east)
		asked := time.Now()
		got := south.call("GET", "/r/", "", fieldPrefix, strconv.Itoa(prefix))
		Expect(got.status).To(Equal(503))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(time.Since(asked)).To(BeNumerically("<", south.route.Objective))
	})

	It("goes on with a stream that broke off there", func() {
		es := []*endpoint{newEndpoint(events(4, 2)), newEndpoint(events(4, 2))}
		south, _ := pair(catalog.Streaming, []types.Region{"north"}, es...)
		south.route.Resumable = true
		got := south.call("POST", "/r/", "x")
		Expect(got.err).NotTo(HaveOccurred())
		Expect(strings.Count(got.body, "data:")).To(Equal(4))
		Expect([]int{es[0].count(), es[1].count()}).To(Equal([]int{1, 1}))
	})

	It("repeats a request at another endpoint than the one that failed it there", func() {
		es := []*endpoint{newEndpoint(fail), newEndpoint(fail)}
		south, _ := pair(catalog.Idempotent, []types.Region{"north"}, es...)
		got := south.call("GET", "/r/", "")
		Expect(got.status).To(Equal(500))
		Expect(got.header).NotTo(HaveKey("X-Gateway-Endpoint"))
		Expect([]int{es[0].count(), es[1].count()}).To(Equal([]int{1, 1}))
	})

	It("passes its streams on, and the end of a caller", func() {
		south, _ := pair(catalog.Streaming, []types.Region{"north"}, newEndpoint(events(3, 0)))
		got := south.call("POST", "/r/", "x")
		Expect(got.err).NotTo(HaveOccurred())
		Expect(strings.Count(got.body, "data:")).To(Equal(3))
	})

	It("never breaks off a stream so that it looks complete", func() {
		south, _ := pair(catalog.Streaming, []types.Region{"north"}, newEndpoint(events(4, 2)))
		Expect(south.call("POST", "/r/", "x").err).To(HaveOccurred())
	})

	It("keeps within the attempts of the route over the hop", func() {
		es := []*endpoint{newEndpoint(fail), newEndpoint(fail), newEndpoint(fail)}
		south, _ := pair(catalog.Idempotent, []types.Region{"north"}, es...)
		Expect(south.call("GET", "/r/", "").status).To(Equal(500))
		Expect(es[0].count() + es[1].count() + es[2].count()).To(Equal(2))
	})

	It("passes on when a busy region will have room, where none is left to ask", func() {
		busy := newEndpoint(answerOK)
		south, north := pair(catalog.NonIdempotent, []types.Region{"north"}, busy)
		held := north.fill(busy)
		defer held()
		got := south.call("POST", "/r/", "x")
		Expect(got.status).To(Equal(503))
		Expect(got.body).To(ContainSubstring(string(types.CodeOverloaded)))
		advice, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(advice).To(BeNumerically(">=", 0.7))
	})

	It("says that a request was not run when it was refused there", func() {
		south, _ := pair(catalog.NonIdempotent, []types.Region{"north"}, newEndpoint(refuse), newEndpoint(refuse))
		got := south.call("POST", "/r/", "x")
		Expect(got.status).To(Equal(503))
		Expect(got.header.Get("X-Gateway-Failure")).To(BeEmpty())
	})

	It("does not take a request that it may not hold, and does not pass it on again", func() {
		e := newEndpoint(answerOK)
		south, north := pair(catalog.NonIdempotent, []types.Region{"east"}, e)
		north.snap.Members = []members.Member{south.asMember()}
		Expect(south.call("POST", "/r/", "x").status).To(Equal(503))
		Expect(e.count()).To(BeZero())
	})

	It("does not take an envelope from a caller", func() {
		w, e := newWorld(catalog.NonIdempotent), newEndpoint(answerOK)
		w.start(e)
		w.call("POST", "/r/", "x", "X-Gateway-Forward", "{}")
		Expect(e.arrived[0].Header).NotTo(HaveKey("X-Gateway-Forward"))
	})
})
