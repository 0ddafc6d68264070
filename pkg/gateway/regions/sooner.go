package regions

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	// RoundTrip is the time that a request and its response are assumed to take between
	// two regions.
	RoundTrip = 115 * time.Millisecond
	// minGain is the least time that a request must be predicted to gain.
	minGain = 40 * time.Millisecond
	// maxShare bounds the share of the requests that are sent to other regions: the
	// reports by which it is decided are some seconds old.
	maxShare = 0.6
)

// addResponse adds what one daemon told of its responses to the average of its region.
func (l *Load) addResponse(load members.Load, told map[types.Region]int, region types.Region) {
	if load.ResponseMillis <= 0 {
		return
	}
	told[region]++
	seen := time.Duration(load.ResponseMillis) * time.Millisecond
	l.Response += (seen - l.Response) / time.Duration(told[region])
}

// SoonerShare returns the share of the requests that would be sent from a region with a response
// time to one with another. It falls to zero as the other region, the way included, responds
// no sooner, and grows slowly, so that daemons that act on the same old reports neither send
// all of their requests at once nor swing.
func SoonerShare(here, there time.Duration) float64 {
	gain := here - there - RoundTrip
	if there <= 0 || gain < minGain {
		return 0
	}
	return min(gain.Seconds()/(here+RoundTrip).Seconds(), maxShare)
}

// PickSooner decides whether a request goes to another usable region that is predicted to
// respond sooner than the local one, although that has capacity, and to which. Of regions
// that do, each is chosen by its share and its slots; how many of them are free shows in how soon it
// responds. Regions that told nothing lately
// are not chosen.
func PickSooner(loads map[types.Region]Load, here time.Duration, usable func(types.Region) bool, rand route.Rand) (types.Region, bool) {
	type candidate struct {
		region types.Region
		weight float64
	}
	var candidates []candidate
	var largest, total float64
	for region, load := range loads {
		portion := SoonerShare(here, load.Response)
		if portion == 0 || !usable(region) {
			continue
		}
		weight := portion * load.Slots
		candidates = append(candidates, candidate{region, weight})
		largest = max(largest, portion)
	}
	if len(candidates) == 0 || route.Float64(rand) >= largest {
		return "", false
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.region, b.region) })
	var chosen types.Region
	for _, other := range candidates {
		total += other.weight
		if route.Float64(rand)*total < other.weight {
			chosen = other.region
		}
	}
	return chosen, chosen != ""
}
