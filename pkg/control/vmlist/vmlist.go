// Package vmlist keeps the newest reading of the platform's VM list and passes
// its changes between daemons, so that only a few of them read the whole list.
package vmlist

import (
	"cmp"
	"maps"
	"reflect"
	"slices"

	"github.com/flamingomount/flamingomount/pkg/peer"
	"github.com/flamingomount/flamingomount/pkg/platform"
)

// maxHistory bounds the changes kept to bring peers up to date.
const maxHistory = 16

// State is the list as one daemon holds it.
type State struct {
	listing *platform.VMListing
	history []peer.ListChange
}

// Version returns the version of the held list; zero when none is held.
func (s *State) Version() uint64 {
	if s.listing == nil {
		return 0
	}
	return s.listing.Version
}

// Listing returns the held list; nil when none is held.
func (s *State) Listing() *platform.VMListing { return s.listing }

// Set takes a reading of the list. It returns true when it is newer than what
// is held; an older or equal one is ignored.
func (s *State) Set(listing *platform.VMListing) bool {
	if listing == nil || (s.listing != nil && listing.Version <= s.listing.Version) {
		return false
	}
	sorted := &platform.VMListing{Version: listing.Version, VMs: slices.Clone(listing.VMs)}
	slices.SortFunc(sorted.VMs, func(a, b platform.VM) int { return cmp.Compare(a.Key(), b.Key()) })
	if s.listing != nil {
		s.remember(difference(s.listing, sorted))
	}
	s.listing = sorted
	return true
}

// Apply takes a change. It returns false when it does not lead on from what is
// held; the whole list has to be asked for then if the change is newer.
func (s *State) Apply(change *peer.ListChange) bool {
	if change == nil || s.listing == nil || change.From != s.listing.Version || change.To <= change.From {
		return false
	}
	vms := make(map[platform.VMKey]platform.VM, len(s.listing.VMs))
	for _, vm := range s.listing.VMs {
		vms[vm.Key()] = vm
	}
	for _, vm := range change.Set {
		vms[vm.Key()] = vm
	}
	for _, key := range change.Removed {
		delete(vms, key)
	}
	next := &platform.VMListing{Version: change.To, VMs: make([]platform.VM, 0, len(vms))}
	for _, key := range slices.Sorted(maps.Keys(vms)) {
		next.VMs = append(next.VMs, vms[key])
	}
	s.listing = next
	s.remember(*change)
	return true
}

// LatestChange returns the change that led to the held list; nil when none is known.
func (s *State) LatestChange() *peer.ListChange {
	if len(s.history) == 0 {
		return nil
	}
	return &s.history[len(s.history)-1]
}

func (s *State) remember(change peer.ListChange) {
	s.history = append(s.history, change)
	if len(s.history) > maxHistory {
		s.history = s.history[1:]
	}
}

// ChangesSince returns what brings a peer from a version to the held one: a change
// when the history reaches back that far, else the whole list. Both are nil
// when the peer is not behind.
func (s *State) ChangesSince(version uint64) (*peer.ListChange, *platform.VMListing) {
	if s.listing == nil || version >= s.listing.Version {
		return nil, nil
	}
	for i := range s.history {
		if s.history[i].From == version {
			return merge(s.history[i:]), nil
		}
	}
	return nil, s.listing
}

// merge joins consecutive changes into one.
func merge(changes []peer.ListChange) *peer.ListChange {
	if len(changes) == 1 {
		return &changes[0]
	}
	set := map[platform.VMKey]platform.VM{}
	removed := map[platform.VMKey]bool{}
	for i := range changes {
		for _, vm := range changes[i].Set {
			set[vm.Key()] = vm
			delete(removed, vm.Key())
		}
		for _, key := range changes[i].Removed {
			delete(set, key)
			removed[key] = true
		}
	}
	out := &peer.ListChange{From: changes[0].From, To: changes[len(changes)-1].To}
	for _, key := range slices.Sorted(maps.Keys(set)) {
		out.Set = append(out.Set, set[key])
	}
	out.Removed = slices.Sorted(maps.Keys(removed))
	return out
}

// difference leads from one sorted list to another one.
func difference(before, after *platform.VMListing) peer.ListChange {
	change := peer.ListChange{From: before.Version, To: after.Version}
	old := make(map[platform.VMKey]*platform.VM, len(before.VMs))
	for i := range before.VMs {
		old[before.VMs[i].Key()] = &before.VMs[i]
	}
	for _, vm := range after.VMs {
		was := old[vm.Key()]
		if was == nil || !reflect.DeepEqual(*was, vm) {
			change.Set = append(change.Set, vm)
		}
		delete(old, vm.Key())
	}
	change.Removed = slices.Sorted(maps.Keys(old))
	return change
}
