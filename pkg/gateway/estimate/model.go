package estimate

import (
	"math"
	"time"
)

// modelTTL is how long what the observations say is used before their weights are
// calculated again; they lose little within it.
const modelTTL = 100 * time.Millisecond

// endpointModel is what the observations of an endpoint say at a time; times in seconds.
type endpointModel struct {
	at    time.Time
	valid bool
	// perToken and base are the time that each token of prompt work takes and the time to
	// the first event without any; slowdown is the factor of the moment.
	perToken, base, slowdown float64
	// smallGrowth is what each running request adds to the time until the response to a
	// small prompt starts, smallBase that time without any, and unexplained what the
	// moment adds.
	smallGrowth, smallBase, unexplained float64
	// paceGrowth and paceBase are the same for the pause between events.
	paceGrowth, paceBase float64
}

// modelAt returns what the observations say at a time.
func (e *Endpoint) modelAt(now time.Time) *endpointModel {
	if e.model.valid && current(e.model.at, now) {
		return &e.model
	}
	service := e.service.modelAt(now)
	factor := math.Exp(e.logLevel(now) - service.level)
	e.model = endpointModel{
		at: now, valid: true, perToken: service.perToken * factor, base: service.base * factor,
		slowdown: math.Exp(e.slowdown.recent(0, now)),
	}
	e.model.paceGrowth, e.model.paceBase = e.pace.momentsAt(endpointLifetime, now).plus(service.pace).fit(service.growth)
	e.model.smallGrowth, e.model.smallBase = e.small.momentsAt(smallLifetime, now).plus(service.small).fit(service.smallGrowth)
	if e.wait.mass > 0 {
		e.model.unexplained = e.wait.mean * decay(now.Sub(e.wait.at), momentLifetime)
	}
	return &e.model
}

// current reports whether what was calculated at a time may be used now.
func current(at, now time.Time) bool {
	age := now.Sub(at)
	return age >= 0 && age < modelTTL
}

// logLevel returns the logarithm of the time, in seconds, that the endpoint takes for
// levelTokens of prompt work.
func (e *Endpoint) logLevel(now time.Time) float64 {
	return e.level.blended(e.service.modelAt(now).level, priorMass, endpointLifetime, now)
}

// smallSeconds predicts the time until the response to a small prompt starts beside running
// requests.
func (m *endpointModel) smallSeconds(running float64) float64 {
	return max(m.smallBase+m.smallGrowth*running+m.unexplained, 0)
}
