package admission

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Wait predicts how long a new request of the rank would wait to start.
func (c *Controller) Wait(rank types.Rank) time.Duration {
	return c.drainTime(rank, float64(c.queues[rank].len()))
}

// Free returns how many further requests of the rank could start immediately.
func (c *Controller) Free(rank types.Rank) int {
	if c.queues[rank].len() > 0 {
		return 0
	}
	free := c.capacity - len(c.running)
	if rank == types.RankPatient {
		free = min(free, c.capacity-c.urgentSlots()-c.runningByRank[types.RankPatient])
	}
	return max(free, 0)
}

// Capacity returns how many requests of all ranks together may run at once.
func (c *Controller) Capacity() int {
	return c.capacity
}

// Queued returns the number of waiting requests of the rank.
func (c *Controller) Queued(rank types.Rank) int {
	return c.queues[rank].len()
}

// QueuedBytes returns the memory of the rank's waiting requests, in bytes.
func (c *Controller) QueuedBytes(rank types.Rank) int64 {
	return c.queues[rank].bytes
}

// Running returns the number of running requests of the rank.
func (c *Controller) Running(rank types.Rank) int {
	return c.runningByRank[rank]
}

// ActiveOrgs returns the number of per-organisation records held. An
// organisation counts once for its running requests and once for each rank in
// which it has a flow.
func (c *Controller) ActiveOrgs() int {
	count := len(c.runningByOrg)
	for _, queue := range c.queues {
		count += len(queue.flows)
	}
	return count
}

// rankSlots returns the number of slots that the rank can rely on.
func (c *Controller) rankSlots(rank types.Rank) float64 {
	floor := c.options.PatientFloor * float64(c.capacity)
	if rank == types.RankUrgent {
		if c.queues[types.RankPatient].len() == 0 {
			return float64(c.capacity)
		}
		return float64(c.capacity) - floor
	}
	return max(float64(c.capacity-c.runningByRank[types.RankUrgent]), floor)
}

// drainTime predicts how long the rank takes to start count requests.
func (c *Controller) drainTime(rank types.Rank, count float64) time.Duration {
	slots := c.rankSlots(rank)
	if slots < 1 {
		slots = 1
	}
	return time.Duration(count * c.holdTimes[rank].mean / slots * float64(time.Second))
}

// wouldMissDeadline predicts whether the request would wait too long for its
// deadline. The requests ahead of it are the whole queue or those that fair
// queueing starts earlier, whichever is fewer.
func (c *Controller) wouldMissDeadline(o Offer, now time.Time) bool {
	queue := c.queues[o.Rank]
	if queue.len() == 0 {
		return false
	}
	ahead := float64(queue.len())
	own, shares := 0.0, queue.shares+o.Share
	if f := queue.flows[o.Org]; f != nil && len(f.waiting) > 0 {
		own = float64(len(f.waiting))
		shares = queue.shares
	}
	ahead = min(ahead, (own+1)*shares/o.Share)
	wait := c.drainTime(o.Rank, ahead)
	remaining := o.Deadline.Sub(now) - c.holdTimes[o.Rank].upperEstimate()
	return float64(wait) > c.options.MaxWaitShare[o.Rank]*float64(remaining)
}

// ensureQueueSpace keeps the queue within its limits. While the offer does not
// fit, the organisation with the greatest weighted queue length loses its last
// request; if that is the offering organisation itself, the offer is refused. It
// reports whether the offer may be queued.
func (c *Controller) ensureQueueSpace(o Offer, now time.Time) bool {
	queue := c.queues[o.Rank]
	for queue.len() >= c.options.MaxQueued[o.Rank] || queue.bytes+o.Bytes > c.options.MaxBytes[o.Rank] {
		victim := queue.lastOfLongest()
		if victim == nil || !hasLongerQueue(queue, victim, o) {
			c.refuseOverloaded(o, now, "the queue is full")
			return false
		}
		queue.remove(victim)
		c.refuseOverloaded(victim.offer, now, "the queue is full and the organisation has the most waiting")
	}
	return true
}

// hasLongerQueue reports whether the victim's organisation has a greater
// weighted queue length than the offering organisation would have with the offer
// queued.
func hasLongerQueue(queue *rankQueue, victim *queuedRequest, o Offer) bool {
	own := 1 / o.Share
	if f := queue.flows[o.Org]; f != nil {
		own += float64(len(f.waiting)) / o.Share
	}
	return queue.flows[victim.offer.Org].weightedLength() > own
}

func (c *Controller) refuseOverloaded(o Offer, now time.Time, message string) {
	failure := types.NewFailure(types.NotRun, types.CodeOverloaded, message)
	failure.RetryAfter = c.retryAfter(o.Rank, now)
	c.refuse(o.ID, failure)
}

func (c *Controller) refuse(id ID, failure *types.Failure) {
	c.decisions = append(c.decisions, Decision{ID: id, Outcome: Refused, Failure: failure})
}

// retryAfter returns the Retry-After for a refused request. Successive refusals
// get successive times, spaced by the rate at which the rank starts requests and
// beginning when the queue has drained, so that callers do not return all at
// once. Beyond the maximum, it draws from the upper half of the range.
func (c *Controller) retryAfter(rank types.Rank, now time.Time) time.Duration {
	limit := c.options.MaxRetryAfter[rank]
	earliest := now.Add(max(c.Wait(rank), minRetryAfter))
	next := c.lastRetryAt[rank].Add(c.drainTime(rank, 1))
	if next.Before(earliest) {
		next = earliest
	}
	if next.Sub(now) > limit {
		return limit/2 + time.Duration(route.Float64(c.rand)*float64(limit/2))
	}
	c.lastRetryAt[rank] = next
	jitter := time.Duration(route.Float64(c.rand) * float64(minRetryAfter))
	return min(next.Sub(now)+jitter, limit)
}
