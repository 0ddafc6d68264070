package members

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// Speed is how fast an endpoint prefills prompts, as the daemon found that sends it its
// large ones.
type Speed struct {
	Endpoint types.EndpointID `json:"e"`
	// Level is the speed in half octaves; two more are twice as fast.
	Level int `json:"l"`
}

// Limits of what daemons may tell of speeds.
const (
	// maxToldSpeeds bounds the endpoints of one load, maxSpeeds those that are known.
	maxToldSpeeds = 64
	maxSpeeds     = 8192
	// maxSpeedLevel bounds a level either way.
	maxSpeedLevel = 30
	// speedLifetime is how long a speed is known that nobody tells any more: its daemon
	// may have ended, and the next one has yet to learn it.
	speedLifetime = time.Minute
)

// toldSpeed is a level with the time at which it was told last.
type toldSpeed struct {
	level int
	at    time.Time
}

// speedTable holds what daemons told of the speeds of endpoints.
type speedTable struct {
	told map[types.EndpointID]toldSpeed
	// known is what Speeds returns; it is replaced and never changed.
	known Speeds
}

func newSpeedTable() speedTable {
	return speedTable{told: make(map[types.EndpointID]toldSpeed)}
}

// copy returns a table with the same content.
func (s *speedTable) copy() speedTable {
	return speedTable{told: maps.Clone(s.told), known: s.known}
}

// record records what a daemon tells in its loads.
func (s *speedTable) record(loads []Load, now time.Time) {
	changed := false
	for _, load := range loads {
		for _, speed := range load.Speeds[:min(len(load.Speeds), maxToldSpeeds)] {
			changed = s.set(speed, now) || changed
		}
	}
	if changed {
		s.known = newSpeeds(s.told)
	}
}

// set records one speed, and reports whether its level is new.
func (s *speedTable) set(speed Speed, now time.Time) bool {
	level := min(max(speed.Level, -maxSpeedLevel), maxSpeedLevel)
	previous, found := s.told[speed.Endpoint]
	if !found && len(s.told) >= maxSpeeds {
		return false
	}
	s.told[speed.Endpoint] = toldSpeed{level: level, at: now}
	return !found || previous.level != level
}

// forget removes the speeds that nobody tells any more.
func (s *speedTable) forget(now time.Time) {
	before := len(s.told)
	maps.DeleteFunc(s.told, func(_ types.EndpointID, told toldSpeed) bool { return now.Sub(told.at) > speedLifetime })
	if len(s.told) < before {
		s.known = newSpeeds(s.told)
	}
}

// Speeds is what is known of the speeds of endpoints. The zero value knows nothing. It is
// immutable.
type Speeds struct {
	levels map[types.EndpointID]int
	// usual is the median level, which endpoints have of which nothing is known.
	usual int
}

func newSpeeds(told map[types.EndpointID]toldSpeed) Speeds {
	if len(told) == 0 {
		return Speeds{}
	}
	speeds := Speeds{levels: make(map[types.EndpointID]int, len(told))}
	sorted := make([]int, 0, len(told))
	for id, speed := range told {
		speeds.levels[id] = speed.level
		sorted = append(sorted, speed.level)
	}
	slices.SortFunc(sorted, cmp.Compare[int])
	speeds.usual = sorted[len(sorted)/2]
	return speeds
}

// Equal reports whether both know the same.
func (s Speeds) Equal(other Speeds) bool {
	return maps.Equal(s.levels, other.levels)
}

// Known reports whether anything is known, so that weights may differ.
func (s Speeds) Known() bool {
	return len(s.levels) > 0
}

// Weight returns how much work an endpoint can take relative to others.
func (s Speeds) Weight(endpoint types.EndpointID) float64 {
	level, found := s.levels[endpoint]
	if !found {
		level = s.usual
	}
	return math.Exp2(float64(level))
}
