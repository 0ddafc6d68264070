package daemon

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/control/event"
	"github.com/flamingomount/flamingomount/pkg/control/quarantine"
	"github.com/flamingomount/flamingomount/pkg/jsonlog"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/route/pipeline"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/dispatch"
	"github.com/flamingomount/flamingomount/pkg/stage/forward"
	"github.com/flamingomount/flamingomount/pkg/stage/ingress"
	"github.com/flamingomount/flamingomount/pkg/stage/onceguard"
	"github.com/flamingomount/flamingomount/pkg/stage/relay"
	"github.com/flamingomount/flamingomount/pkg/stage/retry"
	"github.com/flamingomount/flamingomount/pkg/stage/spill"
	"github.com/flamingomount/flamingomount/pkg/tlsfiles"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Daemon is one entry of the gateway.
type Daemon struct {
	opts    Options
	self    snapshot.Self
	started time.Time
	control Control
	// peerTLS is nil when daemons talk in plain HTTP.
	peerTLS  *tls.Config
	router   route.Router
	gates    *gates
	guard    *onceguard.Guard
	recorder *recorder
	planner  *spill.Planner
	handler  *handler
	caller   *server
	peer     *server
	admin    *server
	// drainEnds is when the drain limit ends a stop, in Unix milliseconds;
	// zero while the daemon is not stopping.
	drainEnds atomic.Int64
	inFlight  atomic.Int64
}

// New provisions a daemon: it reads the files that the settings name, opens the
// listeners and checks everything that can be checked before traffic. After an
// error nothing stays open.
func New(opts Options) (*Daemon, error) {
	opts = withDefaults(opts)
	d := &Daemon{opts: opts, started: opts.Now()}
	if err := d.provision(); err != nil {
		d.cleanup()
		return nil, err
	}
	return d, nil
}

func withDefaults(opts Options) Options {
	if opts.Log == nil {
		opts.Log = NewLog(opts.Settings.Log.Level)
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Rand == nil {
		opts.Rand = sharedRand{}
	}
	if opts.Boot == "" {
		opts.Boot = newBootID()
	}
	if opts.Router == nil {
		opts.Router = pipeline.New(pipeline.Options{})
	}
	if opts.Retrier == nil {
		opts.Retrier = retry.New(retry.Options{})
	}
	return opts
}

// NewLog returns a logger that writes JSON lines to standard error.
func NewLog(level string) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	log.SetFormatter(jsonlog.Formatter{})
	if parsed, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(parsed)
	}
	return log
}

func newBootID() types.BootID {
	var id [16]byte
	_, _ = rand.Read(id[:]) // never fails: see crypto/rand
	return types.BootID(hex.EncodeToString(id[:]))
}

func (d *Daemon) provision() error {
	if err := d.loadKeys(); err != nil {
		return err
	}
	if err := d.listen(); err != nil {
		return err
	}
	d.recorder = newRecorder(d)
	if err := d.loadPeerTLS(); err != nil {
		return err
	}
	if err := d.provisionControl(); err != nil {
		return err
	}
	if err := d.provisionStages(); err != nil {
		return err
	}
	return d.provisionServers()
}

func (d *Daemon) loadKeys() error {
	if len(d.opts.Keys) > 0 {
		return nil
	}
	keys, err := loadKeys(d.opts.Settings.Peer.Keys)
	d.opts.Keys = keys
	return err
}

// listen opens the listeners. An address with port zero becomes the address
// that others are told, which suits tests.
func (d *Daemon) listen() error {
	s := d.opts.Settings
	callers, err := listen("callers", s.Caller.Address, d.opts.CallerListener, s.Caller.TLS, s.Limits.Connections)
	if err != nil {
		return err
	}
	d.caller = newServer("callers", callers, nil, s)
	peers, err := listen("peers", s.Peer.Address, d.opts.PeerListener, s.Peer.TLS, s.Limits.Connections)
	if err != nil {
		return err
	}
	d.peer = newServer("peers", peers, nil, s)
	d.self = snapshot.Self{
		Incarnation:   types.Incarnation{VM: types.VMID(advertised(s.Peer.Advertise, d.peer)), Boot: d.opts.Boot},
		Region:        types.Region(s.Region),
		DataCentre:    types.DataCentre(s.DataCentre),
		CallerAddress: advertised(s.Caller.Advertise, d.caller),
	}
	if s.Admin.Address == "" && d.opts.AdminListener == nil {
		return nil
	}
	admins, err := listen("administrators", s.Admin.Address, d.opts.AdminListener, s.Caller.TLS, s.Limits.Connections)
	if err != nil {
		return err
	}
	d.admin = newServer("administrators", admins, nil, s)
	return nil
}

func advertised(address string, on *server) string {
	if address != "" {
		return address
	}
	return on.listener.Addr().String()
}

func (d *Daemon) provisionControl() error {
	if d.opts.Control != nil {
		d.control = d.opts.Control
		return nil
	}
	if d.opts.Settings.Static.Enabled() {
		control, err := loadStatic(d.self, d.opts.Settings.Static)
		d.control = control
		return err
	}
	control, err := newLive(liveOptions{
		self: d.self, opts: &d.opts, security: d.peerTLS, metrics: d.recorder.metrics.Registerer(),
	})
	d.control = control
	return err
}

// loadPeerTLS reads the certificate for talking to other daemons, if any.
func (d *Daemon) loadPeerTLS() error {
	files := d.opts.Settings.Peer.TLS
	if !files.Enabled() {
		return nil
	}
	loaded, err := tlsfiles.Load(files.Certificate, files.Key, files.Authorities, nil)
	if err != nil {
		return err
	}
	d.peerTLS = loaded.Client()
	return nil
}

func (d *Daemon) provisionStages() error {
	keyring, err := ticketKeyring(d.opts.Keys)
	if err != nil {
		return eris.Wrap(err, "peer keys")
	}
	d.router = d.opts.Router
	d.gates = newGates(&d.opts, d.control.Load)
	d.guard = onceguard.New(onceguard.Options{Self: d.self.Incarnation, Keyring: keyring, Now: d.opts.Now})
	d.planner = spill.New(spill.Options{})
	dispatcher := d.newDispatcher()
	d.handler = &handler{
		snapshot:   d.control.Load,
		gates:      d.gates,
		dispatcher: dispatcher,
		guard:      d.guard,
		planner:    d.planner,
		recorder:   d.recorder,
		limits:     d.relayLimits(),
		floorSeen:  d.floorSeen,
		now:        d.opts.Now,
	}
	return nil
}

func (d *Daemon) relayLimits() relay.Limits {
	s := d.opts.Settings
	return relay.Limits{
		WriteTimeout:  s.Timeouts.Write,
		IdleTimeout:   s.Timeouts.Answer,
		MaxEventBytes: s.Limits.EventBytes,
		MaxWholeBytes: s.Limits.AnswerBytes,
	}.WithDefaults()
}

func (d *Daemon) newDispatcher() *dispatch.Dispatcher {
	peers, freshPeers := dispatch.NewTransport(false), dispatch.NewTransport(true)
	scheme := "http"
	if d.peerTLS != nil {
		peers.TLSClientConfig, freshPeers.TLSClientConfig = d.peerTLS, d.peerTLS.Clone()
		scheme = "https"
	}
	sender := forward.NewSender(forward.SenderOptions{
		Snapshot: d.control.Load,
		Key:      forwardKeys(d.opts.Keys)[0],
		Scheme:   scheme,
		Now:      d.opts.Now,
		Rand:     d.opts.Rand,
	})
	var isolator dispatch.Isolator
	if live, ok := d.control.(*liveControl); ok {
		isolator = live.isolator()
	}
	return dispatch.New(dispatch.Options{
		Isolator:           isolator,
		Router:             d.router,
		Snapshot:           d.control.Load,
		Retrier:            d.opts.Retrier,
		Observer:           &attemptObserver{control: d.control, loads: d.gates.loads},
		Forwarder:          sender,
		PeerTransport:      peers,
		FreshPeerTransport: freshPeers,
		Limits:             d.relayLimits(),
		Now:                d.opts.Now,
		Rand:               d.opts.Rand,
	})
}

func (d *Daemon) floorSeen(revision types.Revision) {
	if config := d.control.Load().Config; config != nil && revision > config.Revision {
		d.control.Submit(event.FloorSeen{At: d.opts.Now(), Revision: revision})
	}
}

func (d *Daemon) provisionServers() error {
	s := d.opts.Settings
	d.caller.http.Handler = d.counted(ingress.New(ingress.Options{
		Snapshot:     d.control.Load,
		Next:         d.handler,
		Observer:     d.recorder,
		Tickets:      d.guard,
		Fingerprints: quarantine.NewFingerprinter(d.opts.Keys[0].Secret),
		Limits: ingress.Limits{
			MaxRequests:   s.Limits.Requests,
			MaxBodyBytes:  s.Limits.BodyBytes,
			MaxBodyMemory: s.Limits.BodyMemory,
			BodyTimeout:   s.Timeouts.Body,
			Deadline:      s.Timeouts.Request,
		},
		RelayLimits: d.relayLimits(),
		Now:         d.opts.Now,
		Rand:        d.opts.Rand,
	}))
	router := httprouter.New()
	router.Handler(http.MethodPost, forward.Path, d.counted(forward.NewReceiver(forward.ReceiverOptions{
		Snapshot:     d.control.Load,
		Keys:         forwardKeys(d.opts.Keys),
		Next:         d.handler,
		FloorSeen:    d.floorSeen,
		RelayLimits:  d.relayLimits(),
		MaxBodyBytes: s.Limits.BodyBytes,
		MaxRequests:  s.Limits.PeerRequests,
		BodyTimeout:  s.Timeouts.Body,
		Now:          d.opts.Now,
	})))
	if messages := d.control.Peers(); messages != nil {
		router.NotFound = messages
	}
	d.peer.http.Handler = router
	if d.admin != nil {
		d.admin.http.Handler = d.newAdmin()
	}
	return nil
}

// counted counts the requests in flight.
func (d *Daemon) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.inFlight.Add(1)
		defer d.inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// Self returns the daemon's place and addresses.
func (d *Daemon) Self() snapshot.Self {
	return d.self
}

// AdminAddress returns the address of the administration API; empty for none.
func (d *Daemon) AdminAddress() string {
	if d.admin == nil {
		return ""
	}
	return d.admin.listener.Addr().String()
}

// Load returns the newest snapshot.
func (d *Daemon) Load() *snapshot.Snapshot {
	return d.control.Load()
}

// servers lists the servers that are open.
func (d *Daemon) servers() []*server {
	var open []*server
	for _, s := range []*server{d.caller, d.peer, d.admin} {
		if s != nil {
			open = append(open, s)
		}
	}
	return open
}

// cleanup closes what is open.
func (d *Daemon) cleanup() {
	for _, s := range d.servers() {
		_ = s.http.Close()
		_ = s.listener.Close()
	}
}

// Run serves until stop ends, then stops gracefully: it leaves the entry
// answers at once, takes new requests for the notice time while callers turn
// to other entries, and finishes every request in flight. The end of abort, or
// the drain limit, cuts off what is left. A graceful stop returns nil.
func (d *Daemon) Run(stop, abort context.Context) error {
	background, cancel := context.WithCancel(abort)
	var running conc.WaitGroup
	defer running.Wait()
	defer d.cleanup()
	defer cancel()
	running.Go(func() { d.gates.run(background) })
	running.Go(func() { d.runControl(background) })
	failed := make(chan error, len(d.servers()))
	for _, s := range d.servers() {
		running.Go(func() {
			if err := s.serve(); err != nil {
				failed <- err
			}
		})
	}
	d.opts.Log.WithFields(logrus.Fields{
		"callers": d.self.CallerAddress, "peers": d.self.Incarnation.VM, "boot": d.self.Incarnation.Boot,
		"region": d.self.Region, "data_centre": d.self.DataCentre,
	}).Info("daemon serves")
	select {
	case err := <-failed:
		return err
	case <-stop.Done():
	}
	return d.drain(abort)
}

func (d *Daemon) runControl(ctx context.Context) {
	if err := d.control.Run(ctx); err != nil && ctx.Err() == nil {
		d.opts.Log.WithError(err).Error("control state ended")
	}
}
