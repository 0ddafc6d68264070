// Package entries computes which entry VMs a caller should use: a ranked list with a
// lifetime that never contains a leaving VM. Rendezvous hashing spreads callers over
// the VMs of a region, so that each VM receives an equal share and a change of one VM
// moves only that VM's callers.
package entries

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/rendezvous"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	// DefaultLifetime is how long a caller may use a response.
	DefaultLifetime = 5 * time.Second
	// DefaultLimit is the maximum number of entries in a response.
	DefaultLimit = 4
)

// Query holds the parameters of a response besides the snapshot.
type Query struct {
	// Caller is a stable key of the caller, for example its credential hash
	// together with its address. Equal keys get equal responses.
	Caller string
	// AllowedRegions lists the regions whose VMs may be returned; empty allows all.
	AllowedRegions []types.Region
	// Limit bounds the number of entries; zero means DefaultLimit.
	Limit int
	// Lifetime is how long the response is valid; zero means DefaultLifetime.
	Lifetime time.Duration
}

// Entry is one entry VM that the caller may use.
type Entry struct {
	VM types.VMID `json:"vm"`
	// Boot is the boot ID of the daemon; empty if the daemon has not been heard from.
	Boot types.BootID `json:"boot,omitempty"`
	// Address is the address for callers, "ip:port".
	Address    string           `json:"address"`
	Region     types.Region     `json:"region"`
	DataCentre types.DataCentre `json:"data_centre"`
}

// Response is the ranked list of entries, best first.
type Response struct {
	Entries []Entry `json:"entries"`
	// LifetimeMS is how long the response is valid, in milliseconds.
	LifetimeMS int64 `json:"lifetime_ms"`
	// Revision is the configuration revision in force when the response was built;
	// zero if there was none.
	Revision types.Revision `json:"revision"`
}

// tier ranks candidates ahead of their rendezvous weight; lower tiers come first.
type tier uint8

const (
	tierConfirmed tier = iota
	tierListed
	tierSuspect
)

type candidate struct {
	entry    Entry
	tier     tier
	distance time.Duration
	weight   uint64
}

// List returns the ranked entries for one caller. It returns suspected VMs only if no
// other VM of any allowed region is available.
func List(snap *snapshot.Snapshot, q Query) Response {
	limit := cmp.Or(q.Limit, DefaultLimit)
	lifetime := cmp.Or(q.Lifetime, DefaultLifetime)
	response := Response{Entries: []Entry{}, LifetimeMS: lifetime.Milliseconds()}
	if snap.Config != nil {
		response.Revision = snap.Config.Revision
	}
	candidates := rank(snap, q)
	for _, c := range candidates {
		if len(response.Entries) == limit {
			break
		}
		response.Entries = append(response.Entries, c.entry)
	}
	return response
}

func rank(snap *snapshot.Snapshot, q Query) []candidate {
	distances := distancesFrom(snap.Self.Region, snap.Config)
	var out []candidate
	add := func(entry Entry, t tier) {
		if len(q.AllowedRegions) > 0 && !slices.Contains(q.AllowedRegions, entry.Region) {
			return
		}
		distance := unknownDistance
		if d, ok := distances[entry.Region]; ok {
			distance = d
		}
		out = append(out, candidate{entry, t, distance, rendezvous.Weight(q.Caller, entry.VM)})
	}
	if self, ok := selfEntry(snap); ok {
		add(self, tierConfirmed)
	}
	for i := range snap.Members {
		if entry, t, ok := memberEntry(&snap.Members[i], snap.Self.Region); ok {
			add(entry, t)
		}
	}
	slices.SortFunc(out, compare)
	return withoutSuspects(out)
}

// compare orders suspected VMs last, then by distance of the region, then by tier, then
// by descending rendezvous weight, and last by VM to break ties.
func compare(a, b candidate) int {
	aSuspect, bSuspect := a.tier/tierSuspect, b.tier/tierSuspect
	return cmp.Or(
		cmp.Compare(aSuspect, bSuspect),
		cmp.Compare(a.distance, b.distance),
		cmp.Compare(a.tier, b.tier),
		cmp.Compare(b.weight, a.weight),
		cmp.Compare(a.entry.VM, b.entry.VM),
	)
}

func withoutSuspects(sorted []candidate) []candidate {
	if len(sorted) == 0 || sorted[0].tier == tierSuspect {
		return sorted
	}
	for i, c := range sorted {
		if c.tier == tierSuspect {
			return sorted[:i]
		}
	}
	return sorted
}

func selfEntry(snap *snapshot.Snapshot) (Entry, bool) {
	self := snap.Self
	if snap.Draining || snap.Paused || snap.Config == nil || self.CallerAddress == "" {
		return Entry{}, false
	}
	return Entry{
		VM: self.Incarnation.VM, Boot: self.Incarnation.Boot, Address: self.CallerAddress,
		Region: self.Region, DataCentre: self.DataCentre,
	}, true
}

// memberEntry returns the entry and the tier of a member. It returns false if the
// member must not be listed. Members of other regions are usually known only from the
// VM list, so a listed one counts as confirmed.
func memberEntry(m *snapshot.Member, localRegion types.Region) (Entry, tier, bool) {
	entry := Entry{
		VM: m.Incarnation.VM, Boot: m.Incarnation.Boot, Address: m.CallerAddress,
		Region: m.Region, DataCentre: m.DataCentre,
	}
	if m.CallerAddress == "" {
		return entry, tierSuspect, false
	}
	switch m.State {
	case snapshot.MemberAlive:
		if m.Revision == 0 {
			return entry, tierListed, true // no configuration yet
		}
		return entry, tierConfirmed, true
	case snapshot.MemberListed:
		if m.Region != localRegion {
			return entry, tierConfirmed, true
		}
		return entry, tierListed, true
	case snapshot.MemberSuspect:
		return entry, tierSuspect, true
	default:
		return entry, tierSuspect, false
	}
}

// unknownDistance ranks regions without a published link after all others.
const unknownDistance = time.Hour

func distancesFrom(localRegion types.Region, config *published.Configuration) map[types.Region]time.Duration {
	distances := map[types.Region]time.Duration{localRegion: 0}
	if config == nil {
		return distances
	}
	for _, link := range config.Links {
		switch localRegion {
		case link.From:
			distances[link.To] = link.OneWay
		case link.To:
			distances[link.From] = link.OneWay
		}
	}
	return distances
}
