package proxy

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingomount/flamingomount/pkg/gateway/quota"
	"github.com/flamingomount/flamingomount/pkg/gateway/quota/exchange"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Bounds on the wait for credit of other daemons.
const (
	// quotaWaitShare is the part of the objective that a request may wait for credit.
	quotaWaitShare = 0.25
	// maxQuotaWait bounds that wait, and is the wait of a request without an objective.
	maxQuotaWait = 500 * time.Millisecond
)

// quotaCharge is the units that a request holds of its organisation's quota. Each attempt
// that may have run uses one charge. Safe for concurrent use.
type quotaCharge struct {
	mu sync.Mutex
	// current is for the attempt that is sent next or runs, next for the one after it;
	// nil if there is none.
	current, next *quotaUnits
	// refusal is why the request got no units; nil if it got them.
	refusal *exchange.Refusal
}

type quotaUnits struct {
	charge quota.Charge
	cost   float64
}

// quotaCost returns the units that an attempt takes; false if nothing limits it. The daemon
// that took the request from its caller charges it.
func (r *run) quotaCost() (float64, bool) {
	organisation := r.req.Organisation
	if r.h.opts.Quotas == nil || r.req.ForwardedBy != "" || organisation == nil || organisation.Quota == nil {
		return 0, false
	}
	return organisation.Quota.Cost(r.req.PromptTokens, r.req.OutputTokens), true
}

// chargeQuota takes the units of the next attempt, and waits for credit if needed. It
// returns a failure if there is none.
func (r *run) chargeQuota() *types.Failure {
	cost, limited := r.quotaCost()
	if !limited || r.quota.take() {
		return nil
	}
	charge, refusal, err := r.h.opts.Quotas.Acquire(r.ctx, r.req.Organisation.Name, cost, r.sent > 0, r.quotaWait())
	if err != nil {
		return r.contextFailure(types.NotRun)
	}
	if refusal != nil {
		r.quota.refusal = refusal
		return overQuota(refusal.RetryAfter)
	}
	r.quota.set(&quotaUnits{charge: charge, cost: cost})
	return nil
}

// overQuota returns the failure of a request beyond its organisation's quota.
func overQuota(retryAfter time.Duration) *types.Failure {
	return notRunFailure(types.CodeOverQuota, "the organisation is beyond its quota", retryAfter)
}

// quotaRefusal returns the failure of a request that got no units for its next attempt:
// that of the attempt before it, if there was one.
func quotaRefusal(lastFailure, refusal *types.Failure) *types.Failure {
	if lastFailure != nil {
		return lastFailure
	}
	return refusal
}

// quotaWait returns how long the request may wait for credit.
func (r *run) quotaWait() time.Duration {
	if objective := r.req.Route.Objective; objective > 0 {
		return min(time.Duration(float64(objective)*quotaWaitShare), maxQuotaWait)
	}
	return maxQuotaWait
}

// reserveQuota takes the units of the attempt after the current one without a wait. It may
// be called from any goroutine.
func (r *run) reserveQuota() bool {
	cost, limited := r.quotaCost()
	if !limited {
		return true
	}
	charge, ok := r.h.opts.Quotas.TryCharge(r.req.Organisation.Name, cost)
	if ok {
		r.refundQuota(r.quota.reserve(&quotaUnits{charge: charge, cost: cost}))
	}
	return ok
}

// settleQuota records that an attempt has ended. Units of one that did not run are kept for
// the next attempt.
func (r *run) settleQuota(failure *types.Failure) {
	if r.reached && (failure == nil || failure.Verdict != types.NotRun) {
		r.quota.set(nil)
	}
}

// refundQuotas gives back what the request holds at its end.
func (r *run) refundQuotas() {
	current, next := r.quota.clear()
	r.refundQuota(current)
	r.refundQuota(next)
}

func (r *run) refundQuota(units *quotaUnits) {
	if units != nil {
		r.h.opts.Quotas.Refund(units.charge, units.cost)
	}
}

// addQuotaFields adds who was refused to the fields of a request's line, and why.
func (r *run) addQuotaFields(fields logrus.Fields) {
	if r.quota.refusal == nil {
		return
	}
	fields["organisation"] = r.req.Organisation.Name
	fields["quota_cost"], fields["quota_credit"] = r.quota.refusal.Cost, r.quota.refusal.Credit
	fields["retry_after_ms"] = r.quota.refusal.RetryAfter.Milliseconds()
}

// take makes reserved units the current ones, and reports whether there are any.
func (q *quotaCharge) take() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.current == nil {
		q.current, q.next = q.next, nil
	}
	return q.current != nil
}

// spend forgets the units of an attempt that may run, also if they are only reserved.
func (q *quotaCharge) spend() {
	q.take()
	q.set(nil)
}

// set replaces the current units.
func (q *quotaCharge) set(units *quotaUnits) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.current = units
}

// reserve sets the units of the next attempt and returns those that were reserved before.
func (q *quotaCharge) reserve(units *quotaUnits) (previous *quotaUnits) {
	q.mu.Lock()
	defer q.mu.Unlock()
	previous, q.next = q.next, units
	return previous
}

// clear returns the units that no attempt has used, and forgets them.
func (q *quotaCharge) clear() (current, next *quotaUnits) {
	q.mu.Lock()
	defer q.mu.Unlock()
	current, next = q.current, q.next
	q.current, q.next = nil, nil
	return current, next
}
