package daemon

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"os"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/bodies"
	"github.com/flamingomount/flamingomount/pkg/jsonlog"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/route/pipeline"
	"github.com/flamingomount/flamingomount/pkg/sharedrand"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/onceguard"
	"github.com/flamingomount/flamingomount/pkg/stage/retry"
	"github.com/flamingomount/flamingomount/pkg/stage/spill"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Daemon is one gateway process (an entry): it serves callers, other daemons
// and administrators.
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
	// bodies is the memory of the request bodies of all listeners.
	bodies *bodies.Pool
	caller *server
	peer   *server
	admin  *server
	// drainDeadline is when the drain limit expires, in Unix milliseconds; zero
	// while the daemon is not stopping.
	drainDeadline atomic.Int64
	inFlight      atomic.Int64
}

// New provisions a daemon: it reads the files named in the settings, opens the
// listeners and checks everything that can be checked before serving traffic.
// On an error it closes every listener that it opened.
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
		opts.Rand = sharedrand.Source{}
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

// Self returns the identity, location and addresses of the daemon.
func (d *Daemon) Self() snapshot.Self {
	return d.self
}

// AdminAddress returns the address of the administration API; empty if it is
// not served.
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

// servers returns the servers that are open, the caller server first.
func (d *Daemon) servers() []*server {
	var open []*server
	for _, s := range []*server{d.caller, d.peer, d.admin} {
		if s != nil {
			open = append(open, s)
		}
	}
	return open
}

// cleanup closes all open servers and their listeners.
func (d *Daemon) cleanup() {
	for _, s := range d.servers() {
		_ = s.Close()
	}
}

// Run serves until stop is cancelled, then shuts down gracefully: it withdraws
// at once from the entry lists sent to callers, accepts new requests for the
// notice time while callers switch to other entries, and finishes every request
// in flight. Requests that are left when abort is cancelled or the drain limit
// expires are cut off. Run returns nil after a graceful shutdown.
func (d *Daemon) Run(stop, abort context.Context) error {
	runCtx, cancel := context.WithCancel(abort)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer d.cleanup()
	defer cancel()
	wg.Go(func() { d.gates.run(runCtx) })
	wg.Go(func() { d.runControl(runCtx) })
	serveErrs := make(chan error, len(d.servers()))
	for _, s := range d.servers() {
		wg.Go(func() {
			if err := s.serve(); err != nil {
				serveErrs <- err
			}
		})
	}
	d.opts.Log.WithFields(logrus.Fields{
		"callers": d.self.CallerAddress, "peers": d.self.Incarnation.VM, "boot": d.self.Incarnation.Boot,
		"region": d.self.Region, "data_centre": d.self.DataCentre,
	}).Info("daemon serves")
	select {
	case err := <-serveErrs:
		return err
	case <-stop.Done():
	}
	return d.drain(abort)
}

func (d *Daemon) runControl(ctx context.Context) {
	if err := d.control.Run(ctx); err != nil && ctx.Err() == nil {
		d.opts.Log.WithError(err).Error("control loop exited with an error")
	}
}
