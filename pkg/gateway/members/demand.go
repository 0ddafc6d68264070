package members

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/demand"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	// demandLifetime is how long the demand that a daemon told is used; the daemon
	// counted it over a time as long.
	demandLifetime = 2 * demand.Window
	// demandRepeat is for how long heartbeats repeat the demand of a daemon that leaves,
	// which it sent to every daemon itself.
	demandRepeat = 3 * time.Second
	// maxDemandRoutes bounds the routes whose demand a daemon may tell.
	maxDemandRoutes = 64
	// maxDemand bounds the requests that it may tell for one route.
	maxDemand = 1 << 32
	// maxToldDemand bounds the daemons whose demand one message tells.
	maxToldDemand = 64
)

// ToldDemand is what the callers of a daemon lately asked for, as it told when it left.
type ToldDemand struct {
	VM          types.VMID    `json:"vm"`
	Incarnation uint64        `json:"run"`
	Region      types.Region  `json:"region"`
	Counts      demand.Counts `json:"counts"`
	// Age is how long ago the daemon told it.
	Age time.Duration `json:"age"`
}

// demandTable holds what daemons that left told of their callers. It outlives their rows:
// they may be back without any callers yet, or not come back.
type demandTable struct {
	told map[demandKey]toldDemand
	// sums holds the sums by region; nil if they are outdated.
	sums map[types.Region]demand.Counts
}

// demandKey identifies a run of a daemon.
type demandKey struct {
	vm          types.VMID
	incarnation uint64
}

type toldDemand struct {
	region types.Region
	counts demand.Counts
	at     time.Time
}

func newDemandTable() demandTable {
	return demandTable{told: make(map[demandKey]toldDemand)}
}

// copy returns a table with the same content.
func (d *demandTable) copy() demandTable {
	return demandTable{told: maps.Clone(d.told)}
}

// record records what a run of a daemon told; what it repeats changes nothing.
func (d *demandTable) record(key demandKey, region types.Region, counts demand.Counts, at time.Time) {
	if _, known := d.told[key]; known || len(counts) == 0 || len(counts) > maxDemandRoutes {
		return
	}
	bounded := make(demand.Counts, len(counts))
	for route, requests := range counts {
		bounded[route] = min(requests, maxDemand)
	}
	d.told[key] = toldDemand{region: region, counts: bounded, at: at}
	d.sums = nil
}

// forget removes what is older than demandLifetime.
func (d *demandTable) forget(now time.Time) {
	for key, told := range d.told {
		if now.Sub(told.at) > demandLifetime {
			delete(d.told, key)
			d.sums = nil
		}
	}
}

// Leave makes this daemon announce that it is leaving, with the requests that it had
// from its callers: the daemons that answer these callers next may know nothing of them.
func (t *Table) Leave(counts demand.Counts, now time.Time) {
	t.self.State = Leaving
	t.self.LeavingSince = now
	t.self.Demand = counts.Largest(maxDemandRoutes)
}

// MergeDemand merges what another daemon knows of the callers of daemons that left.
func (t *Table) MergeDemand(told []ToldDemand, now time.Time) {
	for _, known := range told {
		key := demandKey{vm: known.VM, incarnation: known.Incarnation}
		t.demand.record(key, known.Region, known.Counts, now.Add(-max(known.Age, 0)))
	}
	t.demand.forget(now)
}

// Demand returns what the callers of each region lately asked for, as the daemons that
// left there told it. The result must not be changed.
func (t *Table) Demand() map[types.Region]demand.Counts {
	if t.demand.sums != nil {
		return t.demand.sums
	}
	sums := make(map[types.Region]demand.Counts)
	for _, told := range t.demand.told {
		if sums[told.region] == nil {
			sums[told.region] = make(demand.Counts)
		}
		sums[told.region].Add(told.counts)
	}
	t.demand.sums = sums
	return sums
}

// ToldDemand returns the same for a message to another daemon: what the daemons told
// that left last, newest first.
func (t *Table) ToldDemand(now time.Time) []ToldDemand {
	var all []ToldDemand
	for key, told := range t.demand.told {
		all = append(all, ToldDemand{
			VM: key.vm, Incarnation: key.incarnation, Region: told.region, Counts: told.counts, Age: now.Sub(told.at),
		})
	}
	slices.SortFunc(all, func(a, b ToldDemand) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return all[:min(len(all), maxToldDemand)]
}

// LeftRegions returns the regions with daemons that announced that they leave and have
// not been heard from since, for as long as the table remembers them.
func (t *Table) LeftRegions() map[types.Region]bool {
	left := make(map[types.Region]bool)
	for _, peer := range t.rows {
		if peer.State == Leaving {
			left[peer.Region] = true
		}
	}
	return left
}

// withoutOldDemand returns a row for a heartbeat.
func withoutOldDemand(member Member, now time.Time) Member {
	if member.LeavingFor(now) > demandRepeat {
		member.Demand = nil
	}
	return member
}
