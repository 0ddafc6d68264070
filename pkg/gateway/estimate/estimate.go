// Package estimate learns how fast one endpoint works from what a daemon sees of it, and
// predicts what a request would take there and what it would do to those that run.
//
// An Endpoint has no clock and no goroutine; times are parameters.
package estimate

import (
	"math"
	"time"
)

// Work is what a request asks of an endpoint.
type Work struct {
	// PrefillTokens is the part of the prompt that the endpoint does not have cached.
	PrefillTokens float64
	// OutputTokens is the largest number of tokens of the response.
	OutputTokens float64
	// Large is true for a request with a large prefix.
	Large bool
}

// Load is what an endpoint has to do already.
type Load struct {
	// Running is the number of requests of all daemons that run there.
	Running float64
	// BacklogTokens is the prompt work, in tokens, of requests without a first event.
	BacklogTokens float64
	// Plain is true for an endpoint that is no engine.
	Plain bool
}

// Prediction is what a request would see at an endpoint.
type Prediction struct {
	// FirstEvent is the time until the response starts.
	FirstEvent time.Duration
	// Gap is the longest pause between events of the requests that run there while the
	// prompt is prefilled.
	Gap time.Duration
	// Certainty is between 0, if nothing is known of the endpoint, and 1.
	Certainty float64
}

// Endpoint is what is known of one start of an endpoint.
type Endpoint struct {
	service *Service
	// level is the average logarithm of the time to the first event, in seconds, converted
	// to levelTokens of prompt work along the line of the service.
	level average
	// slowdown is the same for this moment, relative to what level predicts.
	slowdown average
	// small is the time, in seconds, until responses to small prompts started over the
	// number of running requests; wait is the average of the moment of what it leaves
	// unexplained.
	small line
	wait  average
	// answer is the average time of the moment, in seconds, until these started.
	answer average
	// pace is the pause between events over the number of running requests.
	pace line
	// pause is the average of the longest pause, in seconds, between events of one
	// response.
	pause average
	// model is what these say at a time.
	model endpointModel
}

const (
	// maxFactor bounds one observation of the level, either way: a prompt that was
	// cached, or waited for a slot, tells little about the speed. It bounds one of the
	// pace upwards: a caller that reads slowly makes long pauses.
	maxFactor = 4.0
	// unboundedPace is the pause, in seconds, up to which an observation of the pace is
	// not bounded.
	unboundedPace = 0.1
	// maxPromptWork bounds the prompt work of an observation, in tokens.
	maxPromptWork = 1e6
	// maxSlowdown bounds one observation of a slowdown.
	maxSlowdown = 8.0
	// priorMass is how many observations the average of the service counts as.
	priorMass = 1.0
	// endpointLifetime is the time within which an observation of the speed of an endpoint
	// loses most of its weight.
	endpointLifetime = 8 * time.Second
	// smallLifetime is the same for the time until responses to small prompts start.
	smallLifetime = 3 * time.Second
	// maxSmallSeconds bounds an observation of that time.
	maxSmallSeconds = 5.0
	// momentLifetime is the same for what changes within a moment: its queue, and how much
	// slower than usual it is.
	momentLifetime = 500 * time.Millisecond
	// momentTTL is how long the last observation of such a moment is used.
	momentTTL = 1500 * time.Millisecond
)

// New returns what is known of an endpoint of a service of which nothing is known.
func New() *Endpoint {
	return NewService().NewEndpoint()
}

// Successor returns what is known of the next start of the endpoint.
func (e *Endpoint) Successor() EndpointSpeed {
	return e.service.NewEndpoint()
}

// PrefillRate returns how many prompt tokens the endpoint prefills per second.
func (e *Endpoint) PrefillRate(now time.Time) float64 {
	return 1 / e.modelAt(now).perToken
}

// Slowdown returns how much longer than PrefillRate predicts prompt work takes at this
// moment; 1 if nothing is known.
func (e *Endpoint) Slowdown(now time.Time) float64 {
	return e.modelAt(now).slowdown
}

// Wait returns the time until responses to small prompts started lately; zero if none did.
func (e *Endpoint) Wait(now time.Time) time.Duration {
	return seconds(e.answer.recent(0, now))
}

// StepGrowth returns the time that each running request adds to the pause between two
// events of the others.
func (e *Endpoint) StepGrowth(now time.Time) time.Duration {
	return seconds(e.modelAt(now).paceGrowth)
}

// Predict returns what a request would see at the endpoint beside its load.
func (e *Endpoint) Predict(work Work, load Load, now time.Time) Prediction {
	model := e.modelAt(now)
	return Prediction{
		FirstEvent: seconds(e.FirstEvent(work, load, now)),
		Gap:        seconds(max(model.paceBase+model.paceGrowth*(load.Running+1), e.pause.recent(0, now))),
		Certainty:  e.certainty(now),
	}
}

// FirstEvent returns the first part of Predict, in seconds.
func (e *Endpoint) FirstEvent(work Work, load Load, now time.Time) float64 {
	model := e.modelAt(now)
	queue, own := model.base+load.BacklogTokens*model.perToken*model.slowdown, work.PrefillTokens*model.perToken*model.slowdown
	if work.Large {
		return queue + own + model.paceGrowth*load.Running
	}
	return max(queue, model.smallSeconds(load.Running)) + own
}

// PrefillTime predicts the time to the first event after prompt work of a number of tokens
// now.
func (e *Endpoint) PrefillTime(tokens float64, now time.Time) time.Duration {
	model := e.modelAt(now)
	return seconds((model.base + tokens*model.perToken) * model.slowdown)
}

// certainty weighs what was seen of the endpoint against what is assumed of it.
func (e *Endpoint) certainty(now time.Time) float64 {
	mass := e.level.massAt(endpointLifetime, now) + e.pace.momentsAt(endpointLifetime, now).mass
	return mass / (mass + priorMass)
}

// ObserveFirstEvent learns from the time until a response started. The prompt work is that
// of the request and of those before it that had no first event when it was sent. Only
// requests that the endpoint runs may be observed.
func (e *Endpoint) ObserveFirstEvent(promptWork, running float64, large bool, took time.Duration, now time.Time) {
	if took <= 0 || promptWork < 0 {
		return
	}
	if !large {
		e.observeSmall(running, min(took.Seconds(), maxSmallSeconds), now)
		return
	}
	promptWork = min(promptWork, maxPromptWork)
	service := e.service.modelAt(now)
	usual, level := service.base+promptWork*service.perToken, service.level
	if usual <= 0 {
		return
	}
	ratio := took.Seconds() / usual
	e.model.valid = false
	e.slowdown.addMoment(clampLog(ratio/math.Exp(e.logLevel(now)-level), maxSlowdown), now)
	e.level.add(level+clampLog(ratio, maxFactor), 1, endpointLifetime, now)
	e.service.observe(promptWork, usual*ratio, usual, e.logLevel(now), now)
}

// ObserveFailure learns nothing: a request that failed says nothing of how fast others are.
func (e *Endpoint) ObserveFailure(float64, float64, bool, time.Duration, time.Time) {}

// memoryShare is the share of an engine's memory that the requests of this daemon may need
// at once; the rest is for those of other daemons.
const memoryShare = 0.9

// MemoryLimit returns how many tokens the requests of this daemon may need at once at an
// engine whose memory holds a number of tokens.
func (e *Endpoint) MemoryLimit(memoryTokens int) float64 {
	return float64(memoryTokens) * memoryShare
}

// observeSmall learns from the time until the response to a small prompt started beside
// running requests.
func (e *Endpoint) observeSmall(running, took float64, now time.Time) {
	model := e.modelAt(now)
	e.model.valid = false
	e.answer.addMoment(took, now)
	e.wait.addMoment(took-model.smallBase-model.smallGrowth*running, now)
	e.small.add(running, took, smallLifetime, now)
	e.service.observeSmall(running, took, now)
}

// ObservePace learns from the mean and the longest pause between the events of a response
// that ran beside others.
func (e *Endpoint) ObservePace(running float64, mean, longest time.Duration, now time.Time) {
	if mean <= 0 || longest < mean {
		return
	}
	took := mean.Seconds()
	if model := e.modelAt(now); e.pace.mass+e.service.pace.mass > 0 {
		took = min(took, max(maxFactor*(model.paceBase+model.paceGrowth*running), unboundedPace))
	}
	e.model.valid = false
	e.pace.add(running, took, endpointLifetime, now)
	e.service.observePace(running, took, now)
	e.pause.addMoment(longest.Seconds(), now)
}

// clampLog returns the logarithm of a ratio, which it bounds by a factor either way.
func clampLog(ratio, factor float64) float64 {
	return math.Log(min(max(ratio, 1/factor), factor))
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
