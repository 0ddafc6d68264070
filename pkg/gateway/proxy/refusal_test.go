package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
)

// promises lists the statuses that tell a caller that its request was not run and never will be.
var promises = []int{408, 421, 429, 503}

// notableStatuses are those that readers of a response tell apart, and their neighbours.
var notableStatuses = []int{200, 204, 299, 300, 302, 304, 399, 400, 401, 403, 404, 407, 408, 409, 413, 420, 421, 422, 425, 428, 429, 430, 431, 499, 500, 501, 502, 503, 504, 505, 599}

// statusesFor returns the statuses with which endpoints answer requests of a kind: all for those
// that may run once only.
func statusesFor(kind catalog.Kind) []int {
	if kind != catalog.NonIdempotent {
		return notableStatuses
	}
	var all []int
	for status := 200; status < 600; status++ {
		all = append(all, status)
	}
	return all
}

// bodySize says how long the body of a response is.
type bodySize int

// Bodies that the proxy buffers, and relays as they arrive.
const (
	smallBody bodySize = 10
	largeBody bodySize = 2 << 20
)

// respondWithStatus returns an endpoint's response with a status, signed. If the endpoint
// states it, the request was not run.
func respondWithStatus(status int, stated bool, size bodySize) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		signResponse(w, r)
		if stated {
			w.Header().Set(headerNotRun, "1")
		}
		w.Header().Set("Retry-After", "1")
		if status == http.StatusNoContent || status == http.StatusNotModified {
			w.WriteHeader(status)
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(int(size)))
		w.WriteHeader(status)
		_, _ = io.WriteString(w, strings.Repeat("x", int(size)))
	}
}

// refusalWay is how a request reaches its endpoints.
type refusalWay string

const (
	atOnce  refusalWay = "direct"
	overHop refusalWay = "over a hop"
)

// startRefusing starts a proxy whose requests go to the endpoints one way or the other.
func startRefusing(kind catalog.Kind, way refusalWay, endpoints ...*endpoint) *testProxy {
	w := newTestProxy(kind)
	w.route.Objective = shortObjective
	if way == atOnce {
		w.start(endpoints...)
		return w
	}
	w.start(endpoints...)
	south := newTestProxy(kind)
	south.route.Objective = shortObjective
	south.moveSouth(w.asMember())
	south.start(endpoints...)
	return south
}

// expectTruth checks what a caller was told of a request for which each endpoint that it
// reached gave the same answer.
func expectTruth(kind catalog.Kind, resp callerResponse, status int, stated bool) {
	GinkgoHelper()
	what := fmt.Sprintf("endpoint: %d, stated: %t; caller: %d", status, stated, resp.status)
	Expect(resp.err).NotTo(HaveOccurred(), what)
	notRun := stated || status == http.StatusMisdirectedRequest
	unchanged := kind == catalog.Idempotent || !slices.Contains(promises, status)
	switch {
	case notRun:
		Expect(resp.status).To(Equal(http.StatusServiceUnavailable), what)
	case !unchanged:
		Expect(promises).NotTo(ContainElement(resp.status), what)
	}
	if resp.header.Get(headerSignature) != "" {
		Expect(resp.status).To(Equal(status), what)
	}
	if !notRun && unchanged {
		Expect(resp.status).To(Equal(status), what)
		Expect(resp.header.Get(headerSignature)).NotTo(BeEmpty(), what)
	}
}

// Guards against requests that an endpoint ran and failed, and whose callers were told by the
// status that they were not run (review case 6, REFUSED).
var _ = Describe("The status of an endpoint's response", func() {
	for _, way := range []refusalWay{atOnce, overHop} {
		for _, kind := range []catalog.Kind{catalog.NonIdempotent, catalog.Streaming, catalog.Idempotent} {
			for _, stated := range []bool{false, true} {
				It(fmt.Sprintf("alone never tells that a request was not run (%s, %s, stated: %t)", kind, way, stated), func() {
					for _, status := range statusesFor(kind) {
						e := newEndpoint(respondWithStatus(status, stated, smallBody))
						w := startRefusing(kind, way, e)
						resp := w.call("POST", "/r/", "x")
						if kind == catalog.Streaming && status < 300 && !stated {
							continue // events, which the other specs play
						}
						expectTruth(kind, resp, status, stated)
						w.close()
					}
				})
			}
		}

		DescribeTable("alone never tells that a request was not run, whatever the length of the body, "+string(way), func(status int, stated bool) {
			for _, kind := range []catalog.Kind{catalog.NonIdempotent, catalog.Streaming, catalog.Idempotent} {
				e := newEndpoint(respondWithStatus(status, stated, largeBody))
				resp := startRefusing(kind, way, e).call("POST", "/r/", "x")
				expectTruth(kind, resp, status, stated)
			}
		},
			Entry("400", 400, false), Entry("408", 408, false), Entry("421", 421, false), Entry("429", 429, false),
			Entry("500", 500, false), Entry("503", 503, false), Entry("504", 504, false),
			Entry("429 that states it", 429, true), Entry("503 that states it", 503, true), Entry("500 that states it", 500, true),
		)

		DescribeTable("does not let a response that breaks off tell that a request was not run, "+string(way), func(status int, length string) {
			for _, kind := range []catalog.Kind{catalog.NonIdempotent, catalog.Streaming, catalog.Idempotent} {
				e := newEndpoint(func(_ http.ResponseWriter, _ *http.Request) {})
				e.server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					conn, _, err := w.(http.Hijacker).Hijack()
					Expect(err).NotTo(HaveOccurred())
					writeText(conn, fmt.Sprintf("HTTP/1.1 %d S\r\n%s: %s\r\n%s: s\r\n%s\r\n\r\npart", status, headerID, r.Header.Get(headerID), headerSignature, length))
					_ = conn.Close()
				})
				resp := startRefusing(kind, way, e).call("POST", "/r/", "x")
				Expect(resp.err).NotTo(HaveOccurred())
				Expect(promises).NotTo(ContainElement(resp.status))
				Expect(resp.header.Get(headerSignature)).To(BeEmpty())
			}
		},
			Entry("503, with a length", 503, "Content-Length: 100"), Entry("503, in chunks", 503, "Transfer-Encoding: chunked"),
			Entry("429, with a length", 429, "Content-Length: 100"), Entry("408, with a length", 408, "Content-Length: 100"),
		)

		for _, status := range []int{408, 429, 503} {
			It(fmt.Sprintf("%d lets a request that may run twice be tried again, and is passed on unchanged in the end, %s", status, way), func() {
				first, second := newEndpoint(respondWithStatus(status, false, smallBody)), newEndpoint(respondNotRun)
				w := startRefusing(catalog.Idempotent, way, first, second)
				for i := 0; first.count() == 0 && i < 20; i++ {
					resp := w.call("GET", "/r/", "", headerID, fmt.Sprintf("q%d", i))
					if first.count() > 0 {
						Expect(resp.status).To(Equal(status))
						Expect(resp.header.Get(headerSignature)).NotTo(BeEmpty())
					}
				}
				Expect(first.count()).To(Equal(1))
			})

			It(fmt.Sprintf("%d counts against the health of its endpoint, and requests that may run twice succeed elsewhere, %s", status, way), func() {
				bad, good := newEndpoint(respondWithStatus(status, false, smallBody)), newEndpoint(respondOK)
				w := startRefusing(catalog.Idempotent, way, bad, good)
				for i := range callers {
					resp := w.call("GET", "/r/", "", headerID, fmt.Sprintf("q%d", i))
					Expect(resp.status).To(Equal(http.StatusOK))
				}
				Expect(bad.count()).To(BeNumerically("<", good.count()/2), "the endpoint is ejected")
			})

			It(fmt.Sprintf("%d is an arrival that the retry budget counts, %s", status, way), func() {
				endpoints := newEndpoints(9, respondWithStatus(status, false, smallBody))
				start := startBudgeted
				if way == overHop {
					start = startBudgetedBehindHop
				}
				w := start(catalog.Idempotent, endpoints...)
				callMany(w, "GET", "")
				Expect(arrivals(endpoints)).To(BeNumerically("<=", callers+budgetFixed))
			})

			It(fmt.Sprintf("%d for the rest of a stream ends it so that it does not look complete, %s", status, way), func() {
				cut := newEndpoint(eventStream(5, 2))
				failing := newEndpoint(respondWithStatus(status, false, smallBody))
				w := newTestProxy(catalog.Streaming)
				w.route.Resumable = true
				w.start(cut, failing)
				if way == overHop {
					south := newTestProxy(catalog.Streaming)
					south.route.Resumable = true
					south.moveSouth(w.asMember())
					south.start(cut, failing)
					w = south
				}
				for i := range 10 {
					resp := w.call("POST", "/r/", "x", headerID, fmt.Sprintf("q%d", i))
					if resp.err == nil {
						Expect(resp.status).To(Equal(http.StatusBadGateway))
						Expect(resp.header.Get(headerSignature)).To(BeEmpty())
					}
				}
				Expect(cut.count()).To(BeNumerically(">", 0))
				Expect(failing.count()).To(BeNumerically(">", 0))
			})
		}
	}

	It("does not hold back the failure of a request while a body that is not used has no end", func() {
		e := newRawEndpoint(func(connection net.Conn, id string, _ int) bool {
			writeText(connection, fmt.Sprintf("HTTP/1.1 503 S\r\n%s: %s\r\n%s: s\r\n\r\n", headerID, id, headerSignature))
			writeForever(connection, "body ")
			return false
		})
		w := newTestProxy(catalog.NonIdempotent)
		w.route.Timeout = 2 * time.Second
		startWithRaw(w, e)
		resp := w.callDiscardingBody()
		Expect(resp.err).NotTo(HaveOccurred())
		Expect(resp.status).To(Equal(http.StatusBadGateway))
		Expect(e.count()).To(Equal(1))
	})
})
