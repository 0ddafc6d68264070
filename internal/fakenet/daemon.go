package fakenet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/configsync"
	"github.com/flamingomount/flamingomount/pkg/control/event"
	"github.com/flamingomount/flamingomount/pkg/control/node"
	"github.com/flamingomount/flamingomount/pkg/peer"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// exchangeTimeout is how long a daemon waits for the answer of a peer.
const exchangeTimeout = 2 * time.Second

// Daemon is one daemon on its VM; it may be down.
type Daemon struct {
	Place
	net         *Network
	node        *node.Node
	guard       *peer.Guard
	incarnation types.Incarnation
	up          bool
	pausedUntil time.Time
	draining    bool
	// named holds the VMs that the snapshot namedFrom makes the answers name.
	named     map[types.VMID]bool
	namedFrom *snapshot.Snapshot
	// Stats count since the daemon was made, over all its incarnations.
	Stats Stats
}

// Stats count what a daemon sent and received.
type Stats struct {
	Messages      int
	BytesSent     int
	BytesReceived int
	Refused       int
	Alarms        int
}

// Up reports whether the daemon runs.
func (d *Daemon) Up() bool { return d.up }

// Draining reports whether the daemon has begun to leave.
func (d *Daemon) Draining() bool { return d.draining }

// Snapshot returns the daemon's newest snapshot.
func (d *Daemon) Snapshot() *snapshot.Snapshot { return d.node.Snapshot() }

// InForce returns the revision in force; zero when there is none.
func (d *Daemon) InForce() types.Revision {
	config := d.node.Snapshot().Config
	if config == nil {
		return 0
	}
	return config.Revision
}

// Start starts a new incarnation with an empty memory.
func (d *Daemon) Start() {
	n := d.net
	n.boots++
	d.incarnation = types.Incarnation{VM: d.VM, Boot: types.BootID(fmt.Sprintf("%08x%08d", n.rng.Uint32(), n.boots))}
	d.up, d.draining, d.pausedUntil = true, false, time.Time{}
	seed := n.rng.Uint64()
	d.guard = peer.NewGuard(d.VM, n.keys, n.now, seed)
	self := snapshot.Self{Incarnation: d.incarnation, Region: d.Region, DataCentre: d.DataCentre, CallerAddress: d.Address}
	d.node = node.New(node.Options{
		Self: self, Rand: rand.New(rand.NewPCG(seed, 2)),
		Config: configsync.Options{Keys: n.Config.publisher.Keys()},
	}, n.now)
	n.checker.started(d)
	phase := time.Duration(n.rng.Int64N(int64(node.TickInterval)))
	n.after(phase, d.ticker(d.incarnation))
}

// Stop ends the process without a word.
func (d *Daemon) Stop() { d.up = false }

// Drain makes the daemon leave; the caller stops it later.
func (d *Daemon) Drain() {
	d.draining = true
	d.handle(event.DrainStarted{At: d.net.now}, nil)
}

// Pause stops the process for a time; what arrives meanwhile waits.
func (d *Daemon) Pause(length time.Duration) { d.pausedUntil = d.net.now.Add(length) }

// Paused reports whether the process stands still.
func (d *Daemon) Paused() bool { return d.net.now.Before(d.pausedUntil) }

// Submit hands an event to the daemon.
func (d *Daemon) Submit(e event.Event) { d.handle(e, nil) }

func (d *Daemon) is(incarnation types.Incarnation) bool {
	return d.up && d.incarnation == incarnation
}

func (d *Daemon) ticker(incarnation types.Incarnation) func() {
	var tick func()
	tick = func() {
		if !d.is(incarnation) {
			return
		}
		if d.Paused() {
			d.net.after(d.pausedUntil.Sub(d.net.now), tick)
			return
		}
		d.handle(event.Tick{Now: d.net.now, Wall: d.net.now}, nil)
		d.net.after(node.TickInterval, tick)
	}
	return tick
}

// whenAwake runs an act now, or when the daemon's pause ends.
func (d *Daemon) whenAwake(incarnation types.Incarnation, act func()) {
	if !d.is(incarnation) {
		return
	}
	if d.Paused() {
		d.net.after(d.pausedUntil.Sub(d.net.now), func() { d.whenAwake(incarnation, act) })
		return
	}
	act()
}

// handle gives the event to the control state and carries out what it asks for.
func (d *Daemon) handle(e event.Event, reply func(*peer.Message)) {
	out := d.node.Handle(e)
	d.Stats.Alarms += len(out.Alarms)
	if out.Reply != nil && reply != nil {
		reply(out.Reply)
	}
	for _, msg := range out.Sends {
		d.send(msg)
	}
	for _, read := range out.Reads {
		d.net.Config.read(d, read)
	}
	if out.ReadList {
		d.net.List.read(d)
	}
	d.net.checker.check(d, e)
}
