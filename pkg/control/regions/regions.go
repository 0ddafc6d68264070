// Package regions keeps what regions tell each other about themselves. A few
// relays of each region exchange summaries with other regions; inside a region
// every daemon passes the newest ones on with its heartbeats. A summary names
// revision, entries and free room, and never anything of a caller.
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

// Options tune the exchange. The zero value of a field means its default.
type Options struct {
	// Self is the daemon's own place.
	Self snapshot.Self
	// Relays is how many daemons of a region talk to other regions; default 2.
	Relays int
	// Contact is the time between two contacts of a relay with some other
	// region; default 2 s.
	Contact time.Duration
	// Refresh is the time between two summaries of the own region; default
	// 10 s.
	Refresh time.Duration
	// MaxAge is the age at which a summary is dropped; default 60 s.
	MaxAge time.Duration
	// MaxEntries bounds the entries that a summary names; default 4.
	MaxEntries int
	// MaxSummaries bounds the summaries in one message; default 4.
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
	opts        Options
	rng         *rand.Rand
	summaries   map[types.Region]*snapshot.RegionSummary
	nextContact time.Time
	nextOwn     time.Time
	order       []types.Region // the regions still to contact in this round
	changed     bool
}

// New returns a state that knows no summary.
func New(opts Options, rng *rand.Rand, now time.Time) *State {
	opts = opts.withDefaults()
	s := &State{opts: opts, rng: rng, summaries: map[types.Region]*snapshot.RegionSummary{}}
	s.nextContact = now.Add(time.Duration(rng.Int64N(int64(opts.Contact))))
	s.nextOwn = now.Add(time.Duration(rng.Int64N(int64(opts.Contact))))
	return s
}

// IsRelay reports whether this daemon is a relay among the live members of its
// own region.
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

// Contact returns the member of another region to exchange summaries with, when
// it is time to. It walks the regions in a new random order each round.
func (s *State) Contact(now time.Time, members []snapshot.Member) (types.VMID, bool) {
	if now.Before(s.nextContact) || !s.IsRelay(members) {
		return "", false
	}
	s.nextContact = now.Add(s.opts.Contact)
	byRegion := s.others(members)
	if len(byRegion) == 0 {
		return "", false
	}
	region := s.nextRegion(byRegion)
	vms := byRegion[region]
	return vms[s.rng.IntN(len(vms))], true
}

// others groups the usable members of the other regions.
func (s *State) others(members []snapshot.Member) map[types.Region][]types.VMID {
	byRegion := map[types.Region][]types.VMID{}
	for i := range members {
		m := &members[i]
		if m.Region != s.opts.Self.Region && usable(m.State) {
			byRegion[m.Region] = append(byRegion[m.Region], m.Incarnation.VM)
		}
	}
	return byRegion
}

// OneOfEach draws one usable member of each other region.
func (s *State) OneOfEach(members []snapshot.Member) []types.VMID {
	byRegion := s.others(members)
	var out []types.VMID
	for _, region := range slices.Sorted(maps.Keys(byRegion)) {
		vms := byRegion[region]
		out = append(out, vms[s.rng.IntN(len(vms))])
	}
	return out
}

func (s *State) nextRegion(byRegion map[types.Region][]types.VMID) types.Region {
	for len(s.order) > 0 {
		region := s.order[0]
		s.order = s.order[1:]
		if len(byRegion[region]) > 0 {
			return region
		}
	}
	s.order = slices.Sorted(maps.Keys(byRegion))
	s.rng.Shuffle(len(s.order), func(i, j int) { s.order[i], s.order[j] = s.order[j], s.order[i] })
	region := s.order[0]
	s.order = s.order[1:]
	return region
}

// Refresh makes the own region's summary when this daemon is a relay and the
// last one is old, or names other daemons as out. Services is called only then.
func (s *State) Refresh(now time.Time, members []snapshot.Member, revision types.Revision, services func() []snapshot.ServiceSummary) {
	last := s.summaries[s.opts.Self.Region]
	out := s.out(members)
	due := !now.Before(s.nextOwn)
	isNews := last != nil && !slices.Equal(out, last.Out) && now.Sub(last.ReceivedAt) >= s.opts.Contact
	if (!due && !isNews) || !s.IsRelay(members) {
		return
	}
	s.nextOwn = now.Add(s.opts.Refresh)
	own := &snapshot.RegionSummary{
		Region: s.opts.Self.Region, Revision: revision, TakenAt: now.Round(0), ReceivedAt: now,
		Entries: s.entries(members), Out: out, Services: services(),
	}
	s.summaries[own.Region] = own
	s.changed = true
}

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

// out lists the members of the own region that leave or are suspected.
func (s *State) out(members []snapshot.Member) []types.VMID {
	var out []types.VMID
	for i := range members {
		m := &members[i]
		if m.Region == s.opts.Self.Region && !usable(m.State) {
			out = append(out, m.Incarnation.VM)
		}
	}
	return out
}

// Digests names the newest summary of each region, sorted by region.
func (s *State) Digests() []peer.SummaryDigest {
	out := make([]peer.SummaryDigest, 0, len(s.summaries))
	for _, region := range slices.Sorted(maps.Keys(s.summaries)) {
		out = append(out, peer.SummaryDigest{Region: region, TakenAt: s.summaries[region].TakenAt.UnixMilli()})
	}
	return out
}

// Newer returns summaries that are newer than the digests say, a bounded number
// in a message; the rest follow with later ones.
func (s *State) Newer(digests []peer.SummaryDigest) []snapshot.RegionSummary {
	known := make(map[types.Region]int64, len(digests))
	for _, d := range digests {
		known[d.Region] = d.TakenAt
	}
	var out []snapshot.RegionSummary
	for _, region := range slices.Sorted(maps.Keys(s.summaries)) {
		if len(out) == s.opts.MaxSummaries {
			break
		}
		if summary := s.summaries[region]; summary.TakenAt.UnixMilli() > known[region] {
			out = append(out, *summary)
		}
	}
	return out
}

// Lacking lists the regions of which the digests name a newer summary.
func (s *State) Lacking(digests []peer.SummaryDigest) []types.Region {
	var out []types.Region
	for _, d := range digests {
		known := s.summaries[d.Region]
		if known == nil || known.TakenAt.UnixMilli() < d.TakenAt {
			out = append(out, d.Region)
		}
	}
	return out[:min(len(out), s.opts.MaxSummaries)]
}

// Of returns the summaries of the regions that are known.
func (s *State) Of(regions []types.Region) []snapshot.RegionSummary {
	var out []snapshot.RegionSummary
	for _, region := range regions[:min(len(regions), s.opts.MaxSummaries)] {
		if summary := s.summaries[region]; summary != nil {
			out = append(out, *summary)
		}
	}
	return out
}

// Merge takes summaries of a message; an older one than the known is ignored.
func (s *State) Merge(now time.Time, summaries []snapshot.RegionSummary) {
	for i := range summaries {
		summary := summaries[i]
		old := s.summaries[summary.Region]
		if summary.Region == "" || (old != nil && !summary.TakenAt.After(old.TakenAt)) {
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

// Expire drops summaries that were received too long ago.
func (s *State) Expire(now time.Time) {
	for region, summary := range s.summaries {
		if now.Sub(summary.ReceivedAt) > s.opts.MaxAge {
			delete(s.summaries, region)
			s.changed = true
		}
	}
}

// Others returns a copy of the summaries of the other regions.
func (s *State) Others() map[types.Region]*snapshot.RegionSummary {
	out := maps.Clone(s.summaries)
	delete(out, s.opts.Self.Region)
	return out
}

// TakeChanged reports whether summaries changed since the last call.
func (s *State) TakeChanged() bool {
	changed := s.changed
	s.changed = false
	return changed
}

func usable(state snapshot.MemberState) bool {
	return state == snapshot.MemberAlive || state == snapshot.MemberListed
}
