package gate

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Observer is told of each notice of an endpoint and of the change that it caused,
// which may be none. It must not block.
type Observer func(endpoint *catalog.Endpoint, notice balance.Notice, change balance.Change)

// SetObserver sets the observer of notices. Call it before the gate is used.
func (g *Gate) SetObserver(observe Observer) {
	g.observe = observe
}

// Note records what an endpoint said of itself in a response. From then on the
// endpoint gets no request for as long as it asked, and attempts that have no
// connection to it yet are cancelled.
func (g *Gate) Note(endpoint *catalog.Endpoint, notice balance.Notice) {
	if notice.Empty() {
		return
	}
	g.mu.Lock()
	change := g.pool.Note(endpoint, notice, g.now())
	for attempt := range g.connecting {
		if attempt.permit.Endpoint.ID == endpoint.ID {
			attempt.abort()
		}
	}
	g.mu.Unlock()
	if g.observe != nil {
		g.observe(endpoint, notice, change)
	}
}

// NoteSuccessor records what the endpoint said of itself that now has the address
// of another one, if it is known which one it is.
func (g *Gate) NoteSuccessor(previous *catalog.Endpoint, notice balance.Notice) {
	g.mu.Lock()
	successor := g.pool.Successor(previous)
	g.mu.Unlock()
	if successor != nil {
		g.Note(successor, notice)
	}
}

// NoteRemote records what an endpoint of the local region said of itself in a
// response to another daemon. StartedAt is the start time of that endpoint, zero if
// unknown; the notice is then dropped if no such endpoint is published.
func (g *Gate) NoteRemote(id types.EndpointID, startedAt int64, notice balance.Notice) {
	g.mu.Lock()
	known := g.pool.EndpointByID(id)
	g.mu.Unlock()
	switch {
	case known == nil && startedAt == 0:
	case known == nil:
		g.Note(&catalog.Endpoint{ID: id, StartedAt: startedAt}, notice)
	case startedAt == 0 || startedAt == known.StartedAt:
		g.Note(known, notice)
	default:
		g.Note(&catalog.Endpoint{ID: id, StartedAt: startedAt, Service: known.Service, Address: known.Address}, notice)
	}
}

// Takes reports whether an endpoint takes requests now, by what it said of itself.
func (g *Gate) Takes(endpoint *catalog.Endpoint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.Takes(endpoint, g.now())
}

// Taking returns the endpoints that take requests now, by what they said of
// themselves.
func (g *Gate) Taking(endpoints []catalog.ActiveEndpoint) []catalog.ActiveEndpoint {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.Taking(endpoints, g.now())
}

// LongestPause returns the time until the last end of a pause in force; zero if
// there is none.
func (g *Gate) LongestPause() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.LongestPause(g.now())
}

// PauseLeft returns how long no endpoint of a service takes a request because the
// ones that are not leaving asked for a pause; zero if one of them did not.
func (g *Gate) PauseLeft(service types.ServiceName) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.PauseLeft(service, g.now())
}

// PrefixSource returns the endpoint from which another one may copy a large
// prefix.
func (g *Gate) PrefixSource(service types.ServiceName, prefix uint64, to catalog.ActiveEndpoint, allows func(types.Region) bool) (catalog.ActiveEndpoint, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.PrefixSource(service, prefix, to, allows, g.now())
}
