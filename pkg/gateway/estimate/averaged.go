package estimate

import (
	"math"
	"time"
)

const (
	// startPrefillRate is how many prompt tokens an engine prefills per second.
	startPrefillRate = 55_000.0
	// startRunCost is the time, in seconds, that each request that runs at an engine adds
	// to another one.
	startRunCost = 0.002
	// averageWeight is the weight of a new observation of an engine.
	averageWeight = 0.2
	// minAveragedSlowdown and maxAveragedSlowdown bound one observation of the slowdown.
	minAveragedSlowdown = 0.25
	maxAveragedSlowdown = 8.0
	// averageTTL is how long the last observation of an engine is used.
	averageTTL = 1500 * time.Millisecond
)

// AveragedService predicts all endpoints of a service by the same constants and by averages
// of what each did lately. It is for services whose requests have more time than the prompts
// that hold them up.
type AveragedService struct{}

// NewAveragedService returns what is known of a service.
func NewAveragedService() *AveragedService {
	return &AveragedService{}
}

// NewSpeed implements ServiceSpeed.
func (s *AveragedService) NewSpeed() EndpointSpeed {
	return &AveragedEndpoint{}
}

// PrefillRate implements ServiceSpeed.
func (s *AveragedService) PrefillRate(time.Time) float64 {
	return startPrefillRate
}

// ObserveResponse implements ServiceSpeed; it learns nothing.
func (s *AveragedService) ObserveResponse(time.Duration, time.Time) {}

// Response implements ServiceSpeed; it is never known.
func (s *AveragedService) Response(time.Time) time.Duration {
	return 0
}

// AveragedEndpoint is what is known of one start of an endpoint of an AveragedService.
type AveragedEndpoint struct {
	// slowdown is how much longer the prefill takes than startPrefillRate predicts;
	// response is the time, in seconds, until the responses to small prompts start.
	slowdown movingAverage
	response movingAverage
}

// Successor implements EndpointSpeed.
func (e *AveragedEndpoint) Successor() EndpointSpeed {
	return &AveragedEndpoint{}
}

// Predict implements EndpointSpeed; only the time to the first event is predicted.
func (e *AveragedEndpoint) Predict(work Work, load Load, now time.Time) Prediction {
	return Prediction{FirstEvent: seconds(e.FirstEvent(work, load, now))}
}

// FirstEvent implements EndpointSpeed.
func (e *AveragedEndpoint) FirstEvent(work Work, load Load, now time.Time) float64 {
	if load.Plain {
		return 0
	}
	queue := load.BacklogTokens / startPrefillRate
	if !work.Large {
		queue = max(queue, e.response.valueOr(0, now))
	}
	return queue + work.PrefillTokens/startPrefillRate + startRunCost*load.Running
}

// PrefillTime implements EndpointSpeed.
func (e *AveragedEndpoint) PrefillTime(tokens float64, now time.Time) time.Duration {
	return seconds(tokens / startPrefillRate * e.slowdown.valueOr(1, now))
}

// Wait implements EndpointSpeed.
func (e *AveragedEndpoint) Wait(now time.Time) time.Duration {
	return seconds(e.response.valueOr(0, now))
}

// MemoryLimit implements EndpointSpeed; there is none.
func (e *AveragedEndpoint) MemoryLimit(int) float64 {
	return math.Inf(1)
}

// ObserveFirstEvent implements EndpointSpeed.
func (e *AveragedEndpoint) ObserveFirstEvent(promptWork, _ float64, large bool, took time.Duration, now time.Time) {
	if !large {
		e.response.observe(took.Seconds(), now)
		return
	}
	slowdown := took.Seconds() * startPrefillRate / max(promptWork, 1)
	e.slowdown.observe(min(max(slowdown, minAveragedSlowdown), maxAveragedSlowdown), now)
}

// ObserveFailure implements EndpointSpeed; a failure counts like a response.
func (e *AveragedEndpoint) ObserveFailure(promptWork, running float64, large bool, took time.Duration, now time.Time) {
	e.ObserveFirstEvent(promptWork, running, large, took, now)
}

// ObservePace implements EndpointSpeed; it learns nothing.
func (e *AveragedEndpoint) ObservePace(float64, time.Duration, time.Duration, time.Time) {}

// movingAverage is an exponentially weighted moving average with the time of its last
// observation.
type movingAverage struct {
	value      float64
	observedAt time.Time
}

// observe adds an observation; one that comes more than averageTTL after the last replaces
// the average.
func (a *movingAverage) observe(value float64, now time.Time) {
	if now.Sub(a.observedAt) > averageTTL {
		a.value = value
	}
	a.value += averageWeight * (value - a.value)
	a.observedAt = now
}

// valueOr returns the average, or fallback when the last observation is older than
// averageTTL.
func (a *movingAverage) valueOr(fallback float64, now time.Time) float64 {
	if now.Sub(a.observedAt) > averageTTL {
		return fallback
	}
	return a.value
}
