package crashwatch_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/flamingomount/flamingomount/pkg/gateway/crashes"
	"github.com/flamingomount/flamingomount/pkg/gateway/crashwatch"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestCrashwatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "crashwatch")
}

var _ = Describe("The crash watch", func() {
	var (
		mu       sync.Mutex
		reported map[types.EndpointID][][]crashes.Traits
		dials    int
		watcher  *crashwatch.Watcher
	)
	// useDialer makes a watcher that checks with a function.
	useDialer := func(dial crashwatch.Dial) {
		watcher = crashwatch.New(func(ctx context.Context, network, address string) (net.Conn, error) {
			mu.Lock()
			dials++
			mu.Unlock()
			return dial(ctx, network, address)
		}, func(endpoint types.EndpointID, requests ...crashes.Traits) {
			mu.Lock()
			defer mu.Unlock()
			reported[endpoint] = append(reported[endpoint], requests)
		}, time.Now, prometheus.NewRegistry())
	}
	BeforeEach(func() {
		reported, dials = make(map[types.EndpointID][][]crashes.Traits), 0
		useDialer((&net.Dialer{}).DialContext)
	})
	// listen returns an address at which something listens until the spec ends.
	listen := func() net.Listener {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = listener.Close() })
		return listener
	}

	It("reports an endpoint that accepts no connection once, with the suspects of each request", func() {
		listener := listen()
		Expect(listener.Close()).To(Succeed())
		for trait := range crashes.Trait(3) {
			watcher.Broken("e1", listener.Addr().String(), crashes.Traits{trait})
		}
		watcher.Wait()
		Expect(reported).To(HaveKeyWithValue(types.EndpointID("e1"), [][]crashes.Traits{{{0}, {1}, {2}}}))
		Expect(dials).To(Equal(1))
	})

	It("reports no endpoint that only broke off an answer, and does not connect to it for each", func() {
		listener := listen()
		for range 10 {
			watcher.Broken("e1", listener.Addr().String(), crashes.Traits{1})
			watcher.Wait()
		}
		Expect(reported).To(BeEmpty())
		Expect(dials).To(Equal(1))
	})

	It("reports an endpoint whose connections are closed at once by what stands before it", func() {
		listener := listen()
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				_ = conn.Close()
			}
		}()
		watcher.Broken("e1", listener.Addr().String(), crashes.Traits{1})
		watcher.Wait()
		Expect(reported).To(HaveKey(types.EndpointID("e1")))
	})

	It("reports no endpoint that can't be reached", func() {
		useDialer(func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		watcher.Broken("e1", "192.0.2.1:1", crashes.Traits{1})
		watcher.Wait()
		Expect(reported).To(BeEmpty())
	})

	It("reports each further crash of an endpoint", func() {
		listener := listen()
		Expect(listener.Close()).To(Succeed())
		for range 2 {
			watcher.Broken("e1", listener.Addr().String(), crashes.Traits{1})
			watcher.Wait()
		}
		Expect(reported["e1"]).To(HaveLen(2))
	})
})
