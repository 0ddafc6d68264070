package daemon_test

import (
	"bytes"
	"cmp"
	"context"
	"encoding/base64"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/daemon"
	"github.com/flamingomount/flamingomount/pkg/jsonlog"
	"github.com/flamingomount/flamingomount/pkg/platform"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/settings"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/standin/engine"
	"github.com/flamingomount/flamingomount/pkg/standin/plain"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestDaemon(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "daemon")
}

const (
	model      types.ServiceName = "quotes"
	orders     types.ServiceName = "orders"
	credential                   = "secret-of-bagmati"
	homeRegion types.Region      = "kathmandu"
	farRegion  types.Region      = "pokhara"
)

// lockedRand is a seeded random source that is safe for concurrent use.
type lockedRand struct {
	mu     sync.Mutex
	source *rand.Rand
}

func (l *lockedRand) Uint64() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.source.Uint64()
}

// fleet is a set of daemons in front of stand-in endpoints, on loopback.
type fleet struct {
	config  *published.Configuration
	listing platform.VMListing
	engines []*engine.Engine
	workers []*plain.Worker
	entries []*entry
	log     *lockedBuffer
	// tune changes the settings of each daemon; nil changes nothing.
	tune func(*settings.Settings)
	// router replaces the router of the daemons; nil means the default.
	router route.Router
	// endpointRegion is the region of added endpoints; empty means homeRegion.
	endpointRegion types.Region
}

// entry is one running daemon.
type entry struct {
	*daemon.Daemon
	control *daemon.StaticControl
	url     string
	stop    context.CancelFunc
	ended   chan error
}

// lockedBuffer collects log lines. It is safe for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

func testConfig() *published.Configuration {
	regions := []types.Region{homeRegion, farRegion}
	return &published.Configuration{
		Revision: 7,
		Services: map[types.ServiceName]*published.Service{
			model: {Name: model, Team: "sales", Kind: published.KindModel, Regions: regions,
				Versions: []types.ModelVersion{"v1"}, MaxBodyBytes: 1 << 16},
			orders: {
				Name: orders, Team: "sales", Kind: published.KindPlain, Regions: regions,
				Calls: []published.Call{{Method: "GET", PathPrefix: "/stock", Repeatable: true}},
			},
		},
		Orgs: map[types.OrgName]*published.Organisation{"bagmati": {Name: "bagmati", Share: 1}},
		Credentials: map[published.CredentialHash]*published.Credential{
			published.HashCredential(credential): {Org: "bagmati", Services: []types.ServiceName{model, orders}},
		},
		Policy: published.Policy{RetryBudget: 10},
	}
}

func newFleet() *fleet {
	return &fleet{config: testConfig(), log: new(lockedBuffer)}
}

func (f *fleet) serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	DeferCleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

func (f *fleet) addEngine(opts engine.Options) *engine.Engine {
	opts.TokenInterval = time.Millisecond
	eng := engine.New(opts)
	f.engines = append(f.engines, eng)
	f.addEndpoint(opts.ID, model, f.serve(eng))
	return eng
}

func (f *fleet) addWorker(id types.EndpointID) *plain.Worker {
	worker := plain.New(id)
	f.workers = append(f.workers, worker)
	f.addEndpoint(id, orders, f.serve(worker))
	return worker
}

func (f *fleet) addEndpoint(id types.EndpointID, service types.ServiceName, address string) {
	version := types.ModelVersion("")
	if service == model {
		version = "v1"
	}
	f.listing.VMs = append(f.listing.VMs, platform.VM{
		Version: version,
		Role:    platform.RoleEndpoint, Region: cmp.Or(f.endpointRegion, homeRegion), DataCentre: "dc-1",
		Address: address, Endpoint: id, Service: service, Slots: 8,
	})
}

// start starts one daemon for each given region. A region may be repeated.
func (f *fleet) start(regions ...types.Region) {
	callers := make([]net.Listener, len(regions))
	peers := make([]net.Listener, len(regions))
	for i, region := range regions {
		callers[i], peers[i] = listenLoopback(), listenLoopback()
		f.listing.VMs = append(f.listing.VMs, platform.VM{
			Role: platform.RoleEntry, Region: region, DataCentre: "dc-1",
			Peer: types.VMID(peers[i].Addr().String()), Address: callers[i].Addr().String(),
		})
	}
	for i, region := range regions {
		f.startDaemon(region, types.BootID("boot-"+string(rune('a'+i))), callers[i], peers[i])
	}
	f.connect()
}

func listenLoopback() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return listener
}

func (f *fleet) startDaemon(region types.Region, boot types.BootID, caller, peer net.Listener) {
	s := settings.Defaults()
	s.Region, s.DataCentre = string(region), "dc-1"
	s.Timeouts.DrainNotice = 0
	s.Timeouts.DrainTickets = 0
	if f.tune != nil {
		f.tune(&s)
	}
	self := snapshot.Self{
		Incarnation: types.Incarnation{VM: types.VMID(peer.Addr().String()), Boot: boot},
		Region:      region, DataCentre: "dc-1", CallerAddress: caller.Addr().String(),
	}
	log := logrus.New()
	log.SetOutput(f.log)
	log.SetFormatter(jsonlog.Formatter{})
	e := &entry{control: daemon.NewStaticControl(self, f.config, f.listing), url: "http://" + self.CallerAddress}
	d, err := daemon.New(daemon.Options{
		Settings: &s, Control: e.control, Boot: boot, Log: log, Router: f.router,
		Keys:           []daemon.Key{{ID: "k1", Secret: bytes.Repeat([]byte("k"), 32)}},
		Rand:           &lockedRand{source: rand.New(rand.NewPCG(1, uint64(len(f.entries))))},
		CallerListener: caller, PeerListener: peer,
	})
	Expect(err).NotTo(HaveOccurred())
	e.Daemon = d
	var stop context.Context
	stop, e.stop = context.WithCancel(context.Background())
	abort, cancelAbort := context.WithCancel(context.Background())
	e.ended = make(chan error, 1)
	var wg conc.WaitGroup
	wg.Go(func() { e.ended <- d.Run(stop, abort) })
	DeferCleanup(func() {
		cancelAbort()
		e.stop()
		wg.Wait()
	})
	f.entries = append(f.entries, e)
}

// connect publishes the other daemons, with their boot IDs, as alive members in
// the snapshot of each daemon.
func (f *fleet) connect() {
	for _, e := range f.entries {
		var members []snapshot.Member
		for _, other := range f.entries {
			if other == e {
				continue
			}
			self := other.Self()
			members = append(members, snapshot.Member{
				Incarnation: self.Incarnation, Region: self.Region, DataCentre: self.DataCentre,
				CallerAddress: self.CallerAddress, State: snapshot.MemberAlive,
			})
		}
		e.control.Update(func(view *snapshot.Snapshot) { view.Members = members })
	}
}

// response is a response as a caller received it.
type response struct {
	status  int
	header  http.Header
	body    string
	readErr error
}

// header is one header field of a request.
type header struct {
	name, value string
}

func call(method, url, body string, fields ...header) response {
	GinkgoHelper()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	req, err := http.NewRequest(method, url, reader)
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+credential)
	for _, field := range fields {
		req.Header.Set(field.name, field.value)
	}
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(data), readErr: err}
}

// ticketOwner returns the incarnation of the daemon that owns a ticket.
func ticketOwner(ticket string) types.Incarnation {
	GinkgoHelper()
	parts := strings.Split(ticket, ".")
	data, err := base64.RawURLEncoding.DecodeString(parts[len(parts)-2])
	Expect(err).NotTo(HaveOccurred())
	var claims struct {
		Owner types.Incarnation `json:"owner"`
	}
	Expect(json.Unmarshal(data, &claims)).To(Succeed())
	return claims.Owner
}
