package estimate

import "time"

// ServiceSpeed is what is known of how fast the endpoints of a service work. Service learns
// it; AveragedService predicts by constants and averages.
type ServiceSpeed interface {
	// NewSpeed returns what is known of one of its endpoints before any observation.
	NewSpeed() EndpointSpeed
	// PrefillRate returns how many prompt tokens an endpoint prefills per second on average.
	PrefillRate(now time.Time) float64
	// ObserveResponse learns from the time until the response to a small request started at
	// any endpoint.
	ObserveResponse(took time.Duration, now time.Time)
	// Response returns the average time until the responses to small requests started
	// lately; zero if it is not known.
	Response(now time.Time) time.Duration
}

// EndpointSpeed is what is known of how fast one start of an endpoint works.
type EndpointSpeed interface {
	// Successor returns what is known of the next start of the endpoint.
	Successor() EndpointSpeed
	// Predict returns what a request would see at the endpoint beside its load, and
	// FirstEvent the first part of it, in seconds.
	Predict(work Work, load Load, now time.Time) Prediction
	FirstEvent(work Work, load Load, now time.Time) float64
	// PrefillTime predicts the time to the first event after prompt work of a number of
	// tokens.
	PrefillTime(tokens float64, now time.Time) time.Duration
	// Wait returns the time until responses to small prompts started lately; zero if none
	// did.
	Wait(now time.Time) time.Duration
	// MemoryLimit returns how many tokens the requests of this daemon may need at once at an
	// engine whose memory holds a number of tokens.
	MemoryLimit(memoryTokens int) float64
	// ObserveFirstEvent learns from the time until a response started, and ObserveFailure
	// from that until the endpoint told that a request failed. The prompt work is that of
	// the request and of those before it that had no first event when it was sent.
	ObserveFirstEvent(promptWork, running float64, large bool, took time.Duration, now time.Time)
	ObserveFailure(promptWork, running float64, large bool, took time.Duration, now time.Time)
	// ObservePace learns from the mean and the longest pause between the events of a
	// response that ran beside others.
	ObservePace(running float64, mean, longest time.Duration, now time.Time)
}

// Both implement the interfaces.
var (
	_ ServiceSpeed  = (*Service)(nil)
	_ ServiceSpeed  = (*AveragedService)(nil)
	_ EndpointSpeed = (*Endpoint)(nil)
	_ EndpointSpeed = (*AveragedEndpoint)(nil)
)
