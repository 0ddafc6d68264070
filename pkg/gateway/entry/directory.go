package entry

import (
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// maxEntries bounds the entries that a caller is told.
const maxEntries = 64

// minInside is the least number of serving daemons for a data centre to be
// left to itself: with fewer, the loss of one would turn its callers away.
const minInside = 2

// Entries returns the addresses that a caller in a data centre should use for a
// host: the serving daemons there; when there are few, those of its region; when
// there are none, those of regions that the host's routes may enter, and else
// any.
func Entries(snap *control.Snapshot, host string, region types.Region, dc types.DataCentre) []string {
	near := snap.InRegion(region)
	if inside := inDataCentre(near, dc); len(inside) >= minInside {
		return addresses(inside)
	}
	if len(near) > 0 {
		return addresses(near)
	}
	var homes, all []members.Member
	for _, member := range serving(snap) {
		all = append(all, member)
		if allowedBy(snap, host, member.Region) {
			homes = append(homes, member)
		}
	}
	if len(homes) > 0 {
		return addresses(homes)
	}
	return addresses(all)
}

func inDataCentre(found []members.Member, dc types.DataCentre) []members.Member {
	var inside []members.Member
	for _, member := range found {
		if member.DataCentre == dc {
			inside = append(inside, member)
		}
	}
	return inside
}

// serving returns every daemon that serves, this one included.
func serving(snap *control.Snapshot) []members.Member {
	var found []members.Member
	if snap.Self.State == members.Serving {
		found = append(found, snap.Self)
	}
	for _, member := range snap.Members {
		if member.State == members.Serving {
			found = append(found, member)
		}
	}
	return found
}

func allowedBy(snap *control.Snapshot, host string, region types.Region) bool {
	if snap.View.Config == nil {
		return true
	}
	homes := snap.View.Config.AllowedRegionsOf(host)
	if homes == nil {
		return true
	}
	for _, home := range homes {
		if home == region {
			return true
		}
	}
	return false
}

func addresses(found []members.Member) []string {
	list := make([]string, 0, min(len(found), maxEntries))
	for _, member := range found {
		if len(list) == maxEntries {
			break
		}
		list = append(list, member.CallerAddress)
	}
	return list
}
