package spill

import (
	"sync"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	// ewmaWeight is the weight of the newest wait in the moving average.
	ewmaWeight = 0.1
	// maxMeanAge is how long a mean is used after the last recorded wait.
	maxMeanAge = 2 * time.Second
)

// WaitEstimator corrects the predicted wait of a service by the measured waits
// of its requests. A prediction from the queue length alone is too short while
// long requests occupy the slots. The zero value is ready to use. It is safe
// for concurrent use.
type WaitEstimator struct {
	mu    sync.Mutex
	ranks [types.RankCount]struct {
		mean      time.Duration
		updatedAt time.Time
	}
}

// RecordWait records the wait of a request that has started.
func (w *WaitEstimator) RecordWait(rank types.Rank, wait time.Duration, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	estimate := &w.ranks[rank]
	if now.Sub(estimate.updatedAt) > maxMeanAge {
		estimate.mean = wait
	}
	estimate.mean += time.Duration(ewmaWeight * float64(wait-estimate.mean))
	estimate.updatedAt = now
}

// Predict returns the wait to expect for a request that has to queue: the given
// prediction or, if that is longer, the mean of the waits recorded recently.
func (w *WaitEstimator) Predict(rank types.Rank, predicted time.Duration, now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	estimate := &w.ranks[rank]
	if now.Sub(estimate.updatedAt) > maxMeanAge {
		return predicted
	}
	return max(predicted, estimate.mean)
}
