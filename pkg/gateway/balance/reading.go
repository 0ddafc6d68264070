package balance

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Limits of the prompt work that an engine is given.
const (
	// paceWeight smooths what answers show of an engine.
	paceWeight = 0.2
	// minPace and maxPace bound the pace, relative to readRate: an answer whose
	// prompt was cached, and one that came from an engine in trouble, say little
	// about the next one.
	minPace = 0.25
	maxPace = 8.0
	// paceHolds is how long an observation says something of an engine.
	paceHolds = 1500 * time.Millisecond
	// beginShare is the part of its objective in which an answer must be
	// predicted to begin; the rest is for the way to the caller.
	beginShare = 0.8
	// anewShare is the same for a prompt that is read anew at an engine that is
	// not the home of its prefix: that pays only where little else is to be read.
	anewShare = 0.4
	// crowdShare is the part of an engine's slots that may be in use when it is
	// given large prompts of lesser urgency than other requests it serves.
	crowdShare = 0.75
)

// observed is a smoothed quantity with the time of its last observation.
type observed struct {
	value float64
	at    time.Time
}

// take takes an observation; one after a long silence replaces what was known.
func (o *observed) take(value float64, now time.Time) {
	if now.Sub(o.at) > paceHolds {
		o.value = value
	}
	o.value += paceWeight * (value - o.value)
	o.at = now
}

// known returns the value, or other when it was not observed of late.
func (o *observed) known(other float64, now time.Time) float64 {
	if now.Sub(o.at) > paceHolds {
		return other
	}
	return o.value
}

// answeredAfter learns from the time in which an answer began: how fast the
// engine reads what it has to read for large prompts, and how long others wait.
func (s *state) answeredAfter(place *Permit, now time.Time) {
	took := now.Sub(place.takenAt).Seconds()
	if place.ask.large() {
		pace := took * readRate / max(place.work, 1)
		s.pace.take(min(max(pace, minPace), maxPace), now)
		return
	}
	s.begins.take(took, now)
}

// answersInTime predicts whether an answer would begin in time if the engine got
// the request now.
func (p *Pool) answersInTime(ask RequestInfo, one *state, home bool, now time.Time) bool {
	if !one.isEngine() || ask.Objective <= 0 || len(one.unanswered) == 0 {
		return true
	}
	allowed := time.Duration(float64(ask.Objective) * beginShare)
	if waited := now.Sub(ask.Arrived); waited > 0 && waited < ask.Objective {
		allowed -= waited
	}
	if !ask.large() {
		return one.begins.known(0, now) <= allowed.Seconds() && one.oldestWait(now) <= allowed
	}
	urgent := p.urgency(ask)
	if urgent.shared && one.crowd() > float64(one.slots())*crowdShare {
		return false
	}
	if urgent.shared {
		allowed = min(allowed, time.Duration(float64(urgent.objective)*beginShare))
	} else {
		allowed = time.Duration(float64(ask.Deadline.Sub(now)) * leftShare)
	}
	if ask.PrefixUncached {
		allowed = min(allowed, time.Duration(float64(urgent.objective)*anewShare))
	}
	seconds := (one.unread + p.unread(ask, one, home && !ask.PrefixUncached)) / readRate * one.pace.known(1, now)
	return seconds <= allowed.Seconds()
}

// oldestWait is how long the oldest request without an answer has waited.
func (s *state) oldestWait(now time.Time) time.Duration {
	if len(s.unanswered) == 0 {
		return 0
	}
	return now.Sub(s.unanswered[0])
}

// crowd estimates how many requests all daemons have at the endpoint: the large
// ones come from this daemon alone, the others from its sharers alike.
func (s *state) crowd() float64 {
	return float64(s.large) + float64(s.inFlight-s.large)*float64(max(s.sharers, 1))
}

// urgency tells what else the engines that may run a request have to serve.
type urgency struct {
	// objective is the shortest of the routes that are at least as urgent; an
	// engine reads prompts in the order in which they came, whatever their rank.
	objective time.Duration
	// shared is true when some of them are more urgent.
	shared bool
}

type urgencyKey struct {
	service types.ServiceName
	rank    int
}

// urgency looks through the routes to a request's service that the own region
// may serve.
func (p *Pool) urgency(ask RequestInfo) urgency {
	key := urgencyKey{service: ask.Service, rank: ask.Rank}
	if known, found := p.urgencies[key]; found {
		return known
	}
	found := urgency{objective: ask.Objective}
	if p.view != nil && p.view.Config != nil {
		for _, route := range p.view.Config.Routes {
			found.take(route, ask, p.region)
		}
	}
	p.urgencies[key] = found
	return found
}

func (u *urgency) take(route *catalog.Route, ask RequestInfo, region types.Region) {
	if route.Rank > ask.Rank || route.Objective <= 0 || !route.Allows(region) || !route.Uses(ask.Service) {
		return
	}
	u.objective = min(u.objective, route.Objective)
	u.shared = u.shared || route.Rank < ask.Rank
}
