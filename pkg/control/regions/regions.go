// Package regions keeps the summaries that regions exchange about themselves. A
// few daemons of each region, the relays, exchange summaries with other regions;
// inside a region all daemons gossip the newest summaries with their heartbeats.
// A summary holds the region's configuration revision, some of its entries, the
// members that are unavailable, and the free capacity of each service. It never
// holds caller data.
package regions

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/rendezvous"
	"github.com/flamingomount/flamingomount/pkg/peer"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Options configures the exchange. A zero field takes its default.
type Options struct {
	// Self identifies this daemon and its location.
	Self snapshot.Self
	// Relays is the number of daemons of a region that contact other regions;
	// default 2.
	Relays int
	// Contact is the interval at which a relay contacts another region;
	// default 2 s.
	Contact time.Duration
	// Refresh is the interval at which a relay makes a new summary of the local
	// region; default 10 s.
	Refresh time.Duration
	// MaxAge is the age above which a summary is dropped; default 60 s.
	MaxAge time.Duration
	// MaxEntries is the maximum number of entries in a summary; default 4.
	MaxEntries int
	// MaxSummaries is the maximum number of summaries in a message; default 4.
	MaxSummaries int
}

func (o Options) withDefaults() Options {
	o.Relays = cmp.Or(o.Relays, 2)
	o.Contact = cmp.Or(o.Contact, 2*time.Second)
	o.Refresh = cmp.Or(o.Refresh, 10*time.Second)
	o.MaxAge = cmp.Or(o.MaxAge, time.Minute)
	o.MaxEntries = cmp.Or(o.MaxEntries, 4)
	o.MaxSummaries = cmp.Or(o.MaxSummaries, 4)
	return o
}

// State holds the newest summary of each region.
type State struct {
	opts           Options
	rng            *rand.Rand
	summaries      map[types.Region]*snapshot.RegionSummary
	nextContact    time.Time
	nextRefresh    time.Time
	pendingRegions []types.Region // regions not yet contacted in this round
	changed        bool
}

// New returns a State without summaries. It draws the times of the first contact
// and of the first local summary at random from the first Contact interval.
func New(opts Options, rng *rand.Rand, now time.Time) *State {
	opts = opts.withDefaults()
	s := &State{opts: opts, rng: rng, summaries: map[types.Region]*snapshot.RegionSummary{}}
	s.nextContact = now.Add(time.Duration(rng.Int64N(int64(opts.Contact))))
	s.nextRefresh = now.Add(time.Duration(rng.Int64N(int64(opts.Contact))))
	return s
}

// IsRelay reports whether this daemon is one of the relays of the local region.
// Rendezvous hashing picks them among this daemon and the usable members.
func (s *State) IsRelay(members []snapshot.Member) bool {
	self := s.opts.Self.Incarnation.VM
	vms := []types.VMID{self}
	for i := range members {
		m := &members[i]
		if m.Region == s.opts.Self.Region && usable(m.State) {
			vms = append(vms, m.Incarnation.VM)
		}
	}
	return slices.Contains(rendezvous.Top(string(s.opts.Self.Region), vms, s.opts.Relays), self)
}

// Contact returns a member of another region to exchange summaries with. It
// returns false when the next contact is not due, when this daemon is not a relay
// and when no other region has a usable member. It visits the regions in a new
// random order each round.
func (s *State) Contact(now time.Time, members []snapshot.Member) (types.VMID, bool) {
	if now.Before(s.nextContact) || !s.IsRelay(members) {
		return "", false
	}
	s.nextContact = now.Add(s.opts.Contact)
	byRegion := s.remoteMembers(members)
	if len(byRegion) == 0 {
		return "", false
	}
	region := s.nextRegion(byRegion)
	vms := byRegion[region]
	return vms[s.rng.IntN(len(vms))], true
}

// remoteMembers returns the usable members of the other regions, by region.
func (s *State) remoteMembers(members []snapshot.Member) map[types.Region][]types.VMID {
	byRegion := map[types.Region][]types.VMID{}
	for i := range members {
		m := &members[i]
		if m.Region != s.opts.Self.Region && usable(m.State) {
			byRegion[m.Region] = append(byRegion[m.Region], m.Incarnation.VM)
		}
	}
	return byRegion
}

// PickPerRegion returns one random usable member of each other region.
func (s *State) PickPerRegion(members []snapshot.Member) []types.VMID {
	byRegion := s.remoteMembers(members)
	var picked []types.VMID
	for _, region := range slices.Sorted(maps.Keys(byRegion)) {
		vms := byRegion[region]
		picked = append(picked, vms[s.rng.IntN(len(vms))])
	}
	return picked
}

// nextRegion returns the next region of this round that has usable members, and
// starts a new round when none is left. The map must not be empty.
func (s *State) nextRegion(byRegion map[types.Region][]types.VMID) types.Region {
	for len(s.pendingRegions) > 0 {
		region := s.pendingRegions[0]
		s.pendingRegions = s.pendingRegions[1:]
		if len(byRegion[region]) > 0 {
			return region
		}
	}
	s.pendingRegions = slices.Sorted(maps.Keys(byRegion))
	s.rng.Shuffle(len(s.pendingRegions), func(i, j int) { s.pendingRegions[i], s.pendingRegions[j] = s.pendingRegions[j], s.pendingRegions[i] })
	region := s.pendingRegions[0]
	s.pendingRegions = s.pendingRegions[1:]
	return region
}

// Refresh makes a new summary of the local region if this daemon is a relay and
// the next summary is due. A change of the unavailable members makes it due as
// soon as the previous summary is at least Options.Contact old. Refresh calls
// services only when it makes a summary.
func (s *State) Refresh(now time.Time, members []snapshot.Member, revision types.Revision, services func() []snapshot.ServiceSummary) {
	previous := s.summaries[s.opts.Self.Region]
	unavailable := s.unavailable(members)
	due := !now.Before(s.nextRefresh)
	unavailableChanged := previous != nil && !slices.Equal(unavailable, previous.Unavailable) && now.Sub(previous.ReceivedAt) >= s.opts.Contact
	if (!due && !unavailableChanged) || !s.IsRelay(members) {
		return
	}
	s.nextRefresh = now.Add(s.opts.Refresh)
	summary := &snapshot.RegionSummary{
		Region: s.opts.Self.Region, Revision: revision, TakenAt: now.Round(0), ReceivedAt: now,
		Entries: s.entries(members), Unavailable: unavailable, Services: services(),
	}
	s.summaries[summary.Region] = summary
	s.changed = true
}

// entries lists this daemon and other live members of the local region, at most
// MaxEntries.
func (s *State) entries(members []snapshot.Member) []types.VMID {
	entries := []types.VMID{s.opts.Self.Incarnation.VM}
	for i := range members {
		m := &members[i]
		if len(entries) < s.opts.MaxEntries && m.Region == s.opts.Self.Region && m.State == snapshot.MemberAlive {
			entries = append(entries, m.Incarnation.VM)
		}
	}
	return entries
}

// unavailable lists the members of the local region that are leaving or suspected.
func (s *State) unavailable(members []snapshot.Member) []types.VMID {
	var unavailable []types.VMID
	for i := range members {
		m := &members[i]
		if m.Region == s.opts.Self.Region && !usable(m.State) {
			unavailable = append(unavailable, m.Incarnation.VM)
		}
	}
	return unavailable
}

// Digests returns the region and time of each summary held, sorted by region.
func (s *State) Digests() []peer.SummaryDigest {
	digests := make([]peer.SummaryDigest, 0, len(s.summaries))
	for _, region := range slices.Sorted(maps.Keys(s.summaries)) {
		digests = append(digests, peer.SummaryDigest{Region: region, TakenAt: s.summaries[region].TakenAt.UnixMilli()})
	}
	return digests
}

// Newer returns the summaries that are newer than the digests or missing from
// them, at most MaxSummaries. Later messages carry the rest.
func (s *State) Newer(digests []peer.SummaryDigest) []snapshot.RegionSummary {
	takenAt := make(map[types.Region]int64, len(digests))
	for _, d := range digests {
		takenAt[d.Region] = d.TakenAt
	}
	var newer []snapshot.RegionSummary
	for _, region := range slices.Sorted(maps.Keys(s.summaries)) {
		if len(newer) == s.opts.MaxSummaries {
			break
		}
		if summary := s.summaries[region]; summary.TakenAt.UnixMilli() > takenAt[region] {
			newer = append(newer, *summary)
		}
	}
	return newer
}

// OutdatedRegions lists the regions for which the digests name a newer summary than the
// one held, or one where none is held. It returns at most MaxSummaries regions.
func (s *State) OutdatedRegions(digests []peer.SummaryDigest) []types.Region {
	var lacking []types.Region
	for _, d := range digests {
		stored := s.summaries[d.Region]
		if stored == nil || stored.TakenAt.UnixMilli() < d.TakenAt {
			lacking = append(lacking, d.Region)
		}
	}
	return lacking[:min(len(lacking), s.opts.MaxSummaries)]
}

// SummariesOf returns the summaries held for the given regions. It ignores all but the
// first MaxSummaries regions.
func (s *State) SummariesOf(regions []types.Region) []snapshot.RegionSummary {
	var found []snapshot.RegionSummary
	for _, region := range regions[:min(len(regions), s.opts.MaxSummaries)] {
		if summary := s.summaries[region]; summary != nil {
			found = append(found, *summary)
		}
	}
	return found
}

// Merge stores the summaries of a message. It ignores a summary that names no
// region, is not newer than the one held, or was taken more than MaxAge before or
// after now.
func (s *State) Merge(now time.Time, summaries []snapshot.RegionSummary) {
	for i := range summaries {
		summary := summaries[i]
		stored := s.summaries[summary.Region]
		if summary.Region == "" || (stored != nil && !summary.TakenAt.After(stored.TakenAt)) {
			continue
		}
		if age := now.Sub(summary.TakenAt); age > s.opts.MaxAge || -age > s.opts.MaxAge {
			continue
		}
		summary.ReceivedAt = now
		s.summaries[summary.Region] = &summary
		s.changed = true
	}
}

// Expire drops summaries that were received more than MaxAge ago.
func (s *State) Expire(now time.Time) {
	for region, summary := range s.summaries {
		if now.Sub(summary.ReceivedAt) > s.opts.MaxAge {
			delete(s.summaries, region)
			s.changed = true
		}
	}
}

// Others returns the summaries of the other regions in a new map. The summaries
// themselves are shared.
func (s *State) Others() map[types.Region]*snapshot.RegionSummary {
	remote := maps.Clone(s.summaries)
	delete(remote, s.opts.Self.Region)
	return remote
}

// TakeChanged reports whether summaries were added, replaced or dropped since
// the last call.
func (s *State) TakeChanged() bool {
	changed := s.changed
	s.changed = false
	return changed
}

// usable reports whether a member in this state is neither suspected nor leaving.
func usable(state snapshot.MemberState) bool {
	return state == snapshot.MemberAlive || state == snapshot.MemberListed
}
