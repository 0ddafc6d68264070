package plan

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Times of a plan with homes.
const (
	// homesStart is the earliest time of the first stop of a region.
	homesStart = 2 * time.Second
	// maxRegionGap bounds the time between the first stops of two regions. It is longer
	// than a stop, so that some series overlap.
	maxRegionGap = 6 * time.Second
	// maxSpread bounds the time between the stops of a region. It is shorter than a stop,
	// so that no daemon of the region serves for a while.
	maxSpread = 2500 * time.Millisecond
	// regionInterval is the least time between the last stop of a region and the first one
	// of its next series, so that its daemons are back before.
	regionInterval = 7 * time.Second
)

// Homes draws planned stops of whole regions, one region after the other, in series that
// overlap, with reloads and configurations among them. Regions holds the daemons' numbers.
// The draws are apart from those of New and Rolling.
func Homes(seed uint64, regions [][]int, length time.Duration) []Step {
	rng := rand.New(rand.NewPCG(seed, 0x686f6d65))
	var steps []Step
	order, free := rng.Perm(len(regions)), make([]time.Duration, len(regions))
	at := homesStart + upTo(rng, time.Second)
	for number := 0; at < length; number++ {
		region := order[number%len(order)]
		at = max(at, free[region])
		last := at
		for _, daemon := range regions[region] {
			stop := at + upTo(rng, maxSpread)
			last = max(last, stop)
			steps = append(steps, rollingStop(rng, stop, daemon)...)
		}
		free[region] = last + regionInterval
		at += upTo(rng, maxRegionGap)
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return slices.DeleteFunc(steps, func(step Step) bool { return step.At >= length })
}
