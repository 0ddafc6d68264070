// Package deployment starts a whole deployment in one process on loopback:
// stand-ins of the platform, model engines and order workers, and real daemons
// before them. It serves the try command and tests.
package deployment

import (
	"cmp"
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/bundle"
	"github.com/flamingomount/flamingomount/pkg/bundle/keyfile"
	"github.com/flamingomount/flamingomount/pkg/daemon"
	"github.com/flamingomount/flamingomount/pkg/jsonlog"
	api "github.com/flamingomount/flamingomount/pkg/platform"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/standin/engine"
	"github.com/flamingomount/flamingomount/pkg/standin/plain"
	"github.com/flamingomount/flamingomount/pkg/standin/platform"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// loopback is the address that everything listens on.
const loopback = "127.0.0.1:0"

// RegionPlan is what runs in one region.
type RegionPlan struct {
	Region  types.Region
	Daemons int
	// Engines serve Plan.Model and Workers serve Plan.Orders.
	Engines int
	Workers int
}

// Plan describes a deployment.
type Plan struct {
	// Config is published at the start, or Values when Config is nil.
	Config *published.Configuration
	Values map[string][]byte
	Model  types.ServiceName
	Orders types.ServiceName
	// Version is what the engines hold; empty means the package's Version.
	Version types.ModelVersion
	Regions []RegionPlan
	// Signer signs what Publish publishes; nil means a key of the package's
	// own. The daemons accept its public key.
	Signer *bundle.Signer
	// Engine is the template of all engines; ID, Model and Version are set.
	Engine engine.Options
	// DrainNotice is how long a stopping daemon still takes requests.
	DrainNotice time.Duration
	// DrainTickets is how long a stopping daemon at least answers for the
	// tickets that name it.
	DrainTickets time.Duration
	// Log receives the daemons' JSON lines; nil discards them.
	Log io.Writer
}

// Deployment is a running deployment.
type Deployment struct {
	Platform *platform.Platform
	Engines  map[types.EndpointID]*engine.Engine
	Workers  map[types.EndpointID]*plain.Worker

	plan     Plan
	url      string
	signer   bundle.Signer
	previous bundle.Hash
	servers  []*http.Server
	// byEndpoint holds the servers of the endpoints.
	byEndpoint map[types.EndpointID]*http.Server
	running    conc.WaitGroup

	mu      sync.Mutex
	entries []*Entry
	vms     []api.VM
}

// Start starts everything and publishes the plan's configuration. The caller
// closes the deployment. It returns the first error and leaves nothing running.
func Start(plan Plan) (*Deployment, error) {
	d := &Deployment{
		Platform: platform.New(),
		Engines:  make(map[types.EndpointID]*engine.Engine),
		Workers:  make(map[types.EndpointID]*plain.Worker),

		byEndpoint: make(map[types.EndpointID]*http.Server),

		plan:   plan,
		signer: signer(),
	}
	if plan.Signer != nil {
		d.signer = *plan.Signer
	}
	if err := d.start(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// signer returns the publisher's key. It is no secret: the deployment ends with
// its process.
func signer() bundle.Signer {
	seed := make([]byte, ed25519.SeedSize)
	key := ed25519.NewKeyFromSeed(seed)
	return bundle.Signer{ID: keyfile.KeyIDOf(key.Public().(ed25519.PublicKey)), Key: key}
}

// URL returns the base address of the stand-ins of the platform.
func (d *Deployment) URL() string {
	return d.url
}

// PublicKey returns the publisher's key in base64, as daemons' settings hold it.
func (d *Deployment) PublicKey() string {
	return base64.StdEncoding.EncodeToString(d.signer.Key.Public().(ed25519.PublicKey))
}

func (d *Deployment) start() error {
	address, err := d.serve(d.Platform)
	if err != nil {
		return err
	}
	d.url = "http://" + address
	for _, region := range d.plan.Regions {
		if err := d.startEndpoints(region); err != nil {
			return err
		}
	}
	if err := d.publishFirst(); err != nil {
		return err
	}
	for _, region := range d.plan.Regions {
		for range region.Daemons {
			if _, err := d.StartEntry(region.Region); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *Deployment) publishFirst() error {
	if d.plan.Config == nil {
		d.PublishValues(d.plan.Values)
		return nil
	}
	return d.Publish(d.plan.Config)
}

func (d *Deployment) startEndpoints(region RegionPlan) error {
	version := cmp.Or(d.plan.Version, Version)
	for i := range region.Engines {
		opts := d.plan.Engine
		opts.ID = types.EndpointID(fmt.Sprintf("%s-engine-%d", region.Region, i+1))
		opts.Model, opts.Version = d.plan.Model, version
		if opts.Slots == 0 {
			opts.Slots = engine.DefaultSlots
		}
		one := engine.New(opts)
		d.Engines[opts.ID] = one
		err := d.addEndpoint(one, api.VM{Region: region.Region, Endpoint: opts.ID, Service: d.plan.Model, Version: opts.Version, Slots: opts.Slots})
		if err != nil {
			return err
		}
	}
	for i := range region.Workers {
		id := types.EndpointID(fmt.Sprintf("%s-orders-%d", region.Region, i+1))
		one := plain.New(id)
		d.Workers[id] = one
		err := d.addEndpoint(one, api.VM{Region: region.Region, Endpoint: id, Service: d.plan.Orders, Slots: engine.DefaultSlots})
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) addEndpoint(handler http.Handler, vm api.VM) error {
	address, err := d.serve(handler)
	if err != nil {
		return err
	}
	d.byEndpoint[vm.Endpoint] = d.servers[len(d.servers)-1]
	vm.Role, vm.DataCentre, vm.Address = api.RoleEndpoint, dataCentre(vm.Region), address
	d.setVM(vm)
	return nil
}

func dataCentre(region types.Region) types.DataCentre {
	return types.DataCentre(region + "-1")
}

// serve serves a stand-in and returns its address.
func (d *Deployment) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", eris.Wrap(err, "listen on loopback")
	}
	server := &http.Server{Handler: handler, ErrorLog: nil, ReadHeaderTimeout: time.Minute}
	d.servers = append(d.servers, server)
	d.running.Go(func() { _ = server.Serve(listener) })
	return listener.Addr().String(), nil
}

// CrashEndpoint cuts off an endpoint: what it runs is lost and connections to
// it are refused from now on. The VM list does not tell.
func (d *Deployment) CrashEndpoint(id types.EndpointID) {
	if one := d.Engines[id]; one != nil {
		one.Crash()
	}
	_ = d.byEndpoint[id].Close()
}

// LeaveEndpoint publishes that an endpoint is leaving.
func (d *Deployment) LeaveEndpoint(id types.EndpointID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.vms {
		if d.vms[i].Endpoint == id {
			d.vms[i].Leaving = true
		}
	}
	d.showVMs()
}

// AddEntry publishes the VM of a daemon that runs elsewhere.
func (d *Deployment) AddEntry(region types.Region, peer types.VMID, callers string) {
	d.setVM(api.VM{Role: api.RoleEntry, Region: region, DataCentre: dataCentre(region), Peer: peer, Address: callers})
}

// setVM adds a VM to the list, or replaces the one with its address.
func (d *Deployment) setVM(vm api.VM) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.vms {
		if d.vms[i].Address == vm.Address {
			d.vms[i] = vm
			d.showVMs()
			return
		}
	}
	d.vms = append(d.vms, vm)
	d.showVMs()
}

// showVMs publishes the VM list. The caller holds the lock.
func (d *Deployment) showVMs() {
	d.Platform.SetVMs(append([]api.VM(nil), d.vms...))
	d.Platform.ShowVMs()
}

// RemoveEntry takes an entry off the VM list.
func (d *Deployment) RemoveEntry(gone *Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.vms {
		if d.vms[i].Peer == gone.Self().Incarnation.VM {
			d.vms = append(d.vms[:i:i], d.vms[i+1:]...)
			break
		}
	}
	for i := range d.entries {
		if d.entries[i] == gone {
			d.entries = append(d.entries[:i:i], d.entries[i+1:]...)
			break
		}
	}
	d.showVMs()
}

// Publish signs a configuration and hands it to the configuration service.
func (d *Deployment) Publish(config *published.Configuration) error {
	built, err := bundle.Build(config, d.previous)
	if err != nil {
		return err
	}
	built.Signed = bundle.Sign(built.Signed, d.signer)
	values, err := built.Values()
	if err != nil {
		return err
	}
	d.PublishValues(values)
	d.previous = bundle.HashOf(built.Signed.Manifest)
	return nil
}

// PublishValues hands a bundle's values to the configuration service, the
// manifest last.
func (d *Deployment) PublishValues(values map[string][]byte) {
	for key, data := range values {
		if key != bundle.ManifestKey {
			d.Platform.Publish(key, data)
		}
	}
	d.Platform.Publish(bundle.ManifestKey, values[bundle.ManifestKey])
}

// Entries returns the running entries.
func (d *Deployment) Entries() []*Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*Entry(nil), d.entries...)
}

// Close stops everything at once and waits for it.
func (d *Deployment) Close() {
	for _, entry := range d.Entries() {
		entry.Abort()
	}
	for _, server := range d.servers {
		_ = server.Close()
	}
	d.running.Wait()
}

// WaitReady waits until every entry takes requests and sees every other one.
func (d *Deployment) WaitReady(ctx context.Context) error {
	return d.Wait(ctx, func(entry *Entry) bool {
		return entry.Ready(len(d.Entries()) - 1)
	})
}

// waitStep is the time between two looks at the entries.
const waitStep = 20 * time.Millisecond

// Wait waits until done holds for every entry.
func (d *Deployment) Wait(ctx context.Context, done func(*Entry) bool) error {
	ticker := time.NewTicker(waitStep)
	defer ticker.Stop()
	for {
		waiting := 0
		for _, entry := range d.Entries() {
			if !done(entry) {
				waiting++
			}
		}
		if waiting == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "%d entries are not there yet", waiting)
		case <-ticker.C:
		}
	}
}

func newLog(out io.Writer) *logrus.Logger {
	if out == nil {
		out = io.Discard
	}
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(jsonlog.Formatter{})
	return log
}

// sharedKeys are the keys that the daemons share. They are no secret.
func sharedKeys() []daemon.Key {
	const keyBytes = 32
	secret := make([]byte, keyBytes)
	for i := range secret {
		secret[i] = byte(i)
	}
	return []daemon.Key{{ID: "loopback", Secret: secret}}
}
