// Package rendezvous ranks VMs for a key by rendezvous hashing (highest random
// weight): all daemons that know the same VMs compute the same order without
// exchanging messages.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// Weight returns the weight of a VM for a key. The VM with the largest weight
// ranks first.
func Weight(key string, vm types.VMID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(vm))
	return d.Sum64()
}

// Top returns the n VMs with the largest weights for the key, largest first, or
// all VMs if there are fewer than n. It does not modify vms.
func Top(key string, vms []types.VMID, n int) []types.VMID {
	sorted := slices.Clone(vms)
	slices.SortFunc(sorted, func(a, b types.VMID) int {
		return cmp.Or(cmp.Compare(Weight(key, b), Weight(key, a)), cmp.Compare(a, b))
	})
	return sorted[:min(n, len(sorted))]
}
