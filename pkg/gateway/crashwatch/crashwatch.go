// Package crashwatch tells a crash of an endpoint from a single answer that broke
// off: an endpoint that has crashed accepts no connection, or what stands before it
// closes the connection at once.
package crashwatch

import (
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/flamingomount/flamingomount/pkg/gateway/crashes"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	// checkDelay is the time from the first broken answer to the check; the answers of
	// one crash break off within it, and the listener closes.
	checkDelay = 30 * time.Millisecond
	// dialTimeout bounds the check. An endpoint that does not answer at all is taken
	// for unreachable, not for crashed.
	dialTimeout = 500 * time.Millisecond
	// openTime is how long a connection must stay open for the endpoint to be alive.
	openTime = 50 * time.Millisecond
	// aliveTime is how long an endpoint that accepted a connection is not checked
	// again, so that a faulty one is not flooded with connections.
	aliveTime = 500 * time.Millisecond
)

// Report is called with the traits of each request that may have caused a crash.
type Report func(endpoint types.EndpointID, requests ...crashes.Traits)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Watcher checks endpoints that break off answers. It is safe for concurrent use.
type Watcher struct {
	dial   Dial
	report Report
	now    func() time.Time
	checks *prometheus.CounterVec

	mu sync.Mutex
	// suspects holds the traits of the requests that endpoints broke off which are being
	// checked.
	suspects map[types.EndpointID][]crashes.Traits
	// aliveAt is when endpoints last accepted the connection of a check.
	aliveAt map[types.EndpointID]time.Time
	running sync.WaitGroup
}

// New returns a watcher whose metrics are registered with registry.
func New(dial Dial, report Report, now func() time.Time, registry prometheus.Registerer) *Watcher {
	w := &Watcher{
		dial: dial, report: report, now: now,
		checks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "flamingomount_gateway_endpoint_crash_checks_total",
			Help: "Checks whether an endpoint that broke off an answer has crashed, by result.",
		}, []string{"result"}),
		suspects: make(map[types.EndpointID][]crashes.Traits),
		aliveAt:  make(map[types.EndpointID]time.Time),
	}
	registry.MustRegister(w.checks)
	return w
}

// Broken records that an endpoint broke off an answer before it had got on. The
// traits of the request are suspects if the endpoint turns out to have crashed.
func (w *Watcher) Broken(endpoint types.EndpointID, address string, traits crashes.Traits) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, checking := w.suspects[endpoint]; checking {
		w.suspects[endpoint] = append(w.suspects[endpoint], slices.Clone(traits))
		return
	}
	if w.now().Sub(w.aliveAt[endpoint]) < aliveTime {
		return
	}
	w.suspects[endpoint] = []crashes.Traits{slices.Clone(traits)}
	w.running.Add(1)
	time.AfterFunc(checkDelay, func() {
		defer w.running.Done()
		w.check(endpoint, address)
	})
}

// check connects to the endpoint, and reports a crash if it refuses.
func (w *Watcher) check(endpoint types.EndpointID, address string) {
	crashed := w.refuses(address)
	w.mu.Lock()
	suspects := w.suspects[endpoint]
	delete(w.suspects, endpoint)
	if !crashed {
		w.forgetAlive()
		w.aliveAt[endpoint] = w.now()
	}
	w.mu.Unlock()
	if !crashed {
		w.checks.WithLabelValues("alive").Inc()
		return
	}
	w.checks.WithLabelValues("crashed").Inc()
	w.report(endpoint, suspects...)
}

// forgetAlive drops endpoints that may be checked again.
func (w *Watcher) forgetAlive() {
	for endpoint, at := range w.aliveAt {
		if w.now().Sub(at) >= aliveTime {
			delete(w.aliveAt, endpoint)
		}
	}
}

// refuses reports whether nothing serves at the address.
func (w *Watcher) refuses(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := w.dial(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	}
	// Nothing was sent, so that closing can't lose anything.
	defer func() { _ = conn.Close() }()
	if conn.SetReadDeadline(time.Now().Add(openTime)) != nil {
		return false
	}
	_, err = conn.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// Wait waits for the checks that have begun.
func (w *Watcher) Wait() {
	w.running.Wait()
}
