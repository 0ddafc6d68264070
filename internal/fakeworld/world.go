package fakeworld

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/cacheview"
	"github.com/flamingomount/flamingomount/pkg/control/loadview"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/score"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// World is one run of one system.
type World struct {
	Config Config
	// InnocentsRefused counts calls that are not fatal and were refused as
	// quarantined.
	InnocentsRefused int

	system    System
	clock     clock
	rand      *rand.Rand
	cacheRand *rand.Rand
	service   *published.Service
	published *published.Configuration
	regions   map[types.Region]*regionWorld
	engines   map[types.EndpointID]*Engine
	links     map[linkKey]*link
	stats     *Stats
}

type regionWorld struct {
	engines []*Engine
	daemons []*Daemon
}

// tickEvery is how often a daemon looks at its capacity and deadlines.
const tickEvery = 100 * time.Millisecond

// New builds a world; nothing has happened yet.
func New(config Config, system System) *World {
	w := &World{
		Config: config, system: system, clock: clock{now: Epoch},
		rand: newRand(config.Seed, worldSeed), cacheRand: newRand(config.Seed, cacheSeed),
		regions: map[types.Region]*regionWorld{}, engines: map[types.EndpointID]*Engine{},
		links: map[linkKey]*link{}, stats: newStats(config.Warmup),
	}
	w.publish()
	for i, region := range config.Regions {
		w.addRegion(i, region)
	}
	for _, l := range config.Links {
		w.addLink(l)
	}
	for i := range config.Streams {
		newGenerator(w, &w.Config.Streams[i], i).next()
	}
	return w
}

func (w *World) publish() {
	w.service = &published.Service{Name: Service, Kind: published.KindModel, Versions: []types.ModelVersion{"1"}}
	w.published = &published.Configuration{
		Revision: 1, Policy: w.Config.Policy, Links: w.Config.Links,
		Services: map[types.ServiceName]*published.Service{Service: w.service},
		Orgs:     map[types.OrgName]*published.Organisation{},
		Regions:  map[types.Region]*published.Region{},
	}
	for _, region := range w.Config.Regions {
		w.service.Regions = append(w.service.Regions, region.Name)
		w.published.Regions[region.Name] = &published.Region{Name: region.Name}
	}
}

func (w *World) org(name types.OrgName) *published.Organisation {
	org := w.published.Orgs[name]
	if org == nil {
		org = &published.Organisation{Name: name, Share: 1}
		w.published.Orgs[name] = org
	}
	return org
}

func (w *World) addRegion(index int, region Region) {
	r := &regionWorld{}
	w.regions[region.Name] = r
	for i := range region.Endpoints {
		r.engines = append(r.engines, w.addEngine(region, i))
	}
	for i := range region.Daemons {
		r.daemons = append(r.daemons, w.addDaemon(index, region, i))
	}
	for i, engine := range r.engines {
		phase := w.Config.ReportEvery * time.Duration(i) / time.Duration(len(r.engines))
		w.clock.every(phase, w.Config.ReportEvery, func() { w.report(engine) })
	}
	if w.Config.SummaryEvery > 0 && len(w.Config.Regions) > 1 {
		w.clock.every(w.Config.SummaryEvery, w.Config.SummaryEvery, func() { w.summarise(region.Name) })
	}
}

func (w *World) addEngine(region Region, i int) *Engine {
	e := &Engine{
		ID: types.EndpointID(fmt.Sprintf("%s-%03d", region.Name, i)), Region: region.Name,
		Slots: region.Slots, Slow: 1, world: w, running: map[*job]struct{}{},
	}
	e.cache = newPrefixCache(w.Config.CacheBlocks, func(kind cacheview.Kind, prefix uint64) { e.emit(kind, prefix) })
	w.engines[e.ID] = e
	return e
}

func (w *World) addDaemon(index int, region Region, i int) *Daemon {
	self := incarnation(region.Name, i)
	random := newRand(w.Config.Seed, daemonSeed+uint64(index*len(w.Config.Regions)*1000+i))
	d := &Daemon{
		world: w, rand: random, router: w.system.Router(), admitter: w.system.Admitter(w.Config.Policy, random),
		retrier: w.system.Retrier(), cache: cacheview.New(cacheview.Options{}), tracker: loadview.NewTracker(w.system.Limits),
		byID: map[types.EndpointID]*snapshot.Endpoint{}, waiting: map[admissionID]*passage{},
		Snapshot: &snapshot.Snapshot{
			TakenAt: Epoch, Config: w.published, Self: snapshot.Self{Incarnation: self, Region: region.Name},
			Endpoints: map[types.ServiceName][]*snapshot.Endpoint{}, Regions: map[types.Region]*snapshot.RegionSummary{},
		},
	}
	for other := range region.Daemons {
		if other != i {
			d.Snapshot.Members = append(d.Snapshot.Members, snapshot.Member{
				Incarnation: incarnation(region.Name, other), Region: region.Name, State: snapshot.MemberAlive,
			})
		}
	}
	for _, engine := range w.regions[region.Name].engines {
		d.addEndpoint(engine)
	}
	d.equip()
	d.tick()
	phase := tickEvery * time.Duration(i) / time.Duration(region.Daemons)
	w.clock.every(phase, tickEvery, d.tick)
	w.clock.every(phase, w.Config.ReportEvery, d.note)
	return d
}

func incarnation(region types.Region, i int) types.Incarnation {
	return types.Incarnation{VM: types.VMID(fmt.Sprintf("%s-daemon-%d", region, i)), Boot: "1"}
}

func (d *Daemon) addEndpoint(engine *Engine) {
	ep := &snapshot.Endpoint{
		ID: engine.ID, Region: engine.Region, Service: Service, Version: "1", Slots: engine.Slots,
		Hash: score.HashEndpoint(engine.ID), Counters: &snapshot.Counters{},
	}
	d.byID[engine.ID] = ep
	d.Snapshot.Endpoints[Service] = append(d.Snapshot.Endpoints[Service], ep)
}

// arrive brings a call to a random daemon of its region.
func (w *World) arrive(call *Call) {
	daemons := w.regions[call.Origin].daemons
	if w.Config.FirstShare > 0 && w.rand.Float64() < w.Config.FirstShare {
		w.Present(call, daemons[0])
		return
	}
	w.Present(call, daemons[w.rand.IntN(len(daemons))])
}

// Present brings a call to a daemon, as its caller would.
func (w *World) Present(call *Call, d *Daemon) {
	w.stats.offered(call)
	d.accept(call, func(failure *types.Failure) { w.answered(call, failure) })
}

// answered records the outcome; a refused caller may return.
func (w *World) answered(call *Call, failure *types.Failure) {
	if failure != nil && failure.RetryAfter > 0 && call.Resends < w.Config.Resends {
		again := call.Request.Arrived.Sub(Epoch) < w.Config.Duration &&
			w.clock.now.Add(failure.RetryAfter).Before(call.Request.Deadline)
		if again {
			call.Resends++
			w.clock.after(failure.RetryAfter, func() { w.arrive(call) })
			return
		}
	}
	w.stats.answered(call, failure, w.clock.now)
}

// report takes a load report, which arrives later.
func (w *World) report(e *Engine) {
	w.stats.occupancy(w, e)
	if e.down {
		return
	}
	load := snapshot.Load{TakenAt: w.clock.now, Running: len(e.running), Queued: e.queued(), CacheUsed: e.cache.used()}
	w.clock.after(w.Config.ReportDelay, func() {
		for _, d := range w.regions[e.Region].daemons {
			d.report(e.ID, load)
		}
	})
}

// engineChanged tells the daemons of an engine that went down or came back.
func (w *World) engineChanged(e *Engine) {
	down := e.down
	w.clock.after(w.Config.HealthDelay, func() {
		for _, d := range w.regions[e.Region].daemons {
			d.health(e.ID, down)
		}
	})
}

// Run runs arrivals and lets the last answers come, then returns the figures.
func (w *World) Run() *Stats {
	longest := time.Duration(0)
	for _, s := range w.Config.Streams {
		longest = max(longest, s.Deadline)
	}
	w.clock.runUntil(Epoch.Add(w.Config.Duration), func() bool { return false })
	w.stats.closeWindow()
	answered := func() bool { return w.stats.pending == 0 }
	w.clock.runUntil(Epoch.Add(w.Config.Duration+longest), answered)
	return w.stats
}

// At schedules something to happen to the world.
func (w *World) At(since time.Duration, run func(w *World)) {
	w.clock.after(since, func() { run(w) })
}

// Engines lists the engines of a region.
func (w *World) Engines(region types.Region) []*Engine {
	return slices.Clone(w.regions[region].engines)
}

// Daemons lists the daemons of a region.
func (w *World) Daemons(region types.Region) []*Daemon {
	return slices.Clone(w.regions[region].daemons)
}

// Crash takes an engine down for the given time.
func (w *World) Crash(e *Engine, down time.Duration) {
	e.crash()
	w.clock.after(down, e.restart)
}

// ClearCache empties an engine's prefix cache; nobody is told.
func (w *World) ClearCache(e *Engine) {
	e.cache.clear()
}

// Now is the world's time.
func (w *World) Now() time.Time {
	return w.clock.now
}
