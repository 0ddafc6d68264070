package proxy_test

import (
	"context"
	"net"
	"net/http"
	"sync"

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
