package balance

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// Drop is why an endpoint can't get a request now; empty if it can.
type Drop string

// The reasons for which endpoints are dropped, in the order of the checks.
const (
	DroppedLeaving    Drop = "is draining, or its data centre is evacuated"
	DroppedTried      Drop = "was tried before"
	DroppedClosed     Drop = "said that it is leaving or asked for a pause"
	DroppedNotTaken   Drop = "is leaving or evacuated, or may turn cold and other daemons share its rate"
	DroppedSuspended  Drop = "is suspended after failures"
	DroppedEjected    Drop = "failed its last requests"
	DroppedUnassigned Drop = "belongs to other daemons"
	DroppedNotKeeping Drop = "does not keep the prefix of the prompt"
	DroppedFull       Drop = "has as many requests of this daemon as it may"
	DroppedCold       Drop = "is cold and its rate is used up"
	DroppedMemory     Drop = "has no memory for it beside what runs there"
	DroppedLate       Drop = "would not respond in time"
)

// Trace receives what a placement decides. A nil trace receives nothing.
type Trace struct {
	// Endpoints are those of the service in the local region, in the order of the checks.
	Endpoints []TracedEndpoint
	// Home is the endpoint that keeps the large prefix of the request; empty if there is
	// none.
	Home types.EndpointID
	// WaitsForHome is true if another endpoint has room but the request is held for its
	// home.
	WaitsForHome bool
	// index holds the positions in Endpoints.
	index map[types.EndpointID]int
}

// TracedEndpoint is what a placement found of one endpoint.
type TracedEndpoint struct {
	Endpoint   types.EndpointID
	DataCentre types.DataCentre
	Drop       Drop
	// InFlight are the requests of this daemon there, Limit the most that it may have.
	InFlight int
	Limit    int
	// BacklogTokens is the prompt work of this daemon's requests without a first event.
	BacklogTokens float64
	// Cost is the score; zero if the endpoint was dropped.
	Cost Cost
	// FirstEvent is the predicted time until the response starts, and Certainty how
	// much of it was learned from this endpoint, from 0 to 1; both are zero if it runs no
	// engine.
	FirstEvent time.Duration
	Certainty  float64
}

// Cost is the predicted time, in seconds, that a request takes at an endpoint in addition
// to what it takes at any endpoint, by cause.
type Cost struct {
	Errors          float64
	Stalled         float64
	Cold            float64
	OtherDataCentre float64
	OffHome         float64
	// Slots is what the used slots of a plain endpoint add, Work the predicted time until
	// the response starts.
	Slots, Work float64
	// TieBreak spreads requests over endpoints of equal cost.
	TieBreak float64
}

// Sum returns the whole cost.
func (c Cost) Sum() float64 {
	return c.Errors + c.Stalled + c.Cold + c.OtherDataCentre + c.OffHome + c.Slots + c.Work + c.TieBreak
}

// drop records that an endpoint is dropped, or not dropped after all if the reason is empty.
func (t *Trace) drop(ep *endpointState, reason Drop) {
	if t != nil {
		t.of(ep).Drop = reason
	}
}

// dropLeaving records the endpoints of a service that the published view took away.
func (t *Trace) dropLeaving(p *Pool, service types.ServiceName) {
	if p.view == nil {
		return
	}
	for _, placed := range p.view.Leaving[service] {
		if ep := p.states[placed.ID]; ep != nil {
			t.drop(ep, DroppedLeaving)
		}
	}
}

// of returns the record of an endpoint, which it creates if there is none.
func (t *Trace) of(ep *endpointState) *TracedEndpoint {
	if i, found := t.index[ep.placed.ID]; found {
		return &t.Endpoints[i]
	}
	if t.index == nil {
		t.index = make(map[types.EndpointID]int)
	}
	t.index[ep.placed.ID] = len(t.Endpoints)
	t.Endpoints = append(t.Endpoints, TracedEndpoint{
		Endpoint: ep.placed.ID, DataCentre: ep.placed.DataCentre, InFlight: ep.inFlight, BacklogTokens: ep.prefillTokens,
	})
	return &t.Endpoints[len(t.Endpoints)-1]
}

// cost records the score of an endpoint.
func (t *Trace) cost(p *Pool, req RequestInfo, ep *endpointState, home bool, cost Cost, now time.Time) {
	if t == nil {
		return
	}
	found := t.of(ep)
	found.Cost = cost
	if ep.isEngine() {
		prediction := p.predict(req, ep, home, now)
		found.FirstEvent, found.Certainty = prediction.FirstEvent, prediction.Certainty
	}
}

// Explanation is where a request would go now.
type Explanation struct {
	Trace
	// Chosen is the endpoint that it would get at once; empty if it would wait or be
	// refused.
	Chosen types.EndpointID
	// Held is true if it would be held for an engine, and Queued if it would wait for
	// capacity, for at most MaxWait.
	Held, Queued  bool
	MaxWait       time.Duration
	PredictedWait time.Duration
	// Ahead counts the waiting requests that precede it.
	Ahead int
	// Refusal says why it would be refused; nil if it would not.
	Refusal *Refusal
}

// Explain tells where a request would go now. It reserves, counts and learns nothing; what
// is derived and cached for a moment may be derived now.
func (p *Pool) Explain(req RequestInfo, now time.Time) Explanation {
	var found Explanation
	if q := p.queues[req.Service]; q != nil {
		found.Ahead = q.shares.ahead(req)
	}
	found.Trace.dropLeaving(p, req.Service)
	chosen, _, eligible := p.choose(req, &found.Trace, now)
	// A request behind others waits for its turn before any endpoint is looked for.
	switch first := found.Ahead == 0; {
	case first && eligible == 0:
		found.Refusal = p.noEndpoint(req, now)
	case first && chosen != nil:
		found.Chosen = chosen.placed.ID
	}
	if found.Chosen != "" || found.Refusal != nil {
		return found
	}
	var wait expectedWait
	wait, found.Refusal = p.explainWait(req, now)
	found.PredictedWait, found.MaxWait = wait.predicted, wait.allowed
	found.Held = found.Refusal == nil && req.large()
	found.Queued = found.Refusal == nil && !req.large()
	return found
}

// explainWait returns the wait of a request that is not placed at once, or why it is
// refused instead.
func (p *Pool) explainWait(req RequestInfo, now time.Time) (wait expectedWait, refusal *Refusal) {
	var refused bool
	switch {
	case !req.large():
		wait, refused = p.expectedQueueWait(req, now)
	case p.Holds(req):
		_, wait, refusal, refused = p.expectedHold(req, &Trace{}, now)
	default:
		refused = true
	}
	if refused && refusal == nil {
		refusal = p.refusal(req, now)
	}
	return wait, refusal
}
