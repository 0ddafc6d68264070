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
	// wait is the average time, in seconds, until responses to small prompts started.
	wait average
	// pace is the pause between events over the number of running requests.
	pace line
	// pause is the average of the longest pause, in seconds, between events of one
	// response.
	pause average
}

const (
	// maxFactor bounds one observation of the level, either way: a prompt that was
	// cached, or waited for a slot, tells little about the speed.
	maxFactor = 4.0
	// maxPromptWork bounds the prompt work of an observation, in tokens.
	maxPromptWork = 1e6
	// maxSlowdown bounds one observation of a slowdown.
	maxSlowdown = 8.0
	// priorMass is how many observations the average of the service counts as.
	priorMass = 1.0
	// endpointLifetime is the time within which an observation of the speed of an endpoint
	// loses most of its weight.
	endpointLifetime = 8 * time.Second
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
func (e *Endpoint) Successor() *Endpoint {
	return e.service.NewEndpoint()
}

// PrefillRate returns how many prompt tokens the endpoint prefills per second.
func (e *Endpoint) PrefillRate(now time.Time) float64 {
	perToken, _ := e.prefillModel(now)
	return 1 / perToken
}

// prefillModel returns the time that each token of prompt work takes, and the time to the
// first event without any, in seconds.
func (e *Endpoint) prefillModel(now time.Time) (perToken, base float64) {
	service := e.service.modelAt(now)
	factor := math.Exp(e.logLevel(now) - service.level)
	return service.perToken * factor, service.base * factor
}

// logLevel returns the logarithm of the time, in seconds, that the endpoint takes for
// levelTokens of prompt work.
func (e *Endpoint) logLevel(now time.Time) float64 {
	return e.level.blended(e.service.modelAt(now).level, priorMass, endpointLifetime, now)
}

// paceModel returns what each running request adds to the pause between events, and the
// pause without any, in seconds.
func (e *Endpoint) paceModel(now time.Time) (growth, base float64) {
	service := e.service.modelAt(now)
	return e.pace.momentsAt(endpointLifetime, now).plus(service.pace).fit(service.growth)
}

// Slowdown returns how much longer than PrefillRate predicts prompt work takes at this
// moment; 1 if nothing is known.
func (e *Endpoint) Slowdown(now time.Time) float64 {
	return math.Exp(e.slowdown.recent(0, now))
}

// Wait returns the time until responses to small prompts started lately; zero if none did.
func (e *Endpoint) Wait(now time.Time) time.Duration {
	return seconds(e.wait.recent(0, now))
}

// StepGrowth returns the time that each running request adds to the pause between two
// events of the others.
func (e *Endpoint) StepGrowth(now time.Time) time.Duration {
	growth, _ := e.paceModel(now)
	return seconds(growth)
}

// Predict returns what a request would see at the endpoint beside its load.
func (e *Endpoint) Predict(work Work, load Load, now time.Time) Prediction {
	growth, pace := e.paceModel(now)
	perToken, base := e.prefillModel(now)
	slowdown := e.Slowdown(now)
	queue := base + load.BacklogTokens*perToken*slowdown
	if !work.Large {
		queue = max(queue, e.wait.recent(0, now))
	}
	step := growth * load.Running
	gap := max(pace+growth*(load.Running+1), e.pause.recent(0, now))
	return Prediction{
		FirstEvent: seconds(queue + work.PrefillTokens*perToken*slowdown + step),
		Gap:        seconds(gap),
		Certainty:  e.certainty(now),
	}
}

// PrefillTime predicts the time to the first event after prompt work of a number of tokens
// now.
func (e *Endpoint) PrefillTime(tokens float64, now time.Time) time.Duration {
	perToken, base := e.prefillModel(now)
	return seconds((base + tokens*perToken) * e.Slowdown(now))
}

// certainty weighs what was seen of the endpoint against what is assumed of it.
func (e *Endpoint) certainty(now time.Time) float64 {
	mass := e.level.massAt(endpointLifetime, now) + e.pace.momentsAt(endpointLifetime, now).mass
	return mass / (mass + priorMass)
}

// ObserveFirstEvent learns from the time until a response started. The prompt work is that
// of the request and of those before it that had no first event when it was sent. Only
// requests that the endpoint runs may be observed.
func (e *Endpoint) ObserveFirstEvent(promptWork float64, large bool, took time.Duration, now time.Time) {
	if took <= 0 || promptWork < 0 {
		return
	}
	if !large {
		e.wait.addMoment(took.Seconds(), now)
		return
	}
	promptWork = min(promptWork, maxPromptWork)
	service := e.service.modelAt(now)
	usual, level := service.base+promptWork*service.perToken, service.level
	if usual <= 0 {
		return
	}
	ratio := took.Seconds() / usual
	e.slowdown.addMoment(clampLog(ratio/math.Exp(e.logLevel(now)-level), maxSlowdown), now)
	e.level.add(level+clampLog(ratio, maxFactor), 1, endpointLifetime, now)
	e.service.observe(promptWork, usual*ratio, usual, e.logLevel(now), now)
}

// ObservePace learns from the mean and the longest pause between the events of a response
// that ran beside others.
func (e *Endpoint) ObservePace(running float64, mean, longest time.Duration, now time.Time) {
	if mean <= 0 || longest < mean {
		return
	}
	e.pace.add(running, mean.Seconds(), endpointLifetime, now)
	e.service.observePace(running, mean.Seconds(), now)
	e.pause.addMoment(longest.Seconds(), now)
}

// clampLog returns the logarithm of a ratio, which it bounds by a factor either way.
func clampLog(ratio, factor float64) float64 {
	return math.Log(min(max(ratio, 1/factor), factor))
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
