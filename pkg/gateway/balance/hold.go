package balance

import (
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// Limits of large prompts that are held until their engine has room.
const (
	// holdMargin is what a large prompt is held beyond twice its predicted wait: then
	// the prediction was wrong, and another home may be better.
	holdMargin = 100 * time.Millisecond
	// mixedFor is how long after a request that is not large others are expected.
	mixedFor = time.Second
	// besideShare is the share of the objective of more urgent requests that prompt
	// work may take at an engine which prefills a large prompt, and gets another one.
	besideShare = 0.5
	// maxHeld bounds the large prompts that are held for one service.
	maxHeld = 64
)

// Holds reports whether a large prompt may be held until its engine has room: the pool
// holds prompts, and the engines serve more urgent routes beside it that must respond
// sooner, so that it is not given to them whenever it fits its own objective.
func (p *Pool) Holds(req RequestInfo) bool {
	return p.bounds.MaxHold > 0 && req.large() && req.Objective > 0 && p.mixesObjectives(req.Service) && p.routeConstraints(req).hasMoreUrgent
}

// mixesObjectives reports whether the engines of a service serve routes of which a more
// urgent one must respond sooner.
func (p *Pool) mixesObjectives(service types.ServiceName) bool {
	return p.view != nil && p.view.Config != nil && p.view.Config.MixesObjectives(service)
}

// Hold keeps a large prompt for which there is no room now, for a bounded time, or
// refuses it when room is predicted too late for it.
func (p *Pool) Hold(req RequestInfo, now time.Time) (*Waiter, *Refusal) {
	held, wait, none, refused := p.expectedHold(req, nil, now)
	if none != nil {
		return nil, none
	}
	if refused {
		return nil, p.Refuse(req, now)
	}
	q := p.queueOf(req.Service)
	q.seq++
	waiter := &Waiter{
		RequestInfo: req, ExpiresAt: now.Add(wait.allowed), seq: q.seq, Granted: make(chan *Permit, 1), Refused: make(chan *Refusal, 1),
		held: held,
	}
	i, _ := slices.BinarySearchFunc(q.held, waiter, compareSlack)
	q.held = slices.Insert(q.held, i, waiter)
	return waiter, nil
}

// expectedHold returns for which engine and how long a large prompt would be held, and
// whether it is refused instead; none is set if no endpoint may run it at all. With a trace
// it is only a question.
func (p *Pool) expectedHold(req RequestInfo, trace *Trace, now time.Time) (held heldPrompt, wait expectedWait, none *Refusal, refused bool) {
	eligible := assignedEndpoints(req, p.filter(req, trace, now), trace)
	if len(eligible) == 0 {
		return held, wait, p.noEndpoint(req, now), true
	}
	home, q := homeOf(req, eligible), p.queueOf(req.Service)
	held = heldPrompt{home: home.placed.ID, tokens: p.prefillTokens(req, home, !req.PrefixUncached, now)}
	held.startBy = p.startBy(req, home, held.tokens, now)
	wait = expectedWait{predicted: p.roomIn(home, q, held.startBy, now), allowed: holdTime(req, p.bounds.MaxHold, held.startBy, now)}
	refused = !p.awaitsPrefill(req, home, now) || len(q.held) >= maxHeld || wait.predicted >= wait.allowed
	wait.allowed = min(wait.allowed, 2*wait.predicted+holdMargin)
	return held, wait, nil, refused
}

// heldPrompt is a large prompt while it is held.
type heldPrompt struct {
	// home is the endpoint that it is held for, and tokens what that one would have to
	// prefill.
	home   types.EndpointID
	tokens float64
	// startBy is when its prefill must begin for a response in time.
	startBy time.Time
}

// compareSlack orders held prompts by the time at which their prefill must begin,
// then by arrival.
func compareSlack(a, b *Waiter) int {
	if order := a.held.startBy.Compare(b.held.startBy); order != 0 {
		return order
	}
	return int(a.seq) - int(b.seq)
}

// startBy returns when the prefill of a large prompt must begin at its home.
func (p *Pool) startBy(req RequestInfo, home *endpointState, tokens float64, now time.Time) time.Time {
	allowed := time.Duration(float64(req.Objective) * responseShare)
	return req.Arrived.Add(allowed - home.speed.PrefillTime(tokens, now))
}

// holdTime returns how long a large prompt may be held.
func holdTime(req RequestInfo, maxHold time.Duration, startBy, now time.Time) time.Duration {
	allowed := min(startBy.Sub(now), maxHold, time.Duration(float64(req.Deadline.Sub(now))*remainingShare))
	if req.WaitLimit > 0 {
		allowed = min(allowed, req.WaitLimit)
	}
	return allowed
}

// roomIn predicts when the home has prefilled what it has and what is held for it
// with less slack.
func (p *Pool) roomIn(home *endpointState, q *queue, startBy, now time.Time) time.Duration {
	tokens := home.prefillTokens
	for _, other := range q.held {
		if other.held.home == home.placed.ID && !other.held.startBy.After(startBy) {
			tokens += other.held.tokens
		}
	}
	return home.speed.PrefillTime(tokens, now) - home.speed.PrefillTime(0, now)
}

// letGo gives held prompts, the one with the least slack first, to engines that have
// room for them. With overdueOnly only those go whose slack is used up: they go before
// requests that wait for capacity, and need less room.
func (p *Pool) letGo(q *queue, overdueOnly bool, now time.Time) {
	q.held = slices.DeleteFunc(q.held, func(waiter *Waiter) bool {
		req := waiter.RequestInfo
		req.overdue = !waiter.held.startBy.After(now)
		if overdueOnly && !req.overdue {
			return false
		}
		permit, refusal := p.Permit(req, now)
		switch {
		case refusal != nil:
			waiter.Refused <- refusal
		case permit != nil:
			waiter.Granted <- permit
		default:
			return false
		}
		return true
	})
}

// EndHold ends the wait of a held prompt: it returns a permit if it can go now, else
// its refusal.
func (p *Pool) EndHold(waiter *Waiter, now time.Time) (*Permit, *Refusal) {
	q := p.queueOf(waiter.RequestInfo.Service)
	q.held = slices.DeleteFunc(q.held, func(other *Waiter) bool { return other == waiter })
	req := waiter.RequestInfo
	req.overdue = true
	permit, refusal := p.Permit(req, now)
	if permit == nil && refusal == nil {
		refusal = p.Refuse(req, now)
	}
	return permit, refusal
}

// Held counts the large prompts that are held for a service.
func (p *Pool) Held(service types.ServiceName) int {
	if q := p.queues[service]; q != nil {
		return len(q.held)
	}
	return 0
}

// fitsBeside reports whether an engine that more urgent requests share takes a large
// prompt that takes it until a time to prefill, all that waits there included. While
// others come, it gets a second large prompt only if both are short: what waits at the
// engine delays every request that comes after it, what is held here delays none.
func (p *Pool) fitsBeside(req RequestInfo, ep *endpointState, prefilled time.Duration, now time.Time) bool {
	if ep.largePending == 0 || now.Sub(p.queueOf(req.Service).otherSentAt) > mixedFor {
		return true
	}
	return prefilled <= time.Duration(float64(p.routeConstraints(req).objective)*besideShare)
}

// waitsForHome reports whether a large prompt is to be held for the home of its prefix
// although another engine has room: that one would prefill the prefix once more, which
// takes its capacity from other requests.
func (p *Pool) waitsForHome(req RequestInfo, home *endpointState, now time.Time) bool {
	if req.overdue || req.PrefixUncached || !p.Holds(req) || p.hasRoom(req, home, now) || !p.awaitsPrefill(req, home, now) {
		return false
	}
	startBy := p.startBy(req, home, p.prefillTokens(req, home, true, now), now)
	return p.roomIn(home, p.queueOf(req.Service), startBy, now) < holdTime(req, p.bounds.MaxHold, startBy, now)
}

// hasRoom reports whether the home of a large prompt takes it now.
func (p *Pool) hasRoom(req RequestInfo, home *endpointState, now time.Time) bool {
	return p.noRoom(req, home, true, p.limitNow(req, home, now), now) == ""
}

// awaitsPrefill reports whether the prompt work at the home of a large prompt is all that
// may keep the prompt from it. A home that is stalled, cold or busy with many requests has
// no room sooner for having prefilled what it has.
func (p *Pool) awaitsPrefill(req RequestInfo, home *endpointState, now time.Time) bool {
	if home.stalledFor(now) > stallAfter || home.estimatedInFlight() > float64(home.slots())*maxBusyShare {
		return false
	}
	reason := p.noRoom(req, home, true, p.limitNow(req, home, now), now)
	return reason == "" || reason == DroppedLate
}
