package balance

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/estimate"
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
)

// endpointState is what this daemon knows of one endpoint from its own attempts.
type endpointState struct {
	placed catalog.ActiveEndpoint
	// idHash is the hash of its ID.
	idHash  uint64
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
	// largePending is the number of those whose responses have not started.
	largePending int
	// speed is what is known of how fast the endpoint works.
	speed estimate.EndpointSpeed
	// memory is what the requests in flight need of an engine's memory.
	memory memoryUse
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
	// doubtful is the newest connection that was not trusted when it was obtained, at
	// doubtfulAt. Since doubtSince the endpoint may have started again. Arrivals holds
	// the times of the most recent requests on such connections.
	doubtful   Connection
	doubtfulAt time.Time
	doubtSince time.Time
	arrivals   []time.Time
	// wantedAt is when this daemon last meant to send a request to the endpoint in doubt.
	wantedAt time.Time
	// next is the state of the next start of the endpoint at the same address; nil if
	// there is none.
	next *endpointState
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
