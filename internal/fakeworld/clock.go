// Package fakeworld is a small discrete-event fake around the deciding code:
// engines with slots, a queue and a prefix cache, late load reports and cache
// events, crashes, links between regions, and independent daemons that decide
// with the packages the real daemon uses. It shows the effect of decisions; it
// does not simulate a cluster.
package fakeworld

import (
	"container/heap"
	"time"
)

// Epoch is the time at which every world starts.
var Epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type event struct {
	at  time.Time
	seq uint64
	run func()
}

type eventHeap []event

var _ heap.Interface = (*eventHeap)(nil)

// Len returns the number of events.
func (h eventHeap) Len() int { return len(h) }

// Less orders events by time, then by when they were scheduled.
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}

// Swap exchanges two events.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an event.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes the last event.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// clock runs events in the order of their times.
type clock struct {
	now    time.Time
	seq    uint64
	events eventHeap
}

// after schedules a function.
func (c *clock) after(delay time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now.Add(max(delay, 0)), seq: c.seq, run: run})
}

// every schedules a function repeatedly, first after the phase.
func (c *clock) every(phase, period time.Duration, run func()) {
	c.after(phase, func() {
		run()
		c.every(period, period, run)
	})
}

// runUntil runs all events up to the time, or until done reports true.
func (c *clock) runUntil(end time.Time, done func() bool) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		if done() {
			return
		}
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
	c.now = end
}
