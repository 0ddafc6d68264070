package health_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/health"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestHealth(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "health")
}

const waitLimit = 30 * time.Second

// fakePool names one endpoint once and keeps the results.
type fakePool struct {
	mu  sync.Mutex
	due []balance.Probe
	// unconfirmed holds the checks due during an evacuation, looks counts how
	// often they were asked for.
	unconfirmed []balance.Probe
	evacuating  bool
	looks       int
	results     map[types.EndpointID]time.Time
	closed      bool
	notices     []balance.Notice
}

func (p *fakePool) Takes(*catalog.Endpoint) bool {
	return !p.closed
}

func (p *fakePool) Note(_ *catalog.Endpoint, notice balance.Notice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !notice.Empty() {
		p.notices = append(p.notices, notice)
	}
}

func (p *fakePool) noted() []balance.Notice {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notices
}

// taken reports whether the due checks were taken.
func (p *fakePool) taken() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.due == nil
}

func (p *fakePool) DueProbes() []balance.Probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	due := p.due
	p.due = nil
	return due
}

func (p *fakePool) DueConfirmations() ([]balance.Probe, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.looks++
	due := p.unconfirmed
	p.unconfirmed = nil
	return due, p.evacuating
}

func (p *fakePool) lookCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.looks
}

func (p *fakePool) RecordProbe(probe balance.Probe, coldUntil time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.results[probe.Endpoint.ID] = coldUntil
}

func (p *fakePool) result(id types.EndpointID) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	until, found := p.results[id]
	return until, found
}

// confirmedConn is a connection that counts the answers that the endpoint is warm. Those
// to a question that had been sent when it was told of it do not count.
type confirmedConn struct {
	net.Conn
	confirmed *atomic.Int64
	written   atomic.Int64
}

var _ health.Confirmer = (*confirmedConn)(nil)

// Write implements net.Conn.
func (c *confirmedConn) Write(data []byte) (int, error) {
	c.written.Add(1)
	return c.Conn.Write(data)
}

// Asking implements health.Confirmer.
func (c *confirmedConn) Asking() (confirm func()) {
	written := c.written.Load()
	return func() {
		if c.written.Load() > written {
			c.confirmed.Add(1)
		}
	}
}

// confirmations returns a transport and the number of answers, on its connections, that
// the endpoint is warm.
func confirmations() (*http.Transport, *atomic.Int64) {
	var confirmed atomic.Int64
	return &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &confirmedConn{Conn: conn, confirmed: &confirmed}, err
	}}, &confirmed
}

type testDialect struct{}

func (testDialect) HealthInfo(status int, header http.Header) health.Info {
	cold, _ := time.ParseDuration(header.Get("X-Cold"))
	backoff, _ := time.ParseDuration(header.Get("X-Backoff"))
	return health.Info{
		Endpoint: types.EndpointID(header.Get("X-Endpoint")), Healthy: status == http.StatusOK, Cold: cold,
		Leaving: header.Get("X-Leaving") != "", Backoff: backoff,
	}
}

var _ = Describe("Prober", func() {
	var transport *http.Transport
	var confirmed *atomic.Int64
	BeforeEach(func() {
		transport, confirmed = confirmations()
		DeferCleanup(transport.CloseIdleConnections)
	})
	// check lets a prober check an endpoint e1 and returns the pool and when the
	// endpoint has been asked.
	check := func(respond http.HandlerFunc, change ...func(*fakePool)) (*fakePool, chan struct{}) {
		asked := make(chan struct{}, 8)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			Expect(r.URL.Path).To(Equal("/well"))
			respond(w, r)
			asked <- struct{}{}
		}))
		DeferCleanup(server.Close)
		pool := &fakePool{results: map[types.EndpointID]time.Time{}, due: []balance.Probe{{
			Endpoint: catalog.ActiveEndpoint{Endpoint: &catalog.Endpoint{ID: "e1", Address: server.Listener.Addr().String()}}, Path: "/well",
		}}}
		for _, apply := range change {
			apply(pool)
		}
		log := logrus.New()
		log.SetOutput(io.Discard)
		prober := health.NewProber(pool, testDialect{}, transport, log, time.Now)
		ctx, cancel := context.WithCancel(context.Background())
		var running conc.WaitGroup
		running.Go(func() { prober.Run(ctx) })
		DeferCleanup(func() {
			cancel()
			running.Wait()
		})
		prober.Wake()
		return pool, asked
	}

	It("finds an endpoint warm", func() {
		pool, _ := check(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Endpoint", "e1") })
		Eventually(func() bool {
			until, found := pool.result("e1")
			return found && !until.After(time.Now())
		}, waitLimit).Should(BeTrue())
		Expect(confirmed.Load()).To(BeEquivalentTo(1))
	})

	It("finds how long an endpoint stays cold", func() {
		pool, _ := check(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Endpoint", "e1")
			w.Header().Set("X-Cold", "1h")
		})
		Eventually(func() bool {
			until, found := pool.result("e1")
			return found && time.Until(until) > 59*time.Minute
		}, waitLimit).Should(BeTrue())
		Expect(confirmed.Load()).To(BeZero())
	})

	It("checks endpoints at once and again and again while their data centre is being evacuated", func() {
		pool, asked := check(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Endpoint", "e1")
			w.Header().Set("X-Cold", "1h")
		}, func(pool *fakePool) { pool.unconfirmed, pool.due, pool.evacuating = pool.due, nil, true })
		Eventually(asked, waitLimit).Should(Receive())
		Eventually(func() bool {
			until, found := pool.result("e1")
			return found && time.Until(until) > 59*time.Minute
		}, waitLimit).Should(BeTrue())
		Eventually(pool.lookCount, waitLimit).Should(BeNumerically(">=", 5))
	})

	It("looks for no endpoints while no data centre is being evacuated", func() {
		pool, asked := check(func(http.ResponseWriter, *http.Request) {})
		Eventually(asked, waitLimit).Should(Receive())
		looks := pool.lookCount()
		Consistently(pool.lookCount, 300*time.Millisecond).Should(Equal(looks))
	})

	DescribeTable("learns that an endpoint wants no requests", func(name, value, id string, status int, expected balance.Notice) {
		pool, _ := check(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(name, value)
			w.Header().Set("X-Endpoint", id)
			w.WriteHeader(status)
		})
		Eventually(pool.noted, waitLimit).Should(ConsistOf(expected))
	},
		Entry("because it is leaving", "X-Leaving", "1", "e1", 503, balance.Notice{Leaving: true}),
		Entry("because it is leaving although it is healthy", "X-Leaving", "1", "e1", 200, balance.Notice{Leaving: true}),
		Entry("because it asks for a pause without its ID", "X-Backoff", "2s", "", 503, balance.Notice{Backoff: 2 * time.Second}),
	)

	It("believes no endpoint about another one", func() {
		pool, asked := check(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Leaving", "1")
			w.Header().Set("X-Endpoint", "e2")
		})
		Eventually(asked, waitLimit).Should(Receive())
		Consistently(pool.noted, 100*time.Millisecond).Should(BeEmpty())
	})

	It("does not check an endpoint that asked for a pause since the check became due", func() {
		pool, asked := check(func(http.ResponseWriter, *http.Request) {}, func(pool *fakePool) { pool.closed = true })
		Eventually(pool.taken, waitLimit).Should(BeTrue())
		Consistently(asked, 300*time.Millisecond).ShouldNot(Receive())
	})

	DescribeTable("learns nothing", func(respond http.HandlerFunc) {
		pool, asked := check(respond)
		Eventually(asked, waitLimit).Should(Receive())
		Consistently(func() bool {
			_, found := pool.result("e1")
			return found
		}, 100*time.Millisecond).Should(BeFalse())
	},
		Entry("from an endpoint that is not healthy", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Endpoint", "e1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}),
		Entry("from another endpoint that has the address now", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Endpoint", "e2") }),
		Entry("from an endpoint that does not answer in time", func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(700 * time.Millisecond)
			w.Header().Set("X-Endpoint", "e1")
		}),
		Entry("from a broken connection", func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			Expect(err).NotTo(HaveOccurred())
			Expect(conn.Close()).To(Succeed())
		}),
	)
})
