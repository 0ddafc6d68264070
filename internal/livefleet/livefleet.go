// Package livefleet runs the control state of several daemons in one process,
// with their real goroutines and messages over loopback TCP. Only the platform
// is held in memory. It counts the bytes on the wire.
package livefleet

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/internal/fakenet"
	"github.com/flamingomount/flamingomount/pkg/bundle"
	"github.com/flamingomount/flamingomount/pkg/control"
	"github.com/flamingomount/flamingomount/pkg/control/configsync"
	"github.com/flamingomount/flamingomount/pkg/control/node"
	"github.com/flamingomount/flamingomount/pkg/peer"
	"github.com/flamingomount/flamingomount/pkg/peer/peerhttp"
	"github.com/flamingomount/flamingomount/pkg/platform"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Fleet is the running daemons and their platform.
type Fleet struct {
	Daemons  []*Daemon
	Platform *Platform
	// Bytes counts what all servers read and wrote, headers included.
	Bytes atomic.Int64
}

// Daemon is one running control state.
type Daemon struct {
	*control.Control
	Place    fakenet.Place
	listener net.Listener
	server   *http.Server
	client   *peerhttp.Client
	cancel   context.CancelFunc
	running  conc.WaitGroup
}

// Start starts so many daemons in three regions; revision 1 is published.
func Start(daemons, organisations int, seed uint64) (*Fleet, error) {
	places := fakenet.StandardLayout(daemons)
	publisher := fakenet.NewPublisher(seed, organisations, places)
	f := &Fleet{Platform: newPlatform(publisher)}
	for i := range places {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			f.Stop()
			return nil, eris.Wrap(err, "listen")
		}
		places[i].VM = types.VMID(listener.Addr().String())
		f.Daemons = append(f.Daemons, &Daemon{Place: places[i], listener: listener})
		f.Platform.add(places[i])
	}
	f.Platform.Publish()
	for i, d := range f.Daemons {
		if err := f.start(d, seed+uint64(i)); err != nil {
			f.Stop()
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) start(d *Daemon, seed uint64) error {
	keys := peer.Keys{Current: "k1", Accepted: map[peer.KeyID][]byte{"k1": []byte("an in-process key of the test fleet")}}
	self := snapshot.Self{
		Incarnation: types.Incarnation{VM: d.Place.VM, Boot: types.BootID(fmt.Sprintf("%016x", seed))},
		Region:      d.Place.Region, DataCentre: d.Place.DataCentre, CallerAddress: d.Place.Address,
	}
	guard := peer.NewGuard(d.Place.VM, keys, time.Now(), seed)
	metrics := peerhttp.NewMetrics(nil)
	d.client = peerhttp.NewClient(guard, metrics, time.Now, nil)
	log := logrus.New()
	log.SetOutput(io.Discard)
	var err error
	d.Control, err = control.New(control.Options{
		Node: node.Options{
			Self: self, Rand: rand.New(rand.NewPCG(seed, 4)),
			Config: configsync.Options{Keys: f.Platform.publisher.Keys()},
		},
		Config: f.Platform, VMs: f.Platform, Peers: d.client, Log: log,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.server = &http.Server{Handler: peerhttp.NewHandler(guard, d.Control, nil, metrics, time.Now), ReadHeaderTimeout: time.Second}
	d.running.Go(func() { _ = d.server.Serve(countingListener{d.listener, &f.Bytes}) })
	d.running.Go(func() { _ = d.Run(ctx) })
	return nil
}

// Stop ends the daemon without a word.
func (d *Daemon) Stop() {
	if d.cancel == nil {
		_ = d.listener.Close()
		return
	}
	d.cancel()
	_ = d.server.Close()
	d.running.Wait()
	d.client.CloseIdle()
}

// Stop ends every daemon.
func (f *Fleet) Stop() {
	for _, d := range f.Daemons {
		d.Stop()
	}
}

// Platform is the configuration service and the VM list, in memory.
type Platform struct {
	publisher *fakenet.Publisher
	mu        sync.Mutex
	changed   chan struct{} // closed at the next change
	values    map[string]platform.Value
	version   uint64
	listing   platform.VMListing
	// Reads counts the calls to the configuration service.
	Reads atomic.Int64
}

var (
	_ platform.ConfigService = (*Platform)(nil)
	_ platform.VMList        = (*Platform)(nil)
)

func newPlatform(publisher *fakenet.Publisher) *Platform {
	return &Platform{publisher: publisher, changed: make(chan struct{}), values: map[string]platform.Value{}}
}

func (p *Platform) add(place fakenet.Place) {
	p.listing.Version++
	p.listing.VMs = append(p.listing.VMs, platform.VM{
		Role: platform.RoleEntry, Region: place.Region, DataCentre: place.DataCentre, Peer: place.VM, Address: place.Address,
	})
}

// Publish publishes the next revision.
func (p *Platform) Publish() types.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	revision, values := p.publisher.Next()
	p.version++
	for key, data := range values {
		if _, known := p.values[key]; !known || key == bundle.ManifestKey {
			p.values[key] = platform.Value{Data: data, Version: p.version}
		}
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return revision
}

// Read implements platform.ConfigService.
func (p *Platform) Read(_ context.Context, key string) (platform.Value, error) {
	p.Reads.Add(1)
	value, _, err := p.get(key)
	return value, err
}

// Watch implements platform.ConfigService.
func (p *Platform) Watch(ctx context.Context, key string, after uint64) (platform.Value, error) {
	p.Reads.Add(1)
	for {
		value, changed, err := p.get(key)
		if err != nil || value.Version != after {
			return value, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return platform.Value{}, ctx.Err()
		}
	}
}

func (p *Platform) get(key string) (platform.Value, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	value, ok := p.values[key]
	if !ok {
		return platform.Value{}, p.changed, platform.ErrNotFound
	}
	return value, p.changed, nil
}

// List implements platform.VMList.
func (p *Platform) List(context.Context) (platform.VMListing, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listing, nil
}

// countingListener counts the bytes of its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
