package entry

import (
	"slices"

	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// fleetSize returns the number of daemons among which this one divides what all of
// them may do together. Each data centre gets an equal part, whatever this daemon
// sees of the others: in a partition the daemons of each side may have restarted and
// know only each other. The number is not known while this daemon joins the others,
// or while it has seen none although its seeds name some.
func fleetSize(settings Settings, snap *control.Snapshot) (size int, known bool) {
	expectsOthers := slices.ContainsFunc(settings.Seeds, func(vm types.VMID) bool { return vm != settings.VM })
	if snap.Joining || snap.Peak.Fleet <= 1 && expectsOthers {
		return 0, false
	}
	return max(settings.DataCentres*snap.Peak.DataCentre, snap.Peak.Fleet), true
}
