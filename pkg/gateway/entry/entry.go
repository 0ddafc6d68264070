// Package entry runs one daemon of the gateway for traffic that is routed by
// host and path: it wires control state, balancing and proxy, opens the
// listeners, and stops gracefully.
package entry

import (
	"context"
	"io"
	stdlog "log"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/balance/gate"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/guard"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/gateway/proxy"
	"github.com/flamingomount/flamingomount/pkg/sharedrand"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Settings is what a daemon is told at its start.
type Settings struct {
	VM         types.VMID
	Region     types.Region
	DataCentre types.DataCentre
	// CallerAddress, Peers and Metrics are the addresses to listen on, "ip:port";
	// an empty Metrics opens none.
	CallerAddress  string
	PeerAddress    string
	MetricsAddress string
	// MetricsPath is the path of the metrics; empty means "/metrics".
	MetricsPath string
	Seeds       []types.VMID
	// MemoryBytes is the memory that the process may use; zero means unknown.
	MemoryBytes int64
	// ConfigPropagationLimit is the time in which a change must be in force everywhere;
	// zero means unknown.
	ConfigPropagationLimit time.Duration
	// Grace is the time between the signal to stop and the end.
	Grace time.Duration
	Cold  balance.Bounds
	// RetryRatio and RetrySlack bound the extra attempts of all daemons
	// together: a share of the requests plus a number.
	RetryRatio float64
	RetrySlack float64
	// RetryWindow is the time in which they are counted; zero means 10 s.
	RetryWindow time.Duration
}

// ExtraListener is a further listener, for questions that are not requests.
type ExtraListener struct {
	Name    string
	Address string
	Handler http.Handler
}

// Options configures an Entry.
type Options struct {
	Settings Settings
	Store    control.Store
	Dialect  proxy.Dialect
	// ExtraListeners returns further listeners of the entry; nil means none.
	ExtraListeners func(*Entry) []ExtraListener
	// Output receives the log.
	Output io.Writer
}

// Entry is one daemon.
type Entry struct {
	opts     Options
	log      *logrus.Logger
	lines    *lineWriter
	guard    *guard.Guard
	control  *control.Control
	gate     *gate.Gate
	budgets  *proxy.RetryBudgets
	handler  *proxy.Handler
	registry *prometheus.Registry
	servers  []*server
}

// memoryShare is the part of the process's memory at which the garbage
// collector works harder.
const memoryShare = 0.6

// bodyShare is the part of the process's memory that request bodies may take.
const bodyShare = 0.2

// watchShare is the part of ConfigWithin that one waiting call to the store may
// take: another daemon has to notice a silent reader and read in the rest.
const watchShare = 0.4

// parts is how many parts of a daemon run beside its listeners.
const parts = 2

// New provisions an entry and opens its listeners. After an error nothing stays
// open.
func New(opts Options) (*Entry, error) {
	s := opts.Settings
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryShare))
	}
	lines := newLineWriter()
	e := &Entry{opts: opts, lines: lines, log: newLog(lines), registry: prometheus.NewRegistry()}
	e.guard = guard.New(e.log, e.registry)
	e.gate = gate.New(balance.NewPool(s.Region, s.DataCentre, s.Cold), time.Now)
	e.budgets = proxy.NewRetryBudgets(s.RetryRatio, s.RetrySlack, s.RetryWindow)
	e.control = control.New(control.Options{
		Self: members.Member{
			VM: s.VM, Incarnation: uint64(time.Now().UnixMilli()), State: members.Starting,
			Region: s.Region, DataCentre: s.DataCentre, CallerAddress: s.CallerAddress,
		},
		Seeds:        s.Seeds,
		Store:        opts.Store,
		Peers:        control.NewHTTPPeers(proxy.NewTransport()),
		WatchTimeout: time.Duration(float64(s.ConfigPropagationLimit) * watchShare),
		Loads:        e.gate.Loads,
		OnSnapshot:   e.published,
		Log:          e.log,
		Guard:        e.guard,
		Now:          time.Now,
		Rand:         sharedrand.Source{},
	})
	e.handler = proxy.New(proxy.Options{
		Snapshot: e.control.Load, Gate: e.gate, Dialect: opts.Dialect, Reporter: e.control,
		RetryBudgets: e.budgets,
		BodyMemory:   int64(float64(s.MemoryBytes) * bodyShare),
		Log:          newRequestLog(e.log), Metrics: proxy.NewMetrics(e.registry), Now: time.Now, Rand: sharedrand.Source{},
	})
	if err := e.listen(); err != nil {
		e.close()
		return nil, err
	}
	return e, nil
}

// published hands a new snapshot to those who share limits with other daemons.
func (e *Entry) published(snap *control.Snapshot) {
	e.gate.Update(snap.View, sharers(snap))
	if !snap.Joining {
		e.budgets.SetFleetSize(snap.FleetPeak)
	}
}

// sharers returns the daemons that use the endpoints of the own region.
func sharers(snap *control.Snapshot) balance.Membership {
	found := balance.Membership{Self: snap.Self.VM, PeakLive: snap.RegionPeak, Joining: snap.Joining}
	for _, member := range snap.InRegion(snap.Self.Region) {
		found.Live = append(found.Live, member.VM)
		found.Serving = append(found.Serving, balance.Daemon{VM: member.VM, DataCentre: member.DataCentre})
		if member.DataCentre == snap.Self.DataCentre {
			found.SameDataCentre = append(found.SameDataCentre, member.VM)
		}
	}
	return found
}

// Snapshot returns what the daemon knows now.
func (e *Entry) Snapshot() *control.Snapshot {
	return e.control.Load()
}

// Log returns the entry's logger.
func (e *Entry) Log() logrus.FieldLogger {
	return e.log
}

// SetSeeds takes seeds that have changed.
func (e *Entry) SetSeeds(seeds []types.VMID) {
	e.control.SetSeeds(seeds)
}

func (e *Entry) listen() error {
	s := e.opts.Settings
	if err := e.open("callers", s.CallerAddress, e.handler); err != nil {
		return err
	}
	if err := e.open("peers", s.PeerAddress, http.HandlerFunc(e.servePeer)); err != nil {
		return err
	}
	if err := e.open("metrics", s.MetricsAddress, e.metricsHandler()); err != nil {
		return err
	}
	if e.opts.ExtraListeners == nil {
		return nil
	}
	for _, surface := range e.opts.ExtraListeners(e) {
		if err := e.open(surface.Name, surface.Address, surface.Handler); err != nil {
			return err
		}
	}
	return nil
}

// servePeer serves other daemons.
func (e *Entry) servePeer(w http.ResponseWriter, r *http.Request) {
	switch {
	case proxy.IsForwarded(r):
		e.handler.ServeForwarded(w, r)
	case r.URL.Path == control.MessagePath && r.Method == http.MethodPost:
		e.control.ServeMessage(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (e *Entry) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	path := e.opts.Settings.MetricsPath
	if path == "" {
		path = "/metrics"
	}
	mux.Handle(path, promhttp.HandlerFor(e.registry, promhttp.HandlerOpts{}))
	return mux
}

// Run serves until stop ends, then stops gracefully within the grace time.
func (e *Entry) Run(stop context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	logged := make(chan struct{})
	var logging, running conc.WaitGroup
	logging.Go(func() { e.lines.run(e.opts.Output, logged) })
	defer logging.Wait()
	defer close(logged)
	defer running.Wait()
	defer e.close()
	defer cancel()
	stdlog.SetFlags(0)
	stdlog.SetOutput(newLibraryLog(e.log))
	failed := make(chan error, len(e.servers)+parts)
	// A part that ended in a panic can't be done without: the daemon ends and is
	// started again.
	keep := func(part string, work func()) {
		running.Go(func() {
			if err := e.guard.Do(part, work); err != nil {
				failed <- err
			}
		})
	}
	keep("control", func() { e.control.Run(background) })
	keep("gate", func() { e.gate.Run(background) })
	for _, one := range e.servers {
		running.Go(func() {
			if err := one.serve(); err != nil {
				failed <- err
			}
		})
	}
	s := e.opts.Settings
	e.log.WithFields(logrus.Fields{"vm": s.VM, "region": s.Region, "data_centre": s.DataCentre, "callers": s.CallerAddress}).Info("daemon serves")
	select {
	case err := <-failed:
		return err
	case <-stop.Done():
	}
	e.drain()
	return nil
}
