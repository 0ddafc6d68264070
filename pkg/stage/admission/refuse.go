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

// Free is the number of requests of the rank that could start at once.
func (c *Controller) Free(rank types.Rank) int {
	if c.queues[rank].len() > 0 {
		return 0
	}
	free := c.capacity - len(c.running)
	if rank == types.RankPatient {
		free = min(free, c.capacity-c.urgentSlots()-c.counts[types.RankPatient])
	}
	return max(free, 0)
}

// Capacity is how many requests may run at once, all ranks together.
func (c *Controller) Capacity() int {
	return c.capacity
}

// Queued is the number of waiting requests of the rank.
func (c *Controller) Queued(rank types.Rank) int {
	return c.queues[rank].len()
}

// QueuedBytes is the memory of the rank's waiting requests.
func (c *Controller) QueuedBytes(rank types.Rank) int64 {
	return c.queues[rank].bytes
}

// Running is the number of started requests of the rank.
func (c *Controller) Running(rank types.Rank) int {
	return c.counts[rank]
}

// ActiveOrgs is the number of organisations for which state is held.
func (c *Controller) ActiveOrgs() int {
	count := len(c.byOrg)
	for _, queue := range c.queues {
		count += len(queue.flows)
	}
	return count
}

// rankSlots is the number of slots that the rank can count on.
func (c *Controller) rankSlots(rank types.Rank) float64 {
	floor := c.options.PatientFloor * float64(c.capacity)
	if rank == types.RankUrgent {
		if c.queues[types.RankPatient].len() == 0 {
			return float64(c.capacity)
		}
		return float64(c.capacity) - floor
	}
	return max(float64(c.capacity-c.counts[types.RankUrgent]), floor)
}

// drainTime predicts how long the rank takes to start count requests.
func (c *Controller) drainTime(rank types.Rank, count float64) time.Duration {
	slots := c.rankSlots(rank)
	if slots < 1 {
		slots = 1
	}
	return time.Duration(count * c.hold[rank].mean / slots * float64(time.Second))
}

// tooLate predicts whether the request would miss its deadline: the whole queue
// is before it, or what fair sharing starts before it, whichever is less.
func (c *Controller) tooLate(o Offer, now time.Time) bool {
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
	left := o.Deadline.Sub(now) - c.hold[o.Rank].cautious()
	return float64(wait) > c.options.MaxWaitShare[o.Rank]*float64(left)
}

// makeRoom keeps the queue bounded: when it is full, the organisation with the
// longest queue per share loses its last request, which may be this offer. It
// reports whether the offer may be queued.
func (c *Controller) makeRoom(o Offer, now time.Time) bool {
	queue := c.queues[o.Rank]
	for queue.len() >= c.options.MaxQueued[o.Rank] || queue.bytes+o.Bytes > c.options.MaxBytes[o.Rank] {
		victim := queue.longest()
		if victim == nil || !longer(queue, victim, o) {
			c.overloaded(o, now, "the queue is full")
			return false
		}
		queue.take(victim)
		c.overloaded(victim.offer, now, "the queue is full and the organisation has the most waiting")
	}
	return true
}

// longer reports whether the victim's organisation would still have more
// waiting per share than the offer's once the offer is queued.
func longer(queue *rankQueue, victim *item, o Offer) bool {
	own := 1 / o.Share
	if f := queue.flows[o.Org]; f != nil {
		own += float64(len(f.waiting)) / o.Share
	}
	return queue.flows[victim.offer.Org].length() > own
}

func (c *Controller) overloaded(o Offer, now time.Time, message string) {
	failure := types.NewFailure(types.NotRun, types.CodeOverloaded, message)
	failure.RetryAfter = c.retryAfter(o.Rank, now)
	c.refuse(o.ID, failure)
}

func (c *Controller) refuse(id ID, failure *types.Failure) {
	c.out = append(c.out, Decision{ID: id, Outcome: Refused, Failure: failure})
}

// retryAfter gives refused callers successive times at the rate at which the
// rank is served, after the queue has drained, so that they do not return all
// at once. Beyond the maximum it spreads them over its upper half.
func (c *Controller) retryAfter(rank types.Rank, now time.Time) time.Duration {
	longest := c.options.MaxRetryAfter[rank]
	earliest := now.Add(max(c.Wait(rank), minRetryAfter))
	next := c.advice[rank].Add(c.drainTime(rank, 1))
	if next.Before(earliest) {
		next = earliest
	}
	if next.Sub(now) > longest {
		return longest/2 + time.Duration(route.Float64(c.rand)*float64(longest/2))
	}
	c.advice[rank] = next
	jitter := time.Duration(route.Float64(c.rand) * float64(minRetryAfter))
	return min(next.Sub(now)+jitter, longest)
}
