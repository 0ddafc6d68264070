package estimate

import "time"

// line fits a time, in seconds, as a straight line over an amount of load, from
// observations whose weights decay with their age.
type line struct {
	moments
	at time.Time
}

// moments are weighted sums over observations (x, y).
type moments struct {
	mass, x, y, xx, xy float64
}

// scaled returns the moments with all weights multiplied by a factor.
func (m moments) scaled(factor float64) moments {
	return moments{mass: m.mass * factor, x: m.x * factor, y: m.y * factor, xx: m.xx * factor, xy: m.xy * factor}
}

// plus returns the moments of both sets of observations.
func (m moments) plus(other moments) moments {
	return moments{mass: m.mass + other.mass, x: m.x + other.x, y: m.y + other.y, xx: m.xx + other.xx, xy: m.xy + other.xy}
}

// slopePrior is what is assumed of the slope of a line before any observation.
type slopePrior struct {
	slope float64
	// spread is the sum of squared distances from the mean load that the assumption counts
	// as.
	spread float64
}

// fit returns the slope and the value at no load; neither is negative.
func (m moments) fit(prior slopePrior) (slope, base float64) {
	if m.mass == 0 {
		return prior.slope, 0
	}
	x, y := m.x/m.mass, m.y/m.mass
	spread := max(m.xx-m.x*x, 0)
	slope = max((m.xy-m.x*y+prior.spread*prior.slope)/(spread+prior.spread), 0)
	return slope, max(y-slope*x, 0)
}

// add adds an observation: the time in seconds at a load.
func (l *line) add(load, took float64, lifetime time.Duration, now time.Time) {
	seen := moments{mass: 1, x: load, y: took, xx: load * load, xy: load * took}
	l.moments = l.momentsAt(lifetime, now).plus(seen)
	l.at = now
}

// momentsAt returns the sums with the weights of now.
func (l *line) momentsAt(lifetime time.Duration, now time.Time) moments {
	return l.scaled(decay(now.Sub(l.at), lifetime))
}

// normalised returns the sums with a total weight of at most mass.
func (m moments) normalised(mass float64) moments {
	if m.mass <= mass {
		return m
	}
	return m.scaled(mass / m.mass)
}
