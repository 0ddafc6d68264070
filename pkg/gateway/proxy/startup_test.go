package proxy_test

import (
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/gateway/proxy"
)

// feed publishes snapshots to a proxy.
type feed struct {
	mu       sync.Mutex
	current  *control.Snapshot
	replaced chan struct{}
	// waits counts how often a request asked for the next snapshot.
	waits int
}

func (f *feed) next() (*control.Snapshot, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waits++
	return f.current, f.replaced
}

func (f *feed) load() *control.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

func (f *feed) publish(snap *control.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = snap
	close(f.replaced)
	f.replaced = make(chan struct{})
}

// publishWhenAwaited publishes a snapshot as soon as a request waits for one.
func (f *feed) publishWhenAwaited(snap *control.Snapshot) {
	go func() {
		defer GinkgoRecover()
		Eventually(f.awaited, eventuallyTimeout, time.Millisecond).Should(BeTrue())
		f.publish(snap)
	}()
}

func (f *feed) awaited() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.waits > 0
}

// startWith replaces the snapshots of a started proxy by those of a feed, which
// begins with the given one; age is how long ago the daemon started.
func (w *testProxy) startWith(first *control.Snapshot, age time.Duration) *feed {
	f := &feed{current: first, replaced: make(chan struct{})}
	options := w.options()
	options.Snapshot, options.NextSnapshot = f.load, f.next
	started := false
	options.Now = func() time.Time {
		if !started {
			started = true
			return time.Now().Add(-age)
		}
		return time.Now()
	}
	w.callerServer = httptest.NewServer(proxy.New(options))
	DeferCleanup(w.callerServer.CloseClientConnections)
	return f
}

var _ = Describe("Right after the start of a daemon", func() {
	var w *testProxy
	var empty *control.Snapshot
	BeforeEach(func() {
		w = newTestProxy(catalog.Idempotent)
		w.start(newEndpoint(respondOK))
		starting := *w.snap
		starting.View = &catalog.View{}
		empty = &starting
	})

	It("a request waits for the configuration", func() {
		f := w.startWith(empty, 0)
		f.publishWhenAwaited(w.snap)
		Expect(w.call("GET", "/r/", "").status).To(Equal(200))
	})

	It("a request waits for a daemon of a region that may run it", func() {
		other := newTestProxy(catalog.Idempotent)
		other.region, other.endpointRegion = "south", "south"
		other.start(newEndpoint(respondOK))
		w.route.AllowedRegions = append(w.route.AllowedRegions, "south")
		alone := *w.snap
		view := *w.snap.View
		view.Endpoints = other.snap.View.Endpoints
		alone.View = &view
		f := w.startWith(&alone, 0)
		joined := alone
		joined.Members = []members.Member{other.asMember()}
		f.publishWhenAwaited(&joined)
		Expect(w.call("GET", "/r/", "").status).To(Equal(200))
	})

	It("a request is refused as not run when the configuration does not come", func() {
		f := w.startWith(empty, 0)
		response := w.call("GET", "/r/", "")
		Expect(response.status).To(Equal(503))
		Expect(response.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(f.awaited()).To(BeTrue())
	})

	It("no request waits once the daemon has run for longer", func() {
		f := w.startWith(empty, time.Minute)
		Expect(w.call("GET", "/r/", "").status).To(Equal(503))
		Expect(f.awaited()).To(BeFalse())
	})

	It("a caller that leaves ends its wait", func() {
		f := w.startWith(empty, 0)
		done := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(done)
			w.call("GET", "/r/", "")
		}()
		Eventually(f.awaited, eventuallyTimeout).Should(BeTrue())
		w.callerServer.CloseClientConnections()
		Eventually(done, eventuallyTimeout).Should(BeClosed())
		f.publish(w.snap)
	})

	It("no request waits at a daemon that already leaves and reaches an endpoint", func() {
		leaving := *w.snap
		leaving.Self.State = members.Leaving
		f := w.startWith(&leaving, 0)
		Expect(w.call("GET", "/r/", "").status).To(Equal(200))
		Expect(f.awaited()).To(BeFalse())
	})
})
