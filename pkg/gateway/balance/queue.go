package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// Limits on waiting requests.
const (
	// maxWaiting bounds the requests that wait for one service.
	maxWaiting = 512
	// maxGrantMisses bounds the waiting requests that are tried in vain each time
	// capacity is granted, which bounds the cost of a long queue.
	maxGrantMisses = 64
	// objectiveShare is the share of its objective that a request may wait.
	objectiveShare = 0.6
	// remainingShare is the share of the remaining time that a request may wait.
	remainingShare = 0.5
	// minRetryAfter and maxRetryAfter bound the delay advised to refused
	// callers: an overload lasts longer than the wait that it causes, and a
	// caller that retries during it is refused again.
	minRetryAfter = 700 * time.Millisecond
	maxRetryAfter = 2500 * time.Millisecond
	// retrySpread is the share of the delay by which retries are spread.
	retrySpread       = 0.5
	serviceTimeWeight = 0.1
	// initialServiceTime is the service time assumed before any was observed.
	initialServiceTime = 200 * time.Millisecond
)

// Waiter is a request that waits for capacity.
type Waiter struct {
	RequestInfo RequestInfo
	// ExpiresAt is when the request is refused if it still waits.
	ExpiresAt time.Time
	seq       uint64
	// left is true once the request waits no longer.
	left bool
	// Granted receives the permit, or Refused the refusal if waiting longer would
	// not help; each buffers one value.
	Granted chan *Permit
	Refused chan *Refusal
	// held is set for a large prompt that is held.
	held heldPrompt
}

// queue holds the waiting requests of one service, the most urgent first.
type queue struct {
	waiting []*Waiter
	// held holds large prompts until an engine has room, the one with the least slack
	// first.
	held   []*Waiter
	shares fairShares
	seq    uint64
	// otherSentAt is when an endpoint last got a request that is not large.
	otherSentAt time.Time
	// refused counts the requests refused for lack of capacity.
	refused uint64
	// serviceTime is the EWMA of the time that a request holds its permit, in
	// seconds.
	serviceTime float64
}

func (p *Pool) queueOf(service types.ServiceName) *queue {
	q := p.queues[service]
	if q == nil {
		q = &queue{serviceTime: initialServiceTime.Seconds(), shares: newFairShares()}
		p.queues[service] = q
	}
	return q
}

// recordServiceTime adds the time that a request held its permit to the EWMA.
func (q *queue) recordServiceTime(took time.Duration) {
	q.serviceTime += serviceTimeWeight * (took.Seconds() - q.serviceTime)
}

// compareWaiters orders by the ranks of caller and request, then by deadline, then by arrival in the queue.
func compareWaiters(a, b *Waiter) int {
	return cmp.Or(rankOf(a.RequestInfo).compare(rankOf(b.RequestInfo)), a.RequestInfo.Deadline.Compare(b.RequestInfo.Deadline), cmp.Compare(a.seq, b.seq))
}

// insert adds a waiting request.
func (q *queue) insert(waiter *Waiter) {
	i, _ := slices.BinarySearchFunc(q.waiting, waiter, compareWaiters)
	q.waiting = slices.Insert(q.waiting, i, waiter)
	q.shares.enter(waiter.RequestInfo)
}

// removeLeft removes the requests that wait no longer.
func (q *queue) removeLeft() {
	q.waiting = slices.DeleteFunc(q.waiting, func(waiter *Waiter) bool {
		if waiter.left {
			q.shares.leave(waiter.RequestInfo)
		}
		return waiter.left
	})
	if len(q.waiting) == 0 {
		q.shares.reset()
	}
}

// served records that a request got its endpoint. Only what is served while others wait
// counts between organisations.
func (q *queue) served(req RequestInfo) {
	if len(q.waiting) > 0 {
		q.shares.charge(req)
	}
}

// makeRoom refuses the last request of the organisation that crowds a full queue, in favour
// of a new one, and reports whether there is room.
func (p *Pool) makeRoom(q *queue, req RequestInfo, now time.Time) bool {
	if len(q.waiting) < maxWaiting {
		return true
	}
	crowding, found := q.shares.crowding(req)
	if !found {
		return false
	}
	for _, waiter := range slices.Backward(q.waiting) {
		if flowOf(waiter.RequestInfo) == crowding {
			waiter.left = true
			waiter.Refused <- p.Refuse(waiter.RequestInfo, now)
			break
		}
	}
	q.removeLeft()
	return true
}

// maxWait returns how long a request may still wait and be useful; it may have
// waited at another daemon before.
func maxWait(req RequestInfo, now time.Time) time.Duration {
	remaining := time.Duration(float64(req.Deadline.Sub(now)) * remainingShare)
	if req.WaitLimit > 0 {
		remaining = min(remaining, req.WaitLimit)
	}
	if req.Objective <= 0 {
		return remaining
	}
	waited := max(now.Sub(req.Arrived), 0)
	return min(remaining, time.Duration(float64(req.Objective)*objectiveShare)-waited)
}

// Enqueue queues a request for which there was no capacity, or refuses it when
// its predicted wait is too long or the queue is full.
func (p *Pool) Enqueue(req RequestInfo, now time.Time) (*Waiter, *Refusal) {
	wait, refused := p.expectedQueueWait(req, now)
	if refused || !p.makeRoom(p.queueOf(req.Service), req, now) {
		return nil, p.Refuse(req, now)
	}
	q, allowed := p.queueOf(req.Service), wait.allowed
	q.seq++
	waiter := &Waiter{RequestInfo: req, ExpiresAt: now.Add(allowed), seq: q.seq, Granted: make(chan *Permit, 1), Refused: make(chan *Refusal, 1)}
	q.insert(waiter)
	return waiter, nil
}

// hasRoom reports whether a request may wait: the queue is not full, or another organisation
// crowds it.
func (q *queue) hasRoom(req RequestInfo) bool {
	if len(q.waiting) < maxWaiting {
		return true
	}
	_, found := q.shares.crowding(req)
	return found
}

// expectedWait is how long a request would wait.
type expectedWait struct {
	// predicted is until there is room for it, allowed the longest wait.
	predicted, allowed time.Duration
}

// expectedQueueWait returns how long a request would wait for capacity, and whether it is
// refused instead.
func (p *Pool) expectedQueueWait(req RequestInfo, now time.Time) (wait expectedWait, refused bool) {
	wait = expectedWait{predicted: p.predictedWait(req, now), allowed: maxWait(req, now)}
	return wait, wait.predicted > wait.allowed || !p.queueOf(req.Service).hasRoom(req)
}

// predictedWait returns the predicted time until the request and those ahead of
// it have capacity. While every endpoint pauses, that is after the first pause.
func (p *Pool) predictedWait(req RequestInfo, now time.Time) time.Duration {
	q := p.queueOf(req.Service)
	pause := p.PauseLeft(req.Service, now)
	capacity := 0
	for _, ep := range p.services[req.Service] {
		available := p.availability(ep, now)
		if ep.assigned && !available.leaving && (pause > 0 || !available.paused(now)) {
			capacity += p.limit(req, ep)
		}
	}
	seconds := float64(q.shares.ahead(req)+1) * q.serviceTime / float64(max(capacity, 1))
	return pause + time.Duration(seconds*float64(time.Second))
}

// Refuse refuses a request for lack of capacity and advises when to retry: when
// the first pause ends if every endpoint pauses.
func (p *Pool) Refuse(req RequestInfo, now time.Time) *Refusal {
	refusal := p.refusal(req, now)
	p.queueOf(req.Service).refused++
	return refusal
}

// refusal returns the next refusal for lack of capacity without counting it.
func (p *Pool) refusal(req RequestInfo, now time.Time) *Refusal {
	number := p.queueOf(req.Service).refused + 1
	if pause := p.PauseLeft(req.Service, now); pause > 0 {
		return &Refusal{Reason: "every endpoint of the service asked for a pause", Paused: true, RetryAfter: spreadRetryAfter(pause, number)}
	}
	wait := min(max(p.predictedWait(req, now), minRetryAfter), maxRetryAfter)
	return &Refusal{Reason: "the service has no room in time", RetryAfter: spreadRetryAfter(wait, number)}
}

// spreadRetryAfter spreads the retries of callers that were refused one after
// the other, evenly and without a random source.
func spreadRetryAfter(wait time.Duration, number uint64) time.Duration {
	const goldenRatio = 0.6180339887498949
	_, fraction := math.Modf(float64(number) * goldenRatio)
	return wait + time.Duration(float64(wait)*retrySpread*fraction)
}

// CancelWait removes a waiting request and returns its refusal.
func (p *Pool) CancelWait(waiter *Waiter, now time.Time) *Refusal {
	q := p.queueOf(waiter.RequestInfo.Service)
	waiter.left = true
	q.removeLeft()
	return p.Refuse(waiter.RequestInfo, now)
}

// Grant grants capacity to waiting requests of a service, the most urgent first, and of
// these by turns to the organisations that wait.
// A request that can use none of the free capacity, because it tried those
// endpoints before or would be late there, does not hold back the ones behind it.
// A request that can't get any is refused.
func (p *Pool) Grant(service types.ServiceName, now time.Time) {
	q := p.queues[service]
	if q == nil {
		return
	}
	p.letGo(q, true, now)
	defer p.letGo(q, false, now)
	misses := 0
	for _, waiter := range q.shares.order(q.waiting) {
		if misses == maxGrantMisses {
			break
		}
		permit, refusal := p.Permit(waiter.RequestInfo, now)
		switch {
		case refusal != nil:
			waiter.Refused <- refusal
			waiter.left = true
		case permit == nil:
			misses++
		default:
			q.shares.charge(waiter.RequestInfo)
			waiter.Granted <- permit
			waiter.left = true
		}
	}
	q.removeLeft()
}

// GrantAll grants capacity to waiting requests of every service, and forgets
// endpoints that left long ago.
func (p *Pool) GrantAll(now time.Time) {
	p.expireWithdrawals(now)
	p.expireLapsed(now)
	for service := range p.queues {
		p.Grant(service, now)
	}
}

// Waiting counts the requests that wait or are held for a service.
func (p *Pool) Waiting(service types.ServiceName) int {
	if q := p.queues[service]; q != nil {
		return len(q.waiting) + len(q.held)
	}
	return 0
}
