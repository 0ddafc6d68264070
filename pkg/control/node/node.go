package node

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/cacheview"
	"github.com/flamingomount/flamingomount/pkg/control/configsync"
	"github.com/flamingomount/flamingomount/pkg/control/endpoints"
	"github.com/flamingomount/flamingomount/pkg/control/event"
	"github.com/flamingomount/flamingomount/pkg/control/membership"
	"github.com/flamingomount/flamingomount/pkg/control/regions"
	"github.com/flamingomount/flamingomount/pkg/control/vmlist"
	"github.com/flamingomount/flamingomount/pkg/peer"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Node is the control state of one daemon.
type Node struct {
	opts      Options
	config    *configsync.State
	members   *membership.State
	regions   *regions.State
	list      vmlist.State
	endpoints *endpoints.State
	caches    *cacheview.View
	prefixes  snapshot.PrefixIndex // published by caches at its last change

	view         []snapshot.Member // published by members at its last change
	endpointView map[types.ServiceName][]*snapshot.Endpoint
	current      *snapshot.Snapshot
	dirty        bool
	draining     bool
	pause        pause
	listReads    listPacer
	clock        clock
	out          Output
}

// New returns the control state of a daemon that starts now.
func New(opts Options, now time.Time) *Node {
	opts = opts.withDefaults()
	n := &Node{
		opts:      opts,
		config:    configsync.New(opts.Config, opts.Rand, now),
		members:   membership.New(opts.Membership, opts.Rand, now),
		regions:   regions.New(opts.Regions, opts.Rand, now),
		endpoints: endpoints.New(),
		caches:    cacheview.New(cacheview.Options{}),
		current:   &snapshot.Snapshot{TakenAt: now, Self: opts.Self},
		dirty:     true,
		clock:     clock{now: now, wall: now.Round(0)},
	}
	return n
}

// Handle applies one event and returns the actions that the caller must carry out.
func (n *Node) Handle(e event.Event) Output {
	n.out = Output{}
	n.detectPause(e)
	now := n.apply(e)
	n.publish(now)
	n.out.Alarms = n.config.TakeAlarms()
	return n.out
}

// apply dispatches the event to its handler and returns the event's time.
func (n *Node) apply(e event.Event) time.Time {
	switch e := e.(type) {
	case event.Tick:
		n.tick(e)
		return e.Now
	case event.PeerMessage:
		n.handlePeerMessage(e)
		return e.At
	case event.PeerFailed:
		n.members.MarkUnreachable(e.At, e.To)
		n.config.RequestFailed(e.To)
		return e.At
	case event.ListRead:
		n.handleListRead(e)
		return e.At
	case event.ListFailed:
		n.listReads.done()
		return e.At
	case event.ConfigRead:
		n.config.ReadValue(e.At, e.Key, e.Value)
		return e.At
	case event.ConfigFailed:
		n.config.ReadFailed(e.At, e.Key, e.TimedOut)
		return e.At
	default:
		return n.applyTraffic(e)
	}
}

func (n *Node) applyTraffic(e event.Event) time.Time {
	switch e := e.(type) {
	case event.AttemptFinished:
		n.handleAttemptFinished(e)
		return e.At
	case event.LoadReported:
		n.endpoints.SetLoad(e.Endpoint, e.Load)
		return e.At
	case event.CacheEventsRead:
		n.handleCacheEvents(e)
		return e.At
	case event.DrainStarted:
		n.draining, n.dirty = true, true
		n.members.Leave()
		n.announceLeaving(e.At)
		return e.At
	case event.RevisionFloorSeen:
		n.config.SetFloor(e.Revision)
		return e.At
	}
	return n.clock.now
}

// handleCacheEvents applies the cache events of an endpoint. It ignores endpoints that
// the VM list no longer names.
func (n *Node) handleCacheEvents(e event.CacheEventsRead) {
	if !n.endpoints.Listed(e.Endpoint) {
		return
	}
	n.caches.Apply(e.Endpoint, e.Batch)
	n.publishCaches()
}

func (n *Node) publishCaches() {
	n.prefixes = n.caches.Publish()
	n.dirty = true
}

func (n *Node) handleAttemptFinished(e event.AttemptFinished) {
	if e.Leaving && n.endpoints.MarkLeaving(e.At, e.At, e.Endpoint) {
		n.pushToPeers(e.At)
	}
	if n.opts.Outliers != nil && n.opts.Outliers.Observe(e) {
		n.endpointView, n.dirty = nil, true
	}
	if n.opts.Quarantine != nil && n.opts.Quarantine.Observe(e) {
		n.dirty = true
	}
}

func (n *Node) tick(e event.Tick) {
	now := e.Now
	n.refreshAfterPause(now)
	n.tickHealth(now)
	n.regions.Expire(now)
	n.endpoints.Expire(now)
	n.tickConfig(now)
	n.scheduleListRead(now)
	for _, vm := range n.members.Targets(now) {
		n.send(now, vm, n.heartbeat(now))
	}
	if vm, ok := n.regions.Contact(now, n.view); ok {
		n.send(now, vm, n.heartbeat(now))
	}
	n.regions.Refresh(now, n.view, n.config.Revision(), func() []snapshot.ServiceSummary {
		return n.opts.Headroom(n.current, now)
	})
}

func (n *Node) tickHealth(now time.Time) {
	if n.opts.Outliers != nil && n.opts.Outliers.Tick(now) {
		n.endpointView, n.dirty = nil, true
	}
	if n.opts.Quarantine != nil && n.opts.Quarantine.Tick(now) {
		n.dirty = true
	}
}

func (n *Node) tickConfig(now time.Time) {
	plan := n.config.Tick(now, func() configsync.View { return n.configView() })
	n.out.Reads = append(n.out.Reads, plan.Reads...)
	for _, q := range plan.Requests {
		msg := n.message(now)
		msg.WantManifest, msg.WantBlobs = q.Manifest, q.Blobs
		n.send(now, q.To, msg)
	}
}

// handleListRead applies a VM list that was read from the platform. A read that began
// before the end of a pause was detected does not count as a refresh after it.
func (n *Node) handleListRead(e event.ListRead) {
	n.listReads.done()
	if n.pause.active && !e.StartedAt.Before(n.pause.since) {
		n.pause.list = true
	}
	if n.list.Set(&e.Listing) {
		n.distributeList(e.At)
	}
}

// distributeList passes the new VM list to membership, endpoints and caches, and
// pushes the latest change to a few peers.
func (n *Node) distributeList(now time.Time) {
	listing := n.list.Listing()
	n.members.SetList(listing)
	n.endpoints.SetList(listing)
	if n.caches.Retain(n.endpoints.Listed) {
		n.publishCaches()
	}
	change := n.list.LatestChange()
	if change == nil {
		return
	}
	for _, vm := range n.members.PickLive(n.opts.Fanout) {
		msg := n.message(now)
		msg.ListChange = change
		n.send(now, vm, msg)
	}
}

// publish builds a new snapshot if any state changed since the last one.
func (n *Node) publish(now time.Time) {
	if n.regions.TakeChanged() {
		n.dirty = true
		for _, summary := range n.regions.Others() {
			n.members.ApplyRegionSummary(now, summary.Region, summary.TakenAt, summary.Unavailable)
		}
	}
	if n.members.TakeChanged() {
		n.view, n.dirty = n.members.Members(), true
	}
	if n.endpoints.TakeChanged() {
		n.endpointView, n.dirty = nil, true
	}
	if n.config.TakeChanged() {
		n.dirty = true
		if config := n.config.InForce(); config != nil && n.opts.Quarantine != nil {
			n.opts.Quarantine.SetPolicy(config.Policy)
		}
		n.announceRevision(now)
	}
	if !n.dirty {
		return
	}
	n.dirty = false
	n.current = n.snapshot(now)
	n.out.Snapshot = n.current
}

func (n *Node) snapshot(now time.Time) *snapshot.Snapshot {
	if n.endpointView == nil {
		var health endpoints.Health
		if n.opts.Outliers != nil {
			health = n.opts.Outliers
		}
		n.endpointView = n.endpoints.View(now, health)
		if n.opts.Outliers != nil {
			n.opts.Outliers.Track(n.endpointView)
		}
	}
	snap := &snapshot.Snapshot{
		TakenAt: now, Self: n.opts.Self, Config: n.config.InForce(), Origin: n.config.Origin(),
		Endpoints: n.endpointView, Members: n.view, Regions: n.regions.Others(),
		Draining: n.draining, Paused: n.pause.active, Prefixes: n.prefixes,
	}
	if n.opts.Quarantine != nil {
		snap.Quarantine = n.opts.Quarantine.Active(now)
	}
	return snap
}

// announceRevision tells a few members of the local region which revision this daemon
// has accepted. They request it if they lack it.
func (n *Node) announceRevision(now time.Time) {
	if n.config.Revision() == 0 {
		return
	}
	n.pushToPeers(now)
}

// announceLeaving tells a few members of the local region, and one member of each other
// region, that this daemon is leaving. They gossip it further.
func (n *Node) announceLeaving(now time.Time) {
	n.pushToPeers(now)
	for _, vm := range n.regions.PickPerRegion(n.view) {
		n.send(now, vm, n.message(now))
	}
}

// pushToPeers sends a message to a few members of the local region at once. It is used
// for updates that must not wait for the next heartbeat.
func (n *Node) pushToPeers(now time.Time) {
	for _, vm := range n.members.PickLive(n.opts.Fanout) {
		n.send(now, vm, n.message(now))
	}
}

// FreeSlots is the default Headroom. For each service it sums the free slots of the
// ready endpoints of the local region, according to their last load reports.
func FreeSlots(snap *snapshot.Snapshot, _ time.Time) []snapshot.ServiceSummary {
	var out []snapshot.ServiceSummary
	for _, service := range sortedServices(snap.Endpoints) {
		free := 0
		for _, ep := range snap.Endpoints[service] {
			if ep.State == snapshot.EndpointReady && ep.Region == snap.Self.Region {
				free += max(0, ep.Slots-ep.Load.Running-ep.Load.Queued)
			}
		}
		for _, rank := range types.Ranks() {
			out = append(out, snapshot.ServiceSummary{Service: service, Rank: rank, FreeSlots: free})
		}
	}
	return out
}

// Snapshot returns the latest snapshot.
func (n *Node) Snapshot() *snapshot.Snapshot { return n.current }

// Revision returns the accepted revision and its hash.
func (n *Node) Revision() (types.Revision, string) { return n.config.Revision(), n.config.Hash() }

// Floor returns the highest revision that the daemon knows to exist.
func (n *Node) Floor() types.Revision { return n.config.Floor() }

func (n *Node) send(now time.Time, to types.VMID, msg *peer.Message) {
	msg.To = to
	if update, ok := n.members.SuspicionOf(to); ok {
		msg.Members = append(msg.Members, update)
	}
	n.out.Sends = append(n.out.Sends, msg)
}
