package engine

import (
	"context"
	"sync"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// slotQueue hands out the engine's slots, the most urgent rank first and in
// order of arrival within a rank.
type slotQueue struct {
	mu      sync.Mutex
	free    int
	running int
	waiting [types.RankCount][]chan struct{}
}

func newSlotQueue(slots int) *slotQueue {
	return &slotQueue{free: slots}
}

// acquire waits for a slot; it returns false when ctx ended first.
func (q *slotQueue) acquire(ctx context.Context, rank types.Rank) bool {
	q.mu.Lock()
	if q.free > 0 {
		q.free--
		q.running++
		q.mu.Unlock()
		return true
	}
	turn := make(chan struct{})
	q.waiting[rank] = append(q.waiting[rank], turn)
	q.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
		return q.abandon(rank, turn)
	}
}

// abandon takes a waiter out of the queue. A waiter whose turn came meanwhile
// gives its slot back.
func (q *slotQueue) abandon(rank types.Rank, turn chan struct{}) bool {
	q.mu.Lock()
	line := q.waiting[rank]
	for i, waiter := range line {
		if waiter == turn {
			q.waiting[rank] = append(line[:i:i], line[i+1:]...)
			q.mu.Unlock()
			return false
		}
	}
	q.mu.Unlock()
	q.release()
	return false
}

// release passes the slot to the next waiter.
func (q *slotQueue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for rank := range q.waiting {
		if len(q.waiting[rank]) == 0 {
			continue
		}
		turn := q.waiting[rank][0]
		q.waiting[rank] = q.waiting[rank][1:]
		close(turn)
		return
	}
	q.free++
	q.running--
}

// depth returns how many requests run and wait.
func (q *slotQueue) depth() (running, queued int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, line := range q.waiting {
		queued += len(line)
	}
	return q.running, queued
}
