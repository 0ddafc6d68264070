package control_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/guard"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Links and limits of the fleet, those of a deployment of the users.
const (
	smallMegabits = 10
	largeMegabits = 200
	// configLimit is the time within which a configuration is in force everywhere.
	configLimit = 5 * time.Second
	// manyRoutes is the number of routes of a configuration that has grown.
	manyRoutes = 4252
)

// link is one direction of a daemon's link.
type link struct {
	tokens *rate.Limiter
	bytes  atomic.Int64
}

func newLink(megabits int) *link {
	bytesPerSecond := megabits * 1_000_000 / 8
	return &link{tokens: rate.NewLimiter(rate.Limit(bytesPerSecond), bytesPerSecond/50)}
}

// pass waits until the link has passed a number of bytes on.
func (l *link) pass(count int) {
	l.bytes.Add(int64(count))
	_ = l.tokens.WaitN(context.Background(), count)
}

// linkedConn is a connection whose bytes pass the links of both its daemons.
type linkedConn struct {
	net.Conn
	from, to *linkedDaemon
}

// Read implements net.Conn. It passes what the other daemon sends.
func (c *linkedConn) Read(p []byte) (int, error) {
	const segment = 4 << 10
	n, err := c.Conn.Read(p[:min(len(p), segment)])
	if n > 0 {
		c.to.up.pass(n)
		c.from.down.pass(n)
	}
	return n, err
}

// Write implements net.Conn.
func (c *linkedConn) Write(p []byte) (int, error) {
	const segment = 4 << 10
	written := 0
	for written < len(p) {
		part := p[written:min(len(p), written+segment)]
		c.from.up.pass(len(part))
		c.to.down.pass(len(part))
		n, err := c.Conn.Write(part)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// linkedDaemon is a daemon with a link of its own.
type linkedDaemon struct {
	*control.Control
	vm         types.VMID
	dataCentre types.DataCentre
	up, down   *link
	server     *httptest.Server
}

// linkedStore is the store as a daemon reads it: what it returns passes the daemon's link.
type linkedStore struct {
	control.Store
	daemon *linkedDaemon
}

// Watch implements control.Store.
func (s *linkedStore) Watch(ctx context.Context, after catalog.Position, wait time.Duration) (catalog.Delta, error) {
	const slack = 700 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	delta, err := s.Store.Watch(ctx, after, wait)
	if err != nil {
		return delta, err
	}
	return delta, s.daemon.receive(ctx, delta.Records)
}

// ReadAll implements control.Store.
func (s *linkedStore) ReadAll(ctx context.Context) ([]catalog.Record, catalog.Position, error) {
	records, base, err := s.Store.ReadAll(ctx)
	if err != nil {
		return nil, base, err
	}
	return records, base, s.daemon.receive(ctx, records)
}

// receive waits until records have passed the daemon's link as the store sends them, in
// base64, or returns the error of ctx.
func (d *linkedDaemon) receive(ctx context.Context, records []catalog.Record) error {
	const segment, recordBytes, routeBytes = 4 << 10, 300, 300
	left := 0
	for _, record := range records {
		left += recordBytes
		if record.Config != nil {
			left += len(record.Config.Routes) * routeBytes
		}
	}
	for ; left > 0; left -= segment {
		d.down.pass(min(left, segment))
		if err := ctx.Err(); err != nil {
			return err
		}
	}
	return nil
}

// linkedFleet is one region whose daemons send each other messages over links.
type linkedFleet struct {
	store   *fakeStore
	daemons []*linkedDaemon
}

// newLinkedFleet starts two data centres, each of daemons with links of a number of megabits
// a second.
func newLinkedFleet(megabits ...int) *linkedFleet {
	f := &linkedFleet{store: newFakeStore()}
	f.store.put(configRecord(1))
	megabits = slices.Concat(megabits, megabits)
	for i, size := range megabits {
		dataCentre := types.DataCentre("north-a")
		if i >= len(megabits)/2 {
			dataCentre = "north-b"
		}
		f.daemons = append(f.daemons, &linkedDaemon{
			vm: types.VMID(fmt.Sprintf("10.0.0.%d:80", i+1)), dataCentre: dataCentre, up: newLink(size), down: newLink(size),
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running conc.WaitGroup
	for i, daemon := range f.daemons {
		f.prepare(daemon, megabits[i])
	}
	for _, daemon := range f.daemons {
		running.Go(func() { daemon.Run(ctx) })
	}
	DeferCleanup(func() {
		cancel()
		for _, daemon := range f.daemons {
			daemon.server.CloseClientConnections()
		}
		running.Wait()
	})
	return f
}

// prepare sets up a daemon. It does not run yet.
func (f *linkedFleet) prepare(daemon *linkedDaemon, megabits int) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	transport := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return f.dial(ctx, daemon, types.VMID(address))
	}}
	daemon.Control = control.New(control.Options{
		Self: members.Member{
			VM: daemon.vm, Incarnation: 1, State: members.Starting, Region: "north", DataCentre: daemon.dataCentre,
			CallerAddress: string(daemon.vm), LinkMegabits: megabits,
		},
		Seeds: []types.VMID{f.daemons[0].vm}, Store: &linkedStore{f.store, daemon}, Peers: control.NewHTTPPeers(transport),
		OnSnapshot: func(*control.Snapshot) {}, Loads: func() []members.Load { return nil },
		Log: log, Guard: guard.New(log, prometheus.NewRegistry()), Now: time.Now, Rand: rand.New(rand.NewPCG(uint64(megabits), 1)),
	})
	daemon.server = httptest.NewServer(http.HandlerFunc(daemon.ServeMessage))
}

// dial connects a daemon to another one.
func (f *linkedFleet) dial(ctx context.Context, from *linkedDaemon, to types.VMID) (net.Conn, error) {
	for _, other := range f.daemons {
		if other.vm != to {
			continue
		}
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", other.server.Listener.Addr().String())
		if err != nil {
			return nil, err
		}
		return &linkedConn{Conn: conn, from: from, to: other}, nil
	}
	return nil, fmt.Errorf("no daemon has the address %s", to)
}

// behind counts the daemons whose configuration is older than a version.
func (f *linkedFleet) behind(version uint64) int {
	count := 0
	for _, daemon := range f.daemons {
		if config := daemon.Load().View.Config; config == nil || config.Version < version {
			count++
		}
	}
	return count
}

// received returns the most bytes that a daemon has received.
func (f *linkedFleet) received() int64 {
	most := int64(0)
	for _, daemon := range f.daemons {
		most = max(most, daemon.down.bytes.Load())
	}
	return most
}

// grownConfig returns a configuration of many routes, whose names tell nothing of each other.
func grownConfig(version uint64, routes int) *catalog.Config {
	random := rand.New(rand.NewPCG(1, 2))
	name := func() string { return fmt.Sprintf("%07x", random.Uint32()>>4) }
	config := &catalog.Config{Version: version, Services: map[types.ServiceName]*catalog.Service{"huvo11a": {Name: "huvo11a"}}}
	for range routes {
		config.Routes = append(config.Routes, &catalog.Route{
			Name: "r-" + name(), Host: name() + ".example", Prefix: "/" + name() + "/", Kind: catalog.Idempotent,
			Timeout: 1500 * time.Millisecond, Objective: 300 * time.Millisecond, Rank: 2, MaxAttempts: 2,
			Backends: []catalog.Backend{{Service: "huvo11a", Weight: 1}}, AllowedRegions: []types.Region{"natal", "suape"},
		})
	}
	return config
}

func links(large, small int) []int {
	var megabits []int
	for i := range large + small {
		if i < large {
			megabits = append(megabits, largeMegabits)
		} else {
			megabits = append(megabits, smallMegabits)
		}
	}
	return megabits
}

// Guards against configurations that are in force too late, and requests that run outside their
// homes for it, since many routes don't pass narrow links in the time of a message (issue 69, HOME).
var _ = Describe("A configuration of many routes", func() {
	DescribeTable("is in force at all daemons in time, and passes each link a few times at most", func(large, small int) {
		f := newLinkedFleet(links(large, small)...)
		Eventually(func() int { return f.behind(1) }, 30*time.Second).Should(BeZero())
		time.Sleep(3 * time.Second) // the daemons have joined each other
		defer f.changeEndpoints()()
		before := f.received()
		size := 0
		for version := uint64(2); version <= 4; version++ {
			config := grownConfig(version, manyRoutes)
			size += jsonSize(config)
			published := time.Now()
			f.store.put(catalog.Record{Key: "op/config", Config: config})
			Eventually(func() int { return f.behind(version) }, 20*time.Second, 10*time.Millisecond).Should(BeZero())
			took := time.Since(published)
			AddReportEntry("figures", fmt.Sprintf("version %d in force after %s", version, took))
			Expect(took).To(BeNumerically("<", configLimit))
		}
		time.Sleep(time.Second)
		received := f.received() - before
		AddReportEntry("figures", fmt.Sprintf("%d bytes of JSON, at most %d received", size, received))
		Expect(received).To(BeNumerically("<", 3*int64(size)))
	},
		Entry("where two daemons of each data centre have large links and six have small ones", 2, 6),
		Entry("where all links are small", 0, 16),
	)
})

// changeEndpoints changes ten endpoints a second until the returned function is called.
func (f *linkedFleet) changeEndpoints() (stop func()) {
	const pause = 100 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	return runUntil(cancel, func() {
		for number := 0; ctx.Err() == nil; number++ {
			f.store.put(endpointRecord(fmt.Sprintf("e%d", number%100)))
			time.Sleep(pause)
		}
	})
}

func jsonSize(value any) int {
	encoded, err := json.Marshal(value)
	Expect(err).NotTo(HaveOccurred())
	return len(encoded)
}
