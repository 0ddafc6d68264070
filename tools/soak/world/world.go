// Package world runs daemons as separate processes on loopback, between
// stand-ins for the store, the endpoints and the callers, and lets a plan happen
// to them.
package world

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
	"github.com/flamingomount/flamingomount/platform/standin"
	"github.com/flamingomount/flamingomount/tools/soak/check"
	"github.com/flamingomount/flamingomount/tools/soak/link"
)

// Names of the deployment under test.
const (
	host = "soak.example"
	// engines is the model service; desk and annex take orders by turns.
	engines = types.ServiceName("engines")
	desk    = types.ServiceName("desk")
	annex   = types.ServiceName("annex")
	// vault has endpoints in the home region only, so that requests of other
	// regions go over a hop.
	vault = types.ServiceName("vault")
	// library serves long streams, in rolling runs. It has endpoints in the home region
	// and in the last one.
	library = types.ServiceName("library")
	// homeRegion is the only region that reports may be in.
	homeRegion = types.Region("north")
)

// regions lists the regions; the last one is part of rolling runs and runs with homes only.
var regions = []types.Region{homeRegion, "south", "west"}

// regions returns the regions of the run.
func (w *World) regions() []types.Region {
	if w.opts.Rolling || w.opts.Homes {
		return regions
	}
	return regions[:2]
}

// dataCentreOf returns the one data centre of a region.
func dataCentreOf(region types.Region) types.DataCentre {
	return types.DataCentre(region + "-a")
}

// dataCentres maps every data centre to its region.
func (w *World) dataCentres() map[types.DataCentre]types.Region {
	found := make(map[types.DataCentre]types.Region)
	for _, region := range w.regions() {
		found[dataCentreOf(region)] = region
	}
	return found
}

// Bounds of the routes and of engines that have just started.
const (
	usualTimeout  = 4 * time.Second
	longTimeout   = 8 * time.Second
	maxAttempts   = 2
	coldStart     = 2 * time.Second
	coldPerSecond = 9
	// coldStartRestarts and coldPerSecondRestarts hold in runs with endpoints that start
	// again, where each gets a smaller part of the requests than its rate would be.
	coldStartRestarts     = 3 * time.Second
	coldPerSecondRestarts = 3
	coldOvershoot         = 1.5
	coldSlack             = 3
	// leastServed is the part of the undisturbed calls that has to be answered, and
	// leastServedHomes that of a run in which no daemon of a region serves for seconds.
	leastServed      = 0.95
	leastServedHomes = 0.8
)

// Options describes a run.
type Options struct {
	Seed uint64
	// Binary is the daemon's program.
	Binary string
	// Dir takes settings and logs.
	Dir string
	// Length is how long traffic and plan last.
	Length time.Duration
	// Daemons is how many run in each region, Callers how many callers each
	// region has.
	Daemons int
	Callers int
	// Timed also checks bounds in time.
	Timed bool
	// Rolling adds a region, long streams and callers that speak on their connections
	// themselves; Visitors is how many of them stay with each daemon.
	Rolling  bool
	Visitors int
	// Homes adds a region and a host with homes, whose callers keep the directory's answers.
	Homes bool
	// Restarts lets engines be cold for longer, at a lower rate.
	Restarts bool
	// Restored marks each configuration by a route of its own, which is asked for all the
	// while, and lets what was written last longer.
	Restored bool
}

// cold returns how long engines are cold after their start, and their rate then.
func (o Options) cold() (length time.Duration, perSecond float64) {
	if o.Restarts {
		return coldStartRestarts, coldPerSecondRestarts
	}
	return coldStart, coldPerSecond
}

// routeTimeout returns every route's timeout.
func (o Options) routeTimeout() time.Duration {
	if o.Rolling {
		return longTimeout
	}
	return usualTimeout
}

// grace returns the time that daemons get to stop.
func (o Options) grace() time.Duration {
	if o.Rolling {
		return rollingGrace
	}
	return usualGrace
}

// leastServed returns the part of the undisturbed calls that has to be answered with
// success.
func (o Options) leastServed() float64 {
	if o.Homes {
		return leastServedHomes
	}
	return leastServed
}

// World is one run.
type World struct {
	opts Options
	// homeRoutes lists the routes of homesHost.
	homeRoutes []homeRoute
	store      *standin.Store
	storeHTTP  *http.Server
	ledger     *standin.Ledger
	// loopback is the second byte of the daemons' addresses, reservation what
	// holds it.
	loopback    uint64
	reservation net.Listener
	daemons     []*daemon
	// links holds the links of all endpoints, also of those that are gone.
	links   []*link.Link
	serving conc.WaitGroup

	// evacuating is held while a data centre is evacuated.
	evacuating sync.Mutex

	// away is held while the store is away, writing while the operator writes.
	away, writing sync.Mutex
	// traffic ends with the traffic of the run.
	traffic context.Context

	// tainted is true from the moment at which the deadly part crashes endpoints.
	tainted atomic.Bool

	mu        sync.Mutex
	endpoints []*endpoint
	born      int
	version   uint64
	calls     []check.Call
	record    check.Record
	// orders lists where orders went, by the time of the configuration.
	orders  []ordersTo
	senders senders
	// placeOf holds the data centre of every endpoint that ever was, by ID.
	placeOf map[string]types.DataCentre
	// entries holds what endpoints have written last, by ID, latest and evacuated what
	// the operator has: the configuration and the evacuations.
	entries   map[string]told
	latest    operatorConfig
	evacuated map[types.DataCentre]evacuation
}

// ordersTo is the service to which orders go from a time on.
type ordersTo struct {
	from    time.Time
	service types.ServiceName
}

// New starts everything and waits until each daemon takes callers. After an error
// the world, if there is one, still has to be closed.
func New(ctx context.Context, opts Options) (*World, error) {
	w := &World{opts: opts, store: standin.NewStore(), ledger: &standin.Ledger{}, placeOf: make(map[string]types.DataCentre)}
	w.entries, w.evacuated = make(map[string]told), make(map[types.DataCentre]evacuation)
	if opts.Homes {
		w.homeRoutes = drawHomeRoutes(opts.Seed)
	}
	w.senders = senders{processes: w.processes, names: make(map[string]func() string)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "store")
	}
	w.storeHTTP = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}
	w.serving.Go(func() { _ = w.storeHTTP.Serve(listener) }) // always http.ErrServerClosed
	if err := w.reserve(); err != nil {
		return w, err
	}
	w.publish(desk)
	for _, region := range w.regions() {
		for _, service := range w.servicesIn(region) {
			if _, err := w.addEndpoint(service, region); err != nil {
				return w, err
			}
		}
	}
	if err := w.startDaemons(listener.Addr().String()); err != nil {
		return w, err
	}
	return w, w.awaitReady(ctx)
}

// servicesIn returns the service of each endpoint that a region has.
func (w *World) servicesIn(region types.Region) []types.ServiceName {
	services := []types.ServiceName{engines, engines, desk, desk, annex}
	if region == homeRegion {
		services = append(services, vault, vault, vault)
	}
	if w.opts.Rolling && region != regions[1] {
		services = append(services, library, library, library)
	}
	return services
}

// processes returns the daemons' processes by name.
func (w *World) processes() map[string]int {
	w.mu.Lock()
	daemons := slices.Clone(w.daemons)
	w.mu.Unlock()
	found := make(map[string]int, len(daemons))
	for _, one := range daemons {
		one.running(found)
	}
	return found
}

func (w *World) startDaemons(store string) error {
	var seeds []types.VMID
	for at, region := range w.regions() {
		for number := range w.daemonsIn(region) {
			one, err := w.newDaemon(region, at, number, store)
			if err != nil {
				return err
			}
			w.mu.Lock()
			w.daemons = append(w.daemons, one)
			w.mu.Unlock()
		}
		seeds = append(seeds, types.VMID(w.daemons[len(w.daemons)-1].control()))
	}
	for _, one := range w.daemons {
		if err := one.settings(w.opts.Dir, seeds); err != nil {
			return err
		}
		one.keepRunning()
	}
	return nil
}

// DaemonsByRegion returns the numbers of each region's daemons, as steps name them.
func (w *World) DaemonsByRegion() [][]int {
	var found [][]int
	number := 0
	for _, region := range w.regions() {
		var daemons []int
		for range w.daemonsIn(region) {
			daemons = append(daemons, number)
			number++
		}
		found = append(found, daemons)
	}
	return found
}

// daemonsIn returns the number of daemons in a region; the last one is smaller.
func (w *World) daemonsIn(region types.Region) int {
	if region == regions[2] {
		return max(w.opts.Daemons-1, 1)
	}
	return w.opts.Daemons
}

// reserve takes a range of loopback addresses that no other run uses, and holds
// it by a listener.
func (w *World) reserve() error {
	const firstNet, nets, port = 10, 200, 8139
	for try := range uint64(nets) {
		second := firstNet + (w.opts.Seed+try)%nets
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", second, port))
		if err == nil {
			w.loopback, w.reservation = second, listener
			return nil
		}
	}
	return eris.New("other runs use every range of loopback addresses")
}

// newDaemon prepares a daemon on a loopback address of its own.
func (w *World) newDaemon(region types.Region, place, number int, store string) (*daemon, error) {
	one := &daemon{
		name: fmt.Sprintf("%s-%d", region, number), region: region, binary: w.opts.Binary,
		ip: fmt.Sprintf("127.%d.%d.%d", w.loopback, place+1, number+1), grace: w.opts.grace(), places: w.dataCentres(),
		replace: make(chan struct{}), live: make(map[*process]bool),
	}
	if err := one.free(); err != nil {
		return nil, err
	}
	var err error
	if one.store, err = link.New(store, nil); err != nil {
		return nil, eris.Wrap(err, "link")
	}
	if one.callers, err = link.New(one.front(), nil); err != nil {
		return nil, eris.Wrap(err, "link")
	}
	one.log, err = os.Create(filepath.Join(w.opts.Dir, one.name+".log"))
	return one, eris.Wrap(err, "log")
}

func (w *World) awaitReady(ctx context.Context) error {
	for _, one := range w.daemons {
		for !one.ready(ctx) {
			select {
			case <-ctx.Done():
				return eris.Errorf("%s did not become ready", one.name)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

// publish writes a configuration in which the orders go to a service.
func (w *World) publish(orders types.ServiceName) {
	w.writing.Lock()
	defer w.writing.Unlock()
	w.awaitStore()
	w.mu.Lock()
	w.version += 3
	version := w.version
	now := time.Now()
	w.orders = append(w.orders, ordersTo{now, orders})
	w.record.Configs = append(w.record.Configs, now)
	w.mu.Unlock()
	route := func(name, path string, kind catalog.Kind, service types.ServiceName) *catalog.Route {
		return &catalog.Route{
			Name: name, Host: host, Prefix: path, Kind: kind, Backends: []catalog.Backend{{Service: service, Weight: 1}},
			Timeout: w.opts.routeTimeout(), Objective: 400 * time.Millisecond, MaxAttempts: maxAttempts, Rank: 2,
		}
	}
	report := route("report", standin.ReportPath, catalog.Streaming, engines)
	report.Resumable, report.AllowedRegions, report.Rank = true, []types.Region{homeRegion}, 0
	routes := []*catalog.Route{
		report,
		route("ask", standin.AskPath, catalog.Streaming, engines),
		route("order", standin.OrderPath, catalog.NonIdempotent, orders),
		route("status", standin.StatusPath, catalog.Idempotent, desk),
		route("fetch", standin.FetchPath, catalog.Idempotent, vault),
	}
	cold, perSecond := w.opts.cold()
	services := map[types.ServiceName]*catalog.Service{
		engines: {ColdStart: cold, ColdPerSecond: perSecond, HealthPath: standin.HealthPath, Engine: &catalog.Engine{Slots: 16, CacheTokens: 100_000}},
		desk:    {}, annex: {},
	}
	if w.opts.Rolling {
		services[library] = &catalog.Service{Engine: &catalog.Engine{Slots: 16, CacheTokens: 100_000}}
		survey, digest := route("survey", standin.SurveyPath, catalog.Streaming, library), route("digest", standin.DigestPath, catalog.Streaming, library)
		survey.Affinity, digest.Affinity, digest.Resumable = true, true, true
		routes = append(routes, survey, digest)
	}
	for _, one := range w.homeRoutes {
		restricted := route(one.name, one.prefix(), catalog.Idempotent, desk)
		restricted.Host, restricted.AllowedRegions = homesHost, one.homes
		routes = append(routes, restricted)
	}
	if w.opts.Restored {
		routes = append(routes, route("marker", markerPrefix(version), catalog.Idempotent, desk))
	}
	w.writeConfig(now, &catalog.Config{
		Version: version, Routes: routes, Services: services,
		Limits: catalog.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20},
	})
}

// workTime is how long a sound endpoint works on a request, and pauses between
// two events.
const workTime = 8 * time.Millisecond

// slowWork is the same for an endpoint that has become slow: a stream lasts for
// nearly two seconds.
const slowWork = 150 * time.Millisecond

// Close ends every process that the run started.
func (w *World) Close() {
	for _, one := range w.daemons {
		one.end()
	}
	for _, one := range w.endpoints {
		one.Kill()
	}
	for _, one := range w.links {
		one.Close()
	}
	_ = w.storeHTTP.Close() // nothing needs it any more
	if w.reservation != nil {
		_ = w.reservation.Close() // the range is free for other runs
	}
	w.serving.Wait()
}
