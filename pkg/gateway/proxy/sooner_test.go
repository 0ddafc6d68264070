package proxy_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

var _ = Describe("A region that responds sooner", func() {
	const (
		slow              = 400 * time.Millisecond
		forwardedEnvelope = `{"from":"127.0.0.1:9","route":{"name":"r","kind":"idempotent"},"service":"svc","left":20000000000}`
	)
	var north, south *testProxy
	var here, there *endpoint
	var sent atomic.Int32 // to the daemon in the south

	predicts := true // whether the configuration calls for predictions

	BeforeEach(func() { predicts = true })

	// start starts a daemon in the north, whose endpoint is slow, and one in the south.
	start := func(allowed ...types.Region) {
		here = newEndpoint(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(slow)
			respondOK(w, r)
		})
		there = newEndpoint(respondOK)
		south = newTestProxy(catalog.Idempotent)
		south.moveSouth()
		south.endpointRegion = "south"
		south.start(there)
		north = newTestProxy(catalog.Idempotent)
		north.route.AllowedRegions, north.predicts = allowed, predicts
		sent.Store(0)
		peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			sent.Add(1)
			south.handler.ServeForwarded(w, r)
		}))
		DeferCleanup(peer.CloseClientConnections)
		member := members.Member{VM: types.VMID(peer.Listener.Addr().String()), Region: "south", State: members.Serving}
		member.Loads = []members.Load{{Service: service, ResponseMillis: 10}}
		north.members = []members.Member{member}
		north.start(here)
		north.addEndpoint("s0", there, "south")
	}
	send := func(count int) {
		for i := range count {
			Expect(north.call("POST", "/r/", "x", headerID, fmt.Sprintf("q%d", i)).status).To(Equal(200))
		}
	}

	It("gets none where the configuration does not call for predictions", func() {
		predicts = false
		start()
		send(12)
		Expect(sent.Load()).To(BeZero())
		Expect(here.count()).To(Equal(12))
	})

	It("is not even sent those whose data may not be used there", func() {
		start("north")
		send(6)
		Expect(sent.Load()).To(BeZero())
		Expect(here.count()).To(Equal(6))
	})

	It("gets none that another daemon forwarded", func() {
		start()
		for range 6 {
			Expect(north.serveForwarded(forwardedEnvelope, "x").Code).To(Equal(200))
		}
		Expect(sent.Load()).To(BeZero())
		Expect(here.count()).To(Equal(6))
	})
})
