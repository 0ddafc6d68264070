// Package members keeps the table of the daemons that serve the same traffic.
// Daemons exchange their tables in heartbeats; each daemon alone raises its own
// beat, so that a beat that stands still means a daemon that stopped or is cut
// off. The table is used by one goroutine and takes times as parameters.
package members

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/rendezvous"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// State is what a daemon says of itself.
type State string

// The states of a daemon.
const (
	// Starting daemons know no configuration yet.
	Starting State = "starting"
	// Serving daemons take requests.
	Serving State = "serving"
	// Leaving daemons finish what they have.
	Leaving State = "leaving"
)

// Member is one daemon as it describes itself.
type Member struct {
	// VM is the address for other daemons, "ip:port".
	VM types.VMID `json:"vm"`
	// Incarnation numbers the runs of the daemon on its VM; a later run is larger.
	Incarnation uint64 `json:"run"`
	// Beat grows with each heartbeat of a run.
	Beat       uint64           `json:"beat"`
	State      State            `json:"state"`
	Region     types.Region     `json:"region"`
	DataCentre types.DataCentre `json:"dc"`
	// CallerAddress is the address for callers, "ip:port".
	CallerAddress string `json:"callers"`
	// Loads is what the daemon has in flight, by service.
	Loads []Load `json:"loads,omitempty"`
}

// Load is what one daemon has in flight for one service at the endpoints of
// its region.
type Load struct {
	Service  types.ServiceName `json:"s"`
	InFlight int               `json:"n"`
	// Waiting requests have found no room yet.
	Waiting int `json:"w,omitempty"`
	// Blocked counts the places at endpoints that can't be used now, although
	// they are published.
	Blocked int `json:"b,omitempty"`
}

// Limits of the table.
const (
	// HeartbeatTimeout is how long the beat of a daemon of the own data centre may
	// stand still before it counts as unreachable: several heartbeats, some of
	// them lost.
	HeartbeatTimeout = 3500 * time.Millisecond
	// farSilentAfter holds for other data centres, whose rows come by way of
	// one daemon and less often.
	farSilentAfter = 6 * time.Second
	// forgetAfter is when a silent daemon is dropped from the table.
	forgetAfter = 40 * time.Second
)

// row is a member with the time at which its beat last grew.
type row struct {
	Member
	heard time.Time
}

// Table holds the daemons known to this one.
type Table struct {
	self  Member
	rows  map[types.VMID]row
	seeds []types.VMID
	// peak is the largest number of daemons of the own region seen at once,
	// fleetPeak that of all regions.
	peak      int
	fleetPeak int
}

// New returns a table that knows only this daemon and its seeds.
func New(self Member, seeds []types.VMID) *Table {
	table := &Table{self: self, rows: make(map[types.VMID]row), peak: 1, fleetPeak: 1}
	table.SetSeeds(seeds)
	return table
}

// EmptyCopy returns a table that knows this daemon and its seeds alone, and how many
// daemons there were.
func (t *Table) EmptyCopy() *Table {
	table := New(t.self, t.seeds)
	table.peak, table.fleetPeak = t.peak, t.fleetPeak
	return table
}

// SetSeeds replaces the daemons that are asked while no other is known.
func (t *Table) SetSeeds(seeds []types.VMID) {
	t.seeds = slices.DeleteFunc(slices.Clone(seeds), func(vm types.VMID) bool { return vm == t.self.VM })
}

// Self returns this daemon's own row.
func (t *Table) Self() Member {
	return t.self
}

// SetState changes what this daemon says of itself.
func (t *Table) SetState(state State) {
	t.self.State = state
}

// Beat raises this daemon's own beat and sets its loads.
func (t *Table) Beat(loads []Load) {
	t.self.Beat++
	t.self.Loads = loads
}

// Merge takes the rows of another daemon's table.
func (t *Table) Merge(rows []Member, now time.Time) {
	for _, member := range rows {
		if member.VM == t.self.VM {
			t.outrun(member)
			continue
		}
		t.merge(member, now)
	}
	inRegion, all := t.count(now)
	t.peak, t.fleetPeak = max(t.peak, inRegion), max(t.fleetPeak, all)
}

// outrun raises the own run above one that other daemons still know of an
// earlier process on this VM, whose clock may have been ahead.
func (t *Table) outrun(member Member) {
	if member.Incarnation > t.self.Incarnation {
		t.self.Incarnation = member.Incarnation + 1
	}
}

func (t *Table) merge(member Member, now time.Time) {
	known, found := t.rows[member.VM]
	if found && !newer(member, known.Member) {
		return
	}
	t.rows[member.VM] = row{Member: member, heard: now}
}

func newer(a, b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Beat > b.Beat
}

// Forget drops daemons that have been silent for long.
func (t *Table) Forget(now time.Time) {
	for vm, known := range t.rows {
		if now.Sub(known.heard) > forgetAfter {
			delete(t.rows, vm)
		}
	}
}

// MarkUnreachable notes that the daemon could not be reached. One that is silent for a
// part of the usual time then counts as unreachable at once.
func (t *Table) MarkUnreachable(vm types.VMID, now time.Time) {
	known, found := t.rows[vm]
	if found && now.Sub(known.heard) > HeartbeatTimeout/2 {
		known.heard = now.Add(-farSilentAfter)
		t.rows[vm] = known
	}
}

// live reports whether the row's beat grew of late.
func (t *Table) live(known row, now time.Time) bool {
	limit := farSilentAfter
	if t.near(known.Member) {
		limit = HeartbeatTimeout
	}
	return now.Sub(known.heard) < limit
}

// near reports whether the daemon is in the own data centre.
func (t *Table) near(member Member) bool {
	return samePlace(member, t.self)
}

func samePlace(a, b Member) bool {
	return a.Region == b.Region && a.DataCentre == b.DataCentre
}

// HeartbeatMembers returns the rows for a heartbeat to a daemon: every live one within
// the data centre; to another one those of the own data centre, and those of
// the receiver's, which may not have found each other yet.
func (t *Table) HeartbeatMembers(vm types.VMID, now time.Time) []Member {
	known, found := t.rows[vm]
	inside := found && t.near(known.Member)
	rows := []Member{t.self}
	for _, member := range t.Live(now) {
		if inside || !found || t.near(member) || samePlace(member, known.Member) {
			rows = append(rows, member)
		}
	}
	return rows
}

// Live returns the other daemons whose beat grew of late, sorted by VM.
func (t *Table) Live(now time.Time) []Member {
	var live []Member
	for _, known := range t.rows {
		if t.live(known, now) {
			live = append(live, known.Member)
		}
	}
	slices.SortFunc(live, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return live
}

// count counts the live daemons of the own region and of all regions, this one
// included.
func (t *Table) count(now time.Time) (inRegion, all int) {
	inRegion, all = 1, 1
	for _, known := range t.rows {
		if !t.live(known, now) {
			continue
		}
		all++
		if known.Region == t.self.Region {
			inRegion++
		}
	}
	return inRegion, all
}

// Peak returns the largest number of daemons of the own region that were ever
// seen at once, this one included: as many may be sending, seen or not.
func (t *Table) Peak() int {
	return t.peak
}

// FleetPeak returns the same for all regions.
func (t *Table) FleetPeak() int {
	return t.fleetPeak
}

// Beats between the heartbeats of one kind.
const (
	// regionEvery is for other data centres of the region, worldEvery for other
	// regions, seedEvery for seeds that are not known.
	regionEvery = 2
	worldEvery  = 4
	seedEvery   = 8
)

// Targets returns the daemons that the next heartbeat goes to: one of the own
// data centre each time, and now and then a seed that is not known, which joins
// tables that grew apart; a daemon that has just started and knows nobody asks
// all of its seeds. One daemon of each data centre, the first by
// rendezvous, speaks to one daemon of each other data centre. So the traffic
// between data centres does not grow with the daemons.
func (t *Table) Targets(now time.Time, rand route.Rand) []types.VMID {
	inside, outside := t.split(now)
	targets := appendOne(nil, inside, rand)
	if t.speaks(inside) {
		for place, vms := range outside {
			if t.self.Beat%beatsBetween(place.region == t.self.Region) == 0 {
				targets = appendOne(targets, vms, rand)
			}
		}
	}
	switch {
	case t.Joining() && len(inside)+len(outside) == 0:
		targets = append(targets, t.seeds...)
	case t.Joining():
		targets = appendOne(targets, t.seeds, rand)
	case len(inside)+len(outside) == 0 || t.self.Beat%seedEvery == 0:
		targets = appendOne(targets, t.unknownSeeds(now), rand)
	}
	return targets
}

// joinBeats is how many beats a daemon spends on finding the others.
const joinBeats = 10

// Joining reports whether this daemon has just started and asks its seeds at
// every beat: after a loss of power all daemons look for each other at once.
func (t *Table) Joining() bool {
	return t.self.Beat <= joinBeats
}

func beatsBetween(sameRegion bool) uint64 {
	if sameRegion {
		return regionEvery
	}
	return worldEvery
}

// speakerKey seeds the choice of the daemon that speaks for a data centre.
const speakerKey = "speaker"

// speaks reports whether this daemon speaks for its data centre; inside lists the
// other live daemons there.
func (t *Table) speaks(inside []types.VMID) bool {
	return rendezvous.Top(speakerKey, append(inside, t.self.VM), 1)[0] == t.self.VM
}

// place is a data centre of a region.
type place struct {
	region types.Region
	dc     types.DataCentre
}

func appendOne(targets, from []types.VMID, rand route.Rand) []types.VMID {
	if len(from) == 0 {
		return targets
	}
	return append(targets, from[route.IntN(rand, len(from))])
}

// split returns the live daemons of the own data centre, and those of each
// other one.
func (t *Table) split(now time.Time) (inside []types.VMID, outside map[place][]types.VMID) {
	outside = make(map[place][]types.VMID)
	for _, member := range t.Live(now) {
		if t.near(member) {
			inside = append(inside, member.VM)
			continue
		}
		at := place{region: member.Region, dc: member.DataCentre}
		outside[at] = append(outside[at], member.VM)
	}
	return inside, outside
}

func (t *Table) unknownSeeds(now time.Time) []types.VMID {
	var unknown []types.VMID
	for _, seed := range t.seeds {
		known, found := t.rows[seed]
		if !found || !t.live(known, now) {
			unknown = append(unknown, seed)
		}
	}
	return unknown
}
