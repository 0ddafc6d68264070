// Package entries answers which entry VMs a caller should use: a ranked list
// with a lifetime. VMs that leave are never in it. Callers are spread over the
// VMs of a region by rendezvous hashing, so that each VM takes an even share
// and a change of one VM moves only that VM's callers.
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
	// DefaultLifetime is how long a caller may use an answer.
	DefaultLifetime = 5 * time.Second
	// DefaultLimit is how many entries an answer names.
	DefaultLimit = 4
)

// Query is what an answer depends on besides the snapshot.
type Query struct {
	// Caller is a stable key of the caller, for example its credential hash
	// together with its address. Equal keys get equal answers.
	Caller string
	// AllowedRegions lists the regions that may be named; empty allows all.
	AllowedRegions []types.Region
	// Limit bounds the entries of the answer; zero means DefaultLimit.
	Limit int
	// Lifetime is how long the answer holds; zero means DefaultLifetime.
	Lifetime time.Duration
}

// Entry is one entry VM that the caller may use.
type Entry struct {
	VM types.VMID `json:"vm"`
	// Boot is the boot ID of the daemon; empty when it was not heard from.
	Boot types.BootID `json:"boot,omitempty"`
	// Address is where the caller reaches it, "ip:port".
	Address    string           `json:"address"`
	Region     types.Region     `json:"region"`
	DataCentre types.DataCentre `json:"data_centre"`
}

// Response is the ranked list, best first.
type Response struct {
	Entries []Entry `json:"entries"`
	// LifetimeMS is how many milliseconds the answer holds.
	LifetimeMS int64 `json:"lifetime_ms"`
	// Revision is the configuration in force when the answer was made.
	Revision types.Revision `json:"revision"`
}

// tier orders candidates before the hash does; a lower tier goes first.
type tier uint8

const (
	tierHeard tier = iota
	tierListed
	tierSuspect
)

type candidate struct {
	entry    Entry
	tier     tier
	distance time.Duration
	weight   uint64
}

// List ranks the entries for one caller. Suspected VMs are named only when no
// other VM of any allowed region is left.
func List(snap *snapshot.Snapshot, q Query) Response {
	limit := cmp.Or(q.Limit, DefaultLimit)
	lifetime := cmp.Or(q.Lifetime, DefaultLifetime)
	answer := Response{Entries: []Entry{}, LifetimeMS: lifetime.Milliseconds()}
	if snap.Config != nil {
		answer.Revision = snap.Config.Revision
	}
	candidates := rank(snap, q)
	for _, c := range candidates {
		if len(answer.Entries) == limit {
			break
		}
		answer.Entries = append(answer.Entries, c.entry)
	}
	return answer
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
		add(self, tierHeard)
	}
	for i := range snap.Members {
		if entry, t, ok := memberEntry(&snap.Members[i], snap.Self.Region); ok {
			add(entry, t)
		}
	}
	slices.SortFunc(out, compare)
	return withoutSuspects(out)
}

// compare puts suspected VMs last, then the nearest region first, then VMs
// that were heard from, then the largest rendezvous weight.
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

// memberEntry returns the tier of a member; false when it must not be named.
// Members of other regions are known only from the published list.
func memberEntry(m *snapshot.Member, own types.Region) (Entry, tier, bool) {
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
			return entry, tierListed, true // it has no configuration yet
		}
		return entry, tierHeard, true
	case snapshot.MemberListed:
		if m.Region != own {
			return entry, tierHeard, true
		}
		return entry, tierListed, true
	case snapshot.MemberSuspect:
		return entry, tierSuspect, true
	default:
		return entry, tierSuspect, false
	}
}

// unknownDistance ranks regions with no published link behind all others.
const unknownDistance = time.Hour

func distancesFrom(own types.Region, config *published.Configuration) map[types.Region]time.Duration {
	distances := map[types.Region]time.Duration{own: 0}
	if config == nil {
		return distances
	}
	for _, link := range config.Links {
		switch own {
		case link.From:
			distances[link.To] = link.OneWay
		case link.To:
			distances[link.From] = link.OneWay
		}
	}
	return distances
}
