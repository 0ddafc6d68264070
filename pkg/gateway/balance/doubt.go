package balance

import (
	"slices"
	"time"
)

// Connection tells of the process at the other end of a connection.
type Connection interface {
	// Trusted reports whether the connection leads to a process that was known to be
	// warm before it was opened, or was found to be warm since. It may become true
	// later.
	Trusted() bool
	// OpenFor returns the time since the connection was opened.
	OpenFor() time.Duration
	// Trust records that the connection leads to a process that is warm.
	Trust()
}

// longestCold is the longest time for which a process may be cold after its start; it
// returns false if that is not known.
func (s *endpointState) longestCold() (time.Duration, bool) {
	if s.service == nil || s.service.ColdStart <= 0 {
		return 0, false
	}
	return s.service.ColdStart + restartSlack, true
}

// trusts reports whether a connection leads to a process that is known to be warm, or
// has been open for longer than a process is cold after its start.
func (s *endpointState) trusts(conn Connection) bool {
	if conn.Trusted() {
		return true
	}
	if longest, known := s.longestCold(); !known || conn.OpenFor() < longest {
		return false
	}
	conn.Trust()
	return true
}

// inDoubt reports whether the endpoint may have started again since it was last known
// to be warm: the newest connection to it that was not trusted is not yet.
func (s *endpointState) inDoubt(now time.Time) bool {
	if !s.hasColdRate() || s.doubtful == nil || s.doubtful.Trusted() {
		return false
	}
	longest, known := s.longestCold()
	return !known || now.Sub(s.doubtfulAt) < longest
}

// usedInDoubt reports whether this daemon lately sent, or meant to send, requests to an
// endpoint in doubt.
func (s *endpointState) usedInDoubt(now time.Time) bool {
	if !s.inDoubt(now) {
		return false
	}
	wanted := !s.wantedAt.IsZero() && now.Sub(s.wantedAt) <= coldWindow
	return wanted || s.doubtfulSends(now) > 0
}

// Connected records the connection of an attempt, before anything is sent on it. It
// returns whether the request may be sent, and whether the connection may lead to a
// process that has just started. All daemons together send such a process no more than
// a cold endpoint takes, whatever each of them knows of it. A request counts from now on:
// it may have waited long for the connection.
func (p *Pool) Connected(permit *Permit, conn Connection, now time.Time) (permitted, doubtful bool) {
	ep := permit.state.newest()
	if conn == nil || !ep.hasColdRate() {
		return true, false
	}
	doubtful = !ep.trusts(conn)
	if doubtful {
		ep.doubt(conn, now)
		ep.arrivals = withinColdWindow(ep.arrivals, now)
		if len(ep.arrivals) >= p.coldShare(ep) {
			return false, true
		}
	}
	if !p.sendsLate(ep, permit, now) {
		return false, doubtful
	}
	if doubtful {
		ep.arrivals = append(ep.arrivals, now)
	}
	return true, doubtful
}

// doubt records a connection that is not trusted.
func (s *endpointState) doubt(conn Connection, now time.Time) {
	if !s.inDoubt(now) {
		s.doubtSince = now
	}
	if s.doubtful != conn {
		s.doubtful, s.doubtfulAt = conn, now
	}
	s.wantedAt = now
}

// sendsLate lets a request that has waited for its connection count from now on, instead
// of from its grant. It returns false if the endpoint takes no more requests now.
func (p *Pool) sendsLate(ep *endpointState, permit *Permit, now time.Time) bool {
	if now.Sub(permit.grantedAt) <= arrivalMargin {
		return true
	}
	if i := slices.IndexFunc(ep.coldSends, permit.grantedAt.Equal); i >= 0 {
		ep.coldSends = slices.Delete(ep.coldSends, i, i+1)
	}
	if (ep.cold(now) || ep.mayTurnColdAnyTime(now)) && ep.countedSends(now) >= p.coldShare(ep) {
		return false
	}
	ep.coldSends = append(withinColdWindow(ep.coldSends, now), now)
	return true
}

// beingChecked reports whether a health check may soon let this daemon, which has no
// share of the cold rate, use an endpoint in doubt.
func (p *Pool) beingChecked(ep *endpointState, now time.Time) bool {
	return ep.placed.Accepts(now) && ep.inDoubt(now) && !ep.mayTurnColdAnyTime(now) && !ep.cold(now) &&
		ep.service.HealthPath != "" && (ep.assigned || ep.owned)
}

// doubtfulSends counts the requests of the window of the cold rate that may have
// reached, or may reach, a process that has just started.
func (s *endpointState) doubtfulSends(now time.Time) int {
	s.arrivals = withinColdWindow(s.arrivals, now)
	since := 0
	for _, sentAt := range withinColdWindow(s.coldSends, now) {
		if !sentAt.Before(s.doubtSince) {
			since++
		}
	}
	return max(since, len(s.arrivals))
}
