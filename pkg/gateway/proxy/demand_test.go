package proxy_test

import (
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/demand"
	"github.com/flamingomount/flamingomount/pkg/gateway/proxy"
	"github.com/flamingomount/flamingomount/pkg/types"
)

var _ = Describe("callers' requests", func() {
	It("of restricted routes are counted by route, those of other daemons and of no route are not", func() {
		w := newTestProxy(catalog.Idempotent)
		w.route.Name, w.route.AllowedRegions = "r", []types.Region{w.region}
		w.start(newEndpoint(respondOK))
		options := w.options()
		options.Demand = demand.NewCounter(time.Now)
		w.callerServer = httptest.NewServer(proxy.New(options))
		DeferCleanup(w.callerServer.CloseClientConnections)
		Expect(w.call("GET", "/r/", "").status).To(Equal(200))
		Expect(w.call("GET", "/r/", "").status).To(Equal(200))
		Expect(w.call("GET", "/unknown/", "").status).To(Equal(404))
		Expect(options.Demand.Counts()).To(Equal(demand.Counts{"r": 2}))
	})
})
