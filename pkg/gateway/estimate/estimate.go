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
	// rate is the average logarithm of prompt tokens per second.
	rate average
	// slowdown is the average logarithm of the time that prompt work just took, relative
	// to the time that the rate predicts.
	slowdown average
	// wait is the average time, in seconds, until responses to small prompts started.
	wait average
	pace line
	// pause is the average of the longest pause, in seconds, between events of one
	// response.
	pause average
}

const (
	// minRateTokens is the least prompt work, in tokens, that tells the prefill rate: less
	// of it takes no longer than a step.
	minRateTokens = 1000.0
	// fullRateTokens is the prompt work, in tokens, whose observation has half of the
	// largest weight.
	fullRateTokens = 2000.0
	// maxRateFactor bounds one observation of a rate relative to the rate of the service:
	// a prompt that was cached, or waited for a slot, tells little about the rate.
	maxRateFactor = 4.0
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
	return math.Exp(e.rate.blended(e.service.logRate(now), priorMass, endpointLifetime, now))
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
	growth, _ := e.pace.fit(e.service.growth(), now)
	return seconds(growth)
}

// Predict returns what a request would see at the endpoint beside its load.
func (e *Endpoint) Predict(work Work, load Load, now time.Time) Prediction {
	growth, pace := e.pace.fit(e.service.growth(), now)
	queue := e.prefillSeconds(load.BacklogTokens, now)
	if !work.Large {
		queue = max(queue, e.wait.recent(0, now))
	}
	step := growth * load.Running
	gap := max(pace+growth*(load.Running+1), e.pause.recent(0, now))
	return Prediction{
		FirstEvent: seconds(queue + e.prefillSeconds(work.PrefillTokens, now) + step),
		Gap:        seconds(gap),
		Certainty:  e.certainty(now),
	}
}

// PrefillTime predicts how long prompt work of a number of tokens takes now.
func (e *Endpoint) PrefillTime(tokens float64, now time.Time) time.Duration {
	return seconds(e.prefillSeconds(tokens, now))
}

func (e *Endpoint) prefillSeconds(tokens float64, now time.Time) float64 {
	return tokens / e.PrefillRate(now) * e.Slowdown(now)
}

// certainty weighs what was seen of the endpoint against what is assumed of it.
func (e *Endpoint) certainty(now time.Time) float64 {
	mass := e.rate.massAt(endpointLifetime, now) + e.pace.massAt(now)
	return mass / (mass + priorMass)
}

// ObserveFirstEvent learns from the time until a response started. The prompt work is that
// of the request and of those before it that had no first event when it was sent. Only
// requests that the endpoint runs may be observed.
func (e *Endpoint) ObserveFirstEvent(promptWork float64, large bool, took time.Duration, now time.Time) {
	if took <= 0 {
		return
	}
	if !large {
		e.wait.addMoment(took.Seconds(), now)
	}
	if promptWork < minRateTokens || !large {
		return
	}
	usual := e.PrefillRate(now)
	e.slowdown.addMoment(clampLog(took.Seconds()*usual/promptWork, maxSlowdown), now)
	service := e.service.logRate(now)
	seen := service + clampLog(promptWork/took.Seconds()/math.Exp(service), maxRateFactor)
	weight := promptWork / (promptWork + fullRateTokens)
	e.rate.add(seen, weight, endpointLifetime, now)
	e.service.observeRate(promptWork/took.Seconds(), weight, now)
}

// ObservePace learns from the mean and the longest pause between the events of a response
// that ran beside others.
func (e *Endpoint) ObservePace(running float64, mean, longest time.Duration, now time.Time) {
	if mean <= 0 || longest < mean {
		return
	}
	e.pace.add(running, mean.Seconds(), endpointLifetime, now)
	e.service.pace.add(running, mean.Seconds(), serviceLifetime, now)
	e.pause.addMoment(longest.Seconds(), now)
}

// clampLog returns the logarithm of a ratio, which it bounds by a factor either way.
func clampLog(ratio, factor float64) float64 {
	return math.Log(min(max(ratio, 1/factor), factor))
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
