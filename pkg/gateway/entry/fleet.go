package entry

import (
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// fleetSize returns the number of daemons among which this one divides what all of
// them may do together. Each data centre gets an equal part, whatever this daemon
// sees of the others: in a partition the daemons of each side may have restarted and
// know only each other. The number is not known while this daemon joins the others,
// or while it has seen none although its seeds name some.
func fleetSize(settings Settings, snap *control.Snapshot) (size int, known bool) {
	size = seenFleet(settings, snap)
	if snap.Joining || size == 0 {
		return 0, false
	}
	return size, true
}

// seenFleet returns the number of daemons as far as this one has seen them; zero while it
// has seen none although its seeds name some.
func seenFleet(settings Settings, snap *control.Snapshot) int {
	expectsOthers := slices.ContainsFunc(settings.Seeds, func(vm types.VMID) bool { return vm != settings.VM })
	if snap.Peak.Fleet <= 1 && expectsOthers {
		return 0
	}
	return max(settings.DataCentres*snap.Peak.DataCentre, snap.Peak.Fleet)
}

// settleTime is for how long a daemon that joins the others must have seen no further one
// until it divides quotas among those that it has seen. After a restart of the whole
// fleet no daemon has credit to give, and callers are refused until then.
const settleTime = 600 * time.Millisecond

// settledFleet is the number of daemons among which quotas are divided. It is too low for a
// few daemons that start cut off from the rest of their data centre.
type settledFleet struct {
	size  int
	since time.Time
}

// observe returns the number as of a snapshot; zero if it is not known.
func (f *settledFleet) observe(settings Settings, snap *control.Snapshot, now time.Time) int {
	seen := seenFleet(settings, snap)
	if seen != f.size {
		f.size, f.since = seen, now
	}
	if snap.Joining && now.Sub(f.since) < settleTime {
		return 0
	}
	return seen
}
