package balance

import "time"

// Connection tells of the process at the other end of a connection.
type Connection interface {
	// Trusted reports whether the connection leads to a process that was known to be
	// warm before it was opened, or was found to be warm since. It may become true
	// later.
	Trusted() bool
	// Age is the time since the connection was opened.
	Age() time.Duration
	// Trust makes the connection trusted.
	Trust()
}

// trusted reports whether a connection leads to a process that is warm: it is trusted,
// or has been open for longer than a process is cold after its start.
func (s *endpointState) trusted(conn Connection) bool {
	if conn.Trusted() {
		return true
	}
	if conn.Age() <= s.longestCold() {
		return false
	}
	conn.Trust()
	return true
}

// longestCold is the longest time for which a process may be cold after its start.
func (s *endpointState) longestCold() time.Duration {
	return s.service.ColdStart + restartSlack
}

// inDoubt reports whether the endpoint may have started again since it was last known
// to be warm: the newest connection to it that was not trusted is not yet.
func (s *endpointState) inDoubt(now time.Time) bool {
	return s.hasColdRate() && s.doubtful != nil && now.Sub(s.doubtfulAt) <= s.longestCold() && !s.doubtful.Trusted()
}

// usedInDoubt reports whether this daemon lately sent, or meant to send, requests to an
// endpoint in doubt.
func (s *endpointState) usedInDoubt(now time.Time) bool {
	return s.inDoubt(now) && s.doubtfulSends(now) > 0
}

// Connected records the connection of an attempt, before anything is sent on it. It
// returns whether the request may be sent, and whether the connection may lead to a
// process that has just started. All daemons together send such a process no more than
// a cold endpoint takes, whatever each of them knows of it.
func (p *Pool) Connected(permit *Permit, conn Connection, now time.Time) (permitted, doubtful bool) {
	ep := permit.state
	if conn == nil || !ep.hasColdRate() || ep.trusted(conn) {
		return true, false
	}
	if !ep.inDoubt(now) {
		ep.doubtSince = now
	}
	if ep.doubtful != conn {
		ep.doubtful, ep.doubtfulAt = conn, now
	}
	ep.arrivals = withinColdWindow(ep.arrivals, now)
	if len(ep.arrivals) >= p.coldShare(ep) {
		return false, true
	}
	ep.arrivals = append(ep.arrivals, now)
	if now.Sub(permit.grantedAt) > arrivalMargin {
		// It counted when it was granted, but arrives only now.
		ep.coldSends = append(withinColdWindow(ep.coldSends, now), now)
	}
	return true, true
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
