package spill

import (
	"sync"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	// waitWeight is the weight of the newest wait in the mean.
	waitWeight = 0.1
	// waitMemory is how long a mean counts after the last start.
	waitMemory = 2 * time.Second
)

// WaitEstimator corrects the predicted wait of a service by the waits that its requests
// really had. A prediction from the length of the queue alone is too short
// while long requests hold the slots. The zero value is ready; it is safe for
// concurrent use.
type WaitEstimator struct {
	mu    sync.Mutex
	ranks [types.RankCount]struct {
		mean time.Duration
		at   time.Time
	}
}

// RecordWait records that a request started after a wait.
func (w *WaitEstimator) RecordWait(rank types.Rank, wait time.Duration, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	seen := &w.ranks[rank]
	if now.Sub(seen.at) > waitMemory {
		seen.mean = wait
	}
	seen.mean += time.Duration(waitWeight * float64(wait-seen.mean))
	seen.at = now
}

// Predict returns the wait to expect of a request that has to queue: the
// prediction or, if that is longer, the mean of what others waited lately.
func (w *WaitEstimator) Predict(rank types.Rank, predicted time.Duration, now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	seen := &w.ranks[rank]
	if now.Sub(seen.at) > waitMemory {
		return predicted
	}
	return max(predicted, seen.mean)
}
