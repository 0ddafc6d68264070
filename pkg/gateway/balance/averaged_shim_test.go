package balance_test

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
)

// averagedFailure tells that an endpoint answered that a request failed.
func averagedFailure(pool *balance.Pool, permit *balance.Permit, now time.Time) {
	pool.ResponseFailed(permit, now)
}

// averagedSuccess tells that a complete response arrived, and its pace.
func averagedSuccess(pool *balance.Pool, permit *balance.Permit, now time.Time) {
	permit.SetPace(balance.Pace{Mean: 30 * time.Millisecond, Longest: 200 * time.Millisecond})
	pool.Done(permit, balance.Succeeded, now)
}
