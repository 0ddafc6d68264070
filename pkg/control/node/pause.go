package node

import (
	"cmp"
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/event"
	"github.com/flamingomount/flamingomount/pkg/control/rendezvous"
	"github.com/flamingomount/flamingomount/pkg/peer"
)

// pause is what a daemon does after it noticed that it had been paused: it asks
// peers, and counts as paused until it has heard what it missed.
type pause struct {
	active bool
	// since is when the pause was noticed.
	since   time.Time
	peer    bool // a peer in service has answered since then
	list    bool // the VM list was brought up to date since then
	nextAsk time.Time
}

// askEvery is the time between two rounds of questions after a pause.
const askEvery = 500 * time.Millisecond

// clock is the newest time that events brought.
type clock struct {
	now  time.Time
	wall time.Time
}

// noticePause compares the event's time with the newest one before it. Ticks
// come often, so that a long gap means that the process stood still. The wall
// clock also counts, since a monotonic clock may stop while the VM is suspended.
func (n *Node) noticePause(e event.Event) {
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

// afterPause asks peers until this daemon has heard what it missed, or until it
// has asked for long enough, as when its region is cut off.
func (n *Node) afterPause(now time.Time) {
	if !n.pause.active {
		return
	}
	limit := cmp.Or(n.opts.Config.SettlingTime, defaultSettling)
	upToDate := n.config.Revision() >= n.config.Floor()
	if (n.pause.peer && n.pause.list && upToDate) || now.Sub(n.pause.since) >= limit {
		n.pause, n.dirty = pause{}, true
		return
	}
	n.askAfterPause(now)
}

// defaultSettling bounds a pause's refresh when no settling time is set.
const defaultSettling = 5 * time.Second

func (n *Node) askAfterPause(now time.Time) {
	if now.Before(n.pause.nextAsk) {
		return
	}
	n.pause.nextAsk = now.Add(askEvery)
	for _, vm := range n.whomToAsk() {
		msg := n.message(now)
		msg.WantManifest = true
		n.send(now, vm, msg)
	}
	n.out.ReadList = true
}

// refreshedBy notes that a peer in service has told what it knows.
func (n *Node) refreshedBy(msg *peer.Message) {
	if !n.pause.active || !msg.Established {
		return
	}
	n.pause.peer = true
	if msg.ListVersion <= n.list.Version() {
		n.pause.list = true
	}
}

// listPacer paces the readings of the VM list.
type listPacer struct {
	busyUntil time.Time
	next      time.Time
	nextAsk   time.Time
}

const (
	// listAskEvery is the shortest time between two questions for the list.
	listAskEvery = 500 * time.Millisecond
	// listTimeout bounds one reading of the list.
	listTimeout = 5 * time.Second
	// secondReader is how many times rarer the second reader of a data centre
	// reads, and everyone whose peers are silent.
	secondReader = 4
	// listReaders is how many daemons of a data centre read the list.
	listReaders = 2
)

// done tells that a reading ended, with or without a list.
func (p *listPacer) done() { p.busyUntil = time.Time{} }

// readList asks for a reading of the VM list when this daemon should make one.
func (n *Node) readList(now time.Time) {
	p := &n.listTime
	if now.Before(p.busyUntil) || now.Before(p.next) {
		return
	}
	every := n.opts.ListInterval
	switch n.listRank() {
	case 0:
	case 1:
		every *= secondReader
	default:
		if n.list.Version() != 0 && !n.config.Silent(now) {
			return
		}
		every *= secondReader
	}
	jitter := time.Duration(n.opts.Rand.Int64N(int64(every)/4 + 1))
	p.next = now.Add(every - jitter)
	p.busyUntil = now.Add(listTimeout)
	n.out.ReadList = true
}

// listRank is this daemon's place among the readers of its data centre.
func (n *Node) listRank() int {
	key := "list " + string(n.opts.Self.DataCentre)
	for i, vm := range rendezvous.Top(key, n.configView().DataCentre, listReaders) {
		if vm == n.opts.Self.Incarnation.VM {
			return i
		}
	}
	return listReaders
}
