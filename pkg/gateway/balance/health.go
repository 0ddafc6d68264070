package balance

import (
	"slices"
	"time"
)

// Limits of endpoints that fail.
const (
	baseSuspension = 250 * time.Millisecond
	maxSuspension  = 4 * time.Second
	// misdirectedSuspension is how long an address that belongs to another
	// endpoint is not used; the published entry is corrected within this time.
	misdirectedSuspension = 3 * time.Second
	// refusedPause is the pause after an endpoint reported that it is full.
	refusedPause = 100 * time.Millisecond
	// interruptionsToSuspend is the number of consecutive interrupted responses
	// after which an endpoint is assumed to be down.
	interruptionsToSuspend = 3
	errorWeight            = 0.15
	// errorsToEject is the number of consecutive failed requests after which an
	// endpoint gets one request at a time, each after a pause that doubles up to
	// maxEjection. Without it, an endpoint that fails at once would look idle
	// and attract requests.
	errorsToEject = 4
	maxEjection   = 2 * time.Second
	// blockedAfter is how long an endpoint may leave a request unanswered before
	// other regions are told that it can't be used.
	blockedAfter = 2 * time.Second
	// restartSlack is added to the cold time after a suspected restart.
	restartSlack = time.Second
)

// suspended reports whether the endpoint is suspended, or is being probed by a
// request in flight.
func (s *endpointState) suspended(now time.Time) bool {
	if now.Before(s.suspendedUntil) {
		return true
	}
	return s.probing && s.inFlight > 0
}

// blocked reports whether the endpoint takes few or no requests now: it is
// suspended, ejected or cold, or leaves requests unanswered.
func (s *endpointState) blocked(now time.Time) bool {
	return s.suspended(now) || s.ejected(now) || s.cold(now) || s.oldestPending(now) > blockedAfter
}

// ejected reports whether the endpoint has failed too many consecutive requests
// and is not due for another one.
func (s *endpointState) ejected(now time.Time) bool {
	if s.serverErrors < errorsToEject {
		return false
	}
	return now.Before(s.ejectedUntil) || s.inFlight > 0
}

// recordServerError records that the endpoint ran a request and failed.
func (s *endpointState) recordServerError(now time.Time) {
	s.errorRate += errorWeight * (1 - s.errorRate)
	s.serverErrors++
	if excess := s.serverErrors - errorsToEject; excess >= 0 {
		s.ejectedUntil = now.Add(min(baseSuspension<<min(excess, 8), maxEjection))
	}
}

// stalledFor returns how long requests have waited at the endpoint without any
// response starting.
func (s *endpointState) stalledFor(now time.Time) time.Duration {
	if len(s.pendingSince) == 0 {
		return 0
	}
	since := s.pendingSince[0]
	if s.lastResponseAt.After(since) {
		since = s.lastResponseAt
	}
	return now.Sub(since)
}

// removePending removes a request and its prompt work from those that wait for a
// response.
func (s *endpointState) removePending(permit *Permit) {
	s.prefillTokens = max(s.prefillTokens-permit.prefillTokens, 0)
	if permit.req.large() {
		s.largePending = max(s.largePending-1, 0)
	}
	if i := slices.IndexFunc(s.pendingSince, permit.grantedAt.Equal); i >= 0 {
		s.pendingSince = slices.Delete(s.pendingSince, i, i+1)
	}
}

// recordResult updates the health of the endpoint with the result of an attempt.
func (s *endpointState) recordResult(result Result, now time.Time) {
	switch result {
	case Succeeded:
		s.recordReachable(now)
		s.errorRate *= 1 - errorWeight
		s.serverErrors = 0
	case ServerError:
		s.recordReachable(now)
		s.recordServerError(now)
	case Refused:
		s.suspend(refusedPause, now)
	case Misdirected:
		s.suspend(misdirectedSuspension, now)
	case ConnectFailed:
		s.connectFailures++
		s.suspend(min(baseSuspension<<min(s.connectFailures-1, 8), maxSuspension), now)
		s.probing = true
	case Interrupted:
		s.errorRate += errorWeight * (1 - s.errorRate)
		s.interruptions++
		if s.interruptions >= interruptionsToSuspend {
			s.suspend(baseSuspension, now)
		}
	case Invalid:
		s.errorRate += errorWeight * (1 - s.errorRate)
	case Abandoned:
	}
}

// recordReachable ends probing and resets the counts of connection failures and
// interruptions. An endpoint that could not be reached before may have
// restarted: its cache is empty, and it may be cold. The request that reached it
// counts towards the cold rate.
func (s *endpointState) recordReachable(now time.Time) {
	if s.connectFailures > 0 {
		s.cache.clear()
	}
	if s.connectFailures > 0 && s.service != nil && s.service.ColdPerSecond > 0 {
		s.restartedColdUntil = now.Add(s.service.ColdStart + restartSlack)
		s.coldSends = append(s.coldSends, now)
	}
	s.connectFailures, s.interruptions, s.probing = 0, 0, false
}

func (s *endpointState) suspend(pause time.Duration, now time.Time) {
	if until := now.Add(pause); until.After(s.suspendedUntil) {
		s.suspendedUntil = until
	}
}
