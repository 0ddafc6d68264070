package balance

import (
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
)

// Limits of what one endpoint is trusted with.
const (
	// engineOvercommit and plainOvercommit are how many requests all daemons
	// together keep at an endpoint, relative to its slots: an engine reads
	// prompts between the tokens of what runs, so a full one lets its streams
	// starve; plain endpoints have short requests.
	engineOvercommit = 0.7
	plainOvercommit  = 3.0
	// urgentOvercommit is how far requests of rank 0 may exceed that, since
	// endpoints admit them first.
	urgentOvercommit = 1.5
	// minCap keeps every daemon able to send.
	minCap = 2
	// coldSenders is how many daemons of a region share the rate of a cold
	// endpoint.
	coldSenders = 3
	// maxUnseenSenders bounds the senders assumed beyond a partition: two more
	// groups of daemons.
	maxUnseenSenders = 2 * coldSenders
	// coldMargin keeps the sum of the shares below the bound, also when a daemon
	// that has just started takes itself for one more.
	coldMargin = 0.85

	baseSuspension = 250 * time.Millisecond
	maxSuspension  = 4 * time.Second
	// reuseSuspension is how long an address that belongs to another endpoint
	// is left alone; the published entry is corrected in this time.
	reuseSuspension = 3 * time.Second
	// refusedPause is the pause after an endpoint said that it is full.
	refusedPause = 100 * time.Millisecond
	// breaksToSuspend is the number of broken answers in a row after which an
	// endpoint is taken to be down.
	breaksToSuspend = 3
	errorWeight     = 0.15
	// errorsToEject is the number of failed requests in a row after which an
	// endpoint gets single requests only, after a pause that doubles up to
	// maxEjection: one that fails at once would look idle and draw the load.
	errorsToEject = 4
	maxEjection   = 2 * time.Second
	// blockedAfter is how long an endpoint may leave a request unanswered before
	// other regions are told that it can't be used.
	blockedAfter = 2 * time.Second
	// restartSlack is added to the cold time after a suspected restart.
	restartSlack = time.Second
)

// state is what this daemon knows of one endpoint from its own attempts.
type state struct {
	placed  catalog.ActiveEndpoint
	service *catalog.Service

	// shared is true when this daemon has a share of the endpoint, sharers the
	// number of daemons that have one.
	shared  bool
	sharers int

	inFlight int
	// large counts those with a large prefix.
	large int
	// pace is how long the engine takes to read relative to readRate, begins the
	// time in which answers to small prompts begin, in seconds.
	pace   observed
	begins observed
	// owned is true when this daemon sends the endpoint its large prompts.
	owned bool
	// unread is the prompt work, in tokens, of requests without an answer yet.
	unread float64
	// cache models which large prefixes the endpoint holds.
	cache cache
	// sends holds the times of the last sends while cold, oldest first.
	sends []time.Time
	// failures and breaks count connection failures and broken answers in a row.
	failures int
	breaks   int
	// suspendedUntil ends a suspension; probing allows one request after it.
	suspendedUntil time.Time
	probing        bool
	// errors counts the requests in a row that the endpoint ran and failed;
	// ejectedUntil is when it gets the next one after too many.
	errors       int
	ejectedUntil time.Time
	// errorRate is the smoothed share of failed attempts.
	errorRate float64
	// lastHead is when an answer last began.
	lastHead time.Time
	// unanswered holds when the requests without an answer were sent, the oldest
	// first.
	unanswered []time.Time
	// restartedColdUntil is set when the endpoint came back after a failure.
	restartedColdUntil time.Time
}

// slots is how many requests the endpoint runs at once.
func (s *state) slots() int {
	if s.placed.Slots > 0 {
		return s.placed.Slots
	}
	if s.service != nil && s.service.Engine != nil && s.service.Engine.Slots > 0 {
		return s.service.Engine.Slots
	}
	return 1
}

// cacheTokens is how many tokens of prefixes the endpoint is taken to hold.
func (s *state) cacheTokens() int {
	return int(float64(s.memoryTokens()) * cacheShare)
}

// memoryTokens is how many tokens of prompts and answers the endpoint can hold.
func (s *state) memoryTokens() int {
	if s.isEngine() && s.service.Engine.CacheTokens > 0 {
		return s.service.Engine.CacheTokens
	}
	return defaultCacheTokens
}

func (s *state) isEngine() bool {
	return s.service != nil && s.service.Engine != nil
}

// limit is how many requests of a rank this daemon may keep at the endpoint.
func (s *state) limit(rank, daemons int) int {
	over := plainOvercommit
	if s.isEngine() {
		over = engineOvercommit
	}
	if rank == 0 {
		over *= urgentOvercommit
	}
	share := float64(s.slots()) * over / float64(max(daemons, 1))
	return max(int(share+0.999), minCap)
}

// cold reports whether the endpoint is cold at a time.
func (s *state) cold(now time.Time) bool {
	if s.service == nil || s.service.ColdPerSecond <= 0 {
		return false
	}
	return now.Before(s.placed.ColdUntil) || now.Before(s.restartedColdUntil)
}

// coldRoom reports whether a cold endpoint bears another request of this daemon
// now: so many senders share its rate without talking to each other.
func (s *state) coldRoom(bounds Bounds, senders int, now time.Time) bool {
	if senders == 0 {
		return false
	}
	s.sends = recent(s.sends, now)
	total := s.service.ColdPerSecond*bounds.ColdOvershoot + bounds.ColdSlack
	share := int(total * coldMargin / float64(senders))
	return len(s.sends) < share
}

// recent drops the times that are older than the window of the cold rate.
func recent(sends []time.Time, now time.Time) []time.Time {
	const window = 1050 * time.Millisecond
	drop := 0
	for drop < len(sends) && now.Sub(sends[drop]) > window {
		drop++
	}
	return sends[drop:]
}

// suspended reports whether the endpoint is left alone now.
func (s *state) suspended(now time.Time) bool {
	if now.Before(s.suspendedUntil) {
		return true
	}
	return s.probing && s.inFlight > 0
}

// blocked reports whether the endpoint takes few or no requests now: it is left
// alone, cold, or answers nothing.
func (s *state) blocked(now time.Time) bool {
	return s.suspended(now) || s.ejected(now) || s.cold(now) || s.oldestWait(now) > blockedAfter
}

// ejected reports whether the endpoint has failed too many requests in a row and
// is not due for another one.
func (s *state) ejected(now time.Time) bool {
	if s.errors < errorsToEject {
		return false
	}
	return now.Before(s.ejectedUntil) || s.inFlight > 0
}

// failed notes that the endpoint ran a request and failed.
func (s *state) failed(now time.Time) {
	s.errorRate += errorWeight * (1 - s.errorRate)
	s.errors++
	if over := s.errors - errorsToEject; over >= 0 {
		s.ejectedUntil = now.Add(min(baseSuspension<<min(over, 8), maxEjection))
	}
}

// stalled is how long requests have waited at the endpoint while it began no
// answer at all.
func (s *state) stalled(now time.Time) time.Duration {
	if len(s.unanswered) == 0 {
		return 0
	}
	since := s.unanswered[0]
	if s.lastHead.After(since) {
		since = s.lastHead
	}
	return now.Sub(since)
}

// answered notes that a request, with its prompt work, no longer waits for an
// answer.
func (s *state) answered(place *Permit) {
	s.unread = max(s.unread-place.unread, 0)
	if at := slices.IndexFunc(s.unanswered, place.takenAt.Equal); at >= 0 {
		s.unanswered = slices.Delete(s.unanswered, at, at+1)
	}
}

// ended takes the result of an attempt.
func (s *state) ended(result Result, now time.Time) {
	switch result {
	case Succeeded:
		s.healthy(now)
		s.errorRate *= 1 - errorWeight
		s.errors = 0
	case ServerError:
		s.healthy(now)
		s.failed(now)
	case Refused:
		s.suspend(refusedPause, now)
	case Misdirected:
		s.suspend(reuseSuspension, now)
	case ConnectFailed:
		s.failures++
		s.suspend(min(baseSuspension<<min(s.failures-1, 8), maxSuspension), now)
		s.probing = true
	case Interrupted:
		s.errorRate += errorWeight * (1 - s.errorRate)
		s.breaks++
		if s.breaks >= breaksToSuspend {
			s.suspend(baseSuspension, now)
		}
	case Invalid:
		s.errorRate += errorWeight * (1 - s.errorRate)
	case Abandoned:
	}
}

// healthy ends a suspension. An endpoint that could not be reached before may
// have restarted: its cache is empty, and it may be cold.
func (s *state) healthy(now time.Time) {
	if s.failures > 0 {
		s.cache.clear()
	}
	if s.failures > 0 && s.service != nil && s.service.ColdPerSecond > 0 {
		s.restartedColdUntil = now.Add(s.service.ColdStart + restartSlack)
	}
	s.failures, s.breaks, s.probing = 0, 0, false
}

func (s *state) suspend(pause time.Duration, now time.Time) {
	if until := now.Add(pause); until.After(s.suspendedUntil) {
		s.suspendedUntil = until
	}
}
