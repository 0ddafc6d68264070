package balance

import (
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
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
	next := &endpointState{placed: placed, idHash: s.idHash, news: s.news, speed: s.speed.Successor()}
	if placed.Address == s.placed.Address {
		next.coldSends = slices.Clone(s.coldSends)
		next.doubtful, next.doubtfulAt, next.doubtSince = s.doubtful, s.doubtfulAt, s.doubtSince
		next.arrivals = slices.Clone(s.arrivals)
		s.next = next
	}
	return next
}

// newest returns the state of the newest start of the endpoint at its address: what is
// sent there now reaches that one.
func (s *endpointState) newest() *endpointState {
	for s.next != nil {
		s = s.next
	}
	return s
}

// known returns what is known of an endpoint: its state, also if its entry has lapsed
// lately; nil if there is none.
func (p *Pool) known(id types.EndpointID) *endpointState {
	if ep := p.states[id]; ep != nil {
		return ep
	}
	return p.lapsed[id]
}

// keepLapsed keeps the states of endpoints that are no longer published. They may still
// run, and be published again at any time.
func (p *Pool) keepLapsed(published map[types.EndpointID]*endpointState) {
	for id, ep := range p.states {
		if published[id] == nil {
			p.lapsed[id] = ep
		}
	}
	for id := range published {
		delete(p.lapsed, id)
	}
}

// expireLapsed forgets lapsed endpoints that run no request of this daemon and got none
// in the window of the cold rate.
func (p *Pool) expireLapsed(now time.Time) {
	for id, ep := range p.lapsed {
		if ep.inFlight == 0 && len(withinColdWindow(ep.coldSends, now)) == 0 && len(withinColdWindow(ep.arrivals, now)) == 0 {
			delete(p.lapsed, id)
		}
	}
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
