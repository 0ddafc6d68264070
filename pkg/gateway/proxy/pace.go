package proxy

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
)

// eventPace measures how fast the events of one attempt's response come.
type eventPace struct {
	first, last time.Time
	// paused is the number of pauses between events since the first ones came.
	paused  int
	longest time.Duration
}

// add records that a number of events came at a time.
func (p *eventPace) add(events int, now time.Time) {
	if p.first.IsZero() {
		p.first, p.last = now, now
		return
	}
	p.paused += events
	p.longest = max(p.longest, now.Sub(p.last))
	p.last = now
}

// result returns the pace of the events so far.
func (p *eventPace) result() balance.Pace {
	if p.paused == 0 {
		return balance.Pace{}
	}
	return balance.Pace{Mean: p.last.Sub(p.first) / time.Duration(p.paused), Longest: p.longest}
}
