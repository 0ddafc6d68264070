package entry

import (
	"slices"
	"time"

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

// Lookup is a caller's question which daemons to use.
type Lookup struct {
	Host string
	// Region and DataCentre are the caller's.
	Region     types.Region
	DataCentre types.DataCentre
}

// Scope tells which daemons an answer names.
type Scope string

// Scopes.
const (
	// LocalScope: the serving daemons of the caller's data centre.
	LocalScope Scope = "data_centre"
	// RegionScope: those of the caller's region.
	RegionScope Scope = "region"
	// HomesScope: those of the regions to which the host's data is restricted.
	HomesScope Scope = "homes"
	// ReturningScope: the daemons of these regions and of the caller's that stop or
	// start.
	ReturningScope Scope = "returning"
	// AnywhereScope: those of all regions.
	AnywhereScope Scope = "anywhere"
	// NoScope: none, since this daemon knows too little. Callers keep the answer that
	// they have, or ask another daemon.
	NoScope Scope = "none"
)

// Scopes lists all scopes.
var Scopes = []Scope{LocalScope, RegionScope, HomesScope, ReturningScope, AnywhereScope, NoScope}

// Answer is the answer to a Lookup.
type Answer struct {
	Addresses []string
	Scope     Scope
}

// restartTime is how long after the end of its grace time a daemon that was stopped
// is expected back.
const restartTime = 2 * time.Second

// Directory answers lookups from snapshots of the control state.
type Directory struct {
	// Grace is the time between the stop signal and the end of a daemon.
	Grace time.Duration
}

// Answer returns the daemons that a caller should use: those of its data centre; if it
// has too few, of its region; and if the region has none, of the regions to which the
// host's data is restricted.
//
// If these have none either, because their daemons stop and start again, it returns
// those daemons: they take requests for a part of their stop, and are back in seconds.
// To lead their callers elsewhere meanwhile would send restricted data out of its
// regions. Other daemons are named only for a host without restricted routes, or if the
// regions have lost their daemons for longer than a planned stop takes.
func (d Directory) Answer(snap *control.Snapshot, lookup Lookup, now time.Time) Answer {
	regional := snap.InRegion(lookup.Region)
	if local := inDataCentre(regional, lookup.DataCentre); len(local) >= minLocalDaemons {
		return answer(LocalScope, local)
	}
	if len(regional) > 0 {
		return answer(RegionScope, regional)
	}
	if snap.View.Config == nil {
		return Answer{Scope: NoScope}
	}
	homes := snap.View.Config.HomeRegionsOf(lookup.Host)
	if len(homes) == 0 {
		return answer(AnywhereScope, serving(snap))
	}
	if inHomes := inRegions(serving(snap), homes); len(inHomes) > 0 {
		return answer(HomesScope, inHomes)
	}
	if back := d.returning(inRegions(all(snap), append(homes, lookup.Region)), now); len(back) > 0 {
		return answer(ReturningScope, back)
	}
	if snap.Joining {
		return Answer{Scope: NoScope}
	}
	return answer(AnywhereScope, serving(snap))
}

// returning returns the daemons that stop or start, without those that should be back.
func (d Directory) returning(daemons []members.Member, now time.Time) []members.Member {
	return slices.DeleteFunc(daemons, func(member members.Member) bool {
		overdue := !member.LeavingSince.IsZero() && now.Sub(member.LeavingSince) > d.Grace+restartTime
		return member.State == members.Serving || overdue
	})
}

func inDataCentre(daemons []members.Member, dc types.DataCentre) []members.Member {
	return slices.DeleteFunc(slices.Clone(daemons), func(member members.Member) bool { return member.DataCentre != dc })
}

func inRegions(daemons []members.Member, regions []types.Region) []members.Member {
	return slices.DeleteFunc(slices.Clone(daemons), func(member members.Member) bool { return !slices.Contains(regions, member.Region) })
}

// serving returns all serving daemons, including this one.
func serving(snap *control.Snapshot) []members.Member {
	return slices.DeleteFunc(all(snap), func(member members.Member) bool { return member.State != members.Serving })
}

// all returns all live daemons, including this one.
func all(snap *control.Snapshot) []members.Member {
	return append([]members.Member{snap.Self}, snap.Members...)
}

func answer(scope Scope, daemons []members.Member) Answer {
	if len(daemons) == 0 {
		return Answer{Scope: NoScope}
	}
	addresses := make([]string, 0, min(len(daemons), maxEntries))
	for _, member := range daemons[:min(len(daemons), maxEntries)] {
		addresses = append(addresses, member.CallerAddress)
	}
	return Answer{Addresses: addresses, Scope: scope}
}
