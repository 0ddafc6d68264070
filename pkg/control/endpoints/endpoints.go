// Package endpoints keeps the view of the back ends: the published VM list,
// their load reports and the earliest sign that one of them leaves.
package endpoints

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/peer"
	"github.com/flamingomount/flamingomount/pkg/platform"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/score"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// signLifetime is how long a sign of leaving holds against a VM list that does
// not confirm it.
const signLifetime = 5 * time.Minute

// maxFresh bounds the signs that one message passes on.
const maxFresh = 16

// Health tells what is wrong with an endpoint apart from leaving. An
// implementation is called by the control goroutine only.
type Health interface {
	// StateOf returns EndpointReady, or EndpointEjected with a reason, and since
	// when the endpoint ramps up again (zero: full share).
	StateOf(id types.EndpointID, now time.Time) (state snapshot.EndpointState, reason string, rampStart time.Time)
}

// State is the endpoint view of one daemon.
type State struct {
	vms      map[types.EndpointID]platform.VM
	loads    map[types.EndpointID]snapshot.Load
	counters map[types.EndpointID]*snapshot.Counters
	signs    map[types.EndpointID]time.Time // when a sign of leaving was seen
	fresh    []freshSign
	changed  bool
}

// freshSign is a sign that still has to be passed on.
type freshSign struct {
	sign peer.EndpointSign
	left int
}

// New returns an empty view.
func New() *State {
	return &State{
		vms:      map[types.EndpointID]platform.VM{},
		loads:    map[types.EndpointID]snapshot.Load{},
		counters: map[types.EndpointID]*snapshot.Counters{},
		signs:    map[types.EndpointID]time.Time{},
	}
}

// SetList takes a reading of the VM list. Counters of an endpoint live as long
// as it is listed.
func (s *State) SetList(listing *platform.VMListing) {
	listed := make(map[types.EndpointID]platform.VM, len(s.vms))
	for i := range listing.VMs {
		vm := listing.VMs[i]
		if vm.Role != platform.RoleEndpoint || vm.Endpoint == "" {
			continue
		}
		listed[vm.Endpoint] = vm
		if s.counters[vm.Endpoint] == nil {
			s.counters[vm.Endpoint] = &snapshot.Counters{}
		}
	}
	gone := func(id types.EndpointID) bool { _, ok := listed[id]; return !ok }
	maps.DeleteFunc(s.counters, func(id types.EndpointID, _ *snapshot.Counters) bool { return gone(id) })
	maps.DeleteFunc(s.loads, func(id types.EndpointID, _ snapshot.Load) bool { return gone(id) })
	maps.DeleteFunc(s.signs, func(id types.EndpointID, _ time.Time) bool { return gone(id) })
	s.vms, s.changed = listed, true
}

// Listed reports whether the VM list holds the endpoint.
func (s *State) Listed(id types.EndpointID) bool {
	_, listed := s.vms[id]
	return listed
}

// SetLoad takes a load report; one that is older than the last is ignored.
func (s *State) SetLoad(id types.EndpointID, load snapshot.Load) {
	if _, listed := s.vms[id]; !listed || !load.TakenAt.After(s.loads[id].TakenAt) {
		return
	}
	s.loads[id] = load
	counters := s.counters[id]
	counters.SentAtReport.Store(counters.Sent.Load())
	counters.DoneAtReport.Store(counters.Done.Load())
	s.changed = true
}

// MarkLeaving takes a sign that the endpoint leaves, seen here or by a peer.
// It returns true when it is news.
func (s *State) MarkLeaving(now, seenAt time.Time, id types.EndpointID) bool {
	vm, listed := s.vms[id]
	if !listed || now.Sub(seenAt) > signLifetime {
		return false
	}
	if _, known := s.signs[id]; known {
		return false
	}
	s.signs[id] = seenAt
	s.changed = true
	if !vm.Leaving {
		const copies = 10
		s.fresh = append(s.fresh, freshSign{peer.EndpointSign{Endpoint: id, SeenAt: seenAt.Round(0)}, copies})
	}
	return true
}

// NextGossip returns the signs to attach to the next message.
func (s *State) NextGossip() []peer.EndpointSign {
	var out []peer.EndpointSign
	for i := range s.fresh[:min(maxFresh, len(s.fresh))] {
		s.fresh[i].left--
		out = append(out, s.fresh[i].sign)
	}
	s.fresh = slices.DeleteFunc(s.fresh, func(f freshSign) bool { return f.left <= 0 })
	return out
}

// Expire drops signs that the VM list has not confirmed for long.
func (s *State) Expire(now time.Time) {
	maps.DeleteFunc(s.signs, func(_ types.EndpointID, seenAt time.Time) bool {
		old := now.Sub(seenAt) > signLifetime
		s.changed = s.changed || old
		return old
	})
}

// TakeChanged reports whether the view changed since the last call.
func (s *State) TakeChanged() bool {
	changed := s.changed
	s.changed = false
	return changed
}

// View builds the endpoints of each service, sorted by ID. Health may be nil.
func (s *State) View(now time.Time, health Health) map[types.ServiceName][]*snapshot.Endpoint {
	view := map[types.ServiceName][]*snapshot.Endpoint{}
	for id, vm := range s.vms {
		e := &snapshot.Endpoint{
			ID: id, Address: vm.Address, Region: vm.Region, DataCentre: vm.DataCentre,
			Service: vm.Service, Version: vm.Version, Slots: vm.Slots,
			Load: s.loads[id], Counters: s.counters[id], Hash: score.HashEndpoint(id),
		}
		s.setState(e, &vm, now, health)
		view[vm.Service] = append(view[vm.Service], e)
	}
	for _, list := range view {
		slices.SortFunc(list, func(a, b *snapshot.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	return view
}

func (s *State) setState(e *snapshot.Endpoint, vm *platform.VM, now time.Time, health Health) {
	if vm.Leaving {
		e.State, e.Reason = snapshot.EndpointLeaving, "the VM list says that it leaves"
		return
	}
	if _, ok := s.signs[e.ID]; ok {
		e.State, e.Reason = snapshot.EndpointLeaving, "the endpoint said that it leaves"
		return
	}
	if health != nil {
		e.State, e.Reason, e.RampStart = health.StateOf(e.ID, now)
	}
}
