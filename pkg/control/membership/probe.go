package membership

import (
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/peer"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Targets returns the members to send a heartbeat to now: the next one of the
// round when its time has come, members whose last probe went unanswered, and a
// few more while a failure or a leave is fresh.
func (s *State) Targets(now time.Time) []types.VMID {
	var targets []types.VMID
	for _, vm := range s.region() {
		m := s.members[vm]
		if m.probedAt.IsZero() || now.Sub(m.probedAt) < s.opts.ReplyTimeout {
			continue
		}
		s.missed(now, m)
		if m.misses > 0 {
			targets = append(targets, vm)
		}
	}
	if !now.Before(s.next) {
		s.next = now.Add(s.opts.Interval)
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

// missed counts an unanswered probe and suspects the member after enough.
func (s *State) missed(now time.Time, m *member) {
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
	if now.Before(m.spareUntil) {
		return
	}
	m.State, m.stateAt = snapshot.MemberSuspect, now
	// The suspicion holds against all that was heard before the silence.
	m.beat = max(m.beat, uint64(m.silentSince.UnixMilli()))
	m.spareUntil = now.Add(s.opts.ResuspectDelay)
	s.changed = true
	if m.Incarnation.Boot != "" {
		s.enqueue(updateOf(m), true)
	}
}

// MarkUnreachable tells that a message to the member got no answer. Its probe counts as
// unanswered at the next call of Targets.
func (s *State) MarkUnreachable(now time.Time, vm types.VMID) {
	m := s.members[vm]
	if m != nil && !m.probedAt.IsZero() {
		m.probedAt = now.Add(-s.opts.ReplyTimeout)
	}
}

// nextInRound walks the region in a new random order each round, so that every
// member is probed by this daemon once a round.
func (s *State) nextInRound() (types.VMID, bool) {
	for range 2 {
		for len(s.round) > 0 {
			vm := s.round[0]
			s.round = s.round[1:]
			if m := s.members[vm]; m != nil && m.State != snapshot.MemberLeaving && m.probedAt.IsZero() {
				return vm, true
			}
		}
		s.round = s.region()
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

// PickLive draws up to n live members of the own region.
func (s *State) PickLive(n int) []types.VMID {
	live := slices.DeleteFunc(s.region(), func(vm types.VMID) bool { return !s.members[vm].live() })
	s.rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(n, len(live))]
}

// region lists the members of the own region, sorted.
func (s *State) region() []types.VMID {
	var out []types.VMID
	for vm, m := range s.members {
		if m.Region == s.opts.Self.Region {
			out = append(out, vm)
		}
	}
	slices.Sort(out)
	return out
}

// live reports whether the member may be given something to do. A member that
// was only listed may well be alive.
func (m *member) live() bool {
	return !m.listedLeaving && (m.State == snapshot.MemberAlive || m.State == snapshot.MemberListed)
}

// SuspicionOf returns what this daemon believes of a suspected member, to be told to
// that member itself so that it can refute it.
func (s *State) SuspicionOf(vm types.VMID) (peer.MemberUpdate, bool) {
	m := s.members[vm]
	if m == nil || m.State != snapshot.MemberSuspect || m.Incarnation.Boot == "" {
		return peer.MemberUpdate{}, false
	}
	return updateOf(m), true
}
