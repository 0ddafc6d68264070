package proxy_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/internal/cutupload"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// newCuttingEndpoint starts an endpoint that answers as soon as it has the head of a request and
// resets the connection while the body is still being written.
func newCuttingEndpoint(respond func(id string) string) net.Listener {
	GinkgoHelper()
	listener, err := cutupload.Listen(func(header http.Header) string { return respond(header.Get(headerID)) })
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	return listener
}

// Guards against the part of an answer that was given to a caller as a complete one: the write of
// the upload takes the error that a reset leaves on the connection, and the read that follows
// sees an ordinary end.
var _ = Describe("an answer that is cut off while the upload is written", func() {
	const tries = 40
	head := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n", headerID, id, headerSignature)
	}
	DescribeTable("is never taken for complete", func(kind catalog.Kind, upload int, rest string) {
		w := newTestProxy(kind)
		w.route.MaxAttempts, w.limits.BodyBytes = 1, 64<<20
		e := newCuttingEndpoint(func(id string) string { return head(id) + rest })
		w.start(newEndpoint(respondOK))
		w.snap.View.Endpoints[service][0].Address = e.Addr().String()
		w.update()
		body, complete := strings.Repeat("x", upload), 0
		for range tries {
			if resp := w.call("POST", "/r/", body); resp.err == nil && resp.status == http.StatusOK {
				complete++
			}
		}
		Expect(complete).To(BeZero(), "of %d", tries)
	},
		Entry("without a length, large upload", catalog.Idempotent, 30<<20, "\r\npart"),
		Entry("without a length, small upload", catalog.Idempotent, 3<<20, "\r\npart"),
		Entry("stream without a length, at the end of an event", catalog.Streaming, 30<<20, "\r\nid: 1\ndata: x\n\n"),
		Entry("stream without a length, inside an event", catalog.Streaming, 30<<20, "\r\nid: 1\ndata: x\n\nid: 2"),
		Entry("with a length", catalog.Idempotent, 30<<20, "Content-Length: 10\r\n\r\npart"),
		Entry("in chunks", catalog.Idempotent, 30<<20, "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"),
	)

	It("is never taken for complete over a hop to another daemon", func() {
		daemon := newCuttingEndpoint(func(id string) string { return head(id) + "\r\npart" })
		south := newTestProxy(catalog.NonIdempotent)
		south.limits.BodyBytes = 64 << 20
		south.moveSouth(members.Member{VM: types.VMID(daemon.Addr().String()), Region: "north", State: members.Serving})
		south.start(newEndpoint(respondOK))
		body := strings.Repeat("x", 30<<20)
		for range tries / 2 {
			resp := south.call("POST", "/r/", body)
			Expect(resp.err == nil && resp.status == http.StatusOK).To(BeFalse())
		}
	})

	It("is complete if the endpoint had read the whole request", func() {
		w := newTestProxy(catalog.NonIdempotent)
		w.limits.BodyBytes = 64 << 20
		startWithRaw(w, newRawEndpoint(func(connection net.Conn, id string, _ int) bool {
			writeText(connection, head(id)+"\r\nwhole")
			return false
		}))
		for _, size := range []int{0, 1, 30 << 20} {
			resp := w.call("POST", "/r/", strings.Repeat("x", size))
			Expect(resp.err).NotTo(HaveOccurred())
			Expect(resp.status).To(Equal(http.StatusOK))
			Expect(resp.body).To(Equal("whole"))
		}
	})
})
