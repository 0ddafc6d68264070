package proxy_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
)

// sendLine sends a request with this request target, byte for byte, and returns the
// response's status.
func (w *testProxy) sendLine(target string) int {
	GinkgoHelper()
	connection, err := net.Dial("tcp", strings.TrimPrefix(w.callerServer.URL, "http://"))
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = connection.Close() }()
	_, err = fmt.Fprintf(connection, "GET %s HTTP/1.1\r\nHost: a.example\r\n%s: q\r\n\r\n", target, headerID)
	Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	Expect(err).NotTo(HaveOccurred())
	_ = response.Body.Close()
	return response.StatusCode
}

// Guards against an endpoint that gets another URL than the caller sent: a path that
// begins with an empty segment was sent as an absolute URL of another host.
var _ = Describe("the request target", func() {
	var w *testProxy
	var ep *endpoint
	BeforeEach(func() {
		w = newTestProxy(catalog.Idempotent)
		w.route.Prefix = "/"
		ep = newEndpoint(respondOK)
		w.start(ep)
	})

	DescribeTable("reaches the endpoint as it was sent", func(target string) {
		Expect(w.sendLine(target)).To(Equal(http.StatusOK))
		Expect(ep.arrived[0].RequestURI).To(Equal(target))
		Expect(ep.arrived[0].Host).To(Equal("a.example"))
	},
		Entry(nil, "/"), Entry(nil, "//"), Entry(nil, "//liners/0"), Entry(nil, "//liners/0?a=//b"), Entry(nil, "///x"),
		Entry(nil, "//a%2Fb/%C3%A9"), Entry(nil, "//a@b:80/"), Entry(nil, "/a//b"), Entry(nil, "/./a/../b"), Entry(nil, "/a;b=c"),
		Entry(nil, "/caf%C3%A9/%2f"), Entry(nil, "/a?"), Entry(nil, "//a?"), Entry(nil, `/a"b`),
	)

	It("is refused if it can't be passed on as it was sent", func() {
		Expect(w.sendLine(`//a"b`)).To(Equal(http.StatusBadRequest))
		Expect(ep.count()).To(BeZero())
	})

	It("is the same over a hop", func() {
		owner := newTestProxy(catalog.Idempotent)
		owner.self = "127.0.0.1:2"
		owner.region = "south"
		owner.endpointRegion = "south"
		owner.start(ep)
		w = newTestProxy(catalog.Idempotent)
		w.route.Prefix, w.route.AllowedRegions = "/", nil
		w.endpointRegion = "south"
		w.members = append(w.members, owner.asMember())
		w.start(ep)
		Expect(w.sendLine("//liners/0")).To(Equal(http.StatusOK))
		Expect(ep.arrived[0].RequestURI).To(Equal("//liners/0"))
	})
})

// Guards against routes that are matched by another path than the one that is sent: a
// prefix with percent-encoding never matched, and an encoded slash led to the route of
// another prefix.
var _ = Describe("the route of a path", func() {
	DescribeTable("is that of the prefix that begins it as it was sent", func(prefix, target string, status int) {
		w := newTestProxy(catalog.Idempotent)
		w.route.Prefix = prefix
		w.start(newEndpoint(respondOK))
		Expect(w.sendLine(target)).To(Equal(status))
	},
		Entry(nil, "/caf%C3%A9/", "/caf%C3%A9/1", http.StatusOK),
		Entry(nil, "/café a/", "/caf%C3%A9%20a/1", http.StatusOK),
		Entry(nil, "/desk%2Fx/", "/desk%2Fx/1", http.StatusOK),
		Entry(nil, "/desk/", "/desk%2Fx/1", http.StatusNotFound),
		Entry(nil, "/desk/", "/desk/%2F", http.StatusOK),
		Entry(nil, "/desk/", "http://a.example/desk/1", http.StatusOK),
		Entry(nil, "/desk/", "/x/../desk/1", http.StatusNotFound),
	)
})
