package entry

import (
	"slices"

	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// expectedFleet returns what the settings tell of the other daemons.
func expectedFleet(settings Settings) members.Expected {
	others := slices.ContainsFunc(settings.Seeds, func(vm types.VMID) bool { return vm != settings.VM })
	return members.Expected{Others: others, DataCentres: settings.DataCentres, Daemons: settings.Daemons}
}

// budgetDaemons returns the number of daemons among which retry budgets are divided; zero if
// it is not known yet.
func budgetDaemons(size members.SharedSize) int {
	if !size.Joined {
		return 0
	}
	return size.Daemons
}
