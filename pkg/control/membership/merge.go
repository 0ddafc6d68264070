package membership

import (
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/peer"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// HandleMessage takes a message of another daemon: what it says about itself and what
// it passes on about others.
func (s *State) HandleMessage(now time.Time, msg *peer.Message) {
	s.heardSender(now, msg)
	for _, u := range msg.Members {
		if u.Incarnation.VM == s.opts.Self.Incarnation.VM {
			s.heardAboutSelf(u)
			continue
		}
		s.merge(now, u)
	}
}

func (s *State) heardSender(now time.Time, msg *peer.Message) {
	m := s.members[msg.From.VM]
	if m == nil {
		return // the VM list names it later
	}
	state := snapshot.MemberAlive
	if msg.Leaving {
		state = snapshot.MemberLeaving
	}
	u := peer.MemberUpdate{Incarnation: msg.From, State: state, Beat: msg.Beat, Revision: msg.Revision}
	if !m.supersededBy(u) {
		return
	}
	m.probedAt, m.misses = time.Time{}, 0
	m.HeardAt = now
	s.merge(now, u)
}

// heardAboutSelf refutes a suspicion of this incarnation.
func (s *State) heardAboutSelf(u peer.MemberUpdate) {
	if u.Incarnation != s.opts.Self.Incarnation || u.State != snapshot.MemberSuspect {
		return
	}
	s.beat = max(s.beat, u.Beat)
	s.enqueue(s.selfUpdate(), true)
}

// merge applies an update if it is news, and passes it on when it changes the
// member's incarnation or state.
func (s *State) merge(now time.Time, u peer.MemberUpdate) {
	m := s.members[u.Incarnation.VM]
	if m == nil || !m.supersededBy(u) {
		return
	}
	if u.State == snapshot.MemberSuspect && m.Region != s.opts.Self.Region {
		return // each region judges its own members; see SetRemote
	}
	joined := m.Revision == 0 && u.Revision > 0
	isNews := m.Incarnation != u.Incarnation || m.State != u.State || joined
	urgent := isNews && (u.State == snapshot.MemberSuspect || u.State == snapshot.MemberLeaving)
	if m.State == snapshot.MemberSuspect && u.State == snapshot.MemberAlive {
		m.spareUntil = now.Add(s.opts.ResuspectDelay)
	}
	if m.Incarnation != u.Incarnation {
		m.spareUntil = time.Time{}
		m.misses = 0
		m.Revision = 0 // a restarted daemon begins with no configuration
	}
	m.Incarnation, m.State, m.beat = u.Incarnation, u.State, u.Beat
	m.Revision = max(m.Revision, u.Revision)
	if isNews {
		s.changed, m.stateAt = true, now
		if m.Region == s.opts.Self.Region || u.State == snapshot.MemberLeaving {
			s.enqueue(updateOf(m), urgent)
		}
	}
}

// supersededBy reports whether u is newer than what is known. Beats grow also
// over restarts of a VM, so a late message of an earlier incarnation is older.
// A leaving incarnation stays leaving.
func (m *member) supersededBy(u peer.MemberUpdate) bool {
	if u.Incarnation != m.Incarnation {
		return u.Beat > m.beat
	}
	if m.State == snapshot.MemberLeaving {
		return u.State == snapshot.MemberLeaving && u.Beat >= m.beat
	}
	if u.State == snapshot.MemberLeaving {
		return true
	}
	if u.Beat == m.beat {
		return severity[u.State] > severity[m.State]
	}
	return u.Beat > m.beat
}

// severity orders the states that two updates of the same beat name.
var severity = map[snapshot.MemberState]int{
	snapshot.MemberListed: 0, snapshot.MemberAlive: 1, snapshot.MemberSuspect: 2, snapshot.MemberLeaving: 3,
}

func updateOf(m *member) peer.MemberUpdate {
	return peer.MemberUpdate{Incarnation: m.Incarnation, State: m.State, Beat: m.beat, Revision: m.Revision}
}

// LocationOf says where a member is; false when the VM list does not name it.
func (s *State) LocationOf(vm types.VMID) (types.Region, types.DataCentre, bool) {
	m := s.members[vm]
	if m == nil {
		return "", "", false
	}
	return m.Region, m.DataCentre, true
}

// remoteGrace is how much younger than a leave a summary must be to say that the
// VM is back: the summary's author may not have heard of the leave at once.
const remoteGrace = 15 * time.Second

// ApplyRegionSummary takes what another region's summary says of its members: those in
// out leave or are suspected there, the others are in service.
func (s *State) ApplyRegionSummary(now time.Time, region types.Region, takenAt time.Time, out []types.VMID) {
	if region == s.opts.Self.Region {
		return
	}
	for vm, m := range s.members {
		if m.Region != region {
			continue
		}
		usable := m.State == snapshot.MemberAlive || m.State == snapshot.MemberListed
		switch isOut := slices.Contains(out, vm); {
		case isOut && usable:
			m.State, m.stateAt = snapshot.MemberSuspect, now
			s.changed = true
		case !isOut && !usable && takenAt.After(m.stateAt.Add(remoteGrace)):
			m.State, m.stateAt = snapshot.MemberListed, now
			m.Incarnation.Boot = ""
			s.changed = true
		}
	}
}
