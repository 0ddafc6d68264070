package balance

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
)

// Restart is a new start of an endpoint under the ID that it had before.
type Restart struct {
	Endpoint *catalog.Endpoint
	// PreviousStart is the start time, in Unix milliseconds, that was known before.
	PreviousStart int64
	// SentLately counts the requests that this daemon sent to the ID within the last
	// window of the cold rate.
	SentLately int
	// Limited is true if requests to the ID counted towards the cold rate already.
	Limited bool
}

// successor returns the state of a new start of the endpoint. Requests that were sent
// before the start was known may have reached the new process, so they go on
// counting towards its cold rate.
func (s *endpointState) successor(placed catalog.ActiveEndpoint) *endpointState {
	next := &endpointState{placed: placed, news: s.news}
	if placed.Address == s.placed.Address {
		next.coldSends = s.coldSends
		next.doubtful, next.doubtfulAt, next.doubtSince = s.doubtful, s.doubtfulAt, s.doubtSince
		next.arrivals = s.arrivals
	}
	return next
}

// restart is a Restart that has not been taken yet.
type restart struct {
	previous *endpointState
	endpoint *catalog.Endpoint
}

// TakeRestarts returns the restarts that updates have brought since the last call.
func (p *Pool) TakeRestarts(now time.Time) []Restart {
	var taken []Restart
	for _, r := range p.restarts {
		taken = append(taken, Restart{
			Endpoint: r.endpoint, PreviousStart: r.previous.placed.StartedAt,
			SentLately: len(withinColdWindow(r.previous.coldSends, now)), Limited: r.previous.limitedAsCold(now),
		})
	}
	p.restarts = nil
	return taken
}
