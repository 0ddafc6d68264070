package control_test

import (
	"context"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/demand"
	"github.com/flamingomount/flamingomount/pkg/gateway/guard"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// evacuationLimit is the time within which an evacuated data centre gets no more
// requests.
const evacuationLimit = 2500 * time.Millisecond

// fleet is a few daemons that share one store.
type fleet struct {
	store   *fakeStore
	peers   *fakePeers
	daemons []*control.Control
	stop    func()
	// faults is how many of the next heartbeats panic, over all daemons.
	faults atomic.Int32
	// revocationLimit is that of the daemons.
	revocationLimit time.Duration
}

// newFleet starts a daemon for each address; storeOf returns its store.
func newFleet(store *fakeStore, storeOf func(types.VMID) control.Store, vms ...types.VMID) *fleet {
	return newRevokingFleet(0, store, storeOf, vms...)
}

// newRevokingFleet starts daemons at which credentials stop working within a limit.
func newRevokingFleet(limit time.Duration, store *fakeStore, storeOf func(types.VMID) control.Store, vms ...types.VMID) *fleet {
	f := &fleet{revocationLimit: limit, store: store, peers: &fakePeers{daemons: map[types.VMID]*control.Control{}, cut: map[types.VMID]bool{}}}
	ctx, cancel := context.WithCancel(context.Background())
	var running conc.WaitGroup
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, vm := range vms {
		f.newDaemon(storeOf(vm), log, vm, vms[:1]...)
	}
	for _, daemon := range f.daemons {
		running.Go(func() { daemon.Run(ctx) })
	}
	f.stop = func() {
		cancel()
		running.Wait()
	}
	return f
}

// newDaemon adds a daemon to the fleet. It does not run yet.
func (f *fleet) newDaemon(store control.Store, log logrus.FieldLogger, vm types.VMID, seeds ...types.VMID) *control.Control {
	daemon := control.New(f.options(store, log, vm, seeds...))
	f.daemons = append(f.daemons, daemon)
	f.peers.daemons[vm] = daemon
	return daemon
}

// options returns the options of a daemon of the fleet.
func (f *fleet) options(store control.Store, log logrus.FieldLogger, vm types.VMID, seeds ...types.VMID) control.Options {
	return control.Options{
		Self:  members.Member{VM: vm, Incarnation: 1, State: members.Starting, Region: "north", DataCentre: "north-a", CallerAddress: string(vm)},
		Seeds: seeds, Store: store, Peers: f.peers,
		OnSnapshot: func(*control.Snapshot) {}, Loads: f.loads, EvacuationLimit: evacuationLimit, RevocationLimit: f.revocationLimit,
		Demand: func() demand.Counts { return demand.Counts{"r": 7} },
		Log:    log, Guard: guard.New(log, prometheus.NewRegistry()), Now: time.Now, Rand: rand.New(rand.NewPCG(uint64(len(f.daemons)), 1)),
	}
}

// panicOnce is a log hook that panics at the first line with a message.
type panicOnce struct {
	message string
	done    atomic.Bool
}

// Levels implements logrus.Hook.
func (h *panicOnce) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (h *panicOnce) Fire(entry *logrus.Entry) error {
	if entry.Message == h.message && h.done.CompareAndSwap(false, true) {
		panic("a fault in the decision")
	}
	return nil
}

// countLines is a log hook that counts the lines with a message.
type countLines struct {
	message string
	count   atomic.Int32
}

// Levels implements logrus.Hook.
func (h *countLines) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (h *countLines) Fire(entry *logrus.Entry) error {
	if entry.Message == h.message {
		h.count.Add(1)
	}
	return nil
}

// loads panics while faults remain.
func (f *fleet) loads() []members.Load {
	if f.faults.Add(-1) >= 0 {
		panic("a fault in the control goroutine")
	}
	return nil
}

func (f *fleet) versions() []uint64 {
	var configVersions []uint64
	for _, daemon := range f.daemons {
		if config := daemon.Load().View.Config; config != nil {
			configVersions = append(configVersions, config.Version)
		}
	}
	return configVersions
}

// storeReads returns when the store was last read, as each daemon knows it.
func (f *fleet) storeReads() []time.Time {
	var reads []time.Time
	for _, daemon := range f.daemons {
		reads = append(reads, daemon.Load().StoreReadAt)
	}
	return reads
}

func configRecord(version uint64) catalog.Record {
	return catalog.Record{Key: "op/config", Config: &catalog.Config{Version: version}}
}

func endpointRecord(id string) catalog.Record {
	return catalog.Record{Key: "servers/" + id, Endpoint: &catalog.Endpoint{ID: types.EndpointID(id), Service: "s", Region: "north"}}
}
