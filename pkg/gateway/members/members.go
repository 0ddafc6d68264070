// Package members keeps the table of the daemons that serve the same traffic.
// Daemons exchange their tables in heartbeats; each daemon alone raises its own
// beat, so that a beat that stands still means a daemon that stopped or is cut
// off. The table is used by one goroutine and takes times as parameters.
package members

import (
	"cmp"
	"slices"
	"time"

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
	// Run numbers the runs of the daemon on its VM; a later run is larger.
	Run uint64 `json:"run"`
	// Beat grows with each heartbeat of a run.
	Beat       uint64           `json:"beat"`
	State      State            `json:"state"`
	Region     types.Region     `json:"region"`
	DataCentre types.DataCentre `json:"dc"`
	// Callers is the address for callers, "ip:port".
	Callers string `json:"callers"`
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
}

// Limits of the table.
const (
	// SilentAfter is how long a beat may stand still before the daemon counts
	// as unreachable: several heartbeats, some of them lost.
	SilentAfter = 3500 * time.Millisecond
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
	// peak is the largest number of daemons of the own region seen at once.
	peak int
}

// New returns a table that knows only this daemon and its seeds.
func New(self Member, seeds []types.VMID) *Table {
	table := &Table{self: self, rows: make(map[types.VMID]row), peak: 1}
	table.SetSeeds(seeds)
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
	t.peak = max(t.peak, t.inRegion(now))
}

// outrun raises the own run above one that other daemons still know of an
// earlier process on this VM, whose clock may have been ahead.
func (t *Table) outrun(member Member) {
	if member.Run > t.self.Run {
		t.self.Run = member.Run + 1
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
	if a.Run != b.Run {
		return a.Run > b.Run
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

// Failed notes that the daemon could not be reached. One that is silent for a
// part of the usual time then counts as unreachable at once.
func (t *Table) Failed(vm types.VMID, now time.Time) {
	known, found := t.rows[vm]
	if found && now.Sub(known.heard) > SilentAfter/2 {
		known.heard = now.Add(-SilentAfter)
		t.rows[vm] = known
	}
}

// Rows returns the live rows and the own one, for a heartbeat to another daemon.
func (t *Table) Rows(now time.Time) []Member {
	rows := append(t.Live(now), t.self)
	slices.SortFunc(rows, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return rows
}

// Live returns the other daemons whose beat grew of late, sorted by VM.
func (t *Table) Live(now time.Time) []Member {
	var live []Member
	for _, known := range t.rows {
		if now.Sub(known.heard) < SilentAfter {
			live = append(live, known.Member)
		}
	}
	slices.SortFunc(live, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return live
}

// inRegion counts the daemons of the own region that are not known to have
// stopped, this one included.
func (t *Table) inRegion(now time.Time) int {
	count := 1
	for _, known := range t.rows {
		if known.Region == t.self.Region && now.Sub(known.heard) < SilentAfter {
			count++
		}
	}
	return count
}

// Peak returns the largest number of daemons of the own region that were ever
// seen at once, this one included: as many may be sending, seen or not.
func (t *Table) Peak() int {
	return t.peak
}

// Targets returns the daemons that the next heartbeat goes to: one of the own
// region, on every third beat one of another region, and now and then a seed
// that is not known, which joins tables that grew apart.
func (t *Table) Targets(now time.Time, rand route.Rand) []types.VMID {
	const othersEvery, seedsEvery = 3, 8
	var targets []types.VMID
	near, far := t.split(now)
	targets = appendOne(targets, near, rand)
	if t.self.Beat%othersEvery == 0 || len(near) == 0 {
		targets = appendOne(targets, far, rand)
	}
	if len(near)+len(far) == 0 || t.self.Beat%seedsEvery == 0 {
		targets = appendOne(targets, t.unknownSeeds(now), rand)
	}
	return targets
}

func appendOne(targets, from []types.VMID, rand route.Rand) []types.VMID {
	if len(from) == 0 {
		return targets
	}
	return append(targets, from[route.IntN(rand, len(from))])
}

func (t *Table) split(now time.Time) (near, far []types.VMID) {
	for _, member := range t.Live(now) {
		if member.Region == t.self.Region {
			near = append(near, member.VM)
		} else {
			far = append(far, member.VM)
		}
	}
	return near, far
}

func (t *Table) unknownSeeds(now time.Time) []types.VMID {
	var unknown []types.VMID
	for _, seed := range t.seeds {
		known, found := t.rows[seed]
		if !found || now.Sub(known.heard) >= SilentAfter {
			unknown = append(unknown, seed)
		}
	}
	return unknown
}
