// Package vmlist keeps the latest version of the platform's VM list and computes the
// changes that daemons exchange, so that only a few of them read the whole list.
package vmlist

import (
	"cmp"
	"maps"
	"reflect"
	"slices"

	"github.com/flamingomount/flamingomount/pkg/peer"
	"github.com/flamingomount/flamingomount/pkg/platform"
)

// maxHistory bounds the number of changes kept for updating peers.
const maxHistory = 16

// State is one daemon's copy of the list.
type State struct {
	listing *platform.VMListing
	history []peer.ListChange
}

// Version returns the version of the current list; zero if there is none.
func (s *State) Version() uint64 {
	if s.listing == nil {
		return 0
	}
	return s.listing.Version
}

// Listing returns the current list; nil if there is none.
func (s *State) Listing() *platform.VMListing { return s.listing }

// Set replaces the list by a newer version and returns true. It ignores nil and any
// version that is not newer, and returns false.
func (s *State) Set(listing *platform.VMListing) bool {
	if listing == nil || (s.listing != nil && listing.Version <= s.listing.Version) {
		return false
	}
	sorted := &platform.VMListing{Version: listing.Version, VMs: slices.Clone(listing.VMs)}
	slices.SortFunc(sorted.VMs, func(a, b platform.VM) int { return cmp.Compare(a.Key(), b.Key()) })
	if s.listing != nil {
		s.appendHistory(diff(s.listing, sorted))
	}
	s.listing = sorted
	return true
}

// Apply applies a change to the current list. It returns false if the change does not
// start from the current version; if the change is newer, the caller must then request
// the list from a peer.
func (s *State) Apply(change *peer.ListChange) bool {
	if change == nil || s.listing == nil || change.From != s.listing.Version || change.To <= change.From {
		return false
	}
	vms := make(map[platform.VMKey]platform.VM, len(s.listing.VMs))
	for _, vm := range s.listing.VMs {
		vms[vm.Key()] = vm
	}
	for _, vm := range change.Updated {
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
	s.appendHistory(*change)
	return true
}

// LatestChange returns the change that led to the current list; nil if none is known.
func (s *State) LatestChange() *peer.ListChange {
	if len(s.history) == 0 {
		return nil
	}
	return &s.history[len(s.history)-1]
}

func (s *State) appendHistory(change peer.ListChange) {
	s.history = append(s.history, change)
	if len(s.history) > maxHistory {
		s.history = s.history[1:]
	}
}

// ChangesSince returns what a peer with the given version needs to reach the current
// one: a change if the history reaches back that far, otherwise the whole list. Both
// are nil if the peer is up to date.
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

// merge combines consecutive changes into one.
func merge(changes []peer.ListChange) *peer.ListChange {
	if len(changes) == 1 {
		return &changes[0]
	}
	set := map[platform.VMKey]platform.VM{}
	removed := map[platform.VMKey]bool{}
	for i := range changes {
		for _, vm := range changes[i].Updated {
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
		out.Updated = append(out.Updated, set[key])
	}
	out.Removed = slices.Sorted(maps.Keys(removed))
	return out
}

// diff returns the change from one sorted list to another.
func diff(before, after *platform.VMListing) peer.ListChange {
	change := peer.ListChange{From: before.Version, To: after.Version}
	old := make(map[platform.VMKey]*platform.VM, len(before.VMs))
	for i := range before.VMs {
		old[before.VMs[i].Key()] = &before.VMs[i]
	}
	for _, vm := range after.VMs {
		previous := old[vm.Key()]
		if previous == nil || !reflect.DeepEqual(*previous, vm) {
			change.Updated = append(change.Updated, vm)
		}
		delete(old, vm.Key())
	}
	change.Removed = slices.Sorted(maps.Keys(old))
	return change
}
