package plan

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Times of a plan with endpoints that start again.
const (
	// restartsStart is the earliest time of the first crash.
	restartsStart = 2 * time.Second
	// minAway and maxAway bound the time for which an endpoint is away.
	minAway = 300 * time.Millisecond
	maxAway = 4 * time.Second
	// maxAgainDelay bounds the time between two crashes of a series. It is shorter than
	// most are away, so that they overlap.
	maxAgainDelay = 1500 * time.Millisecond
	// maxBesideDelay bounds the time between the first crash of a series and what
	// happens beside it.
	maxBesideDelay = 2 * time.Second
	// maxSeriesGap bounds the time between the first crashes of two series.
	maxSeriesGap = 4 * time.Second
	// mostAgain and mostBeside are one more than the most further crashes of a series,
	// and than the most that happens beside it.
	mostAgain, mostBeside = 3, 3
)

// beside holds what happens beside endpoints that start again.
var beside = []Kind{StoreDown, StoreDown, StoreLink, StoreForgets, Stop, Kill, Pause, Reload, EndpointLink, Move, Rejoin, Rejoin}

// Restarts draws crashes of endpoints that start again under their IDs, in series that
// overlap, beside stops, kills and pauses of daemons, a store that is away, and endpoints
// that leave and start again. The draws are apart from those of the other plans.
func Restarts(seed uint64, length time.Duration) []Step {
	rng := rand.New(rand.NewPCG(seed, 0x72657374))
	var steps []Step
	for first := restartsStart + upTo(rng, time.Second); first < length; first += upTo(rng, maxSeriesGap) {
		at := first
		for range 1 + rng.IntN(mostAgain) {
			steps = append(steps, drawn(rng, Revive, at, minAway, maxAway))
			at += upTo(rng, maxAgainDelay)
		}
		for range rng.IntN(mostBeside) {
			kind := beside[rng.IntN(len(beside))]
			steps = append(steps, drawn(rng, kind, first+upTo(rng, maxBesideDelay), minFor, maxFor))
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return slices.DeleteFunc(steps, func(step Step) bool { return step.At >= length })
}

// drawn draws a step that lasts from least to most.
func drawn(rng *rand.Rand, kind Kind, at, least, most time.Duration) Step {
	return Step{At: at, Kind: kind, Target: rng.IntN(1 << 16), Variant: rng.IntN(1 << 16), For: least + upTo(rng, most-least)}
}
