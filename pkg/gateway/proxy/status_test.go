package proxy_test

import (
	"fmt"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Guards against responses of endpoints in trouble that were given to callers, or closed their
// connections without an answer, although their status is none.
var _ = Describe("a response whose status is none", func() {
	// answering returns an endpoint that answers with a status line and tells that it did not
	// run the request and is leaving, which a response that is none can't.
	answering := func(statusLine string) *rawEndpoint {
		return newRawEndpoint(func(connection net.Conn, id string, _ int) bool {
			return writeText(connection, fmt.Sprintf("%s\r\n%s: %s\r\n%s: s\r\n%s: 1\r\n%s: 1\r\nContent-Length: 2\r\n\r\nno",
				statusLine, headerID, id, headerSignature, headerNotRun, headerLeaving))
		})
	}
	entries := []TableEntry{
		Entry("000", "HTTP/1.1 000 None"),
		Entry("099", "HTTP/1.1 099 None"),
		Entry("600", "HTTP/1.1 600 None"),
		Entry("999", "HTTP/1.1 999 None"),
		Entry("101, for which nobody asked", "HTTP/1.1 101 Switching Protocols"),
		Entry("no digits", "HTTP/1.1 2x0 OK"),
		Entry("a sign", "HTTP/1.1 -20 OK"),
		Entry("nothing", "HTTP/1.1"),
	}

	for _, kind := range []catalog.Kind{catalog.NonIdempotent, catalog.Streaming} {
		DescribeTable(fmt.Sprintf("is a failure of its endpoint that is not tried again (%s)", kind), func(statusLine string) {
			w := newTestProxy(kind)
			first, second := answering(statusLine), answering(statusLine)
			startWithRaw(w, first, second)
			resp := w.call("POST", "/r/", "x")
			Expect(resp.err).NotTo(HaveOccurred())
			Expect(resp.status).To(Equal(http.StatusBadGateway))
			Expect(first.count() + second.count()).To(Equal(1))
		}, entries)
	}

	DescribeTable("is tried again where the kind of the request allows it", func(statusLine string) {
		w := newTestProxy(catalog.Idempotent)
		w.route.MaxAttempts, w.retryRatio, w.retryFixed = 3, 5, 500
		bad := answering(statusLine)
		good := newRawEndpoint(func(connection net.Conn, id string, _ int) bool {
			return writeText(connection, signedResponse(id, "answer to "+id))
		})
		startWithRaw(w, bad, good)
		for i := range 20 {
			id := fmt.Sprintf("q%d", i)
			resp := w.call("GET", "/r/", "", headerID, id)
			Expect(resp.status).To(Equal(http.StatusOK))
			Expect(resp.body).To(Equal("answer to " + id))
		}
		Expect(bad.count()).To(BeNumerically(">", 0))
		Expect(bad.count()).To(BeNumerically("<", good.count()), "the endpoint's health suffers")
	}, entries)

	DescribeTable("is a failure of another daemon that gives it", func(statusLine string) {
		daemon := answering(statusLine)
		south := newTestProxy(catalog.NonIdempotent)
		south.moveSouth(members.Member{VM: types.VMID(daemon.listener.Addr().String()), Region: "north", State: members.Serving})
		south.start(newEndpoint(respondOK))
		resp := south.call("POST", "/r/", "x")
		Expect(resp.err).NotTo(HaveOccurred())
		Expect(resp.status).To(Equal(http.StatusBadGateway))
		Expect(daemon.count()).To(Equal(1))
	}, entries)
})
