package proxy_test

import (
	"net/http"
	"net/http/httptrace"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/health"
	"github.com/flamingomount/flamingomount/pkg/gateway/proxy"
)

var _ = Describe("An endpoint whose process may have just started", func() {
	var e *endpoint
	var w *testProxy
	var transport *http.Transport
	BeforeEach(func() {
		e, w, transport = newEndpoint(respondOK), newTestProxy(catalog.Idempotent), proxy.NewTransport()
		DeferCleanup(transport.CloseIdleConnections)
		w.transport = transport
		// Too little for this daemon to have a share of it.
		w.bounds = balance.Bounds{ColdOvershoot: 1}
		w.start(e)
		w.snap.View.Config.Services[service].ColdPerSecond = 1
		w.update()
	})

	It("gets nothing on a new connection once its cold rate is used up", func() {
		for range 3 {
			response := w.call("POST", "/r/", "body")
			Expect(response.err).NotTo(HaveOccurred())
			Expect(response.status).To(Equal(http.StatusServiceUnavailable))
		}
		Expect(e.count()).To(BeZero())
		Expect(w.gate.Loads()).To(BeEmpty())
	})

	It("gets requests once it has answered that it is warm", func() {
		confirm := func() {}
		request, err := http.NewRequest("GET", "http://"+e.address()+"/", nil)
		Expect(err).NotTo(HaveOccurred())
		request = request.WithContext(httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
			GotConn: func(got httptrace.GotConnInfo) { confirm = got.Conn.(health.Confirmer).Asking() },
		}))
		response, err := transport.RoundTrip(request)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		confirm()
		Expect(w.call("POST", "/r/", "body").status).To(Equal(http.StatusOK))
		Expect(e.count()).To(Equal(2))
	})
})
