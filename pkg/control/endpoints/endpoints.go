// Package endpoints keeps one daemon's view of the endpoints: the published VM
// list, load reports, and signs that an endpoint is leaving, whichever source
// reports it first.
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

// leavingSignTTL is how long a sign of leaving is valid while the VM list does not
// confirm it.
const leavingSignTTL = 5 * time.Minute

// maxSignsPerMessage limits the signs that one message carries.
const maxSignsPerMessage = 16

// Health provides the state of endpoints that are not leaving. It is called only
// from the control goroutine.
type Health interface {
	// StateOf returns EndpointReady, or EndpointEjected with a reason, and the
	// beginning of the endpoint's slow start (zero: full share).
	StateOf(id types.EndpointID, now time.Time) (state snapshot.EndpointState, reason string, rampStart time.Time)
}

// State is the endpoint view of one daemon.
type State struct {
	vms          map[types.EndpointID]platform.VM
	loads        map[types.EndpointID]snapshot.Load
	counters     map[types.EndpointID]*snapshot.Counters
	leavingSigns map[types.EndpointID]time.Time // when the sign was seen
	queue        []queuedSign
	changed      bool
}

// queuedSign is a sign with the number of messages that still have to carry it.
type queuedSign struct {
	sign      peer.EndpointLeaving
	sendsLeft int
}

// New returns an empty view.
func New() *State {
	return &State{
		vms:          map[types.EndpointID]platform.VM{},
		loads:        map[types.EndpointID]snapshot.Load{},
		counters:     map[types.EndpointID]*snapshot.Counters{},
		leavingSigns: map[types.EndpointID]time.Time{},
	}
}

// SetList replaces the VM list. It drops the counters, load report and sign of
// leaving of endpoints that are no longer listed.
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
	unlisted := func(id types.EndpointID) bool { _, ok := listed[id]; return !ok }
	maps.DeleteFunc(s.counters, func(id types.EndpointID, _ *snapshot.Counters) bool { return unlisted(id) })
	maps.DeleteFunc(s.loads, func(id types.EndpointID, _ snapshot.Load) bool { return unlisted(id) })
	maps.DeleteFunc(s.leavingSigns, func(id types.EndpointID, _ time.Time) bool { return unlisted(id) })
	s.vms, s.changed = listed, true
}

// Listed reports whether the VM list contains the endpoint.
func (s *State) Listed(id types.EndpointID) bool {
	_, listed := s.vms[id]
	return listed
}

// SetLoad stores a load report. It ignores reports that are not newer than the last
// one and reports of endpoints that are not listed.
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

// MarkLeaving records a sign that the endpoint is leaving, seen by this daemon or a
// peer. It reports whether the sign is new; it ignores expired signs and those of
// endpoints that are not listed.
func (s *State) MarkLeaving(now, seenAt time.Time, id types.EndpointID) bool {
	vm, listed := s.vms[id]
	if !listed || now.Sub(seenAt) > leavingSignTTL {
		return false
	}
	if _, known := s.leavingSigns[id]; known {
		return false
	}
	s.leavingSigns[id] = seenAt
	s.changed = true
	if !vm.Leaving {
		const sendsPerSign = 10
		s.queue = append(s.queue, queuedSign{peer.EndpointLeaving{Endpoint: id, SeenAt: seenAt.Round(0)}, sendsPerSign})
	}
	return true
}

// NextGossip returns the signs to attach to the next message.
func (s *State) NextGossip() []peer.EndpointLeaving {
	var batch []peer.EndpointLeaving
	for i := range s.queue[:min(maxSignsPerMessage, len(s.queue))] {
		s.queue[i].sendsLeft--
		batch = append(batch, s.queue[i].sign)
	}
	s.queue = slices.DeleteFunc(s.queue, func(queued queuedSign) bool { return queued.sendsLeft <= 0 })
	return batch
}

// Expire drops signs that are older than leavingSignTTL.
func (s *State) Expire(now time.Time) {
	maps.DeleteFunc(s.leavingSigns, func(_ types.EndpointID, seenAt time.Time) bool {
		expired := now.Sub(seenAt) > leavingSignTTL
		s.changed = s.changed || expired
		return expired
	})
}

// TakeChanged reports whether the view changed since the last call.
func (s *State) TakeChanged() bool {
	changed := s.changed
	s.changed = false
	return changed
}

// View returns the endpoints of each service, sorted by ID. health may be nil.
func (s *State) View(now time.Time, health Health) map[types.ServiceName][]*snapshot.Endpoint {
	view := map[types.ServiceName][]*snapshot.Endpoint{}
	for id, vm := range s.vms {
		ep := &snapshot.Endpoint{
			ID: id, Address: vm.Address, Region: vm.Region, DataCentre: vm.DataCentre,
			Service: vm.Service, Version: vm.Version, Slots: vm.Slots,
			Load: s.loads[id], Counters: s.counters[id], Hash: score.HashEndpoint(id),
		}
		s.setState(ep, &vm, now, health)
		view[vm.Service] = append(view[vm.Service], ep)
	}
	for _, list := range view {
		slices.SortFunc(list, func(a, b *snapshot.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	return view
}

func (s *State) setState(ep *snapshot.Endpoint, vm *platform.VM, now time.Time, health Health) {
	if vm.Leaving {
		ep.State, ep.Reason = snapshot.EndpointLeaving, "the VM list says that it leaves"
		return
	}
	if _, ok := s.leavingSigns[ep.ID]; ok {
		ep.State, ep.Reason = snapshot.EndpointLeaving, "the endpoint said that it leaves"
		return
	}
	if health != nil {
		ep.State, ep.Reason, ep.SlowStartAt = health.StateOf(ep.ID, now)
	}
}
