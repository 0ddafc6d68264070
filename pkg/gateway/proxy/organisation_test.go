package proxy_test

import (
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/proxy"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// organisation returns one that holds a credential of the same text as its name.
func organisation(name types.OrgName, regions ...types.Region) *catalog.Organisation {
	return &catalog.Organisation{
		Name: name, Credentials: []catalog.CredentialDigest{catalog.DigestOf(string(name))}, AllowedRegions: regions,
	}
}

// publishOrganisations puts the next version of the configuration into force.
func (w *testProxy) publishOrganisations(organisations ...*catalog.Organisation) {
	snap := *w.snapshot()
	view := *snap.View
	config := &catalog.Config{
		Version: view.Config.Version + 1, Routes: []*catalog.Route{w.route}, Organisations: organisations, Services: view.Config.Services,
	}
	config.Prepare()
	view.Config = config
	snap.View = &view
	w.published.Store(&snap)
}

var _ = Describe("a request to a configuration with organisations", func() {
	var w *testProxy
	var e *endpoint
	BeforeEach(func() {
		w, e = newTestProxy(catalog.Idempotent), newEndpoint(respondOK)
		w.route.Objective = time.Minute // leaves time to wait for capacity
		w.organisations = []*catalog.Organisation{organisation("first"), organisation("second")}
	})

	It("reaches an endpoint with the name of its organisation and without its credential", func() {
		w.start(e)
		Expect(w.call("GET", "/r/", "", headerCredential, "second", headerOrganisation, "first").status).To(Equal(200))
		Expect(e.arrived[0].Header.Values(headerOrganisation)).To(Equal([]string{"second"}))
		Expect(e.arrived[0].Header).NotTo(HaveKey(headerCredential))
	})

	DescribeTable("is refused and reaches no endpoint", func(fields ...string) {
		w.start(e)
		resp := w.call("GET", "/r/", "", fields...)
		Expect(resp.status).To(Equal(401))
		Expect(resp.header.Get("WWW-Authenticate")).To(Equal("Bearer"))
		Expect(resp.header.Get("Retry-After")).To(BeEmpty())
		Expect(resp.body).NotTo(ContainSubstring("unknown-credential"))
		Expect(e.count()).To(BeZero())
	},
		Entry("without a credential"),
		Entry("with a name instead of one", headerOrganisation, "first"),
		Entry("with one that nobody holds", headerCredential, "unknown-credential"),
	)

	It("needs none on a public route, and what it says of itself goes no further", func() {
		w.route.Public = true
		w.start(e)
		Expect(w.call("GET", "/r/", "", headerCredential, "unknown", headerOrganisation, "first").status).To(Equal(200))
		Expect(e.arrived[0].Header).NotTo(HaveKey(headerCredential))
		Expect(e.arrived[0].Header).NotTo(HaveKey(headerOrganisation))
	})

	It("passes as before if the configuration has none", func() {
		w.organisations, w.modelEngine, w.route.Rank = nil, true, 7
		w.start(e)
		Expect(w.call("GET", "/r/", "", headerCredential, "unknown", headerOrganisation, "first").status).To(Equal(200))
		Expect(e.arrived[0].Header.Get(headerCredential)).To(Equal("unknown"))
		Expect(e.arrived[0].Header.Get(headerOrganisation)).To(Equal("first"))
		Expect(e.arrived[0].Header.Get(headerRank)).To(Equal("7"))
	})

	It("is ordered at the engine by the rank of its organisation, then by that of its route", func() {
		w.modelEngine, w.route.Rank = true, 7
		w.organisations[1].Rank = 3
		w.start(e)
		Expect(w.call("GET", "/r/", "", headerCredential, "first").status).To(Equal(200))
		Expect(w.call("GET", "/r/", "", headerCredential, "second").status).To(Equal(200))
		Expect(e.arrived[0].Header.Get(headerRank)).To(Equal("0"))
		Expect(e.arrived[1].Header.Get(headerRank)).To(Equal("1"))
	})

	It("is refused if its credential was taken away while it waited for capacity", func() {
		w.start(e)
		w.fillSlots()
		done := make(chan callerResponse, 1)
		go func() { done <- w.call("GET", "/r/", "", headerCredential, "first") }()
		Eventually(func() int { return w.gate.Loads()[0].Waiting }, eventuallyTimeout).Should(Equal(1))
		w.publishOrganisations(organisation("second"))
		w.releaseSlot()
		var resp callerResponse
		Eventually(done, eventuallyTimeout).Should(Receive(&resp))
		Expect(resp.status).To(Equal(401))
		Expect(e.count()).To(BeZero())
	})

	It("is not sent again once its credential was taken away", func() {
		other := newEndpoint(func(rw http.ResponseWriter, _ *http.Request) {
			w.publishOrganisations(organisation("second"))
			resetConnection(rw)
		})
		e = newEndpoint(func(rw http.ResponseWriter, _ *http.Request) {
			w.publishOrganisations(organisation("second"))
			resetConnection(rw)
		})
		w.start(e, other)
		resp := w.call("GET", "/r/", "", headerCredential, "first")
		Expect(resp.status).To(Equal(502)) // it may have run
		Expect(e.count() + other.count()).To(Equal(1))
	})

	It("whose stream breaks off is not resumed once its credential was taken away", func() {
		w = newTestProxy(catalog.Streaming)
		w.route.Resumable, w.organisations = true, []*catalog.Organisation{organisation("first")}
		stream := eventStream(6, 2)
		respond := func(rw http.ResponseWriter, r *http.Request) {
			w.publishOrganisations(organisation("second"))
			stream(rw, r)
		}
		a, b := newEndpoint(respond), newEndpoint(respond)
		w.start(a, b)
		resp := w.call("GET", "/r/", "", headerCredential, "first")
		Expect(resp.err).To(HaveOccurred())
		Expect(a.count() + b.count()).To(Equal(1))
	})
})

var _ = Describe("a request of an organisation that another daemon runs", func() {
	var north, south *testProxy
	var e *endpoint
	// hops holds the headers of the requests that reached the daemon in the north.
	var hops []http.Header

	BeforeEach(func() {
		hops = nil
		e = newEndpoint(respondOK)
		north = newTestProxy(catalog.Idempotent)
		north.route.Objective = time.Minute // leaves time to wait for capacity
		north.organisations = []*catalog.Organisation{organisation("first", "north")}
		north.start(e)
		inner := north.peerServer.Config.Handler
		north.peerServer.Config.Handler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			hops = append(hops, r.Header.Clone())
			inner.ServeHTTP(rw, r)
		})
		south = newTestProxy(catalog.Idempotent)
		south.route.Objective = time.Minute
		south.moveSouth(north.asMember())
		south.organisations = []*catalog.Organisation{organisation("first", "north")}
	})

	It("goes to a region of its organisation, and its credential stays behind", func() {
		local := newEndpoint(respondOK)
		south.endpointRegion = "south"
		south.start(local)
		south.addEndpoint("north0", e, "north")
		Expect(south.call("GET", "/r/", "", headerCredential, "first").status).To(Equal(200))
		Expect(local.count()).To(BeZero())
		Expect(e.arrived[0].Header.Get(headerOrganisation)).To(Equal("first"))
		Expect(hops).To(HaveLen(1))
		for name, values := range hops[0] {
			Expect(name).NotTo(Equal(headerCredential))
			Expect(values).NotTo(ContainElement("first"))
		}
	})

	It("is bound by the regions of both its route and its organisation", func() {
		south.route.AllowedRegions = []types.Region{"south"}
		south.start(e)
		resp := south.call("GET", "/r/", "", headerCredential, "first")
		Expect(resp.status).To(Equal(503))
		Expect(hops).To(BeEmpty())
		Expect(e.count()).To(BeZero())
	})

	It("is refused there if a newer configuration took its credential away", func() {
		north.publishOrganisations(organisation("second"))
		south.start(e)
		Expect(south.call("GET", "/r/", "", headerCredential, "first").status).To(Equal(401))
		Expect(e.count()).To(BeZero())
	})

	It("is refused as not run there if an older configuration lacks its credential", func() {
		south.start(e)
		south.publishOrganisations(organisation("later", "north"))
		resp := south.call("GET", "/r/", "", headerCredential, "later")
		Expect(resp.status).To(Equal(503))
		Expect(e.count()).To(BeZero())
	})

	It("is refused as not run there if no configuration is known", func() {
		empty := *north.snapshot()
		empty.View = &catalog.View{Endpoints: empty.View.Endpoints}
		north.published.Store(&empty)
		south.start(e)
		Expect(south.call("GET", "/r/", "", headerCredential, "first").status).To(Equal(503))
		Expect(e.count()).To(BeZero())
	})

	It("is refused if the credential was taken away while it waits there", func() {
		south.start(e)
		north.fillSlots()
		done := make(chan callerResponse, 1)
		go func() { done <- south.call("GET", "/r/", "", headerCredential, "first") }()
		Eventually(func() int { return north.gate.Loads()[0].Waiting }, eventuallyTimeout).Should(Equal(1))
		north.publishOrganisations(organisation("second"))
		north.releaseSlot()
		var resp callerResponse
		Eventually(done, eventuallyTimeout).Should(Receive(&resp))
		Expect(resp.status).To(Equal(401))
		Expect(e.count()).To(BeZero())
	})
})

// suspendingTransport calls suspend before it sends a request.
type suspendingTransport struct {
	http.RoundTripper
	suspend func()
}

func (t suspendingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.suspend()
	return t.RoundTripper.RoundTrip(r)
}

// confirm publishes that the configuration was confirmed some time ago.
func (w *testProxy) confirm(age time.Duration) {
	snap := *w.snapshot()
	snap.ConfirmedAt = time.Now().Add(-age)
	w.published.Store(&snap)
}

var _ = Describe("a credential at a daemon that may not hear of its end", func() {
	const limit = time.Hour // far longer than a spec takes
	var w *testProxy
	var e *endpoint
	BeforeEach(func() {
		w, e = newTestProxy(catalog.Idempotent), newEndpoint(respondOK)
		w.organisations, w.revocationLimit = []*catalog.Organisation{organisation("first")}, limit
		w.route.Objective = time.Minute // leaves time to wait for capacity
		w.start(e)
	})
	call := func() callerResponse { return w.call("GET", "/r/", "", headerCredential, "first") }
	refused := func(resp callerResponse) {
		GinkgoHelper()
		Expect(resp.status).To(Equal(503))
		Expect(resp.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(resp.body).To(ContainSubstring("unconfirmed"))
	}

	It("is refused as not run until the configuration is confirmed", func() {
		refused(call())
		Expect(e.count()).To(BeZero())
		w.confirm(time.Minute)
		Expect(call().status).To(Equal(200))
	})

	It("is refused as not run well before the limit", func() {
		w.confirm(limit / 2)
		Expect(call().status).To(Equal(200))
		w.confirm(limit - limit/10)
		refused(call())
		Expect(e.count()).To(Equal(1))
	})

	It("is not looked at on a public route", func() {
		w.route.Public = true
		Expect(call().status).To(Equal(200))
	})

	It("is refused, not denied, if nobody is known to hold it", func() {
		refused(w.call("GET", "/r/", "", headerCredential, "other"))
		w.confirm(time.Minute)
		Expect(w.call("GET", "/r/", "", headerCredential, "other").status).To(Equal(401))
	})

	It("is not used after a wait during which the configuration became too old", func() {
		w.confirm(time.Minute)
		w.fillSlots()
		done := make(chan callerResponse, 1)
		go func() { done <- call() }()
		Eventually(func() int { return w.gate.Loads()[0].Waiting }, eventuallyTimeout).Should(Equal(1))
		w.confirm(limit)
		w.releaseSlot()
		var resp callerResponse
		Eventually(done, eventuallyTimeout).Should(Receive(&resp))
		refused(resp)
		Expect(e.count()).To(BeZero())
	})

	It("is not used by the daemon behind a hop either", func() {
		w.confirm(limit)
		south := newTestProxy(catalog.Idempotent)
		south.moveSouth(w.asMember())
		south.organisations = []*catalog.Organisation{organisation("first")}
		south.start(e)
		Expect(south.call("GET", "/r/", "", headerCredential, "first").status).To(Equal(503))
		Expect(e.count()).To(BeZero())
		w.confirm(time.Minute)
		Expect(south.call("GET", "/r/", "", headerCredential, "first").status).To(Equal(200))
	})

	It("counts the time for which the VM was suspended", func() {
		w.confirm(time.Minute)
		options := w.options()
		options.Suspended = func() time.Duration { return limit }
		w.handler = proxy.New(options)
		w.callerServer.Config.Handler = w.handler
		refused(call())
	})

	// suspendedAtSend makes a proxy's VM suspended for the limit after it has decided to
	// send a request, and before it has a connection.
	suspendedAtSend := func(w *testProxy) {
		var suspended atomic.Int64
		options := w.options()
		options.Suspended = func() time.Duration { return time.Duration(suspended.Load()) }
		options.Transport = suspendingTransport{RoundTripper: proxy.NewTransport(), suspend: func() { suspended.Store(int64(limit)) }}
		w.handler = proxy.New(options)
		w.callerServer.Config.Handler = w.handler
	}

	It("is not sent over a connection that is obtained when the configuration is too old", func() {
		w.confirm(time.Minute)
		suspendedAtSend(w)
		Expect(call().status).To(Equal(503))
		Expect(e.count()).To(BeZero())
	})

	It("is not passed on to another daemon over such a connection either", func() {
		w.confirm(time.Minute)
		south := newTestProxy(catalog.Idempotent)
		south.moveSouth(w.asMember())
		south.organisations, south.revocationLimit = []*catalog.Organisation{organisation("first")}, limit
		south.start(e)
		south.confirm(time.Minute)
		suspendedAtSend(south)
		Expect(south.call("GET", "/r/", "", headerCredential, "first").status).To(Equal(503))
		Expect(e.count()).To(BeZero())
	})

	It("is denied or refused by the age of the configuration where no limit binds", func() {
		w = newTestProxy(catalog.Idempotent)
		w.organisations, w.configLimit = []*catalog.Organisation{organisation("first")}, limit
		w.start(e)
		Expect(call().status).To(Equal(200))
		refused(w.call("GET", "/r/", "", headerCredential, "other"))
		w.confirm(limit / 2)
		Expect(w.call("GET", "/r/", "", headerCredential, "other").status).To(Equal(401))
	})
})
