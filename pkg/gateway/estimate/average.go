package estimate

import (
	"math"
	"time"
)

// average is a mean of observations whose weights decay with their age.
type average struct {
	mean float64
	// mass is the sum of the weights when the newest observation came, at the time at.
	mass float64
	at   time.Time
}

// add adds an observation.
func (a *average) add(value, weight float64, lifetime time.Duration, now time.Time) {
	kept := a.massAt(lifetime, now)
	a.mass = kept + weight
	a.mean += weight / a.mass * (value - a.mean)
	a.at = now
}

// massAt returns the sum of the weights now.
func (a *average) massAt(lifetime time.Duration, now time.Time) float64 {
	return a.mass * decay(now.Sub(a.at), lifetime)
}

// addMoment adds an observation of what changes within a moment: an older observation
// counts by its age and at most momentMass times as much as a new one.
func (a *average) addMoment(value float64, now time.Time) {
	a.mass = min(a.mass, momentMass)
	a.add(value, 1, momentLifetime, now)
}

// momentMass is the most that earlier observations of a moment count.
const momentMass = 4.0

// recent returns the average of a moment, or fallback when its last observation is too
// old.
func (a *average) recent(fallback float64, now time.Time) float64 {
	if a.mass == 0 || now.Sub(a.at) > momentTTL {
		return fallback
	}
	return a.mean
}

// decay returns the weight of an observation of an age; time that runs back leaves it.
func decay(age, lifetime time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-age.Seconds() / lifetime.Seconds())
}

// blended returns the mean of the observations and of a prior.
func (a *average) blended(prior, priorMass float64, lifetime time.Duration, now time.Time) float64 {
	mass := a.massAt(lifetime, now)
	return (mass*a.mean + priorMass*prior) / (mass + priorMass)
}
