package membership

import (
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/peer"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// HandleMessage applies a message from another daemon: what it states about its sender
// and the updates about other members.
func (s *State) HandleMessage(now time.Time, msg *peer.Message) {
	s.mergeSender(now, msg)
	for _, u := range msg.Members {
		if u.Incarnation.VM == s.opts.Self.Incarnation.VM {
			s.refuteSuspicion(u)
			continue
		}
		s.merge(now, u)
	}
}

func (s *State) mergeSender(now time.Time, msg *peer.Message) {
	m := s.members[msg.From.VM]
	if m == nil {
		return // unknown until a later VM list names it
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

// refuteSuspicion announces that this daemon is alive or leaving if the update suspects
// its current incarnation. It ignores every other update.
func (s *State) refuteSuspicion(u peer.MemberUpdate) {
	if u.Incarnation != s.opts.Self.Incarnation || u.State != snapshot.MemberSuspect {
		return
	}
	s.beat = max(s.beat, u.Beat)
	s.enqueue(s.selfUpdate(), true)
}

// merge applies an update if it is newer than the known state. It gossips the update
// if the incarnation or the state changes or the member gets its first configuration,
// and the member is in the local region or leaving.
func (s *State) merge(now time.Time, u peer.MemberUpdate) {
	m := s.members[u.Incarnation.VM]
	if m == nil || !m.supersededBy(u) {
		return
	}
	if u.State == snapshot.MemberSuspect && m.Region != s.opts.Self.Region {
		return // only a region itself suspects its members; see ApplyRegionSummary
	}
	joined := m.Revision == 0 && u.Revision > 0
	isChange := m.Incarnation != u.Incarnation || m.State != u.State || joined
	urgent := isChange && (u.State == snapshot.MemberSuspect || u.State == snapshot.MemberLeaving)
	if m.State == snapshot.MemberSuspect && u.State == snapshot.MemberAlive {
		m.suspectNotBefore = now.Add(s.opts.ResuspectDelay)
	}
	if m.Incarnation != u.Incarnation {
		m.suspectNotBefore = time.Time{}
		m.misses = 0
		m.Revision = 0 // a restarted daemon has no configuration yet
	}
	m.Incarnation, m.State, m.beat = u.Incarnation, u.State, u.Beat
	m.Revision = max(m.Revision, u.Revision)
	if isChange {
		s.changed, m.stateChangedAt = true, now
		if m.Region == s.opts.Self.Region || u.State == snapshot.MemberLeaving {
			s.enqueue(updateOf(m), urgent)
		}
	}
}

// supersededBy reports whether u is newer than the known state of the member. Beats
// also increase across restarts of a daemon, so a late message from an earlier
// incarnation has a lower one. A leaving incarnation stays leaving.
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

// severity decides between two updates with the same beat: the higher one wins.
var severity = map[snapshot.MemberState]int{
	snapshot.MemberListed: 0, snapshot.MemberAlive: 1, snapshot.MemberSuspect: 2, snapshot.MemberLeaving: 3,
}

func updateOf(m *member) peer.MemberUpdate {
	return peer.MemberUpdate{Incarnation: m.Incarnation, State: m.State, Beat: m.beat, Revision: m.Revision}
}

// LocationOf returns the region and the data centre of a member. It returns false if
// the VM list does not name the VM.
func (s *State) LocationOf(vm types.VMID) (types.Region, types.DataCentre, bool) {
	m := s.members[vm]
	if m == nil {
		return "", "", false
	}
	return m.Region, m.DataCentre, true
}

// remoteGrace is how much later than a leave or a suspicion a summary must be taken to
// count as evidence that the VM is back. The daemon that made the summary may have
// learned of the leave with a delay.
const remoteGrace = 15 * time.Second

// ApplyRegionSummary applies the summary of another region to that region's members.
// Those listed in unavailable are leaving or suspected there; all others are in service.
func (s *State) ApplyRegionSummary(now time.Time, region types.Region, takenAt time.Time, unavailable []types.VMID) {
	if region == s.opts.Self.Region {
		return
	}
	for vm, m := range s.members {
		if m.Region != region {
			continue
		}
		available := m.State == snapshot.MemberAlive || m.State == snapshot.MemberListed
		switch isUnavailable := slices.Contains(unavailable, vm); {
		case isUnavailable && available:
			m.State, m.stateChangedAt = snapshot.MemberSuspect, now
			s.changed = true
		case !isUnavailable && !available && takenAt.After(m.stateChangedAt.Add(remoteGrace)):
			m.State, m.stateChangedAt = snapshot.MemberListed, now
			m.Incarnation.Boot = ""
			s.changed = true
		}
	}
}
