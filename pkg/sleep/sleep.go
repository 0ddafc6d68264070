// Package sleep waits in a way that a context can end.
package sleep

import (
	"context"
	"time"
)

// For waits for the delay and reports whether ctx is still active; it returns at once
// when ctx ends. A delay of zero or less does not wait.
func For(ctx context.Context, delay time.Duration) bool {
	if delay <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
