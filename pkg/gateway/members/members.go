// Package members keeps the table of the daemons that serve the same traffic.
// Daemons gossip their tables in heartbeats. Only a daemon itself increments its
// beat, so a beat that no longer grows means that the daemon stopped or is
// partitioned. The table is not safe for concurrent use and takes times as
// parameters.
package members

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/rendezvous"
	"github.com/flamingomount/flamingomount/pkg/gateway/demand"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// State is the state that a daemon announces.
type State string

// The states of a daemon.
const (
	// Starting daemons have no configuration yet.
	Starting State = "starting"
	// Serving daemons accept requests.
	Serving State = "serving"
	// Leaving daemons drain: they finish their requests in flight.
	Leaving State = "leaving"
)

// Member is what a daemon announces about itself.
type Member struct {
	// VM is the address for other daemons, "ip:port".
	VM types.VMID `json:"vm"`
	// Incarnation identifies the run of the daemon on its VM; a later run has a
	// larger number.
	Incarnation uint64 `json:"run"`
	// Beat grows with each heartbeat of a run.
	Beat       uint64           `json:"beat"`
	State      State            `json:"state"`
	Region     types.Region     `json:"region"`
	DataCentre types.DataCentre `json:"dc"`
	// CallerAddress is the address for callers, "ip:port".
	CallerAddress string `json:"callers"`
	// LinkMegabits is what the link of the VM carries, in megabits per second; zero if it
	// is not known.
	LinkMegabits int `json:"link,omitempty"`
	// Loads is the daemon's load by service.
	Loads []Load `json:"loads,omitempty"`
	// RegionPeak is the largest number of daemons of its region that the daemon
	// knows to have been live at once.
	RegionPeak int `json:"peak,omitempty"`
	// DataCentrePeak is the same for the daemon's data centre.
	DataCentrePeak int `json:"dc_peak,omitempty"`
	// DataCentresPeak is the largest number of data centres of which the daemon, or one
	// that it has heard of, has seen live daemons at once.
	DataCentresPeak int `json:"dcs_peak,omitempty"`
	// FleetPeak is the largest number of daemons of the fleet that the daemon, or one that
	// it has heard of, has seen live at once.
	FleetPeak int `json:"fleet_peak,omitempty"`
	// Demand holds the requests that a leaving daemon had from its callers.
	Demand demand.Counts `json:"demand,omitempty"`
	// LeavingSince is when this daemon learned that the member is leaving; zero if it
	// is not.
	LeavingSince time.Time `json:"-"`
}

// LeavingFor returns for how long the member is known to be leaving; zero if it is not.
func (m Member) LeavingFor(now time.Time) time.Duration {
	if m.LeavingSince.IsZero() {
		return 0
	}
	return now.Sub(m.LeavingSince)
}

// Load is the load of one daemon for one service at the endpoints of its region.
type Load struct {
	Service  types.ServiceName `json:"s"`
	InFlight int               `json:"n"`
	// Waiting is the number of requests that wait for capacity.
	Waiting int `json:"w,omitempty"`
	// Blocked counts the slots of published endpoints that cannot be used now.
	Blocked int `json:"b,omitempty"`
	// ResponseMillis is the average time, in milliseconds, until the responses to small
	// requests of the daemon started lately; zero if there were none.
	ResponseMillis int `json:"r,omitempty"`
}

// Timeouts of the table.
const (
	// HeartbeatTimeout is how long the beat of a daemon of the local data centre
	// may stay unchanged before the daemon counts as unreachable: several
	// heartbeats, some of which may be lost.
	HeartbeatTimeout = 3500 * time.Millisecond
	// remoteHeartbeatTimeout is the same for other data centres, whose rows
	// arrive through one daemon and less often.
	remoteHeartbeatTimeout = 6 * time.Second
	// forgetAfter is how long a daemon without a new beat stays in the table.
	forgetAfter = 40 * time.Second
)

// maxPeak bounds the number of daemons that a row may claim for its region or data
// centre.
const maxPeak = 1000

// row is a member with the time at which its beat last grew.
type row struct {
	Member
	lastHeard time.Time
}

// Table holds the daemons that this daemon knows.
type Table struct {
	self  Member
	rows  map[types.VMID]row
	seeds []types.VMID
	// peak is the largest number of daemons seen at once.
	peak   Peak
	demand demandTable
}

// Peak is the largest number of daemons, including this one, that were ever live at
// once, as far as this daemon knows. As many may be sending requests, whether or not
// this daemon sees them now.
type Peak struct {
	DataCentre int
	Region     int
	Fleet      int
	// DataCentres is the number of data centres with live daemons.
	DataCentres int
}

// raise raises each number to that of the other peak.
func (p *Peak) raise(other Peak) {
	p.DataCentre = max(p.DataCentre, other.DataCentre)
	p.Region = max(p.Region, other.Region)
	p.Fleet = max(p.Fleet, other.Fleet)
	p.DataCentres = max(p.DataCentres, other.DataCentres)
}

// New returns a table that holds only this daemon and its seeds.
func New(self Member, seeds []types.VMID) *Table {
	table := &Table{
		self: self, rows: make(map[types.VMID]row), peak: Peak{DataCentre: 1, Region: 1, Fleet: 1, DataCentres: 1},
		demand: newDemandTable(),
	}
	table.SetSeeds(seeds)
	return table
}

// EmptyCopy returns a table that holds only this daemon, its seeds, the peak numbers of
// daemons and what daemons that left told of their callers.
func (t *Table) EmptyCopy() *Table {
	table := New(t.self, t.seeds)
	table.peak = t.peak
	table.demand = t.demand.copy()
	return table
}

// SetSeeds replaces the daemons to which heartbeats go while no other is known.
func (t *Table) SetSeeds(seeds []types.VMID) {
	t.seeds = slices.DeleteFunc(slices.Clone(seeds), func(vm types.VMID) bool { return vm == t.self.VM })
}

// Self returns this daemon's own row.
func (t *Table) Self() Member {
	self := t.self
	self.RegionPeak, self.DataCentrePeak = t.peak.Region, t.peak.DataCentre
	self.DataCentresPeak, self.FleetPeak = t.peak.DataCentres, t.peak.Fleet
	return self
}

// SetState changes the state that this daemon announces.
func (t *Table) SetState(state State) {
	t.self.State = state
}

// Beat increments this daemon's beat and sets its loads.
func (t *Table) Beat(loads []Load) {
	t.self.Beat++
	t.self.Loads = loads
}

// Merge merges the rows of another daemon's table.
func (t *Table) Merge(rows []Member, now time.Time) {
	for _, member := range rows {
		if member.VM == t.self.VM {
			t.raiseIncarnation(member)
			continue
		}
		t.merge(member, now)
	}
	t.peak.raise(t.count(now))
}

// raiseIncarnation moves this daemon's incarnation above that of an earlier process
// on this VM, whose clock may have been ahead and which other daemons still know.
func (t *Table) raiseIncarnation(member Member) {
	if member.Incarnation > t.self.Incarnation {
		t.self.Incarnation = member.Incarnation + 1
	}
}

func (t *Table) merge(member Member, now time.Time) {
	peer, found := t.rows[member.VM]
	if found && !newer(member, peer.Member) {
		return
	}
	member.LeavingSince = leavingSince(member, peer.Member, now)
	t.demand.record(demandKey{vm: member.VM, incarnation: member.Incarnation}, member.Region, member.Demand, now)
	t.rows[member.VM] = row{Member: member, lastHeard: now}
	// A daemon that has restarted learns how many others there may be.
	if member.Region == t.self.Region {
		t.peak.raise(Peak{Region: min(member.RegionPeak, maxPeak)})
	}
	if t.isLocal(member) {
		t.peak.raise(Peak{DataCentre: min(member.DataCentrePeak, maxPeak)})
	}
	// Heartbeats to another data centre leave out third ones, so that daemons of data
	// centres without seeds may see only some of the others. Who hears that all data centres
	// were seen hears of their daemons too: it may be cut off from the rest of its own.
	t.peak.raise(Peak{DataCentres: min(member.DataCentresPeak, maxPeak), Fleet: min(member.FleetPeak, maxPeak)})
}

// leavingSince returns since when a member is known to be leaving, given its previous
// row.
func leavingSince(member, previous Member, now time.Time) time.Time {
	switch {
	case member.State != Leaving:
		return time.Time{}
	case previous.State == Leaving && previous.Incarnation == member.Incarnation:
		return previous.LeavingSince
	}
	return now
}

func newer(a, b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Beat > b.Beat
}

// Forget removes daemons whose beat has not grown for forgetAfter, and old demand.
func (t *Table) Forget(now time.Time) {
	for vm, peer := range t.rows {
		if now.Sub(peer.lastHeard) > forgetAfter {
			delete(t.rows, vm)
		}
	}
	t.demand.forget(now)
}

// MarkUnreachable records that the daemon could not be reached. If its beat has not
// grown for half of the timeout of the local data centre, the daemon counts as
// unreachable immediately. One that is leaving keeps its timeout: it gets no requests,
// and is expected to be back.
func (t *Table) MarkUnreachable(vm types.VMID, now time.Time) {
	peer, found := t.rows[vm]
	if found && peer.State != Leaving && now.Sub(peer.lastHeard) > HeartbeatTimeout/2 {
		peer.lastHeard = now.Add(-remoteHeartbeatTimeout)
		t.rows[vm] = peer
	}
}

// live reports whether the row's beat grew within the timeout.
func (t *Table) live(peer row, now time.Time) bool {
	limit := remoteHeartbeatTimeout
	if t.isLocal(peer.Member) {
		limit = HeartbeatTimeout
	}
	return now.Sub(peer.lastHeard) < limit
}

// isLocal reports whether the daemon is in this daemon's data centre.
func (t *Table) isLocal(member Member) bool {
	return sameDataCentre(member, t.self)
}

func sameDataCentre(a, b Member) bool {
	return a.Region == b.Region && a.DataCentre == b.DataCentre
}

// HeartbeatMembers returns the rows for a heartbeat to a daemon. A daemon of the
// local data centre, or an unknown daemon, gets all live rows. A daemon of another
// data centre gets the rows of the local data centre and of its own data centre,
// whose daemons may not have found each other yet.
func (t *Table) HeartbeatMembers(vm types.VMID, now time.Time) []Member {
	peer, found := t.rows[vm]
	local := found && t.isLocal(peer.Member)
	rows := []Member{withoutOldDemand(t.Self(), now)}
	for _, member := range t.Live(now) {
		if local || !found || t.isLocal(member) || sameDataCentre(member, peer.Member) {
			rows = append(rows, withoutOldDemand(member, now))
		}
	}
	return rows
}

// Live returns the other daemons whose beat grew within the timeout, sorted by VM.
func (t *Table) Live(now time.Time) []Member {
	var live []Member
	for _, peer := range t.rows {
		if t.live(peer, now) {
			live = append(live, peer.Member)
		}
	}
	slices.SortFunc(live, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return live
}

// count returns the numbers of live daemons, including this one.
func (t *Table) count(now time.Time) Peak {
	live := Peak{DataCentre: 1, Region: 1, Fleet: 1}
	dataCentres := map[dataCentreKey]bool{keyOf(t.self): true}
	for _, peer := range t.rows {
		if !t.live(peer, now) {
			continue
		}
		live.Fleet++
		dataCentres[keyOf(peer.Member)] = true
		if peer.Region == t.self.Region {
			live.Region++
		}
		if t.isLocal(peer.Member) {
			live.DataCentre++
		}
	}
	live.DataCentres = len(dataCentres)
	return live
}

// Peak returns the largest numbers of daemons seen at once.
func (t *Table) Peak() Peak {
	return t.peak
}

// Number of beats between two heartbeats to the same kind of target.
const (
	// regionInterval is for other data centres of the region, worldInterval for other
	// regions, seedInterval for seeds that are not known.
	regionInterval = 2
	worldInterval  = 4
	seedInterval   = 8
)

// Targets returns the daemons to which the next heartbeat goes: one daemon of the
// local data centre each time, and periodically an unknown seed, which rejoins
// tables after a partition. A daemon that has just started sends to a seed each
// time, and to all of its seeds while it knows no other daemon. One daemon per
// data centre, the first by rendezvous hashing, sends to one daemon of each other
// data centre, so that the traffic between data centres does not grow with the
// number of daemons.
func (t *Table) Targets(now time.Time, rand route.Rand) []types.VMID {
	local, remote := t.splitByDataCentre(now)
	targets := appendRandom(nil, local, rand)
	if t.isDelegate(local) {
		for dataCentre, vms := range remote {
			if t.self.Beat%beatsBetween(dataCentre.region == t.self.Region) == 0 {
				targets = appendRandom(targets, vms, rand)
			}
		}
	}
	switch {
	case t.Joining() && len(local)+len(remote) == 0:
		targets = append(targets, t.seeds...)
	case t.Joining():
		targets = appendRandom(targets, t.seeds, rand)
	case len(local)+len(remote) == 0 || t.self.Beat%seedInterval == 0:
		targets = appendRandom(targets, t.unknownSeeds(now), rand)
	}
	return targets
}

// joinBeats is the number of beats during which a started daemon joins the others.
const joinBeats = 10

// Joining reports whether this daemon has just started and sends to its seeds at
// every beat: after a power loss all daemons look for each other at once.
func (t *Table) Joining() bool {
	return t.self.Beat <= joinBeats
}

func beatsBetween(sameRegion bool) uint64 {
	if sameRegion {
		return regionInterval
	}
	return worldInterval
}

// delegateKey is the rendezvous key that chooses the delegate of a data centre.
const delegateKey = "speaker"

// isDelegate reports whether this daemon is the one of its data centre that sends
// heartbeats to other data centres; local lists the other live daemons there.
func (t *Table) isDelegate(local []types.VMID) bool {
	return rendezvous.Top(delegateKey, append(local, t.self.VM), 1)[0] == t.self.VM
}

// dataCentreKey identifies a data centre of a region.
type dataCentreKey struct {
	region types.Region
	dc     types.DataCentre
}

func keyOf(member Member) dataCentreKey {
	return dataCentreKey{region: member.Region, dc: member.DataCentre}
}

func appendRandom(targets, from []types.VMID, rand route.Rand) []types.VMID {
	if len(from) == 0 {
		return targets
	}
	return append(targets, from[route.IntN(rand, len(from))])
}

// splitByDataCentre returns the live daemons of the local data centre, and those of
// each other data centre.
func (t *Table) splitByDataCentre(now time.Time) (local []types.VMID, remote map[dataCentreKey][]types.VMID) {
	remote = make(map[dataCentreKey][]types.VMID)
	for _, member := range t.Live(now) {
		if t.isLocal(member) {
			local = append(local, member.VM)
			continue
		}
		key := keyOf(member)
		remote[key] = append(remote[key], member.VM)
	}
	return local, remote
}

func (t *Table) unknownSeeds(now time.Time) []types.VMID {
	var unknown []types.VMID
	for _, seed := range t.seeds {
		peer, found := t.rows[seed]
		if !found || !t.live(peer, now) {
			unknown = append(unknown, seed)
		}
	}
	return unknown
}
