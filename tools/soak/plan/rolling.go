package plan

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Times of a rolling plan.
const (
	// rollingStart is the earliest time of a region's first stop, and maxRollingDelay
	// bounds what comes on top of it.
	rollingStart    = time.Second
	maxRollingDelay = 3 * time.Second
	// stopInterval is the least time between two stops of a region, so that one daemon is
	// back before the next one stops, and maxStopDelay bounds what comes on top of it.
	stopInterval = 8500 * time.Millisecond
	maxStopDelay = 1500 * time.Millisecond
	// maxReloadDelay bounds the time between a stop and a reload of the same daemon.
	maxReloadDelay = 5 * time.Second
	// maxReplaceDelay bounds the time between a stop and the start of the next process.
	maxReplaceDelay = 4 * time.Second
)

// Rolling draws planned stops in series, one for each region, which overlap: in each
// region one daemon stops at a time, in an order of its own, with reloads and
// configurations among them. Regions holds the daemons' numbers. The draws are apart from
// those of New.
func Rolling(seed uint64, regions [][]int, length time.Duration) []Step {
	rng := rand.New(rand.NewPCG(seed, 0x726f6c6c))
	var steps []Step
	for _, daemons := range regions {
		order := rng.Perm(len(daemons))
		at := rollingStart + upTo(rng, maxRollingDelay)
		for number := 0; at < length; number++ {
			steps = append(steps, rollingStop(rng, at, daemons[order[number%len(order)]])...)
			at += stopInterval + upTo(rng, maxStopDelay)
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return slices.DeleteFunc(steps, func(step Step) bool { return step.At >= length })
}

// rollingStop draws the stop of a daemon and what comes with it.
func rollingStop(rng *rand.Rand, at time.Duration, daemon int) []Step {
	stop := Step{At: at, Kind: Stop, Target: daemon}
	if rng.IntN(2) == 0 {
		stop.Kind, stop.For = Replace, upTo(rng, maxReplaceDelay)
	}
	steps := []Step{stop}
	if rng.IntN(2) == 0 {
		steps = append(steps, Step{At: at + upTo(rng, maxReloadDelay), Kind: Reload, Target: daemon})
	}
	if rng.IntN(2) == 0 {
		steps = append(steps, Step{At: at + upTo(rng, maxReloadDelay), Kind: Move, Variant: rng.IntN(2)})
	}
	return steps
}

// upTo draws a time below most.
func upTo(rng *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(most)))
}
