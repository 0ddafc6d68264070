package balance

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// arrivalMargin bounds how long a request is on its way to an endpoint of the
// region: one that was sent this long before a health check arrived before it.
const arrivalMargin = 30 * time.Millisecond

// confirmShare is the share of its cold rate that a daemon may have sent to an
// endpoint that may turn cold before it checks the endpoint again.
const confirmShare = 0.65

// mayTurnCold reports whether the endpoint may be or become cold without news of it:
// it may have started again, or it may turn cold at any moment.
func (s *endpointState) mayTurnCold(now time.Time) bool {
	return s.mayTurnColdAnyTime(now) || s.inDoubt(now)
}

// mayTurnColdAnyTime reports whether the endpoint may become cold at any moment without
// news of it: there is no recent news of the store, or its data centre is being
// evacuated and it still gets requests.
func (s *endpointState) mayTurnColdAnyTime(now time.Time) bool {
	if !s.hasColdRate() {
		return false
	}
	evacuated := !s.placed.LastRequestAt.IsZero() && now.Before(s.placed.LastRequestAt)
	return evacuated || s.news.missing(now)
}

// hasColdRate reports whether the endpoint has a bounded rate while it is cold.
func (s *endpointState) hasColdRate() bool {
	return s.service != nil && s.service.ColdPerSecond > 0
}

// recordSend records a request to an endpoint with a cold rate. Those to a warm one
// count as well: the endpoint may turn out to have been cold.
func (s *endpointState) recordSend(now time.Time) {
	if s.hasColdRate() {
		s.coldSends = append(withinColdWindow(s.coldSends, now), now)
	}
}

// limitedAsCold reports whether requests to the endpoint count towards the cold
// rate.
func (s *endpointState) limitedAsCold(now time.Time) bool {
	return s.cold(now) || s.mayTurnCold(now)
}

// LimitedAsCold reports whether requests to an endpoint count towards the cold rate; an
// endpoint that is not known has none.
func (p *Pool) LimitedAsCold(endpoint types.EndpointID, now time.Time) bool {
	ep := p.states[endpoint]
	return ep != nil && ep.limitedAsCold(now)
}

// countedSends counts the requests of the window of the cold rate. At an endpoint
// that may turn cold, those that arrived before a health check found it warm do
// not count.
func (s *endpointState) countedSends(now time.Time) int {
	s.coldSends = withinColdWindow(s.coldSends, now)
	switch {
	case s.cold(now):
		return len(s.coldSends)
	case s.mayTurnColdAnyTime(now):
		return len(s.unconfirmedSends())
	}
	return s.doubtfulSends(now)
}

// unconfirmedSends returns the requests that may have arrived after the newest
// health check that found the endpoint warm.
func (s *endpointState) unconfirmedSends() []time.Time {
	for i, sentAt := range s.coldSends {
		if sentAt.Add(arrivalMargin).After(s.warmAfter) {
			return s.coldSends[i:]
		}
	}
	return nil
}

// accepts reports whether this daemon may send to the endpoint at all. Only the
// daemons that share its cold rate send to one that may turn cold.
func (p *Pool) accepts(ep *endpointState, now time.Time) bool {
	return ep.placed.Accepts(now) && (!ep.mayTurnCold(now) || p.coldShare(ep) > 0)
}

// DueConfirmations returns the endpoints that may be cold and to which this daemon has
// sent so much that it has to check again whether they are warm. Pending is false if
// none is to be checked soon.
func (p *Pool) DueConfirmations(now time.Time) (due []Probe, pending bool) {
	for _, states := range p.services {
		for _, ep := range states {
			pending = pending || ep.mayTurnColdAnyTime(now) || ep.mayTurnColdAnyTime(now.Add(newsLookahead)) || ep.usedInDoubt(now)
			if ep.mayTurnCold(now) && p.confirmationDue(ep, now) {
				probe := ep.probe(now)
				probe.Confirms, probe.InDoubt = true, ep.inDoubt(now)
				due = append(due, probe)
			}
		}
	}
	return due, pending
}

func (p *Pool) confirmationDue(ep *endpointState, now time.Time) bool {
	if ep.service.HealthPath == "" || ep.cold(now) || now.Before(ep.nextProbeAt) || p.closed(ep, now) {
		return false
	}
	if ep.usedInDoubt(now) && now.Sub(ep.doubtSince) >= probeInterval {
		return true
	}
	share := float64(p.coldShare(ep))
	if share == 0 {
		// Without a share only the check lets this daemon use an endpoint in doubt.
		return ep.usedInDoubt(now) && (ep.assigned || ep.owned)
	}
	return float64(ep.countedSends(now)) >= share*confirmShare
}

// recordConfirmation records the result of a health check of an endpoint that may
// turn cold.
// An endpoint that answered that it is warm may be checked again at once.
func (s *endpointState) recordConfirmation(probe Probe, coldUntil time.Time) {
	if coldUntil.After(probe.DueAt) {
		s.turnedColdUntil = coldUntil
		return
	}
	if probe.DueAt.After(s.warmAfter) {
		s.warmAfter = probe.DueAt
	}
	s.nextProbeAt = probe.DueAt
}
