package plan

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Times of a plan with a store that comes back from a copy.
const (
	// restoredStart is the earliest time of the first copy.
	restoredStart = 1500 * time.Millisecond
	// minCopyAge and maxCopyAge bound the age of a copy when the store goes away.
	minCopyAge = time.Second
	maxCopyAge = 5 * time.Second
	// maxAfterRestore bounds the time from the end of a copy's age in which things still
	// happen beside a restore.
	maxAfterRestore = 5 * time.Second
	// maxCopyGap bounds the time between the end of a copy's age and the next copy, which
	// every other time comes after another longCopyGap, so that what is due is judged.
	maxCopyGap  = 3 * time.Second
	longCopyGap = 9 * time.Second
	// mostLost and mostLater are one more than the most steps of the operator and of
	// endpoints, beyond the first one each, whose records a restore loses, and that come
	// after it.
	mostLost, mostLater = 4, 3
)

var (
	// written holds what operator and endpoints write.
	written = []Kind{Move, Move, Move, Evacuate, Drain, Leave}
	// besideRestore holds what happens to daemons beside a restore.
	besideRestore = []Kind{Stop, Stop, Kill, KillAll, Pause, Reload, StoreLink, StoreForgets}
)

// Restored draws times at which the store comes back from a copy, with changes whose
// records are lost and others after that, beside stops, kills and pauses of daemons and
// faults of their links to the store. Some copies are taken before the store has come back
// from the one before. The draws are apart from those of the other plans.
func Restored(seed uint64, length time.Duration) []Step {
	rng := rand.New(rand.NewPCG(seed, 0x636f7079))
	var steps []Step
	for at := restoredStart + upTo(rng, time.Second); at < length; {
		restore := drawn(rng, Restore, at, minCopyAge, maxCopyAge)
		gone := at + restore.For
		steps = append(steps, restore)
		for range 1 + rng.IntN(mostLost) {
			steps = append(steps, drawn(rng, written[rng.IntN(len(written))], at+upTo(rng, restore.For), minFor, maxFor))
		}
		for range 1 + rng.IntN(mostLater) {
			steps = append(steps, drawn(rng, written[rng.IntN(len(written))], gone+upTo(rng, maxAfterRestore), minFor, maxFor))
		}
		if rng.IntN(2) == 0 {
			kind := besideRestore[rng.IntN(len(besideRestore))]
			steps = append(steps, drawn(rng, kind, at+upTo(rng, restore.For+maxAfterRestore), minFor, maxFor))
		}
		at = gone + upTo(rng, maxCopyGap) - minCopyAge
		if rng.IntN(2) == 0 {
			at += longCopyGap
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return slices.DeleteFunc(steps, func(step Step) bool { return step.At >= length })
}
