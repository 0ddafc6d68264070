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
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/platform/standin"
	"github.com/flamingomount/flamingomount/platform/wire"
	"github.com/flamingomount/flamingomount/tools/soak/check"
	"github.com/flamingomount/flamingomount/tools/soak/link"
)

// Names of the deployment under test.
const (
	host       = "soak.example"
	zoneSuffix = "-a"
	// engines is the model service; desk and annex take orders by turns.
	engines = "engines"
	desk    = "desk"
	annex   = "annex"
	// homeRegion is the only region that reports may be in.
	homeRegion = "north"
)

var regions = []string{homeRegion, "south"}

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
}

// World is one run.
type World struct {
	opts      Options
	store     *standin.Store
	storeHTTP *http.Server
	ledger    *standin.Ledger
	daemons   []*daemon
	serving   conc.WaitGroup

	// evacuating is held while a data centre is evacuated.
	evacuating sync.Mutex

	mu        sync.Mutex
	endpoints []*endpoint
	born      int
	version   uint64
	calls     []check.Call
	record    check.Record
	// zoneOf holds the data centre of every endpoint that ever was, by ID.
	zoneOf map[string]string
}

// endpoint is a back end with the link before it.
type endpoint struct {
	*standin.Endpoint
	id      string
	service string
	region  string
	link    *link.Link
}

// New starts everything and waits until each daemon takes callers.
func New(ctx context.Context, opts Options) (*World, error) {
	w := &World{opts: opts, store: standin.NewStore(), ledger: &standin.Ledger{}, zoneOf: make(map[string]string)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "store")
	}
	w.storeHTTP = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}
	w.serving.Go(func() { _ = w.storeHTTP.Serve(listener) }) // always http.ErrServerClosed
	w.publish(desk)
	for _, region := range regions {
		for _, service := range []string{engines, engines, desk, desk, annex} {
			if _, err := w.addEndpoint(service, region); err != nil {
				return nil, err
			}
		}
	}
	if err := w.startDaemons(listener.Addr().String()); err != nil {
		return nil, err
	}
	return w, w.awaitReady(ctx)
}

func (w *World) startDaemons(store string) error {
	zones := make(map[string]string)
	var seeds []string
	for at, region := range regions {
		zones[region+zoneSuffix] = region
		for number := range w.opts.Daemons {
			one, err := w.newDaemon(region, at, number, store)
			if err != nil {
				return err
			}
			w.daemons = append(w.daemons, one)
		}
		seeds = append(seeds, w.daemons[len(w.daemons)-1].control())
	}
	for _, one := range w.daemons {
		if err := one.settings(w.opts.Dir, zones, seeds); err != nil {
			return eris.Wrap(err, "settings")
		}
		one.keepRunning()
	}
	return nil
}

// newDaemon prepares a daemon on a loopback address of its own, which differs
// between runs side by side.
func (w *World) newDaemon(region string, place, number int, store string) (*daemon, error) {
	const firstNet, nets = 10, 200
	one := &daemon{
		name: fmt.Sprintf("%s-%d", region, number), region: region, binary: w.opts.Binary,
		ip: fmt.Sprintf("127.%d.%d.%d", firstNet+w.opts.Seed%nets, place+1, number+1),
	}
	if err := one.free(); err != nil {
		return nil, err
	}
	var err error
	if one.store, err = link.New(store); err != nil {
		return nil, eris.Wrap(err, "link")
	}
	if one.callers, err = link.New(one.front()); err != nil {
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
func (w *World) publish(orders string) {
	w.mu.Lock()
	w.version += 3
	version := w.version
	w.mu.Unlock()
	route := func(name, path, kind, service string) wire.Route {
		return wire.Route{
			Name: name, Host: host, PathPrefix: path, Kind: kind, Service: service,
			TimeoutMs: 4000, TargetLatencyMs: 400, MaxAttempts: 2, Priority: 2,
		}
	}
	report := route("report", standin.ReportPath, wire.KindStreaming, engines)
	report.Resumable, report.HomeRegions, report.Priority = true, []string{homeRegion}, 0
	w.store.PutJSON(wire.ConfigKey, wire.Config{
		Version: version,
		Routes: []wire.Route{
			report,
			route("ask", standin.AskPath, wire.KindStreaming, engines),
			route("order", standin.OrderPath, wire.KindNonIdempotent, orders),
			route("status", standin.StatusPath, wire.KindIdempotent, desk),
		},
		Services: []wire.Service{
			{Name: engines, ColdStartS: 1, ColdPerS: 9, Runtime: &wire.Runtime{Slots: 16, KVTokens: 100_000}},
			{Name: desk}, {Name: annex},
		},
		Limits: wire.ConfigLimits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20},
	})
}

// addEndpoint starts an endpoint behind a link and publishes it.
func (w *World) addEndpoint(service, region string) (*endpoint, error) {
	const slots = 16
	w.mu.Lock()
	w.born++
	id := fmt.Sprintf("i-%s-%s-%d", service, region, w.born)
	w.mu.Unlock()
	one, err := standin.NewEndpoint(standin.EndpointOptions{
		ID: id, Service: service, Zone: region + zoneSuffix, Slots: slots, Ledger: w.ledger, Store: w.store,
	})
	if err != nil {
		return nil, eris.Wrap(err, "endpoint")
	}
	before, err := link.New(one.Address())
	if err != nil {
		return nil, eris.Wrap(err, "link")
	}
	one.SetPublished(before.Address())
	one.SetBehaviour(standin.Behaviour{Pause: workTime})
	w.serving.Go(one.Serve)
	found := &endpoint{Endpoint: one, id: id, service: service, region: region, link: before}
	w.mu.Lock()
	w.endpoints = append(w.endpoints, found)
	w.zoneOf[id] = region + zoneSuffix
	w.mu.Unlock()
	one.Publish(wire.StateReady)
	return found, nil
}

// workTime is how long a sound endpoint works on a request, and pauses between
// two events.
const workTime = 8 * time.Millisecond

// Close ends every process that the run started.
func (w *World) Close() {
	for _, one := range w.daemons {
		one.end()
	}
	for _, one := range w.endpoints {
		one.Kill()
		one.link.Close()
	}
	_ = w.storeHTTP.Close() // nothing needs it any more
	w.serving.Wait()
}
