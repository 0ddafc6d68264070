package daemon

import (
	"context"
	"crypto/ed25519"
	crand "crypto/rand"
	"crypto/tls"
	"encoding/base64"
	"encoding/binary"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/bodies"
	"github.com/flamingomount/flamingomount/pkg/bundle"
	"github.com/flamingomount/flamingomount/pkg/bundle/keyfile"
	"github.com/flamingomount/flamingomount/pkg/control"
	"github.com/flamingomount/flamingomount/pkg/control/configsync"
	"github.com/flamingomount/flamingomount/pkg/control/crashes"
	"github.com/flamingomount/flamingomount/pkg/control/ejection"
	"github.com/flamingomount/flamingomount/pkg/control/node"
	"github.com/flamingomount/flamingomount/pkg/control/outlier"
	"github.com/flamingomount/flamingomount/pkg/control/quarantine"
	"github.com/flamingomount/flamingomount/pkg/engineorders"
	"github.com/flamingomount/flamingomount/pkg/loadpoll"
	"github.com/flamingomount/flamingomount/pkg/peer"
	"github.com/flamingomount/flamingomount/pkg/peer/peerhttp"
	"github.com/flamingomount/flamingomount/pkg/platform/httpplatform"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/isolate"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// liveControl is control state that reads the platform, exchanges messages with
// other daemons and polls the load reports of endpoints.
type liveControl struct {
	*control.Control
	self    snapshot.Self
	now     func() time.Time
	tracker *quarantine.Tracker
	client  *peerhttp.Client
	handler http.Handler
	poller  *loadpoll.Poller
	issuer  *engineorders.Issuer
}

var _ Control = (*liveControl)(nil)

// liveOptions holds the daemon's options and what else live control state needs.
type liveOptions struct {
	self      snapshot.Self
	opts      *Options
	tlsConfig *tls.Config
	metrics   prometheus.Registerer
	// bodies is the memory of messages that are being received; nil means no limit.
	bodies *bodies.Pool
}

func newLive(options liveOptions) (*liveControl, error) {
	keys, err := publisherKeys(options.opts.Settings.Bundle.PublicKeys)
	if err != nil {
		return nil, err
	}
	guard, err := newPeerGuard(options)
	if err != nil {
		return nil, err
	}
	metrics := peerhttp.NewMetrics(options.metrics)
	live := &liveControl{
		self:    options.self,
		now:     options.opts.Now,
		tracker: quarantine.New(quarantine.Options{}),
		client:  peerhttp.NewClient(guard, metrics, options.opts.Now, options.tlsConfig),
	}
	platform := httpplatform.New(options.opts.Settings.Platform.URL, nil)
	live.Control, err = control.New(control.Options{
		Node: node.Options{
			Self:     options.self,
			Seeds:    seedVMs(options.opts.Settings.Peer.Seeds),
			Rand:     rand.New(rand.NewPCG(randomSeed(), randomSeed())),
			Config:   configsync.Options{Keys: keys},
			Outliers: ejection.New(outlier.Options{}),

			Quarantine: crashes.New(live.tracker),
		},
		Config:  platform,
		VMs:     platform,
		Peers:   live.client,
		Log:     options.opts.Log,
		Metrics: options.metrics,
	})
	if err != nil {
		return nil, err
	}
	answerer := &isolationAnswerer{live: live, next: live.Control}
	live.handler = peerhttp.NewHandler(guard, answerer, options.bodies, metrics, options.opts.Now)
	live.poller = loadpoll.New(loadpoll.Options{Snapshot: live.Load, Submit: live.Submit, Now: options.opts.Now})
	live.issuer = engineorders.New(engineorders.Options{Snapshot: live.Load, Now: options.opts.Now, Log: options.opts.Log})
	return live, nil
}

func seedVMs(addresses []string) []types.VMID {
	seeds := make([]types.VMID, len(addresses))
	for i, address := range addresses {
		seeds[i] = types.VMID(address)
	}
	return seeds
}

// publisherKeys decodes the public keys that verify published bundles. Having no
// keys is an error.
func publisherKeys(encoded []string) (bundle.Keys, error) {
	if len(encoded) == 0 {
		return nil, eris.New("bundle.public_keys: got nothing, accepts the publisher's ed25519 public keys in base64")
	}
	keys := make(bundle.Keys, len(encoded))
	for _, text := range encoded {
		raw, err := base64.StdEncoding.DecodeString(text)
		if err != nil || len(raw) != ed25519.PublicKeySize {
			return nil, eris.Errorf("bundle.public_keys: got %q, accepts %d bytes in base64", text, ed25519.PublicKeySize)
		}
		key := ed25519.PublicKey(raw)
		keys[keyfile.KeyIDOf(key)] = key
	}
	return keys, nil
}

func newPeerGuard(options liveOptions) (*peer.Guard, error) {
	keys := peer.Keys{
		Current:  peer.KeyID(options.opts.Keys[0].ID),
		Accepted: make(map[peer.KeyID][]byte, len(options.opts.Keys)),
	}
	for _, key := range options.opts.Keys {
		keys.Accepted[peer.KeyID(key.ID)] = key.Secret
	}
	if err := keys.Validate(); err != nil {
		return nil, eris.Wrap(err, "peer keys")
	}
	return peer.NewGuard(options.self.Incarnation.VM, keys, options.opts.Now(), randomSeed()), nil
}

func randomSeed() uint64 {
	var seed [8]byte
	_, _ = crand.Read(seed[:]) // never fails: see crypto/rand
	return binary.LittleEndian.Uint64(seed[:])
}

// Run runs the control loop, polls load reports and issues orders to engines
// until ctx ends.
func (l *liveControl) Run(ctx context.Context) error {
	var workers conc.WaitGroup
	defer l.client.CloseIdle()
	defer workers.Wait()
	workers.Go(func() { l.poller.Run(ctx) })
	workers.Go(func() { l.issuer.Run(ctx) })
	return l.Control.Run(ctx)
}

// Load returns the newest snapshot. It marks the snapshot as paused if the
// control goroutine has not run for so long that the process may have been
// paused: after a pause, goroutines that serve traffic may run before the
// control goroutine detects it.
func (l *liveControl) Load() *snapshot.Snapshot {
	current := l.Control.Load()
	if current.Paused || !l.Stalled(l.now()) {
		return current
	}
	paused := *current
	paused.Paused = true
	return &paused
}

// Peers returns the handler of messages from other daemons.
func (l *liveControl) Peers() http.Handler {
	return l.handler
}

// isolator returns the guard that isolates requests that may crash endpoints.
func (l *liveControl) isolator() *isolate.Guard {
	return isolate.New(isolate.Options{
		Tracker:  l.tracker,
		Snapshot: l.Load,
		Sender:   &isolationSender{live: l},
		Now:      l.now,
	})
}
