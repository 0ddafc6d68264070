package proxy

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
)

// Parts of arrivalTime that a forwarded retry has after the connection to the other
// daemon: hopTransit to get there and hopTime to reach an endpoint from there.
const (
	hopTransit = 200 * time.Millisecond
	hopTime    = 600 * time.Millisecond
)

// minChargeLeft is the least time left of a reservation for an attempt to be sent
// with it; an older one is replaced by a new charge.
const minChargeLeft = 1200 * time.Millisecond

// affordable reports whether the retry budget would permit another attempt now.
func (r *run) affordable() bool {
	if r.sent == 0 || !r.chargedAt.IsZero() || r.retryReservedAt.Load() != nil {
		return true
	}
	if !r.h.opts.RetryBudgets.Permits(r.req.Service, r.h.budgetTime()) {
		r.recordDenied()
		return false
	}
	return true
}

// charge takes the attempt that is about to be sent from the retry budget if the
// request may have reached an endpoint before, and reports whether it may be sent.
func (r *run) charge() bool {
	if r.sent == 0 {
		return true
	}
	if reserved := r.retryReservedAt.Swap(nil); reserved != nil {
		r.chargedAt = *reserved
	}
	now := r.h.budgetTime()
	if !r.chargedAt.IsZero() && r.arriveBy().Sub(now) >= minChargeLeft {
		return true
	}
	r.refund()
	if !r.h.opts.RetryBudgets.Allow(r.req.Service, now) {
		r.recordDenied()
		return false
	}
	r.chargedAt = now
	return true
}

// recordDenied records that the retry budget did not permit an attempt.
func (r *run) recordDenied() {
	r.retryDenied = true
	r.h.opts.Metrics.countDenied(r.req.Service)
}

// reserveRetry charges an attempt that ends the current one, and reports whether the
// budget permits it. It may be called from any goroutine.
func (r *run) reserveRetry() bool {
	if !r.reserveQuota() {
		return false
	}
	now := r.h.budgetTime()
	if !r.h.opts.RetryBudgets.Allow(r.req.Service, now) {
		r.h.opts.Metrics.countDenied(r.req.Service)
		return false
	}
	r.retryReservedAt.Store(&now)
	return true
}

// refund returns a charge that no attempt has used.
func (r *run) refund() {
	if !r.chargedAt.IsZero() {
		r.h.opts.RetryBudgets.Refund(r.req.Service, r.chargedAt, r.h.budgetTime())
		r.chargedAt = time.Time{}
	}
}

// refundAll returns the charge and the reservation of a request that has ended.
func (r *run) refundAll() {
	r.refund()
	if reserved := r.retryReservedAt.Swap(nil); reserved != nil {
		r.h.opts.RetryBudgets.Refund(r.req.Service, *reserved, r.h.budgetTime())
	}
}

// arriveBy returns when, in budget time, the next attempt must reach an endpoint, so
// that it arrives in the time for which it was charged; zero if it may arrive at any
// time.
func (r *run) arriveBy() time.Time {
	if !r.chargedAt.IsZero() {
		return r.chargedAt.Add(arrivalTime)
	}
	return r.req.ArriveBy
}

// forwardBy returns when, in budget time, the next attempt must have a connection to another daemon;
// zero sets no limit.
func (r *run) forwardBy() time.Time {
	if r.chargedAt.IsZero() {
		return time.Time{}
	}
	return r.arriveBy().Add(-hopTransit - hopTime)
}

// waitLimit returns how long the next attempt may wait for capacity; zero means
// that nothing but its deadline and objective limits it. The request's own daemon
// charges it after the wait, so only one that another daemon has charged is limited.
func (r *run) waitLimit() time.Duration {
	if r.req.ArriveBy.IsZero() {
		return 0
	}
	return max(r.req.ArriveBy.Sub(r.h.budgetTime()), 1)
}

// release returns an endpoint's permit, or ends a handover, that no attempt will use.
func (r *run) release(dest destination) {
	switch {
	case dest.handover != nil:
		r.dropHandover(dest.handover)
	case dest.endpoint != nil:
		r.h.opts.Gate.Done(dest.endpoint, balance.Abandoned)
	}
}

// budgetTime returns the time by which retries are charged and sent. Unlike Now it
// also counts the time for which the VM was suspended.
func (h *Handler) budgetTime() time.Time {
	return h.inBudgetTime(h.opts.Now())
}

// inBudgetTime converts a time of Now; zero stays zero.
func (h *Handler) inBudgetTime(t time.Time) time.Time {
	if t.IsZero() || h.opts.Suspended == nil {
		return t
	}
	return t.Add(h.opts.Suspended())
}

// earliest returns the earlier of two times of which zero means never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
