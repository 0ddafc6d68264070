package estimate

import "time"

// line fits the pause between events as a straight line over the number of running
// requests, from observations whose weights decay with their age.
type line struct {
	mass, x, y, xx, xy float64
	at                 time.Time
}

// growthMass is the spread of running requests, summed up in squares, that the growth
// assumed before counts as.
const growthMass = 100.0

// add adds an observation: the pause in seconds beside a number of running requests.
func (l *line) add(running, pause float64, lifetime time.Duration, now time.Time) {
	kept := decay(now.Sub(l.at), lifetime)
	l.mass = l.mass*kept + 1
	l.x = l.x*kept + running
	l.y = l.y*kept + pause
	l.xx = l.xx*kept + running*running
	l.xy = l.xy*kept + running*pause
	l.at = now
}

// fit returns what each running request adds and the pause without any, in seconds.
func (l *line) fit(prior float64, now time.Time) (growth, start float64) {
	if l.mass == 0 {
		return prior, 0
	}
	kept := decay(now.Sub(l.at), endpointLifetime)
	x, y := l.x/l.mass, l.y/l.mass
	spread := kept * max(l.xx-l.x*x, 0)
	growth = max((kept*(l.xy-l.x*y)+growthMass*prior)/(spread+growthMass), 0)
	return growth, max(y-growth*x, 0)
}

// massAt returns the sum of the weights now.
func (l *line) massAt(now time.Time) float64 {
	return l.mass * decay(now.Sub(l.at), endpointLifetime)
}
