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
	opts          Options
	rng           *rand.Rand
	members       map[types.VMID]*member
	queue         []*queuedUpdate
	round         []types.VMID // the members not yet probed in this round
	nextHeartbeat time.Time    // when the next regular heartbeat is due
	pushes        int          // extra messages to send for the latest urgent update
	beat          uint64
	leaving       bool
	changed       bool
}

// member is what is known about one other VM.
type member struct {
	snapshot.Member
	beat uint64
	// probedAt is when the outstanding probe was sent; zero if there is none.
	probedAt time.Time
	// silentSince is when the first of the consecutive unanswered probes was sent.
	silentSince time.Time
	misses      int
	// suspectNotBefore is the earliest time at which this daemon may suspect the
	// member again.
	suspectNotBefore time.Time
	// stateChangedAt is when State last changed.
	stateChangedAt time.Time
	// listedLeaving is true if the VM list marks the VM as leaving.
	listedLeaving bool
}

// queuedUpdate is an update that is to be attached to sendsLeft more messages.
type queuedUpdate struct {
	update    peer.MemberUpdate
	sendsLeft int
}

// New returns a membership that knows no other member.
func New(opts Options, rng *rand.Rand, now time.Time) *State {
	opts = opts.withDefaults()
	s := &State{opts: opts, rng: rng, members: map[types.VMID]*member{}}
	s.nextHeartbeat = now.Add(time.Duration(rng.Int64N(int64(opts.Interval))))
	return s
}

// SetList applies a VM list that was read from the platform. Members that it does not
// name are removed.
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

// Leave makes this daemon announce that it is leaving.
func (s *State) Leave() {
	s.leaving = true
	s.enqueue(s.selfUpdate(), true)
}

// Leaving reports whether this daemon has announced that it is leaving.
func (s *State) Leaving() bool { return s.leaving }

// Beat returns the next sequence number, which orders this daemon's statements about
// itself. It is at least the wall clock in Unix milliseconds, so that a restarted daemon
// continues above the numbers of its previous incarnation.
func (s *State) Beat(now time.Time) uint64 {
	s.beat = max(s.beat+1, uint64(now.UnixMilli()))
	return s.beat
}

// Updates returns up to MaxUpdates updates to attach to the next message, those with
// the most sends left first, and counts them as sent.
func (s *State) Updates() []peer.MemberUpdate {
	if len(s.queue) == 0 {
		return nil
	}
	slices.SortStableFunc(s.queue, func(a, b *queuedUpdate) int { return cmp.Compare(b.sendsLeft, a.sendsLeft) })
	n := min(s.opts.MaxUpdates, len(s.queue))
	updates := make([]peer.MemberUpdate, 0, n)
	for _, q := range s.queue[:n] {
		q.sendsLeft--
		updates = append(updates, q.update)
	}
	s.queue = slices.DeleteFunc(s.queue, func(q *queuedUpdate) bool { return q.sendsLeft <= 0 })
	return updates
}

// enqueue adds an update and replaces any queued one about the same VM. An urgent
// update is also pushed to a few members at the next call of Targets.
func (s *State) enqueue(u peer.MemberUpdate, urgent bool) {
	s.queue = slices.DeleteFunc(s.queue, func(q *queuedUpdate) bool {
		return q.update.Incarnation.VM == u.Incarnation.VM
	})
	// A gossiped update reaches all n members after about log2(n) rounds. Each
	// member sends it a few more times than that.
	const extraSends = 3
	s.queue = append(s.queue, &queuedUpdate{u, bits.Len(uint(len(s.members))) + extraSends})
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

// Members returns the other daemons, sorted by VM.
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
