// Package entry runs one daemon of the gateway for traffic that is routed by
// host and path: it connects control state, load balancing and proxy, opens the
// listeners, and shuts down gracefully.
package entry

import (
	"context"
	"io"
	stdlog "log"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/bodies"
	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/balance/gate"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/crashes"
	"github.com/flamingomount/flamingomount/pkg/gateway/demand"
	"github.com/flamingomount/flamingomount/pkg/gateway/explain"
	"github.com/flamingomount/flamingomount/pkg/gateway/guard"
	"github.com/flamingomount/flamingomount/pkg/gateway/health"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/gateway/proxy"
	"github.com/flamingomount/flamingomount/pkg/gateway/quota/exchange"
	"github.com/flamingomount/flamingomount/pkg/graceful"
	"github.com/flamingomount/flamingomount/pkg/sharedrand"
	"github.com/flamingomount/flamingomount/pkg/suspension"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Settings holds the settings with which a daemon starts.
type Settings struct {
	VM         types.VMID
	Region     types.Region
	DataCentre types.DataCentre
	// CallerAddress, PeerAddress and MetricsAddress are the addresses to listen
	// on, "ip:port"; an empty MetricsAddress opens no listener.
	CallerAddress  string
	PeerAddress    string
	MetricsAddress string
	// MetricsPath is the URL path of the metrics; empty means "/metrics".
	MetricsPath string
	Seeds       []types.VMID
	// DataCentres is the number of data centres with daemons; zero means unknown.
	DataCentres int
	// Daemons is the largest number of daemons that the operators run at once; zero means
	// unknown.
	Daemons int
	// MemoryBytes is the memory limit of the process; zero means unknown.
	MemoryBytes int64
	// Descriptors is the limit of the process on open descriptors; zero means that of the
	// operating system.
	Descriptors int
	// ConfigPropagationLimit is the time within which a change must be in force on
	// every daemon; zero means unknown.
	ConfigPropagationLimit time.Duration
	// EvacuationLimit is the time within which an evacuated data centre must get
	// no more requests; zero means at once.
	EvacuationLimit time.Duration
	// LinkMegabits is what the VM's link carries, in megabits per second; zero if it is not
	// known.
	LinkMegabits int
	// Grace is the time between the stop signal and the end of the process.
	Grace time.Duration
	// AdmissionLimit is the latest time after the stop signal at which a request may
	// come that the end of the grace time could cut off; zero means no limit.
	AdmissionLimit time.Duration
	Cold           balance.Bounds
	// RetryRatio and RetrySlack are the retry budget of all daemons together: a
	// share of the requests plus a fixed number of attempts.
	RetryRatio float64
	RetrySlack float64
	// RetryWindow is the time over which the retry budget is counted; zero means
	// 10 s.
	RetryWindow time.Duration
	// RevocationLimit is the time within which a credential that was taken away stops
	// working, also at a daemon that cannot hear of it; zero sets no bound beyond
	// ConfigPropagationLimit.
	RevocationLimit time.Duration
	// Quota is how far all daemons together may exceed the quota of an organisation.
	Quota catalog.QuotaBounds
}

// ExtraListener is an additional listener that does not serve traffic.
type ExtraListener struct {
	Name    string
	Address string
	Handler http.Handler
	// ForCallers is true if callers use the listener, all of a data centre at once.
	ForCallers bool
}

// Dialect decodes and encodes what callers and endpoints send and receive.
type Dialect interface {
	proxy.Dialect
	health.Dialect
}

// Options configures an Entry.
type Options struct {
	Settings Settings
	Store    control.Store
	Dialect  Dialect
	// ExtraListeners returns additional listeners of the entry; nil means none.
	ExtraListeners func(*Entry) []ExtraListener
	// Output receives the log lines.
	Output io.Writer
	// StopAge returns the longest time that may have passed since the stop was asked for;
	// nil means that it is acted on at once.
	StopAge func() time.Duration
}

// Entry is one daemon of the gateway.
type Entry struct {
	opts    Options
	log     *logrus.Logger
	lines   *lineWriter
	guard   *guard.Guard
	control *control.Control
	gate    *gate.Gate
	prober  *health.Prober
	budgets *proxy.RetryBudgets
	quotas  *exchange.Exchange
	handler *proxy.Handler
	// history remembers which answers got on; reporter passes on what attempts observe.
	history  *crashes.History
	reporter *reporter
	// demand counts callers' requests by route, which weighs answers of the directory.
	demand *demand.Counter
	// visitors is used only by the control goroutine.
	visitors demand.Visitors
	registry *prometheus.Registry
	// unanswered records requests that got no complete answer.
	unanswered *unansweredLog
	lookups    *lookupLog
	restarts   *restartLog
	leading    *leadingLog
	servers    []*server
	// fleetSize is the number of daemons among which retry budgets and quotas are divided;
	// used only by the control goroutine.
	fleetSize members.FleetSize
	// partialFleet is used only by the control goroutine.
	partialFleet partialFleetLog
	// heads bounds the memory of request heads, yielded counts the connections that were
	// closed to make room for others.
	heads   *graceful.Heads
	yielded *prometheus.CounterVec
	// bodies is the memory of the request bodies of all listeners.
	bodies *bodies.Pool
	// sockets bounds the connections that are accepted and dialled.
	sockets *graceful.Sockets
	// handling is the number of requests that handlers serve.
	handling atomic.Int64
	// leavingSince is when a stop began; nil while there is none.
	leavingSince atomic.Pointer[time.Time]
}

// watchShare is the fraction of the time limit for changes that one watch call to
// the store may take: within the rest, another daemon has to detect a silent
// reader and read the store.
const watchShare = 0.4

// Names of the listeners that serve requests.
const (
	callersName = "callers"
	peersName   = "peers"
)

// componentCount is the number of components that run beside the listeners.
const componentCount = 3

// New creates an entry and opens its listeners. If it returns an error, all
// listeners are closed.
func New(opts Options) (*Entry, error) {
	s := opts.Settings
	graceful.LimitHeap(s.MemoryBytes)
	lines := newLineWriter()
	e := &Entry{opts: opts, lines: lines, log: newLog(lines), registry: prometheus.NewRegistry()}
	e.guard = guard.New(e.log, e.registry)
	e.history = crashes.NewHistory()
	e.demand = demand.NewCounter(time.Now)
	e.unanswered = newUnansweredLog(e.log, e.registry, func() (time.Duration, bool) { return e.handler.SinceStop() })
	e.heads, e.yielded = s.newHeads(), newYieldedTotal(e.registry)
	e.bodies = newBodies(s, e.registry)
	e.sockets = graceful.NewSockets(s.Descriptors)
	e.lookups = newLookupLog(e.log, e.registry)
	watchTimeout := time.Duration(float64(s.ConfigPropagationLimit) * watchShare)
	bounds := s.Cold
	bounds.WatchTimeout = watchTimeout
	e.gate = gate.New(balance.NewPool(s.Region, s.DataCentre, bounds), time.Now)
	e.gate.SetObserver(newNoticeLog(e.log, e.registry, e.gate.LongestPause).observe)
	e.restarts = newRestartLog(e.log)
	e.leading = newLeadingLog(e.log, e.registry)
	transport := proxy.NewBoundedTransport(e.sockets)
	e.prober = health.NewProber(e.gate, opts.Dialect, transport, e.log, time.Now)
	e.gate.OnDoubt(e.prober.Wake)
	e.budgets = proxy.NewRetryBudgets(s.RetryRatio, s.RetrySlack, s.RetryWindow, time.Now().Add(suspension.Total()))
	e.fleetSize.Expected = expectedFleet(s)
	e.partialFleet.log = e.log
	e.quotas = newQuotas(s, e.log, e.guard, e.registry, e.bodies, e.sockets)
	e.control = control.New(control.Options{
		Self: members.Member{
			VM: s.VM, Incarnation: uint64(time.Now().UnixMilli()), State: members.Starting,
			Region: s.Region, DataCentre: s.DataCentre, CallerAddress: s.CallerAddress, LinkMegabits: s.LinkMegabits,
		},
		Seeds:        s.Seeds,
		Store:        opts.Store,
		Peers:        control.NewHTTPPeers(proxy.NewBoundedTransport(e.sockets)),
		Bodies:       e.bodies,
		WatchTimeout: watchTimeout,

		EvacuationLimit: s.EvacuationLimit,
		RevocationLimit: s.RevocationLimit,
		Suspended:       suspension.Total,

		Loads:      e.gate.Loads,
		Demand:     e.demand.Counts,
		Sound:      e.history.Contains,
		OnSnapshot: e.published,
		Log:        e.log,
		Guard:      e.guard,
		Now:        time.Now,
		Rand:       sharedrand.Source{},
	})
	registerPublished(e.control, e.registry)
	registerConfirmation(e.control, e.registry)
	e.reporter = newReporter(e.control, e.history, e.registry)
	e.handler = proxy.New(proxy.Options{
		Snapshot: e.control.Load, NextSnapshot: e.control.Next, Gate: e.gate, Dialect: opts.Dialect, Reporter: e.reporter,
		RetryBudgets: e.budgets, Quotas: e.quotas, Demand: e.demand, Transport: transport,
		Bodies:          e.bodies,
		RevocationLimit: s.RevocationLimit, ConfigLimit: s.ConfigPropagationLimit,
		Log: newRequestLog(e.log), Metrics: proxy.NewMetrics(e.registry), Now: time.Now, Suspended: suspension.Total, Rand: sharedrand.Source{},
	})
	if err := e.listen(); err != nil {
		e.close()
		return nil, err
	}
	return e, nil
}

// published passes a new snapshot to the gate and the retry budgets, whose limits
// are divided among the daemons.
func (e *Entry) published(snap *control.Snapshot) {
	if e.visitors.Expected(snap.Self.Region, snap.Serving(), time.Now()) {
		e.demand.Suspend(maxLifetimes * substituteLifetime)
	}
	e.gate.RecordNews(snap.StoreReadAt)
	membership := regionMembership(snap)
	e.leading.record(membership)
	e.restarts.record(e.gate.Update(snap.View, membership))
	e.prober.Wake()
	size := e.fleetSize.Observe(snap.Peak, snap.Joining, time.Now())
	if daemons := budgetDaemons(size); daemons > 0 {
		e.budgets.SetFleetSize(daemons)
	}
	if config := snap.View.Config; config != nil {
		e.quotas.Update(config, quotaNeighbours(snap), quotaDaemons(size))
		e.partialFleet.note(size, e.fleetSize.Expected, snap)
	}
}

// regionMembership returns the daemons that send to the endpoints of the local
// region.
func regionMembership(snap *control.Snapshot) balance.Membership {
	membership := balance.Membership{Self: snap.Self.VM, PeakLive: snap.Peak.Region, Joining: snap.Joining}
	regional := snap.InRegion(snap.Self.Region)
	for _, member := range regional {
		membership.Live = append(membership.Live, member.VM)
	}
	leading := snap.Leading(regional)
	membership.OthersTakeNothing = len(leading) < len(regional)
	for _, member := range leading {
		membership.Serving = append(membership.Serving, balance.Daemon{VM: member.VM, DataCentre: member.DataCentre})
		if member.DataCentre == snap.Self.DataCentre {
			membership.SameDataCentre = append(membership.SameDataCentre, member.VM)
		}
	}
	return membership
}

// Snapshot returns the newest snapshot of the control state. From the begin of a stop on it
// tells that this daemon is leaving, also if the control state can't take that in any more.
func (e *Entry) Snapshot() *control.Snapshot {
	snap, since := e.control.Load(), e.leavingSince.Load()
	if since == nil || snap.Self.State == members.Leaving {
		return snap
	}
	leaving := *snap
	leaving.Self.State, leaving.Self.LeavingSince = members.Leaving, *since
	return &leaving
}

// Log returns the entry's logger.
func (e *Entry) Log() logrus.FieldLogger {
	return e.log
}

// SetSeeds replaces the seeds.
func (e *Entry) SetSeeds(seeds []types.VMID) {
	e.control.SetSeeds(seeds)
}

// listen opens the listeners, in the order opposite to that in which a stop closes them: a
// process that starts while the one before still holds an address takes no connection that
// it can't serve.
func (e *Entry) listen() error {
	s := e.opts.Settings
	if e.opts.ExtraListeners != nil {
		for _, extra := range e.opts.ExtraListeners(e) {
			if err := e.open(extra.Name, extra.Address, extra.Handler, extra.connectionShare()); err != nil {
				return err
			}
		}
	}
	if err := e.open("metrics", s.MetricsAddress, e.metricsHandler(), graceful.OtherShare); err != nil {
		return err
	}
	if err := e.open(peersName, s.PeerAddress, http.HandlerFunc(e.servePeer), graceful.PeerShare); err != nil {
		return err
	}
	return e.open(callersName, s.CallerAddress, e.handler, graceful.CallerShare)
}

// servePeer serves forwarded requests and messages from other daemons.
func (e *Entry) servePeer(w http.ResponseWriter, r *http.Request) {
	switch {
	case proxy.IsForwarded(r):
		e.handler.ServeForwarded(w, r)
	case r.URL.Path == control.MessagePath && r.Method == http.MethodPost:
		e.control.ServeMessage(w, r)
	case r.URL.Path == exchange.AskPath && r.Method == http.MethodPost:
		e.quotas.ServeAsk(w, r)
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
	mux.Handle("GET "+explain.Path, newExplainHandler(e.handler.Explain))
	return mux
}

// Run serves until stop ends or a part fails without which the daemon cannot run, then shuts
// down gracefully within the grace time. It returns the error of the part that failed.
func (e *Entry) Run(stop context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	stopLog := make(chan struct{})
	var logging, running conc.WaitGroup
	logging.Go(func() { e.lines.run(e.opts.Output, stopLog) })
	defer logging.Wait()
	defer close(stopLog)
	defer running.Wait()
	defer e.close()
	defer e.quotas.Close()
	defer cancel()
	stdlog.SetFlags(0)
	stdlog.SetOutput(newLibraryLog(e.log))
	failed := make(chan error, len(e.servers)+componentCount)
	// The daemon cannot run without a component that panicked: it finishes its requests,
	// Run returns the error and the daemon is started again.
	start := func(component string, work func()) {
		running.Go(func() {
			if err := e.guard.Do(component, work); err != nil {
				failed <- err
			}
		})
	}
	start("control", func() { e.control.Run(background) })
	start("gate", func() { e.gate.Run(background) })
	start("health", func() { e.prober.Run(background) })
	for _, srv := range e.servers {
		running.Go(func() {
			if err := srv.serve(); err != nil {
				failed <- err
			}
		})
	}
	s := e.opts.Settings
	e.log.WithFields(logrus.Fields{"vm": s.VM, "region": s.Region, "data_centre": s.DataCentre, "callers": s.CallerAddress}).Info("daemon serves")
	var failure error
	select {
	case failure = <-failed:
		e.log.WithError(failure).Error("a component failed: the daemon ends")
	case <-stop.Done():
	}
	e.drain()
	return failure
}
