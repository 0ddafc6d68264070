package balance

import (
	"time"
)

// cold reports whether the endpoint is cold at a time.
func (s *endpointState) cold(now time.Time) bool {
	if !s.hasColdRate() {
		return false
	}
	return now.Before(s.coldUntil()) || now.Before(s.restartedColdUntil) || now.Before(s.turnedColdUntil)
}

// coldUntil returns the end of the cold time: as the endpoint announced it, or as
// a health check found it where it was only assumed.
func (s *endpointState) coldUntil() time.Time {
	if s.probed() {
		return s.probedColdUntil
	}
	return s.placed.ColdUntil
}

// probed reports whether a health check has replaced the assumed cold time.
func (s *endpointState) probed() bool {
	return s.placed.ColdAssumed && s.probedFor.Equal(s.placed.ColdUntil)
}

// coldWindow is the time for which a request counts towards the cold rate: the second of
// the bound, with a margin for the time that requests are on their way.
const coldWindow = 1050 * time.Millisecond

// withinColdWindow drops the times that are older than the window of the cold
// rate.
func withinColdWindow(sends []time.Time, now time.Time) []time.Time {
	drop := 0
	for drop < len(sends) && now.Sub(sends[drop]) > coldWindow {
		drop++
	}
	return sends[drop:]
}
