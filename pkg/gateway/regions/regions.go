// Package regions decides which other region serves a request for which the
// local region has no capacity, from the load that daemons last reported for each
// region. This spillover serves regions at their daily peak while others have
// free capacity. Reports from other regions are some seconds old, so spilled
// requests are spread randomly over the regions.
package regions

import (
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Load is the load of a service's endpoints in one region.
type Load struct {
	// Slots is how many requests the endpoints run concurrently. Busy sums up
	// the requests in flight, the waiting requests and the slots that cannot be
	// used; it may exceed Slots.
	Slots float64
	Busy  float64
	// Response is the average time until responses started lately, of all daemons that
	// saw some; zero if none did.
	Response time.Duration
}

// FreeFraction returns the fraction of the slots that is free; it is negative when
// Busy exceeds Slots.
func (l Load) FreeFraction() float64 {
	if l.Slots == 0 {
		return 0
	}
	return (l.Slots - l.Busy) / l.Slots
}

// Loads sums up the loads that daemons last reported for the service, by region.
// It omits regions without endpoints of the service.
func Loads(view *catalog.View, daemons []members.Member, service types.ServiceName) map[types.Region]Load {
	loads := make(map[types.Region]Load)
	for _, endpoint := range view.Endpoints[service] {
		load := loads[endpoint.Region]
		load.Slots += float64(max(endpoint.Slots, 1))
		loads[endpoint.Region] = load
	}
	told := make(map[types.Region]int)
	for _, member := range daemons {
		load, hasEndpoints := loads[member.Region]
		if !hasEndpoints {
			continue
		}
		for _, serviceLoad := range member.Loads {
			if serviceLoad.Service == service {
				load.Busy += float64(serviceLoad.InFlight + serviceLoad.Waiting + serviceLoad.Blocked)
				load.addResponse(serviceLoad, told, member.Region)
			}
		}
		loads[member.Region] = load
	}
	return loads
}

// minWeight is the least weight, in slots, of a region in the random choice, so
// that a region without free slots can be chosen.
const minWeight = 0.5

// Candidates returns the regions among which PickSpillover picks, sorted.
func Candidates(loads map[types.Region]Load, leastFree float64, usable func(types.Region) bool) []types.Region {
	var candidates []types.Region
	for region, load := range loads {
		if usable(region) && (leastFree <= 0 || load.FreeFraction() > leastFree) {
			candidates = append(candidates, region)
		}
	}
	slices.Sort(candidates)
	return candidates
}

// PickSpillover picks a usable region at random, weighted by its free slots, among
// the regions whose free fraction exceeds leastFree; a leastFree of zero or less
// admits all usable regions.
func PickSpillover(loads map[types.Region]Load, leastFree float64, usable func(types.Region) bool, rand route.Rand) (types.Region, bool) {
	candidates := Candidates(loads, leastFree, usable)
	var chosen types.Region
	total := 0.0
	for _, region := range candidates {
		weight := max(loads[region].Slots-loads[region].Busy, minWeight)
		total += weight
		if route.Float64(rand)*total < weight {
			chosen = region
		}
	}
	return chosen, chosen != ""
}
