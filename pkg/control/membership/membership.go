package membership

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/peer"
	"github.com/flamingomount/flamingomount/pkg/platform"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// State is the membership as one daemon sees it.
type State struct {
	opts    Options
	rng     *rand.Rand
	members map[types.VMID]*member
	queue   []*queued
	round   []types.VMID // the members still to probe in this round
	next    time.Time    // when the next heartbeat is due
	pushes  int          // extra messages owed to the newest updates
	beat    uint64
	leaving bool
	changed bool
}

// member is what is known about one other VM.
type member struct {
	snapshot.Member
	beat uint64
	// probedAt is when the unanswered probe was sent; zero without one.
	probedAt time.Time
	// silentSince is when the first probe in a row of unanswered ones was sent.
	silentSince time.Time
	misses      int
	// spareUntil is until when this daemon does not suspect the member again.
	spareUntil time.Time
	// stateAt is when State last changed.
	stateAt time.Time
	// listedLeaving is true when the VM list says that the VM leaves.
	listedLeaving bool
}

// queued is an update that still has to be attached to some messages.
type queued struct {
	update peer.MemberUpdate
	left   int
}

// New returns a membership that knows no other member.
func New(opts Options, rng *rand.Rand, now time.Time) *State {
	opts = opts.withDefaults()
	s := &State{opts: opts, rng: rng, members: map[types.VMID]*member{}}
	s.next = now.Add(time.Duration(rng.Int64N(int64(opts.Interval))))
	return s
}

// SetList takes a reading of the VM list. VMs that it no longer names are
// forgotten.
func (s *State) SetList(listing *platform.VMListing) {
	listed := make(map[types.VMID]bool, len(s.members))
	for i := range listing.VMs {
		vm := &listing.VMs[i]
		if vm.Role != platform.RoleEntry || vm.Peer == s.opts.Self.Incarnation.VM {
			continue
		}
		listed[vm.Peer] = true
		s.setListed(vm)
	}
	for vm := range s.members {
		if !listed[vm] {
			delete(s.members, vm)
			s.changed = true
		}
	}
}

func (s *State) setListed(vm *platform.VM) {
	m := s.members[vm.Peer]
	if m == nil {
		m = &member{}
		m.Incarnation.VM = vm.Peer
		m.State = snapshot.MemberListed
		s.members[vm.Peer] = m
		s.changed = true
	}
	if m.Region != vm.Region || m.DataCentre != vm.DataCentre || m.CallerAddress != vm.Address || m.listedLeaving != vm.Leaving {
		s.changed = true
	}
	m.Region, m.DataCentre, m.CallerAddress = vm.Region, vm.DataCentre, vm.Address
	m.listedLeaving = vm.Leaving
}

// Leave makes this daemon announce that it leaves.
func (s *State) Leave() {
	s.leaving = true
	s.enqueue(s.selfUpdate(), true)
}

// Leaving reports whether this daemon has announced that it leaves.
func (s *State) Leaving() bool { return s.leaving }

// Beat returns the number that orders what this daemon says about itself. It
// follows the wall clock, so that a restarted daemon continues above its
// predecessor's numbers.
func (s *State) Beat(now time.Time) uint64 {
	s.beat = max(s.beat+1, uint64(now.UnixMilli()))
	return s.beat
}

// Updates takes the updates to attach to the next message, the least often
// sent first.
func (s *State) Updates() []peer.MemberUpdate {
	if len(s.queue) == 0 {
		return nil
	}
	slices.SortStableFunc(s.queue, func(a, b *queued) int { return cmp.Compare(b.left, a.left) })
	n := min(s.opts.MaxUpdates, len(s.queue))
	updates := make([]peer.MemberUpdate, 0, n)
	for _, q := range s.queue[:n] {
		q.left--
		updates = append(updates, q.update)
	}
	s.queue = slices.DeleteFunc(s.queue, func(q *queued) bool { return q.left <= 0 })
	return updates
}

// enqueue adds an update, replacing an older one about the same VM. An urgent
// one is also pushed to a few members at once.
func (s *State) enqueue(u peer.MemberUpdate, urgent bool) {
	s.queue = slices.DeleteFunc(s.queue, func(q *queued) bool {
		return q.update.Incarnation.VM == u.Incarnation.VM
	})
	// A rumour reaches all of n members after about log2(n) rounds; each
	// holder passes it on a few times more than that.
	const spare = 3
	s.queue = append(s.queue, &queued{u, bits.Len(uint(len(s.members))) + spare})
	if urgent {
		s.pushes = s.opts.MaxPushes
	}
}

func (s *State) selfUpdate() peer.MemberUpdate {
	state := snapshot.MemberAlive
	if s.leaving {
		state = snapshot.MemberLeaving
	}
	s.beat++
	return peer.MemberUpdate{Incarnation: s.opts.Self.Incarnation, State: state, Beat: s.beat}
}

// Members returns the other daemons sorted by VM.
func (s *State) Members() []snapshot.Member {
	out := make([]snapshot.Member, 0, len(s.members))
	for _, m := range s.members {
		view := m.Member
		if m.listedLeaving {
			view.State = snapshot.MemberLeaving
		}
		out = append(out, view)
	}
	slices.SortFunc(out, func(a, b snapshot.Member) int {
		return cmp.Compare(a.Incarnation.VM, b.Incarnation.VM)
	})
	return out
}

// TakeChanged reports whether the members changed since the last call.
func (s *State) TakeChanged() bool {
	changed := s.changed
	s.changed = false
	return changed
}
