package node

import (
	"cmp"
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/event"
	"github.com/flamingomount/flamingomount/pkg/control/rendezvous"
	"github.com/flamingomount/flamingomount/pkg/peer"
)

// pause tracks the refresh after this process was suspended. The daemon queries
// peers and counts as paused until it has received the updates that it missed.
type pause struct {
	active bool
	// since is when the end of the pause was detected.
	since     time.Time
	peer      bool // a peer that is in service has sent a message since then
	list      bool // the VM list was confirmed or read since then
	nextQuery time.Time
}

// pauseQueryInterval is the time between two rounds of queries after a pause.
const pauseQueryInterval = 500 * time.Millisecond

// clock holds the latest event time, and the wall clock of the last tick.
type clock struct {
	now  time.Time
	wall time.Time
}

// detectPause compares the event's time with the latest one before it. Ticks are
// frequent, so a long gap means that the process was suspended. The wall clock is
// checked as well because a monotonic clock may stop while the VM is suspended.
func (n *Node) detectPause(e event.Event) {
	now := e.Time()
	gap := now.Sub(n.clock.now)
	if tick, ok := e.(event.Tick); ok {
		gap = max(gap, tick.Wall.Sub(n.clock.wall))
		n.clock.wall = tick.Wall
	}
	if now.After(n.clock.now) {
		n.clock.now = now
	}
	if gap >= n.opts.PauseThreshold {
		n.pause = pause{active: true, since: now}
		n.dirty = true
	}
}

// refreshAfterPause queries peers until this daemon has received the updates that it
// missed. It gives up after the settling time, for example when the region is cut off.
func (n *Node) refreshAfterPause(now time.Time) {
	if !n.pause.active {
		return
	}
	limit := cmp.Or(n.opts.Config.SettlingTime, defaultSettlingTime)
	upToDate := n.config.Revision() >= n.config.Floor()
	if (n.pause.peer && n.pause.list && upToDate) || now.Sub(n.pause.since) >= limit {
		n.pause, n.dirty = pause{}, true
		return
	}
	n.queryAfterPause(now)
}

// defaultSettlingTime bounds the refresh after a pause if no settling time is set.
const defaultSettlingTime = 5 * time.Second

func (n *Node) queryAfterPause(now time.Time) {
	if now.Before(n.pause.nextQuery) {
		return
	}
	n.pause.nextQuery = now.Add(pauseQueryInterval)
	for _, vm := range n.queryTargets() {
		msg := n.message(now)
		msg.WantManifest = true
		n.send(now, vm, msg)
	}
	n.out.ReadList = true
}

// recordRefresh records that a peer that is in service has sent its state. The VM list
// counts as refreshed if the peer holds no newer one.
func (n *Node) recordRefresh(msg *peer.Message) {
	if !n.pause.active || !msg.Established {
		return
	}
	n.pause.peer = true
	if msg.ListVersion <= n.list.Version() {
		n.pause.list = true
	}
}

// listPacer schedules the reads of the VM list and the queries for it to peers.
type listPacer struct {
	busyUntil time.Time // a read is in flight until then at most
	nextRead  time.Time
	nextQuery time.Time
}

const (
	// listQueryInterval is the minimum time between two queries to peers for the list.
	listQueryInterval = 500 * time.Millisecond
	// listTimeout bounds one read of the list.
	listTimeout = 5 * time.Second
	// slowReadFactor multiplies the read interval of every daemon other than the
	// primary reader: the secondary reader, and daemons that read because their
	// peers are silent or they have no list.
	slowReadFactor = 4
	// listReaders is how many daemons of a data centre read the list regularly.
	listReaders = 2
)

// done records that a read ended, with or without a list.
func (p *listPacer) done() { p.busyUntil = time.Time{} }

// scheduleListRead requests a read of the VM list if one is due on this daemon.
func (n *Node) scheduleListRead(now time.Time) {
	p := &n.listReads
	if now.Before(p.busyUntil) || now.Before(p.nextRead) {
		return
	}
	// A daemon that is cut off takes itself for the only one of its data centre.
	cutOff := n.config.Silent(now) && len(n.view) > 0
	rank := n.listRank()
	if rank >= listReaders && n.list.Version() != 0 && !cutOff {
		return
	}
	interval := n.opts.ListInterval
	if rank > 0 || cutOff {
		interval *= slowReadFactor
	}
	jitter := time.Duration(n.opts.Rand.Int64N(int64(interval)/4 + 1))
	p.nextRead = now.Add(interval - jitter)
	p.busyUntil = now.Add(listTimeout)
	n.out.ReadList = true
}

// listRank returns this daemon's rank among the list readers of its data centre:
// 0 for the primary reader, 1 for the secondary, listReaders for all others.
func (n *Node) listRank() int {
	key := "list " + string(n.opts.Self.DataCentre)
	for i, vm := range rendezvous.Top(key, n.configView().DataCentre, listReaders) {
		if vm == n.opts.Self.Incarnation.VM {
			return i
		}
	}
	return listReaders
}
