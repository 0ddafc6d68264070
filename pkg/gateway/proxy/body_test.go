package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/bodies"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
)

// bodyMemory is the bound of the proxies in these tests, in bytes.
const bodyMemory = 3000

// upload is a request whose body is sent in parts.
type upload struct {
	net.Conn
	reader *bufio.Reader
}

// startUpload sends the header of a request and the first part of its body.
func startUpload(address, framing, part string) *upload {
	GinkgoHelper()
	connection, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = connection.Close() })
	_, err = fmt.Fprintf(connection, "POST /r/x HTTP/1.1\r\nHost: a.example\r\n%s: q\r\n%s\r\n\r\n%s", headerID, framing, part)
	Expect(err).NotTo(HaveOccurred())
	return &upload{Conn: connection, reader: bufio.NewReader(connection)}
}

func (u *upload) status() int {
	GinkgoHelper()
	_ = u.SetReadDeadline(time.Now().Add(eventuallyTimeout))
	response, err := http.ReadResponse(u.reader, nil)
	Expect(err).NotTo(HaveOccurred())
	_, err = io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode
}

// Guards against a process that exceeds its memory by bodies that are on their way:
// only those that had been received were counted.
var _ = Describe("the memory of bodies", func() {
	var w *testProxy
	var ep *endpoint
	var address string
	BeforeEach(func() {
		w = newTestProxy(catalog.NonIdempotent)
		// Time stands still: no body is received for so long that it has to yield.
		w.bodies = bodies.NewPool(bodies.Options{Bytes: bodyMemory, Now: func() time.Time { return longAgo }})
		ep = newEndpoint(respondOK)
		w.start(ep)
		address = strings.TrimPrefix(w.callerServer.URL, "http://")
	})

	DescribeTable("is reserved before a body is received", func(framing, first, rest string) {
		slow := startUpload(address, framing, first)
		Eventually(w.handler.ReservedBodyBytes, eventuallyTimeout).Should(BeNumerically(">", 2000))
		Expect(startUpload(address, framing, first).status()).To(Equal(http.StatusServiceUnavailable))
		Expect(ep.count()).To(BeZero())
		_, err := io.WriteString(slow, rest)
		Expect(err).NotTo(HaveOccurred())
		Expect(slow.status()).To(Equal(http.StatusOK))
		Expect(ep.bodies).To(ConsistOf(strings.Repeat("b", 2000)))
		Eventually(w.handler.ReservedBodyBytes, eventuallyTimeout).Should(BeZero())
	},
		Entry("with a length", "Content-Length: 2000", strings.Repeat("b", 1500), strings.Repeat("b", 500)),
		Entry("in chunks", "Transfer-Encoding: chunked", "5dc\r\n"+strings.Repeat("b", 1500)+"\r\n", "1f4\r\n"+strings.Repeat("b", 500)+"\r\n0\r\n\r\n"),
	)
})
