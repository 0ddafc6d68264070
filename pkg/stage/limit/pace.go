package limit

import "time"

// Pace smooths how slow an endpoint is: the time that attempts took over the
// time that was expected of them. It forgets while nothing is measured, so that
// an endpoint which nobody uses is tried again.
type Pace struct {
	ratio   float64
	updated time.Time
}

const (
	paceSmoothing = 0.1
	// paceHalfLife is the time after which half of a deviation is forgotten.
	paceHalfLife = 30 * time.Second
	// maxPaceRatio bounds what one attempt can count.
	maxPaceRatio = 20.0
	thousandth   = 1000
)

// Observe adds an attempt and returns the pace in thousandths, as
// snapshot.Counters.Pace holds it. Expected must be positive; an attempt
// without an expectation is ignored.
func (p *Pace) Observe(took, expected time.Duration, now time.Time) int64 {
	if expected <= 0 || took < 0 {
		return p.At(now)
	}
	p.forget(now)
	ratio := min(float64(took)/float64(expected), maxPaceRatio)
	p.ratio += (ratio - p.ratio) * paceSmoothing
	return int64(p.ratio * thousandth)
}

// At returns the pace in thousandths at the given time.
func (p *Pace) At(now time.Time) int64 {
	p.forget(now)
	return int64(p.ratio * thousandth)
}

func (p *Pace) forget(now time.Time) {
	if p.updated.IsZero() {
		p.ratio = 1
		p.updated = now
		return
	}
	elapsed := now.Sub(p.updated)
	if elapsed <= 0 {
		return
	}
	kept := float64(paceHalfLife) / float64(paceHalfLife+elapsed)
	p.ratio = 1 + (p.ratio-1)*kept
	p.updated = now
}
