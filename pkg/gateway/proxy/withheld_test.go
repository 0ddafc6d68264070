package proxy_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/crashes"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// deadlyPart is the trait of prompts with the part "deadly".
var deadlyPart = crashes.PartTrait(service, "deadly")

// inAnHour is a time until which nothing may be tried.
func inAnHour() time.Time { return time.Now().Add(time.Hour) }

var _ = Describe("A request with a part that is withheld", func() {
	It("reaches no endpoint, whatever else it holds, and is told why and when to return", func() {
		w, e := newTestProxy(catalog.Streaming), newEndpoint(eventStream(3, 0))
		w.start(e)
		w.withhold(inAnHour(), deadlyPart)
		for _, body := range []string{"a", "b"} {
			resp := w.call("POST", "/r/", body, headerParts, "system,deadly,tool")
			Expect(resp.status).To(Equal(503))
			Expect(resp.body).To(And(ContainSubstring("crashed several endpoints"), ContainSubstring(`"not-run"`), ContainSubstring(deadlyPart.String())))
			Expect(resp.header.Get("Retry-After")).To(HavePrefix("3"))
		}
		Expect(w.call("POST", "/r/", "a", headerParts, "system,tool").status).To(Equal(200))
		Expect(e.count()).To(Equal(1))
	})

	It("reaches no endpoint by way of another daemon either", func() {
		e := newEndpoint(respondOK)
		remote := newTestProxy(catalog.Idempotent)
		remote.endpointRegion = "south"
		remote.moveSouth()
		remote.start(e)
		remote.withhold(inAnHour(), deadlyPart)
		local := newTestProxy(catalog.Idempotent)
		local.endpointRegion = "south"
		local.members = []members.Member{remote.asMember()}
		local.start(e)
		Expect(local.call("POST", "/r/", "x", headerParts, "deadly").status).To(Equal(503))
		Expect(e.count()).To(BeZero())
	})

	It("reaches no endpoint of the service to which its route moves", func() {
		w, e := newTestProxy(catalog.Idempotent), newEndpoint(respondOK)
		w.start(e)
		w.withhold(inAnHour(), crashes.PartTrait(crashes.AllServices, "deadly"))
		Expect(w.call("POST", "/r/", "x", headerParts, "system,deadly").status).To(Equal(503))
		Expect(w.call("POST", "/r/", "x", headerParts, "system,other").status).To(Equal(200))
		Expect(e.count()).To(Equal(1))
	})

	It("is served if the part is withheld only together with one that it lacks", func() {
		w, e := newTestProxy(catalog.Idempotent), newEndpoint(respondOK)
		w.start(e)
		w.withholdTogether(inAnHour(), deadlyPart, crashes.PartTrait(service, "system"))
		Expect(w.call("POST", "/r/", "x", headerParts, "system,deadly,tool").status).To(Equal(503))
		Expect(w.call("POST", "/r/", "x", headerParts, "system,other,tool").status).To(Equal(200))
		Expect(w.call("POST", "/r/", "x", headerParts, "deadly,tool").status).To(Equal(200))
		Expect(e.count()).To(Equal(2))
	})

	It("reaches none if it waited for capacity meanwhile", func() {
		w, e := newTestProxy(catalog.Idempotent), newEndpoint(respondOK)
		w.route.Objective = 10 * time.Second
		w.start(e)
		info := w.fillSlots()
		answered := make(chan callerResponse)
		go func() { answered <- w.call("POST", "/r/", "x", headerParts, "deadly") }()
		Eventually(func() int { return w.gate.Loads()[0].Waiting }, eventuallyTimeout).Should(Equal(1))
		w.withhold(inAnHour(), deadlyPart)
		w.snap.View.Endpoints[service][0].Slots = 64
		w.update()
		_ = info
		Expect((<-answered).status).To(Equal(503))
		Expect(e.count()).To(BeZero())
	})

	It("reaches none if it obtains its connection after that", func() {
		e := newEndpoint(respondOK)
		w := newTestProxy(catalog.Idempotent)
		dialing, dialed := make(chan bool), make(chan bool)
		w.transport = &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			dialing <- true
			<-dialed
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}}
		w.start(e)
		answered := make(chan callerResponse)
		go func() { answered <- w.call("POST", "/r/", "x", headerParts, "deadly") }()
		<-dialing
		w.withhold(inAnHour(), deadlyPart)
		close(dialed)
		Expect((<-answered).status).To(Equal(503))
		Expect(e.count()).To(BeZero())
	})

	It("is not sent to a second endpoint", func() {
		var w *testProxy
		e := newEndpoint(func(out http.ResponseWriter, r *http.Request) {
			w.withhold(inAnHour(), deadlyPart)
			resetConnection(out)
		})
		w = newTestProxy(catalog.Idempotent)
		w.start(e, e)
		Expect(w.call("POST", "/r/", "x", headerParts, "deadly").status).To(Equal(502))
		Expect(e.count()).To(Equal(1))
	})
})

var _ = Describe("The trial of what is withheld", func() {
	It("is one request with one attempt at a time, when its time has come", func() {
		release := make(chan bool)
		e := newEndpoint(func(out http.ResponseWriter, r *http.Request) {
			<-release
			resetConnection(out)
		})
		w := newTestProxy(catalog.Idempotent)
		w.start(e, e)
		w.withhold(time.Now().Add(-time.Second), deadlyPart)
		answered := make(chan callerResponse)
		go func() { answered <- w.call("POST", "/r/", "x", headerParts, "deadly") }()
		Eventually(e.count, eventuallyTimeout).Should(Equal(1))
		Expect(w.call("POST", "/r/", "y", headerParts, "deadly").status).To(Equal(503))
		close(release)
		Expect((<-answered).status).To(Equal(502))
		Expect(e.count()).To(Equal(1))
	})

	It("tries nothing else that is withheld", func() {
		w, e := newTestProxy(catalog.Idempotent), newEndpoint(respondOK)
		w.start(e)
		w.withhold(time.Now().Add(-time.Second), deadlyPart, crashes.PartTrait(service, "other"))
		Expect(w.call("POST", "/r/", "x", headerParts, "deadly,other").status).To(Equal(503))
		Expect(e.count()).To(BeZero())
		Expect(w.call("POST", "/r/", "x", headerParts, "deadly").status).To(Equal(200))
	})

	It("tries parts together that are withheld only together", func() {
		w, e := newTestProxy(catalog.Idempotent), newEndpoint(respondOK)
		w.start(e)
		w.withholdTogether(time.Now().Add(-time.Second), deadlyPart, crashes.PartTrait(service, "system"))
		Expect(w.call("POST", "/r/", "x", headerParts, "system,deadly,tool").status).To(Equal(200))
	})

	It("is left to one daemon of the fleet", func() {
		e := newEndpoint(respondOK)
		served := 0
		vms := []types.VMID{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}
		for _, self := range vms {
			w := newTestProxy(catalog.Idempotent)
			w.self = self
			for _, vm := range vms {
				if vm != self {
					w.members = append(w.members, members.Member{VM: vm, Region: "north", State: members.Serving})
				}
			}
			w.start(e)
			w.withhold(time.Now().Add(-time.Second), deadlyPart)
			if w.call("POST", "/r/", "x", headerParts, "deadly").status == 200 {
				served++
			}
		}
		Expect(served).To(Equal(1))
	})
})

// respondUnframed answers with neither length nor chunks, and ends with a close or a
// reset of the connection.
func respondUnframed(body string, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		Expect(err).NotTo(HaveOccurred())
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+headerID+": "+r.Header.Get(headerID)+"\r\n"+headerSignature+": s\r\n\r\n"+body)
		if reset {
			// The caller has read the answer by then.
			time.Sleep(100 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
	}
}

const twoEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

var _ = Describe("An answer with neither length nor chunks", func() {
	DescribeTable("is relayed so that it looks complete only if it is",
		func(kind catalog.Kind, body string, reset, overHop, complete bool) {
			e := newEndpoint(respondUnframed(body, reset))
			w := newTestProxy(kind)
			w.route.MaxAttempts = 1
			if overHop {
				remote := newTestProxy(kind)
				remote.endpointRegion = "south"
				remote.moveSouth()
				remote.start(e)
				w.endpointRegion = "south"
				w.members = []members.Member{remote.asMember()}
			}
			w.start(e)
			resp := w.call("POST", "/r/", "x")
			looksComplete := resp.err == nil && resp.status == 200
			Expect(looksComplete).To(Equal(complete))
			if complete {
				Expect(resp.body).To(Equal(body))
			}
		},
		Entry("whole", catalog.NonIdempotent, "whole", false, false, true),
		Entry("whole, over a hop", catalog.NonIdempotent, "whole", false, true, true),
		Entry("reset", catalog.NonIdempotent, "who", true, false, false),
		Entry("reset, over a hop", catalog.NonIdempotent, "who", true, true, false),
		Entry("a stream that ends after an event", catalog.Streaming, twoEvents, false, false, true),
		Entry("a stream that ends after an event, over a hop", catalog.Streaming, twoEvents, false, true, true),
		Entry("a stream that is reset after an event", catalog.Streaming, twoEvents, true, false, false),
		Entry("a stream that is reset after an event, over a hop", catalog.Streaming, twoEvents, true, true, false),
		Entry("a stream that ends inside an event", catalog.Streaming, twoEvents+"id: 3\nda", false, false, false),
		Entry("a stream that ends inside an event, over a hop", catalog.Streaming, twoEvents+"id: 3\nda", false, true, false),
		Entry("a stream without an event", catalog.Streaming, "", false, false, false),
		Entry("a stream without an event, over a hop", catalog.Streaming, "", false, true, false),
	)
})

var _ = Describe("What an answer tells of the request's parts", func() {
	// brokenAndSound plays one request and returns what was reported of its part.
	brokenAndSound := func(respond http.HandlerFunc) (broken, sound bool) {
		w, e := newTestProxy(catalog.Streaming), newEndpoint(respond)
		w.start(e)
		w.call("POST", "/r/", "x", headerParts, "deadly")
		reportedBroken, reportedSound := w.fakeReporter.reported()
		part := ContainElement(deadlyPart)
		broken, _ = part.Match(reportedBroken)
		sound, _ = part.Match(reportedSound)
		return broken, sound
	}
	// breakOffAfter streams events for a time and then resets the connection.
	breakOffAfter := func(events int, pause time.Duration) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			signResponse(w, r)
			w.WriteHeader(http.StatusOK)
			for range events {
				_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
				_ = http.NewResponseController(w).Flush()
				time.Sleep(pause)
			}
			resetConnection(w)
		}
	}

	DescribeTable("suspects or clears them", func(respond http.HandlerFunc, broken, sound bool) {
		gotBroken, gotSound := brokenAndSound(respond)
		Expect(gotBroken).To(Equal(broken))
		Expect(gotSound).To(Equal(sound))
	},
		Entry("a connection that breaks before the head", func(w http.ResponseWriter, _ *http.Request) { resetConnection(w) }, true, false),
		Entry("an answer that breaks off before its first event", breakOffAfter(0, 0), true, false),
		Entry("an answer that breaks off soon after its first event", breakOffAfter(1, 10*time.Millisecond), true, false),
		Entry("an answer that breaks off after it got on", breakOffAfter(3, 200*time.Millisecond), false, true),
		Entry("a complete answer", eventStream(3, 0), false, true),
		Entry("an answer without an end of its own", respondUnframed(twoEvents, false), false, false),
		Entry("a refusal", http.HandlerFunc(respondNotRun), false, false),
		Entry("an error", http.HandlerFunc(respondServerError), false, false),
	)
})
