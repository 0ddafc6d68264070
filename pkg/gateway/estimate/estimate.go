// Package estimate learns how fast one endpoint works from what a daemon sees of it, and
// predicts what a request would take there and what it would do to those that run.
//
// An Endpoint has no clock and no goroutine; times are parameters.
package estimate

import "time"

// Work is what a request asks of an endpoint.
type Work struct {
	// PrefillTokens is the part of the prompt that the endpoint does not have cached.
	PrefillTokens float64
	// OutputTokens is the largest number of tokens of the response.
	OutputTokens float64
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
	prefillRate float64
	stepTime    float64
}

// Start values of an endpoint of which nothing is known.
const (
	// startPrefillRate is in prompt tokens per second.
	startPrefillRate = 55_000.0
	// startStepTime is what each running request adds to the time of a step, in seconds.
	startStepTime = 0.002
)

// New returns what is known of an endpoint before any observation.
func New() *Endpoint {
	return &Endpoint{prefillRate: startPrefillRate, stepTime: startStepTime}
}

// PrefillRate returns how many prompt tokens the endpoint prefills per second.
func (e *Endpoint) PrefillRate(_ time.Time) float64 {
	return e.prefillRate
}

// Predict returns what a request would see at the endpoint beside its load.
func (e *Endpoint) Predict(work Work, load Load, _ time.Time) Prediction {
	prefill := (load.BacklogTokens + work.PrefillTokens) / e.prefillRate
	step := load.Running * e.stepTime
	return Prediction{FirstEvent: seconds(prefill + step), Gap: seconds(step)}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
