package entry

import (
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// maxEntries bounds the number of addresses that a caller gets.
const maxEntries = 64

// minLocalDaemons is the least number of serving daemons in a data centre for its
// callers to get only those: with fewer, the loss of one daemon would leave the
// callers without any.
const minLocalDaemons = 2

// Entries returns the addresses that a caller in a data centre should use for a
// host: those of the serving daemons of the data centre; if it has too few, of its
// region; if the region has none, of the regions that the host's routes allow; and
// otherwise of all serving daemons.
func Entries(snap *control.Snapshot, host string, region types.Region, dc types.DataCentre) []string {
	regional := snap.InRegion(region)
	if local := inDataCentre(regional, dc); len(local) >= minLocalDaemons {
		return addresses(local)
	}
	if len(regional) > 0 {
		return addresses(regional)
	}
	var allowed, all []members.Member
	for _, member := range serving(snap) {
		all = append(all, member)
		if allowedBy(snap, host, member.Region) {
			allowed = append(allowed, member)
		}
	}
	if len(allowed) > 0 {
		return addresses(allowed)
	}
	return addresses(all)
}

func inDataCentre(daemons []members.Member, dc types.DataCentre) []members.Member {
	var local []members.Member
	for _, member := range daemons {
		if member.DataCentre == dc {
			local = append(local, member)
		}
	}
	return local
}

// serving returns all serving daemons, including this one.
func serving(snap *control.Snapshot) []members.Member {
	var daemons []members.Member
	if snap.Self.State == members.Serving {
		daemons = append(daemons, snap.Self)
	}
	for _, member := range snap.Members {
		if member.State == members.Serving {
			daemons = append(daemons, member)
		}
	}
	return daemons
}

func allowedBy(snap *control.Snapshot, host string, region types.Region) bool {
	if snap.View.Config == nil {
		return true
	}
	regions := snap.View.Config.AllowedRegionsOf(host)
	if regions == nil {
		return true
	}
	for _, allowed := range regions {
		if allowed == region {
			return true
		}
	}
	return false
}

func addresses(daemons []members.Member) []string {
	list := make([]string, 0, min(len(daemons), maxEntries))
	for _, member := range daemons {
		if len(list) == maxEntries {
			break
		}
		list = append(list, member.CallerAddress)
	}
	return list
}
