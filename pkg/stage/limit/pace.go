package limit

import (
	"math"
	"time"
)

// Pace is the moving average (EWMA) of an endpoint's slowness: the actual
// duration of attempts divided by their expected duration. It decays towards 1
// while nothing is measured, so that an endpoint that receives no requests is
// tried again.
type Pace struct {
	ratio   float64
	updated time.Time
}

const (
	paceSmoothing = 0.1
	// paceHalfLife is the time after which half of a deviation from 1 remains
	// if nothing updates the average in between.
	paceHalfLife = 30 * time.Second
	// maxPaceRatio is the largest ratio that one attempt contributes.
	maxPaceRatio       = 20.0
	thousandthsPerUnit = 1000
)

// Observe records an attempt and returns the pace in thousandths, as stored in
// snapshot.Counters.Pace. An attempt whose expected duration is not positive or
// whose actual duration is negative is ignored.
func (p *Pace) Observe(took, expected time.Duration, now time.Time) int64 {
	if expected <= 0 || took < 0 {
		return p.At(now)
	}
	p.decay(now)
	ratio := min(float64(took)/float64(expected), maxPaceRatio)
	p.ratio += (ratio - p.ratio) * paceSmoothing
	return int64(p.ratio * thousandthsPerUnit)
}

// At returns the pace at the given time, in thousandths.
func (p *Pace) At(now time.Time) int64 {
	p.decay(now)
	return int64(p.ratio * thousandthsPerUnit)
}

func (p *Pace) decay(now time.Time) {
	if p.updated.IsZero() {
		p.ratio = 1
		p.updated = now
		return
	}
	elapsed := now.Sub(p.updated)
	if elapsed <= 0 {
		return
	}
	retained := math.Exp2(-float64(elapsed) / float64(paceHalfLife))
	p.ratio = 1 + (p.ratio-1)*retained
	p.updated = now
}
