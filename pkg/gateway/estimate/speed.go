package estimate

import (
	"math"
	"time"
)

const (
	// minLevelMass is how many recent observations are needed to tell a speed level.
	minLevelMass = 3.0
	// levelsPerOctave is how many levels a speed is above half of it.
	levelsPerOctave = 2
	// levelHysteresis is how far a speed must be from its level until the level changes.
	levelHysteresis = 0.75
)

// SpeedLevel returns the binary logarithm of how fast the endpoint prefills prompts, in
// units of levelTokens a second, rounded; false if too little is known. It stays at the
// previous level, if there is one, until the speed is clearly another.
func (e *Endpoint) SpeedLevel(previous int, found bool, now time.Time) (int, bool) {
	if e.level.massAt(endpointLifetime, now) < minLevelMass {
		return previous, found
	}
	exact := -levelsPerOctave * e.logLevel(now) / math.Ln2
	if found && math.Abs(exact-float64(previous)) < levelHysteresis {
		return previous, true
	}
	return int(math.Round(exact)), true
}
