package proxy_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
)

// Guards against requests that a daemon passes on so late in its stop that the end of
// the stop cuts them off, whichever way they came.
var _ = Describe("a daemon that leaves", func() {
	const forwarded = `{"from":"127.0.0.1:9","route":{"name":"r","kind":"non-idempotent"},"service":"svc","left":5000000000}`
	var w *testProxy
	var ep *endpoint
	BeforeEach(func() {
		w = newTestProxy(catalog.NonIdempotent)
		ep = newEndpoint(respondOK)
		w.start(ep)
	})

	It("passes requests on during the admission time", func() {
		w.handler.Leave(time.Minute)
		answer := w.serveCaller("order")
		Expect(answer.Code).To(Equal(http.StatusOK))
		Expect(w.serveForwarded(forwarded, "order").Code).To(Equal(http.StatusOK))
		Expect(ep.count()).To(Equal(2))
	})

	It("refuses a caller's request after the admission time, at once and as not run", func() {
		w.handler.Leave(0)
		answer := w.serveCaller("order")
		Expect(answer.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(answer.Header().Get("Retry-After")).To(Equal("0.01"))
		Expect(ep.count()).To(BeZero())
	})

	It("refuses a forwarded request after the admission time, so that it goes elsewhere", func() {
		w.handler.Leave(0)
		answer := w.serveForwarded(forwarded, "order")
		Expect(answer.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(answer.Header().Get("X-Gateway-Failure")).To(Equal("draining"))
		Expect(answer.Header().Get("X-Gateway-Verdict")).To(Equal("not-run"))
		Expect(ep.count()).To(BeZero())
	})
})

// serveCaller passes the handler a caller's request and returns the response.
func (w *testProxy) serveCaller(body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest("POST", "/r/x", strings.NewReader(body))
	request.Host = "a.example"
	request.Header.Set(headerID, "q")
	recorder := httptest.NewRecorder()
	w.handler.ServeHTTP(recorder, request)
	return recorder
}
