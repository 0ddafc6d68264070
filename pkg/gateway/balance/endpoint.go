package balance

import (
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
)

// Limits on the load that one endpoint is given.
const (
	// engineOvercommit and plainOvercommit are how many requests all daemons
	// together keep at an endpoint, relative to its slots. An engine prefills
	// prompts between the decode steps of running requests, so the streams of a
	// full engine starve; requests to plain endpoints are short.
	engineOvercommit = 0.7
	plainOvercommit  = 3.0
	// urgentOvercommit is the factor by which requests of rank 0 may exceed that
	// limit, since endpoints admit them first.
	urgentOvercommit = 1.5
	// minInFlight ensures that every daemon can send.
	minInFlight = 2
	// coldSenders is how many daemons of a region at least share the rate of a cold
	// endpoint; more do if the rate suffices for a request a second from each.
	coldSenders = 3
	// maxUnseenSenders bounds the senders assumed on the other side of a
	// partition: two more groups of daemons.
	maxUnseenSenders = 2 * coldSenders
	// coldMargin keeps the sum of the shares below the bound in regions with more
	// daemons than coldSenders, when one of them counts itself as one more sender
	// because the others do not know it yet.
	coldMargin = 0.75
	// joiningShare bounds the requests per second to a cold endpoint from a daemon
	// that has just started and may not know all others of its region yet.
	joiningShare = 1

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

// endpointState is what this daemon knows of one endpoint from its own attempts.
type endpointState struct {
	placed  catalog.ActiveEndpoint
	service *catalog.Service
	// news is that of the pool.
	news *news
	// coldRank is the position of this daemon among those of the region that share
	// the rate of the endpoint while it is cold, from 0.
	coldRank int

	// assigned is true when this daemon has a share of the endpoint; peers is
	// the number of daemons that have one.
	assigned bool
	peers    int

	inFlight int
	// large is the number of in-flight requests with a large prefix.
	large int
	// prefillSlowdown is the prefill time of the engine relative to prefillRate;
	// responseTime is the time, in seconds, until the responses to small prompts
	// start.
	prefillSlowdown ewma
	responseTime    ewma
	// owned is true when this daemon sends the endpoint its large prompts.
	owned bool
	// prefillTokens is the prompt work, in tokens, of requests whose responses
	// have not started.
	prefillTokens float64
	// cache models which large prefixes the endpoint holds.
	cache cache
	// coldSends holds the times of the most recent requests to an endpoint with a
	// cold rate, oldest first.
	coldSends []time.Time
	// connectFailures and interruptions count consecutive connection failures
	// and interrupted responses.
	connectFailures int
	interruptions   int
	// suspendedUntil is the end of the suspension; probing limits the endpoint
	// to one request after it.
	suspendedUntil time.Time
	probing        bool
	// serverErrors counts the consecutive requests that the endpoint ran and
	// failed; ejectedUntil is when an endpoint with too many of them gets its
	// next request.
	serverErrors int
	ejectedUntil time.Time
	// errorRate is the EWMA of the share of failed attempts.
	errorRate float64
	// lastResponseAt is when a response last started.
	lastResponseAt time.Time
	// pendingSince holds the send times of requests whose responses have not
	// started, oldest first.
	pendingSince []time.Time
	// probedFor is the assumed end of the cold time that a health check has
	// replaced by probedColdUntil; nextProbeAt is when the next check is due.
	probedFor       time.Time
	probedColdUntil time.Time
	nextProbeAt     time.Time
	// restartedColdUntil is set when the endpoint came back after a failure.
	restartedColdUntil time.Time
	// warmAfter is when the newest health check that found the endpoint warm while
	// it might have turned cold was sent; turnedColdUntil is the end of the cold
	// time that such a check found.
	warmAfter       time.Time
	turnedColdUntil time.Time
}

// slots returns how many requests the endpoint runs at once.
func (s *endpointState) slots() int {
	if s.placed.Slots > 0 {
		return s.placed.Slots
	}
	if s.service != nil && s.service.Engine != nil && s.service.Engine.Slots > 0 {
		return s.service.Engine.Slots
	}
	return 1
}

// cacheTokens returns how many tokens of prefixes the endpoint is assumed to
// hold.
func (s *endpointState) cacheTokens() int {
	return int(float64(s.memoryTokens()) * cacheShare)
}

// memoryTokens returns how many tokens of prompts and responses the endpoint can
// hold.
func (s *endpointState) memoryTokens() int {
	if s.isEngine() && s.service.Engine.CacheTokens > 0 {
		return s.service.Engine.CacheTokens
	}
	return defaultCacheTokens
}

func (s *endpointState) isEngine() bool {
	return s.service != nil && s.service.Engine != nil
}

// limit returns how many requests of a rank this daemon may keep in flight at
// the endpoint.
func (s *endpointState) limit(rank, daemons int) int {
	overcommit := plainOvercommit
	if s.isEngine() {
		overcommit = engineOvercommit
	}
	if rank == 0 {
		overcommit *= urgentOvercommit
	}
	share := float64(s.slots()) * overcommit / float64(max(daemons, 1))
	return max(int(share+0.999), minInFlight)
}

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

// withinColdWindow drops the times that are older than the window of the cold
// rate.
func withinColdWindow(sends []time.Time, now time.Time) []time.Time {
	const window = 1050 * time.Millisecond
	drop := 0
	for drop < len(sends) && now.Sub(sends[drop]) > window {
		drop++
	}
	return sends[drop:]
}

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
