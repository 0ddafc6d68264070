package fakenet

import (
	"fmt"

	"github.com/flamingomount/flamingomount/pkg/control/entries"
	"github.com/flamingomount/flamingomount/pkg/control/event"
	"github.com/flamingomount/flamingomount/pkg/peer"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Checker watches the invariants from outside of the daemons: it keeps its own
// record of what each of them was told and compares it with what they do.
type Checker struct {
	net     *Network
	failure error
	// order numbers every incarnation in the order of starting.
	order   map[types.Incarnation]int
	daemons map[types.Incarnation]*record
	// Accepted counts accepted messages.
	Accepted int
}

// record is what the checker knows of one incarnation.
type record struct {
	inForce types.Revision
	hashes  map[types.Revision]string
	// told is the highest revision that an accepted message named.
	told     types.Revision
	messages map[messageKey]bool
	// seen is the newest incarnation of each VM that the daemon has shown.
	seen map[types.VMID]int
	// left holds incarnations that were said to be leaving.
	left     map[types.Incarnation]bool
	draining bool
}

type messageKey struct {
	from  types.Incarnation
	nonce uint64
}

func newChecker(n *Network) *Checker {
	return &Checker{net: n, order: map[types.Incarnation]int{}, daemons: map[types.Incarnation]*record{}}
}

func (c *Checker) fail(format string, args ...any) {
	if c.failure == nil {
		c.failure = fmt.Errorf("step %d, %s: %s", c.net.steps, c.net.now.Sub(epoch), fmt.Sprintf(format, args...))
	}
}

func (c *Checker) started(d *Daemon) {
	c.order[d.incarnation] = len(c.order)
	c.daemons[d.incarnation] = &record{
		hashes: map[types.Revision]string{}, messages: map[messageKey]bool{},
		seen: map[types.VMID]int{}, left: map[types.Incarnation]bool{},
	}
}

// accepted takes a message that a daemon's guard let through.
func (c *Checker) accepted(d *Daemon, msg *peer.Message) {
	c.Accepted++
	if c.net.opts.Unchecked {
		return
	}
	r := c.daemons[d.incarnation]
	key := messageKey{msg.From, msg.Nonce}
	if r.messages[key] {
		c.fail("%s accepted a replayed message of %s", d.incarnation, msg.From)
	}
	r.messages[key] = true
	if msg.To != d.VM {
		c.fail("%s accepted a message meant for %s", d.incarnation, msg.To)
	}
	if _, known := c.order[msg.From]; !known {
		c.fail("%s accepted a message of %s, which never ran", d.incarnation, msg.From)
	}
	if !c.listed(d, msg.From.VM) {
		r.told = max(r.told, msg.Revision)
		return
	}
	if msg.Leaving {
		r.left[msg.From] = true
	}
	for _, update := range msg.Members {
		if update.State == snapshot.MemberLeaving && c.listed(d, update.Incarnation.VM) {
			r.left[update.Incarnation] = true
		}
	}
	r.told = max(r.told, msg.Revision)
}

// listed reports whether the daemon's VM list names the VM.
func (c *Checker) listed(d *Daemon, vm types.VMID) bool {
	members := d.node.Snapshot().Members
	for i := range members {
		if members[i].Incarnation.VM == vm {
			return true
		}
	}
	return false
}

// check runs after each event that a daemon handled.
func (c *Checker) check(d *Daemon, e event.Event) {
	if c.net.opts.Unchecked {
		return
	}
	r := c.daemons[d.incarnation]
	if _, ok := e.(event.DrainStarted); ok {
		r.draining = true
	}
	snap := d.node.Snapshot()
	c.checkConfig(d, r, snap)
	c.checkMembers(d, r, snap)
	c.checkEntries(d, r, snap)
}

func (c *Checker) checkConfig(d *Daemon, r *record, snap *snapshot.Snapshot) {
	if snap.Config == nil {
		if r.inForce != 0 {
			c.fail("%s lost its configuration %s", d.incarnation, r.inForce)
		}
		return
	}
	revision := snap.Config.Revision
	if revision < r.inForce {
		c.fail("%s reverted from revision %s to %s", d.incarnation, r.inForce, revision)
	}
	if r.inForce == 0 && revision < r.told {
		c.fail("%s put revision %s in force although it was told of %s", d.incarnation, revision, r.told)
	}
	r.inForce = revision
	if known, ok := r.hashes[revision]; ok && known != snap.Config.Hash {
		c.fail("%s changed the hash of revision %s", d.incarnation, revision)
	}
	r.hashes[revision] = snap.Config.Hash
}

func (c *Checker) checkMembers(d *Daemon, r *record, snap *snapshot.Snapshot) {
	for i := range snap.Members {
		incarnation := snap.Members[i].Incarnation
		if incarnation.Boot == "" {
			continue
		}
		order, known := c.order[incarnation]
		if !known {
			continue // a mutant hides the incarnation
		}
		if order < r.seen[incarnation.VM] {
			c.fail("%s went back to an earlier incarnation of %s", d.incarnation, incarnation.VM)
		}
		r.seen[incarnation.VM] = order
	}
}

func (c *Checker) checkEntries(d *Daemon, r *record, snap *snapshot.Snapshot) {
	answer := entries.List(snap, entries.Query{Caller: "caller", Limit: len(c.net.Daemons)})
	for _, entry := range answer.Entries {
		if entry.VM == d.VM && r.draining {
			c.fail("%s is leaving and names itself", d.incarnation)
		}
		if r.left[types.Incarnation{VM: entry.VM, Boot: entry.Boot}] {
			c.fail("%s names %s, which said that it leaves", d.incarnation, entry.VM)
		}
	}
}

// Converged returns what is still wrong once every fault is over: each daemon
// must have the newest revision in force and name exactly the live entries.
func (c *Checker) Converged() error {
	var live []*Daemon
	for _, d := range c.net.Daemons {
		if d.up && !d.draining {
			live = append(live, d)
		}
	}
	for _, d := range live {
		if got, want := d.InForce(), c.net.Config.Latest(); got != want {
			return fmt.Errorf("%s has revision %s in force; the newest is %s", d.VM, got, want)
		}
		if d.Snapshot().Paused {
			return fmt.Errorf("%s still counts as paused", d.VM)
		}
		named := named(d)
		for _, other := range c.net.Daemons {
			want := other.up && !other.draining
			if got := named[other.VM]; got != want {
				return fmt.Errorf("%s names %s as an entry: %v, want %v", d.VM, other.VM, got, want)
			}
		}
	}
	return nil
}

// Names reports whether a daemon's answers name a VM as an entry.
func Names(d *Daemon, vm types.VMID) bool {
	if snap := d.Snapshot(); d.namedFrom != snap {
		d.namedFrom, d.named = snap, named(d)
	}
	return d.named[vm]
}

// named holds the VMs that a daemon's answers name.
func named(d *Daemon) map[types.VMID]bool {
	answer := entries.List(d.Snapshot(), entries.Query{Caller: "caller", Limit: len(d.net.Daemons)})
	vms := make(map[types.VMID]bool, len(answer.Entries))
	for _, entry := range answer.Entries {
		vms[entry.VM] = true
	}
	return vms
}
