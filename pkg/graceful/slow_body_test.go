package graceful_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/graceful"
)

// Guards against callers that send their bodies slowly on all connections that a listener takes.
var _ = Describe("connections whose handlers wait for a body", func() {
	const part = "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\npart"

	It("yield beyond the limit, the longest first", func() {
		f := serveOptions(graceful.Options{Listener: listen(), HTTP: patientServer(), MaxConnections: 2})
		first, second := f.dial(), f.dial()
		for _, slow := range []*caller{first, second} {
			slow.send(part)
			<-f.handling
		}
		late := f.dial()
		late.send(get("/"))
		status, _ := late.status()
		Expect(status).To(Equal(http.StatusOK))
		status, closes := first.status()
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(closes).To(BeTrue())
	})

	It("yield after those that wait for a request", func() {
		f := serveOptions(graceful.Options{Listener: listen(), HTTP: patientServer(), MaxConnections: 2})
		slow, silent := f.dial(), f.dial()
		slow.send(part)
		<-f.handling
		late := f.dial()
		late.send(get("/"))
		status, _ := late.status()
		Expect(status).To(Equal(http.StatusOK))
		Expect(silent.isClosed()).To(BeTrue())
		slow.send("whole")
		status, _ = slow.status()
		Expect(status).To(Equal(http.StatusOK))
	})
})
