package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// Limits of waiting.
const (
	// maxWaiting bounds the requests that wait for one service.
	maxWaiting = 512
	// objectiveShare is the part of its objective that a request may wait.
	objectiveShare = 0.6
	// leftShare is the part of the time left that a request may wait.
	leftShare = 0.5
	// minRetryAfter and maxRetryAfter bound the advice to refused callers: an
	// overload lasts longer than the wait that it causes, and a caller that
	// returns into it is refused again.
	minRetryAfter = 700 * time.Millisecond
	maxRetryAfter = 2500 * time.Millisecond
	// retrySpread is the part of the advice by which returns are spread.
	retrySpread = 0.5
	holdWeight  = 0.1
	// startHold is the service time assumed before one was seen.
	startHold = 200 * time.Millisecond
)

// Waiter is a request that waits for room. Gate hands it its outcome.
type Waiter struct {
	RequestInfo RequestInfo
	// ExpiresAt is when the request is refused if it still waits.
	ExpiresAt time.Time
	seq       uint64
	// Granted receives the place; it holds one value.
	Granted chan *Permit
}

// queue holds the waiting requests of one service, the most urgent first.
type queue struct {
	waiting []*Waiter
	seq     uint64
	// refused counts the requests refused for want of room.
	refused uint64
	// hold is the smoothed time that a request keeps its place, in seconds.
	hold float64
}

func (p *Pool) queueOf(service types.ServiceName) *queue {
	found := p.queues[service]
	if found == nil {
		found = &queue{hold: startHold.Seconds()}
		p.queues[service] = found
	}
	return found
}

// served takes the time that a request kept its place.
func (q *queue) served(took time.Duration) {
	q.hold += holdWeight * (took.Seconds() - q.hold)
}

// order puts urgent requests first, then those with the earlier deadline.
func order(a, b *Waiter) int {
	return cmp.Or(cmp.Compare(a.RequestInfo.Rank, b.RequestInfo.Rank), a.RequestInfo.Deadline.Compare(b.RequestInfo.Deadline), cmp.Compare(a.seq, b.seq))
}

// ahead counts the waiting requests that go before one of the rank.
func (q *queue) ahead(rank int) int {
	count := 0
	for _, waiter := range q.waiting {
		if waiter.RequestInfo.Rank <= rank {
			count++
		}
	}
	return count
}

// maxWait is how long a request may still wait and be of use; it may have waited
// elsewhere before.
func maxWait(ask RequestInfo, now time.Time) time.Duration {
	left := time.Duration(float64(ask.Deadline.Sub(now)) * leftShare)
	if ask.Objective <= 0 {
		return left
	}
	waited := max(now.Sub(ask.Arrived), 0)
	return min(left, time.Duration(float64(ask.Objective)*objectiveShare)-waited)
}

// Enqueue queues a request that found no room, or refuses it when it would wait
// for too long.
func (p *Pool) Enqueue(ask RequestInfo, now time.Time) (*Waiter, *Refusal) {
	q := p.queueOf(ask.Service)
	predicted := p.predictedWait(ask)
	allowed := maxWait(ask, now)
	if predicted > allowed || len(q.waiting) >= maxWaiting {
		return nil, p.Refuse(ask)
	}
	q.seq++
	waiter := &Waiter{RequestInfo: ask, ExpiresAt: now.Add(allowed), seq: q.seq, Granted: make(chan *Permit, 1)}
	at, _ := slices.BinarySearchFunc(q.waiting, waiter, order)
	q.waiting = slices.Insert(q.waiting, at, waiter)
	return waiter, nil
}

// predictedWait is the time until the requests ahead have found room.
func (p *Pool) predictedWait(ask RequestInfo) time.Duration {
	q := p.queueOf(ask.Service)
	room := 0
	for _, one := range p.services[ask.Service] {
		if one.shared {
			room += p.limit(ask, one)
		}
	}
	seconds := float64(q.ahead(ask.Rank)+1) * q.hold / float64(max(room, 1))
	return time.Duration(seconds * float64(time.Second))
}

// Refuse refuses a request for want of room and tells when to return.
func (p *Pool) Refuse(ask RequestInfo) *Refusal {
	q := p.queueOf(ask.Service)
	q.refused++
	wait := min(max(p.predictedWait(ask), minRetryAfter), maxRetryAfter)
	return &Refusal{Reason: "the service has no room in time", RetryAfter: spread(wait, q.refused)}
}

// spread sets the returns of callers that were refused one after the other
// apart, evenly and without a random source.
func spread(wait time.Duration, number uint64) time.Duration {
	const goldenRatio = 0.6180339887498949
	_, part := math.Modf(float64(number) * goldenRatio)
	return wait + time.Duration(float64(wait)*retrySpread*part)
}

// CancelWait removes a waiting request and tells why it is refused.
func (p *Pool) CancelWait(waiter *Waiter) *Refusal {
	q := p.queueOf(waiter.RequestInfo.Service)
	q.waiting = slices.DeleteFunc(q.waiting, func(other *Waiter) bool { return other == waiter })
	return p.Refuse(waiter.RequestInfo)
}

// Grant gives room to waiting requests of a service, the most urgent first.
func (p *Pool) Grant(service types.ServiceName, now time.Time) {
	q := p.queues[service]
	if q == nil {
		return
	}
	granted := 0
	for _, waiter := range q.waiting {
		place, _ := p.Permit(waiter.RequestInfo, now)
		if place == nil {
			break
		}
		waiter.Granted <- place
		granted++
	}
	q.waiting = slices.Delete(q.waiting, 0, granted)
}

// GrantAll gives room to waiting requests of every service.
func (p *Pool) GrantAll(now time.Time) {
	for service := range p.queues {
		p.Grant(service, now)
	}
}

// Waiting counts the requests that wait for a service.
func (p *Pool) Waiting(service types.ServiceName) int {
	if q := p.queues[service]; q != nil {
		return len(q.waiting)
	}
	return 0
}
