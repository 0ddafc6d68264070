package daemon

import (
	"net/http"

	"github.com/julienschmidt/httprouter"
	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/bodies"
	"github.com/flamingomount/flamingomount/pkg/control/event"
	"github.com/flamingomount/flamingomount/pkg/control/quarantine"
	"github.com/flamingomount/flamingomount/pkg/graceful"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/dispatch"
	"github.com/flamingomount/flamingomount/pkg/stage/forward"
	"github.com/flamingomount/flamingomount/pkg/stage/ingress"
	"github.com/flamingomount/flamingomount/pkg/stage/onceguard"
	"github.com/flamingomount/flamingomount/pkg/stage/relay"
	"github.com/flamingomount/flamingomount/pkg/stage/spill"
	"github.com/flamingomount/flamingomount/pkg/tlsfiles"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func (d *Daemon) provision() error {
	if err := d.loadKeys(); err != nil {
		return err
	}
	if err := d.listen(); err != nil {
		return err
	}
	graceful.LimitHeap(d.opts.Settings.Limits.Memory)
	d.recorder = newRecorder(d)
	d.bodies = bodies.NewPool(bodies.Options{Bytes: d.opts.Settings.Limits.BodyMemory})
	d.recorder.metrics.Registerer().MustRegister(bodies.NewCollector(d.bodies, "flamingomount"))
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

// listen opens the listeners. Without an advertised address in the settings, the
// daemon advertises the address that the listener is bound to, so that tests can
// use port zero.
func (d *Daemon) listen() error {
	s := d.opts.Settings
	heads := graceful.NewHeads(s.Limits.HeadMemory)
	var err error
	d.caller, err = newServer("callers", s.Caller.Address, d.opts.CallerListener, s.Caller.TLS, serverLimits{graceful.CallerShare, heads}, s, d.opts.Log)
	if err != nil {
		return err
	}
	d.peer, err = newServer("peers", s.Peer.Address, d.opts.PeerListener, s.Peer.TLS, serverLimits{graceful.PeerShare, heads}, s, d.opts.Log)
	if err != nil {
		return err
	}
	d.self = snapshot.Self{
		Incarnation:   types.Incarnation{VM: types.VMID(advertisedAddress(s.Peer.Advertise, d.peer)), Boot: d.opts.Boot},
		Region:        types.Region(s.Region),
		DataCentre:    types.DataCentre(s.DataCentre),
		CallerAddress: advertisedAddress(s.Caller.Advertise, d.caller),
	}
	if s.Admin.Address == "" && d.opts.AdminListener == nil {
		return nil
	}
	d.admin, err = newServer("administrators", s.Admin.Address, d.opts.AdminListener, s.Caller.TLS, serverLimits{graceful.OtherShare, heads}, s, d.opts.Log)
	return err
}

func advertisedAddress(address string, srv *server) string {
	if address != "" {
		return address
	}
	return srv.listener.Addr().String()
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
		self: d.self, opts: &d.opts, tlsConfig: d.peerTLS, metrics: d.recorder.metrics.Registerer(), bodies: d.bodies,
	})
	d.control = control
	return err
}

// loadPeerTLS loads the TLS client configuration for connections to other
// daemons, if the settings name one.
func (d *Daemon) loadPeerTLS() error {
	files := d.opts.Settings.Peer.TLS
	if !files.Enabled() {
		return nil
	}
	loaded, err := tlsfiles.Load(files.Certificate, files.Key, files.Authorities, nil, d.opts.Log)
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
		snapshot:        d.control.Load,
		gates:           d.gates,
		dispatcher:      dispatcher,
		guard:           d.guard,
		planner:         d.planner,
		recorder:        d.recorder,
		limits:          d.relayLimits(),
		onRevisionFloor: d.onRevisionFloor,
		now:             d.opts.Now,
	}
	return nil
}

func (d *Daemon) relayLimits() relay.Limits {
	s := d.opts.Settings
	return relay.Limits{
		WriteTimeout:     s.Timeouts.Write,
		IdleTimeout:      s.Timeouts.Answer,
		MaxEventBytes:    s.Limits.EventBytes,
		MaxBufferedBytes: s.Limits.AnswerBytes,
	}.WithDefaults()
}

func (d *Daemon) newDispatcher() *dispatch.Dispatcher {
	peerTransport, freshPeerTransport := dispatch.NewTransport(false), dispatch.NewTransport(true)
	scheme := "http"
	if d.peerTLS != nil {
		peerTransport.TLSClientConfig, freshPeerTransport.TLSClientConfig = d.peerTLS, d.peerTLS.Clone()
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
		PeerTransport:      peerTransport,
		FreshPeerTransport: freshPeerTransport,
		Limits:             d.relayLimits(),
		Now:                d.opts.Now,
		Rand:               d.opts.Rand,
	})
}

func (d *Daemon) onRevisionFloor(revision types.Revision) {
	if config := d.control.Load().Config; config != nil && revision > config.Revision {
		d.control.Submit(event.RevisionFloorSeen{At: d.opts.Now(), Revision: revision})
	}
}

func (d *Daemon) provisionServers() error {
	s := d.opts.Settings
	d.caller.handler = d.countInFlight(ingress.New(ingress.Options{
		Snapshot:     d.control.Load,
		Next:         d.handler,
		Observer:     d.recorder,
		Tickets:      d.guard,
		Fingerprints: quarantine.NewFingerprinter(d.opts.Keys[0].Secret),
		Limits: ingress.Limits{
			MaxRequests:  s.Limits.Requests,
			MaxBodyBytes: s.Limits.BodyBytes,
			BodyTimeout:  s.Timeouts.Body,
			Deadline:     s.Timeouts.Request,
		},
		Bodies:      d.bodies,
		RelayLimits: d.relayLimits(),
		Now:         d.opts.Now,
		Rand:        d.opts.Rand,
	}))
	router := httprouter.New()
	router.Handler(http.MethodPost, forward.Path, d.countInFlight(forward.NewReceiver(forward.ReceiverOptions{
		Snapshot:        d.control.Load,
		Keys:            forwardKeys(d.opts.Keys),
		Next:            d.handler,
		OnRevisionFloor: d.onRevisionFloor,
		RelayLimits:     d.relayLimits(),
		Bodies:          d.bodies,
		MaxBodyBytes:    s.Limits.BodyBytes,
		MaxRequests:     s.Limits.PeerRequests,
		BodyTimeout:     s.Timeouts.Body,
		Now:             d.opts.Now,
	})))
	if peerHandler := d.control.Peers(); peerHandler != nil {
		router.NotFound = peerHandler
	}
	d.peer.handler = router
	if d.admin != nil {
		d.admin.handler = d.newAdmin()
	}
	return nil
}

// countInFlight wraps a handler to count the requests in flight.
func (d *Daemon) countInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.inFlight.Add(1)
		defer d.inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}
