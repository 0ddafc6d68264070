package members

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/rendezvous"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// ConfirmationSource returns the daemon to ask how old the configuration may be: the one of
// the local data centre that asks others, or for that one its region's reader, so that the
// traffic between data centres does not grow with the number of daemons. With any, which
// says that these do not know, it is any live daemon. It returns false if there is none to
// ask, because this daemon reads the store or knows no other.
func (t *Table) ConfirmationSource(anyDaemon bool, now time.Time, rand route.Rand) (types.VMID, bool) {
	local, remote := t.splitByDataCentre(now)
	if anyDaemon {
		all := local
		for _, vms := range remote {
			all = append(all, vms...)
		}
		if len(all) == 0 {
			return "", false
		}
		return all[route.IntN(rand, len(all))], true
	}
	source := rendezvous.Top(delegateKey, append(local, t.self.VM), 1)[0]
	if source == t.self.VM {
		source = t.PrimaryReader(now)
	}
	return source, source != t.self.VM
}
