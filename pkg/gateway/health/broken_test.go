package health_test

import (
	"context"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/internal/rawserver"
	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/health"
	"github.com/flamingomount/flamingomount/pkg/gateway/proxy"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// checkOnce lets a prober check an endpoint e1 and returns the pool after the check has ended.
func checkOnce(transport http.RoundTripper, address string) *fakePool {
	pool := &fakePool{results: map[types.EndpointID]time.Time{}, due: []balance.Probe{{
		Endpoint: catalog.ActiveEndpoint{Endpoint: &catalog.Endpoint{ID: "e1", Address: address}}, Path: "/well",
	}}}
	ended := make(chan struct{})
	counting := roundTripper(func(request *http.Request) (*http.Response, error) {
		context.AfterFunc(request.Context(), func() { close(ended) }) // the check ends its context
		return transport.RoundTrip(request)
	})
	log := logrus.New()
	log.SetOutput(io.Discard)
	prober := health.NewProber(pool, testDialect{}, counting, log, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	var running conc.WaitGroup
	running.Go(func() { prober.Run(ctx) })
	prober.Wake()
	Eventually(ended, waitLimit).Should(BeClosed())
	cancel()
	running.Wait()
	return pool
}

// roundTripper is a function that is an http.RoundTripper.
type roundTripper func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTripper) RoundTrip(request *http.Request) (*http.Response, error) {
	return f(request)
}

// Guards against a part of an answer that is believed: an endpoint would count as warm, or as
// leaving, by an answer that is none.
var _ = Describe("answers to health checks that are none", func() {
	const header, body = "X-Endpoint: e1\r\nX-Leaving: 1\r\nX-Backoff: 1h\r\n", `{"status":"well"}`
	newReader := func(address string) func() bool {
		transport := proxy.NewTransport()
		DeferCleanup(transport.CloseIdleConnections)
		return func() bool {
			pool := checkOnce(transport, address)
			_, found := pool.result("e1")
			Expect(len(pool.noted()) > 0).To(Equal(found), "a failure uses nothing")
			return found
		}
	}
	for _, broken := range rawserver.Broken(header, body) {
		if broken.Name == "without a length, closed inside" {
			continue // bytes that nobody decodes end where the connection does
		}
		It("are not believed: "+broken.Name, func() {
			Expect(rawserver.CheckReader(rawserver.Whole(header, body), broken, newReader)).To(Succeed())
		})
	}
})
