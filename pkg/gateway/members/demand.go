package members

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/demand"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	// demandLifetime is how long the demand that a daemon told is used; the daemon
	// counted it over a time as long.
	demandLifetime = 2 * demand.Window
	// maxDemandRoutes bounds the routes whose demand a row may tell.
	maxDemandRoutes = 256
	// maxDemand bounds the requests that a row may tell for one route.
	maxDemand = 1 << 32
)

// regionDemand is what a daemon of a region told of its callers when it left.
type regionDemand struct {
	region types.Region
	counts demand.Counts
	toldAt time.Time
}

// Leave makes this daemon announce that it is leaving, with the requests that it had
// from its callers: the daemons that answer these callers next may know nothing of them.
func (t *Table) Leave(counts demand.Counts) {
	t.self.State = Leaving
	t.self.Demand = counts.Largest(maxDemandRoutes)
}

// recordDemand records the demand that a row tells. It outlives the row: the daemon may
// be back without any callers yet, or not come back.
func (t *Table) recordDemand(member Member, now time.Time) {
	if len(member.Demand) == 0 || len(member.Demand) > maxDemandRoutes {
		return
	}
	known, found := t.demands[member.VM]
	if found && t.rows[member.VM].Incarnation == member.Incarnation {
		now = known.toldAt
	}
	counts := make(demand.Counts, len(member.Demand))
	for route, requests := range member.Demand {
		counts[route] = min(requests, maxDemand)
	}
	t.demands[member.VM] = regionDemand{region: member.Region, counts: counts, toldAt: now}
}

// forgetDemand removes old demand.
func (t *Table) forgetDemand(now time.Time) {
	for vm, told := range t.demands {
		if now.Sub(told.toldAt) > demandLifetime {
			delete(t.demands, vm)
		}
	}
}

// Demand returns what the callers of each region lately asked for, as the daemons that
// left there told it.
func (t *Table) Demand() map[types.Region]demand.Counts {
	regions := make(map[types.Region]demand.Counts)
	for _, told := range t.demands {
		if regions[told.region] == nil {
			regions[told.region] = make(demand.Counts)
		}
		regions[told.region].Add(told.counts)
	}
	return regions
}
