package entry

import (
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/demand"
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
	// HomesScope: those of the regions that nearly all restricted requests of the host's
	// callers may enter.
	HomesScope Scope = "homes"
	// ReturningScope: the daemons of these regions and of the caller's that stop or
	// start.
	ReturningScope Scope = "returning"
	// MostHomesScope: those of the regions that the most restricted requests may enter,
	// since no region may have nearly all of them and the caller's has lost its daemons.
	MostHomesScope Scope = "most_homes"
	// AnywhereScope: those of all regions.
	AnywhereScope Scope = "anywhere"
	// NoScope: none, since this daemon knows too little. Callers keep the answer that
	// they have, or ask another daemon.
	NoScope Scope = "none"
)

// Scopes lists all scopes.
var Scopes = []Scope{LocalScope, RegionScope, HomesScope, ReturningScope, MostHomesScope, AnywhereScope, NoScope}

// Answer is the answer to a Lookup.
type Answer struct {
	Addresses []string
	Scope     Scope
	// Lifetime is how long the caller may use the answer.
	Lifetime time.Duration
}

const (
	// usualLifetime is the lifetime of an answer that names daemons of the caller's
	// region; a daemon that stops serves for longer.
	usualLifetime = 2 * time.Second
	// substituteLifetime is that of other answers: callers return as soon as daemons of
	// their region serve, and what they hold is not used for long after a change of what
	// they ask for or of the homes of routes.
	substituteLifetime = time.Second
	// maxLifetimes is how many lifetimes callers use an answer, at most, if they get a
	// newer one.
	maxLifetimes = 3
)

// restartTime is how long after the end of its grace time a daemon that was stopped
// is expected back.
const restartTime = 2 * time.Second

// Directory answers lookups from snapshots of the control state.
type Directory struct {
	// Grace is the time between the stop signal and the end of a daemon.
	Grace time.Duration
}

// Answer returns the daemons that a caller should use: those of its data centre; if it
// has too few, of its region; and if the region has none, of the regions that nearly all
// restricted requests of its callers may enter. own holds the requests that this daemon
// had from callers.
//
// If there is no such region with daemons, it returns the daemons of these regions and of
// the caller's that stop and start again: they take requests for a part of their stop,
// and are back in seconds. To lead their callers elsewhere meanwhile would send restricted
// data out of its regions. Other daemons are named only for a host without restricted
// routes, or if the regions have lost their daemons without an announcement. After one,
// callers keep the daemons that they have for as long as this daemon remembers it.
func (d Directory) Answer(snap *control.Snapshot, lookup Lookup, own demand.Counts, now time.Time) Answer {
	if near, found := d.near(snap, lookup); found {
		return near
	}
	if snap.View.Config == nil {
		return Answer{Scope: NoScope}
	}
	restricted := snap.View.Config.RestrictedRoutesOf(lookup.Host)
	if len(restricted) == 0 {
		return d.anywhere(snap, lookup.Region, now)
	}
	requests := callersDemand(snap, lookup.Region, own)
	homes := newResidency(restricted, requests)
	if inHomes := inRegions(serving(snap), homes.permits); len(inHomes) > 0 {
		return answer(HomesScope, inHomes)
	}
	permitted := func(region types.Region) bool { return region == lookup.Region || homes.permits(region) }
	if back := d.returning(inRegions(all(snap), permitted), now); len(back) > 0 {
		return answer(ReturningScope, back)
	}
	if snap.Joining || snap.Left[lookup.Region] {
		return Answer{Scope: NoScope}
	}
	if homes.known == 0 {
		// Daemons of other regions have served these callers meanwhile.
		homes = newResidency(restricted, own)
	}
	return d.leastLedOut(snap, homes, now)
}

// near returns the daemons of the caller's data centre, or if that has too few, of its
// region; false if the region has none.
func (d Directory) near(snap *control.Snapshot, lookup Lookup) (Answer, bool) {
	regional := snap.Leading(snap.InRegion(lookup.Region))
	if local := inDataCentre(regional, lookup.DataCentre); len(local) >= minLocalDaemons {
		return answer(LocalScope, local), true
	}
	return answer(RegionScope, regional), len(regional) > 0
}

// anywhere returns all serving daemons, or if there are none, those that stop or start:
// first those of the caller's region.
func (d Directory) anywhere(snap *control.Snapshot, region types.Region, now time.Time) Answer {
	if daemons := serving(snap); len(daemons) > 0 {
		return answer(AnywhereScope, daemons)
	}
	back := d.returning(all(snap), now)
	if regional := inRegions(back, func(r types.Region) bool { return r == region }); len(regional) > 0 {
		back = regional
	}
	return answer(ReturningScope, back)
}

// leastLedOut returns the daemons to which the fewest restricted requests are led out of
// their regions: those that serve, else those that stop or start there, else all.
func (d Directory) leastLedOut(snap *control.Snapshot, homes residency, now time.Time) Answer {
	if best := homes.best(serving(snap)); len(best) > 0 {
		return answer(MostHomesScope, best)
	}
	if best := homes.best(d.returning(all(snap), now)); len(best) > 0 {
		return answer(ReturningScope, best)
	}
	return answer(AnywhereScope, serving(snap))
}

// callersDemand returns what the callers of a region asked for: what the daemons that
// left there told, and for this daemon's region its own requests. Those of another region
// tell nothing about them: callers may be of other organisations.
func callersDemand(snap *control.Snapshot, region types.Region, own demand.Counts) demand.Counts {
	counts := make(demand.Counts)
	counts.Add(snap.Demand[region])
	if snap.Self.Region == region {
		counts.Add(own)
	}
	return counts
}

// returning returns the daemons that stop or start, without those that should be back.
func (d Directory) returning(daemons []members.Member, now time.Time) []members.Member {
	return slices.DeleteFunc(daemons, func(member members.Member) bool {
		return member.State == members.Serving || member.LeavingFor(now) > d.Grace+restartTime
	})
}

func inDataCentre(daemons []members.Member, dc types.DataCentre) []members.Member {
	return slices.DeleteFunc(slices.Clone(daemons), func(member members.Member) bool { return member.DataCentre != dc })
}

func inRegions(daemons []members.Member, included func(types.Region) bool) []members.Member {
	return slices.DeleteFunc(slices.Clone(daemons), func(member members.Member) bool { return !included(member.Region) })
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
	lifetime := substituteLifetime
	if scope == LocalScope || scope == RegionScope {
		lifetime = usualLifetime
	}
	addresses := make([]string, 0, min(len(daemons), maxEntries))
	for _, member := range daemons[:min(len(daemons), maxEntries)] {
		addresses = append(addresses, member.CallerAddress)
	}
	return Answer{Addresses: addresses, Scope: scope, Lifetime: lifetime}
}
