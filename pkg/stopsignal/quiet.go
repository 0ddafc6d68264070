package stopsignal

import "time"

// Checks for a signal.
const (
	// checkInterval is the time between two checks.
	checkInterval = 100 * time.Millisecond
	// punctual is the longest time between two checks of a process that was neither
	// stopped nor starved for long in between. It bounds the time by which a signal may
	// have been sent before a moment that counts as proven.
	punctual = checkInterval * 3 / 2
	// soonest is the shortest time between two checks that count. After a pause the next
	// check may come at once, before a signal that was sent meanwhile gets through.
	soonest = checkInterval / 2
)

// quiet keeps the last moment by which no signal had been sent, to within punctual, as far
// as the checks prove it. A process that was stopped or starved may make a check before a signal that
// was sent meanwhile gets through to it: a check that comes late proves nothing until the
// next one has not found a signal either.
type quiet struct {
	proven  time.Time
	checked time.Time
}

// newQuiet returns a quiet whose first check was at a time.
func newQuiet(now time.Time) quiet {
	return quiet{proven: now, checked: now}
}

// check records that no signal was found at a time.
func (q *quiet) check(now time.Time) {
	gap := now.Sub(q.checked)
	if gap < soonest {
		return
	}
	q.proven = q.checked
	if gap <= punctual {
		q.proven = now
	}
	q.checked = now
}
