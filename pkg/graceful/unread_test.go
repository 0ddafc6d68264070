package graceful_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/graceful"
)

// Guards against callers that hold back a body which no handler reads: the HTTP server waited for
// it before it sent the response, and the connection took its place for good.
var _ = Describe("a body that its handler does not read", func() {
	DescribeTable("holds up neither its response nor another caller", func(version, head, part string) {
		f := serveOptions(graceful.Options{Listener: listen(), HTTP: patientServer(), MaxConnections: 1})
		holding := f.dial()
		holding.send("POST / " + version + "\r\nHost: h\r\n" + head + "\r\n\r\n" + part)
		status, _ := holding.status()
		Expect(status).To(Equal(http.StatusOK))
		Expect(holding.isClosed()).To(BeTrue())
		late := f.dial()
		late.send(get("/"))
		status, _ = late.status()
		Expect(status).To(Equal(http.StatusOK))
	},
		Entry("with a length", "HTTP/1.1", "Content-Length: 9", "x"),
		Entry("in chunks", "HTTP/1.1", "Transfer-Encoding: chunked", "1\r\nx\r\n"),
		Entry("of HTTP/1.0 with a connection that is kept", "HTTP/1.0", "Connection: keep-alive\r\nContent-Length: 9", ""),
	)

	It("leaves the connection to further requests if it comes in time", func() {
		f := serveOptions(graceful.Options{Listener: listen(), HTTP: patientServer()})
		c := f.dial()
		for range 2 {
			c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
			status, closes := c.status()
			Expect(status).To(Equal(http.StatusOK))
			Expect(closes).To(BeFalse())
		}
	})
})
