// Package rendezvous ranks VMs for a key by highest random weight: each daemon
// that knows the same VMs finds the same order without talking to the others.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// Weight is the weight of a VM for a key; the largest one wins.
func Weight(key string, vm types.VMID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(vm))
	return d.Sum64()
}

// Top returns the n VMs with the largest weights, largest first. It returns
// fewer when there are fewer, and leaves vms as it was.
func Top(key string, vms []types.VMID, n int) []types.VMID {
	sorted := slices.Clone(vms)
	slices.SortFunc(sorted, func(a, b types.VMID) int {
		return cmp.Or(cmp.Compare(Weight(key, b), Weight(key, a)), cmp.Compare(a, b))
	})
	return sorted[:min(n, len(sorted))]
}
