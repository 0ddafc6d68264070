package proxy_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/proxy"
)

// heldDials is a transport whose dials of one address wait once they are held.
type heldDials struct {
	*http.Transport
	mu      sync.Mutex
	address string
	release chan struct{}
	waiting int
}

func newHeldDials() *heldDials {
	h := &heldDials{Transport: proxy.NewTransport()}
	dialer := proxy.NewDialer()
	h.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		h.mu.Lock()
		release := h.release
		if address != h.address {
			release = nil
		}
		if release != nil {
			h.waiting++
		}
		h.mu.Unlock()
		if release != nil {
			<-release
		}
		return dialer.DialContext(context.WithoutCancel(ctx), network, address)
	}
	return h
}

// hold makes further dials of an address wait until the returned function is called.
func (h *heldDials) hold(address string) (release func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := make(chan struct{})
	h.address, h.release = address, held
	return sync.OnceFunc(func() { close(held) })
}

func (h *heldDials) held() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.waiting
}

// expectElsewhereAfter lets requests wait for a connection to an endpoint while its response
// to an earlier one, of a status, comes. After that response the endpoint gets none of them:
// they go to another one.
func expectElsewhereAfter(respond http.HandlerFunc, status, waiting int) {
	GinkgoHelper()
	w := newTestProxy(catalog.NonIdempotent)
	w.route.MaxAttempts = 1
	held := newHeldDials()
	w.transport = held
	finish := make(chan struct{})
	near := newEndpoint(func(w http.ResponseWriter, r *http.Request) {
		<-finish
		respond(w, r)
	})
	far := newEndpoint(respondOK)
	startNearAndFar(w, near, far)
	var running conc.WaitGroup
	running.Go(func() { Expect(w.call("POST", "/r/", "x").status).To(Equal(status)) })
	Eventually(near.count, eventuallyTimeout).Should(Equal(1))
	release := held.hold(near.address())
	defer release()
	for range waiting {
		running.Go(func() { Expect(w.call("POST", "/r/", "x").status).To(Equal(http.StatusOK)) })
	}
	Eventually(held.held, eventuallyTimeout).Should(Equal(waiting))
	close(finish)
	running.Wait()
	Expect(far.count()).To(Equal(waiting))
	release()
	Consistently(near.count, 200*time.Millisecond).Should(Equal(1))
}
