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
	prefixes  snapshot.PrefixIndex // the caches as of their last change

	view     []snapshot.Member // the members as of their last change
	back     map[types.ServiceName][]*snapshot.Endpoint
	current  *snapshot.Snapshot
	dirty    bool
	draining bool
	pause    pause
	listTime listPacer
	clock    clock
	out      Output
}

// New returns a node of a daemon that starts now.
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

// Handle takes one event and returns what is to be done.
func (n *Node) Handle(e event.Event) Output {
	n.out = Output{}
	n.noticePause(e)
	now := n.apply(e)
	n.publish(now)
	n.out.Alarms = n.config.TakeAlarms()
	return n.out
}

// apply dispatches the event and returns its time.
func (n *Node) apply(e event.Event) time.Time {
	switch e := e.(type) {
	case event.Tick:
		n.tick(e)
		return e.Now
	case event.PeerMessage:
		n.peerMessage(e)
		return e.At
	case event.PeerFailed:
		n.members.MarkUnreachable(e.At, e.To)
		n.config.AskFailed(e.To)
		return e.At
	case event.ListRead:
		n.listRead(e)
		return e.At
	case event.ListFailed:
		n.listTime.done()
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
		n.attemptFinished(e)
		return e.At
	case event.LoadReported:
		n.endpoints.SetLoad(e.Endpoint, e.Load)
		return e.At
	case event.CacheEventsRead:
		n.cacheEventsRead(e)
		return e.At
	case event.DrainStarted:
		n.draining, n.dirty = true, true
		n.members.Leave()
		n.tellLeaving(e.At)
		return e.At
	case event.FloorSeen:
		n.config.SetFloor(e.Revision)
		return e.At
	}
	return n.clock.now
}

// cacheEventsRead takes cache events of an endpoint that is still listed.
func (n *Node) cacheEventsRead(e event.CacheEventsRead) {
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

func (n *Node) attemptFinished(e event.AttemptFinished) {
	if e.Leaving && n.endpoints.MarkLeaving(e.At, e.At, e.Endpoint) {
		n.tellSome(e.At)
	}
	if n.opts.Outliers != nil && n.opts.Outliers.Observe(e) {
		n.back, n.dirty = nil, true
	}
	if n.opts.Quarantine != nil && n.opts.Quarantine.Observe(e) {
		n.dirty = true
	}
}

func (n *Node) tick(e event.Tick) {
	now := e.Now
	n.afterPause(now)
	n.tickHealth(now)
	n.regions.Expire(now)
	n.endpoints.Expire(now)
	n.runConfig(now)
	n.readList(now)
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
		n.back, n.dirty = nil, true
	}
	if n.opts.Quarantine != nil && n.opts.Quarantine.Tick(now) {
		n.dirty = true
	}
}

func (n *Node) runConfig(now time.Time) {
	plan := n.config.Tick(now, func() configsync.View { return n.configView() })
	n.out.Reads = append(n.out.Reads, plan.Reads...)
	for _, q := range plan.Questions {
		msg := n.message(now)
		msg.WantManifest, msg.WantBlobs = q.Manifest, q.Blobs
		n.send(now, q.To, msg)
	}
}

// listRead takes a reading of the VM list from the platform. One that began
// before a pause does not count as a refresh after it.
func (n *Node) listRead(e event.ListRead) {
	n.listTime.done()
	if n.pause.active && !e.AskedAt.Before(n.pause.since) {
		n.pause.list = true
	}
	if n.list.Set(&e.Listing) {
		n.listChanged(e.At)
	}
}

// listChanged hands a new list to the parts and pushes the change to peers.
func (n *Node) listChanged(now time.Time) {
	listing := n.list.Listing()
	n.members.SetList(listing)
	n.endpoints.SetList(listing)
	if n.caches.Retain(n.endpoints.Listed) {
		n.publishCaches()
	}
	for _, vm := range n.members.PickLive(n.opts.Fanout) {
		msg := n.message(now)
		if change := n.list.LatestChange(); change != nil {
			msg.ListChange = change
			n.send(now, vm, msg)
		}
	}
}

// publish builds a new snapshot when something changed.
func (n *Node) publish(now time.Time) {
	if n.regions.TakeChanged() {
		n.dirty = true
		for _, summary := range n.regions.Others() {
			n.members.ApplyRegionSummary(now, summary.Region, summary.TakenAt, summary.Out)
		}
	}
	if n.members.TakeChanged() {
		n.view, n.dirty = n.members.Members(), true
	}
	if n.endpoints.TakeChanged() {
		n.back, n.dirty = nil, true
	}
	if n.config.TakeChanged() {
		n.dirty = true
		if config := n.config.InForce(); config != nil && n.opts.Quarantine != nil {
			n.opts.Quarantine.SetPolicy(config.Policy)
		}
		n.announce(now)
	}
	if !n.dirty {
		return
	}
	n.dirty = false
	n.current = n.snapshot(now)
	n.out.Snapshot = n.current
}

func (n *Node) snapshot(now time.Time) *snapshot.Snapshot {
	if n.back == nil {
		var health endpoints.Health
		if n.opts.Outliers != nil {
			health = n.opts.Outliers
		}
		n.back = n.endpoints.View(now, health)
		if n.opts.Outliers != nil {
			n.opts.Outliers.Track(n.back)
		}
	}
	snap := &snapshot.Snapshot{
		TakenAt: now, Self: n.opts.Self, Config: n.config.InForce(), Origin: n.config.Origin(),
		Endpoints: n.back, Members: n.view, Regions: n.regions.Others(),
		Draining: n.draining, Paused: n.pause.active, Prefixes: n.prefixes,
	}
	if n.opts.Quarantine != nil {
		snap.Quarantine = n.opts.Quarantine.Active(now)
	}
	return snap
}

// announce tells a few members of the region that a new revision is accepted;
// they ask for it when they lack it.
func (n *Node) announce(now time.Time) {
	if n.config.Revision() == 0 {
		return
	}
	n.tellSome(now)
}

// tellLeaving tells a few members of the own region, and one of each other one,
// that this daemon leaves; they pass it on.
func (n *Node) tellLeaving(now time.Time) {
	n.tellSome(now)
	for _, vm := range n.regions.OneOfEach(n.view) {
		n.send(now, vm, n.message(now))
	}
}

// tellSome sends a message to a few members of the region at once, for news
// that must not wait for the next heartbeat.
func (n *Node) tellSome(now time.Time) {
	for _, vm := range n.members.PickLive(n.opts.Fanout) {
		n.send(now, vm, n.message(now))
	}
}

// FreeSlots is the default Headroom: for each service, the slots of ready
// endpoints of the own region that their last load report left free.
func FreeSlots(snap *snapshot.Snapshot, _ time.Time) []snapshot.ServiceSummary {
	var out []snapshot.ServiceSummary
	for _, service := range sortedServices(snap.Endpoints) {
		free := 0
		for _, e := range snap.Endpoints[service] {
			if e.State == snapshot.EndpointReady && e.Region == snap.Self.Region {
				free += max(0, e.Slots-e.Load.Running-e.Load.Queued)
			}
		}
		for _, rank := range types.Ranks() {
			out = append(out, snapshot.ServiceSummary{Service: service, Rank: rank, FreeSlots: free})
		}
	}
	return out
}

// Snapshot returns the newest snapshot.
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
