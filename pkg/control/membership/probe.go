package membership

import (
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/peer"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Targets returns the members to send a heartbeat to now: the next member of the round
// if the interval has passed, members whose last probe timed out, and a few more right
// after a new failure or leave.
func (s *State) Targets(now time.Time) []types.VMID {
	var targets []types.VMID
	for _, vm := range s.regionMembers() {
		m := s.members[vm]
		if m.probedAt.IsZero() || now.Sub(m.probedAt) < s.opts.ReplyTimeout {
			continue
		}
		s.recordMiss(now, m)
		if m.misses > 0 {
			targets = append(targets, vm)
		}
	}
	if !now.Before(s.nextHeartbeat) {
		s.nextHeartbeat = now.Add(s.opts.Interval)
		if vm, ok := s.nextInRound(); ok && !slices.Contains(targets, vm) {
			targets = append(targets, vm)
		}
	}
	targets = s.addPushes(targets)
	for _, vm := range targets {
		if m := s.members[vm]; m.probedAt.IsZero() {
			m.probedAt = now
		}
	}
	return targets
}

// recordMiss counts an unanswered probe. After MaxMisses consecutive ones it suspects
// the member, unless ResuspectDelay forbids it.
func (s *State) recordMiss(now time.Time, m *member) {
	if m.misses == 0 {
		m.silentSince = m.probedAt
	}
	m.probedAt = time.Time{}
	m.misses++
	if m.misses < s.opts.MaxMisses {
		return
	}
	m.misses = 0
	if m.State != snapshot.MemberAlive && m.State != snapshot.MemberListed {
		return
	}
	if now.Before(m.suspectNotBefore) {
		return
	}
	m.State, m.stateChangedAt = snapshot.MemberSuspect, now
	// The suspicion supersedes every message sent before the first unanswered probe.
	m.beat = max(m.beat, uint64(m.silentSince.UnixMilli()))
	m.suspectNotBefore = now.Add(s.opts.ResuspectDelay)
	s.changed = true
	if m.Incarnation.Boot != "" {
		s.enqueue(updateOf(m), true)
	}
}

// MarkUnreachable records that a message to the member failed. An outstanding probe of
// the member counts as unanswered at the next call of Targets.
func (s *State) MarkUnreachable(now time.Time, vm types.VMID) {
	m := s.members[vm]
	if m != nil && !m.probedAt.IsZero() {
		m.probedAt = now.Add(-s.opts.ReplyTimeout)
	}
}

// nextInRound returns the next member to probe. Each round visits the members of the
// region in a new random order, so this daemon probes every member once per round.
func (s *State) nextInRound() (types.VMID, bool) {
	for range 2 {
		for len(s.round) > 0 {
			vm := s.round[0]
			s.round = s.round[1:]
			if m := s.members[vm]; m != nil && m.State != snapshot.MemberLeaving && m.probedAt.IsZero() {
				return vm, true
			}
		}
		s.round = s.regionMembers()
		s.rng.Shuffle(len(s.round), func(i, j int) { s.round[i], s.round[j] = s.round[j], s.round[i] })
	}
	return "", false
}

func (s *State) addPushes(targets []types.VMID) []types.VMID {
	if s.pushes == 0 {
		return targets
	}
	for _, vm := range s.PickLive(s.pushes) {
		if !slices.Contains(targets, vm) {
			targets = append(targets, vm)
		}
	}
	s.pushes = 0
	return targets
}

// PickLive returns up to n random live members of the local region.
func (s *State) PickLive(n int) []types.VMID {
	live := slices.DeleteFunc(s.regionMembers(), func(vm types.VMID) bool { return !s.members[vm].live() })
	s.rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(n, len(live))]
}

// regionMembers returns the members of the local region, sorted.
func (s *State) regionMembers() []types.VMID {
	var out []types.VMID
	for vm, m := range s.members {
		if m.Region == s.opts.Self.Region {
			out = append(out, vm)
		}
	}
	slices.Sort(out)
	return out
}

// live reports whether the member is considered to be in service. A member known only
// from the VM list is considered live as well.
func (m *member) live() bool {
	return !m.listedLeaving && (m.State == snapshot.MemberAlive || m.State == snapshot.MemberListed)
}

// SuspicionOf returns this daemon's suspicion of a member, to be sent to the member
// itself so that it can refute it. It returns false if the member is not suspected or
// its incarnation is unknown.
func (s *State) SuspicionOf(vm types.VMID) (peer.MemberUpdate, bool) {
	m := s.members[vm]
	if m == nil || m.State != snapshot.MemberSuspect || m.Incarnation.Boot == "" {
		return peer.MemberUpdate{}, false
	}
	return updateOf(m), true
}
