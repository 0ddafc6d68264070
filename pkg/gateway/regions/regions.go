// Package regions decides which other region takes a request that finds no room
// in its own, from what the daemons said last of the load in each region. It
// answers a region at its daily peak while others have room. News of other
// regions are some seconds old, so requests that leave are spread.
package regions

import (
	"slices"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Load is what the endpoints of a service in one region have to do.
type Load struct {
	// Slots is how many requests they run at once, Busy how many they have, that
	// wait for them, or that can't be used.
	Slots float64
	Busy  float64
}

// FreeFraction is the part of the slots that is free.
func (l Load) FreeFraction() float64 {
	if l.Slots == 0 {
		return 0
	}
	return (l.Slots - l.Busy) / l.Slots
}

// Loads sums up what the daemons said last, by region with endpoints of the
// service.
func Loads(view *catalog.View, daemons []members.Member, service types.ServiceName) map[types.Region]Load {
	found := make(map[types.Region]Load)
	for _, endpoint := range view.Endpoints[service] {
		load := found[endpoint.Region]
		load.Slots += float64(max(endpoint.Slots, 1))
		found[endpoint.Region] = load
	}
	for _, member := range daemons {
		load, known := found[member.Region]
		if !known {
			continue
		}
		for _, one := range member.Loads {
			if one.Service == service {
				load.Busy += float64(one.InFlight + one.Waiting + one.Blocked)
			}
		}
		found[member.Region] = load
	}
	return found
}

// minWeight keeps a region without free slots in the draw.
const minWeight = 0.5

// PickSpillover draws another region by its free slots, among those that have more
// than a part of them free; a part of zero or less takes any.
func PickSpillover(loads map[types.Region]Load, leastFree float64, usable func(types.Region) bool, rand route.Rand) (types.Region, bool) {
	var names []types.Region
	for region, load := range loads {
		if usable(region) && (leastFree <= 0 || load.FreeFraction() > leastFree) {
			names = append(names, region)
		}
	}
	slices.Sort(names)
	var chosen types.Region
	total := 0.0
	for _, region := range names {
		weight := max(loads[region].Slots-loads[region].Busy, minWeight)
		total += weight
		if route.Float64(rand)*total < weight {
			chosen = region
		}
	}
	return chosen, chosen != ""
}
