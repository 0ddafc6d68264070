package members

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/demand"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	// demandLifetime is how long the demand that a daemon told is used; the daemon
	// counted it over a time as long.
	demandLifetime = 2 * demand.Window
	// maxDemandRoutes bounds the routes whose demand a row or message may tell.
	maxDemandRoutes = 256
	// maxDemand bounds the requests that it may tell for one route.
	maxDemand = 1 << 32
)

// RegionDemand is what the callers of a region lately asked for.
type RegionDemand struct {
	Region types.Region  `json:"region"`
	Counts demand.Counts `json:"counts"`
	// Age is how long ago a daemon of the region told the newest part of it.
	Age time.Duration `json:"age"`
}

// toldDemand is demand with the time at which a daemon of the region told it.
type toldDemand struct {
	region types.Region
	counts demand.Counts
	at     time.Time
}

// demandTable holds what daemons that left told of their callers. The demand outlives
// their rows: they may be back without any callers yet, or not come back.
type demandTable struct {
	// byVM holds what a daemon told itself, byRegion what another daemon knew when this
	// one joined.
	byVM     map[types.VMID]toldDemand
	byRegion map[types.Region]toldDemand
}

func newDemandTable() demandTable {
	return demandTable{byVM: make(map[types.VMID]toldDemand), byRegion: make(map[types.Region]toldDemand)}
}

// Leave makes this daemon announce that it is leaving, with the requests that it had
// from its callers: the daemons that answer these callers next may know nothing of them.
func (t *Table) Leave(counts demand.Counts, now time.Time) {
	t.self.State = Leaving
	t.self.LeavingSince = now
	t.self.Demand = counts.Largest(maxDemandRoutes)
}

// recordDemand records the demand that a row tells, once for each run of its daemon.
func (t *Table) recordDemand(member Member, now time.Time) {
	counts, valid := validDemand(member.Demand)
	_, known := t.demand.byVM[member.VM]
	repeated := known && t.rows[member.VM].Incarnation == member.Incarnation
	if valid && !repeated {
		t.demand.byVM[member.VM] = toldDemand{region: member.Region, counts: counts, at: now}
	}
}

// MergeDemand merges what another daemon knows of the callers of the regions.
func (t *Table) MergeDemand(regions []RegionDemand, now time.Time) {
	for _, told := range regions {
		counts, valid := validDemand(told.Counts)
		if valid && counts.Total() > t.demand.byRegion[told.Region].counts.Total() {
			t.demand.byRegion[told.Region] = toldDemand{region: told.Region, counts: counts, at: now.Add(-max(told.Age, 0))}
		}
	}
	t.forgetDemand(now)
}

// validDemand returns counts within their bounds; it returns false if there are none, or
// too many.
func validDemand(told demand.Counts) (demand.Counts, bool) {
	if len(told) == 0 || len(told) > maxDemandRoutes {
		return nil, false
	}
	counts := make(demand.Counts, len(told))
	for route, requests := range told {
		counts[route] = min(requests, maxDemand)
	}
	return counts, true
}

// forgetDemand removes old demand.
func (t *Table) forgetDemand(now time.Time) {
	for vm, told := range t.demand.byVM {
		if now.Sub(told.at) > demandLifetime {
			delete(t.demand.byVM, vm)
		}
	}
	for region, told := range t.demand.byRegion {
		if now.Sub(told.at) > demandLifetime {
			delete(t.demand.byRegion, region)
		}
	}
}

// Demand returns what the callers of each region lately asked for, as daemons there told
// it when they left: the sum of what this daemon heard from them, or what another one
// knew if that is more.
func (t *Table) Demand() map[types.Region]demand.Counts {
	regions := make(map[types.Region]demand.Counts)
	for region, told := range t.sumDemand() {
		regions[region] = told.counts
	}
	return regions
}

// DemandAt returns the same for a message to another daemon, sorted by region.
func (t *Table) DemandAt(now time.Time) []RegionDemand {
	var regions []RegionDemand
	for region, told := range t.sumDemand() {
		regions = append(regions, RegionDemand{Region: region, Counts: told.counts.Largest(maxDemandRoutes), Age: now.Sub(told.at)})
	}
	slices.SortFunc(regions, func(a, b RegionDemand) int { return cmp.Compare(a.Region, b.Region) })
	return regions
}

func (t *Table) sumDemand() map[types.Region]toldDemand {
	regions := make(map[types.Region]toldDemand)
	for _, told := range t.demand.byVM {
		sum := regions[told.region]
		if sum.counts == nil {
			sum.counts = make(demand.Counts)
		}
		sum.counts.Add(told.counts)
		if told.at.After(sum.at) {
			sum.at = told.at
		}
		regions[told.region] = sum
	}
	for region, told := range t.demand.byRegion {
		if told.counts.Total() > regions[region].counts.Total() {
			regions[region] = told
		}
	}
	return regions
}
