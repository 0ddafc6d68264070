package estimate

import (
	"math"
	"time"
)

// serviceLifetime is the time within which an observation of the endpoints of a service
// loses most of its weight.
const serviceLifetime = 30 * time.Second

// Start values of a service of which nothing is known.
var (
	// startPrefill is the time that each prompt token takes, in seconds.
	startPrefill = slopePrior{slope: 1 / startPrefillRate, spread: 5e7}
	// startGrowth is what each running request adds to the pause between events, in
	// seconds.
	startGrowth = slopePrior{slope: startRunCost, spread: 100}
)

// Service is what is known of the endpoints of a service on average.
type Service struct {
	// prefill is the time to the first event over the outstanding prompt work in tokens, at
	// an endpoint of average speed.
	prefill line
	// level is the average of the levels of the endpoints.
	level average
	// pace is the pause between events over the number of running requests.
	pace line
	// small is the time until responses to small prompts started, in seconds, over the
	// number of running requests.
	small line
	// response is the average time, in seconds, until responses to small requests started.
	response average
	// model is what these say at a time.
	model serviceModel
}

// serviceModel is what the observations of a service say at a time.
type serviceModel struct {
	at    time.Time
	valid bool
	// perToken and base are the time that each token of prompt work takes and the time to
	// the first event without any, in seconds, at an endpoint of average speed.
	perToken, base float64
	// level is the logarithm of the time, in seconds, for levelTokens of prompt work.
	level float64
	// pace holds the observations of the pace as far as they count for each endpoint;
	// growth is what is assumed of its slope.
	pace   moments
	growth slopePrior
	// small and smallGrowth are the same for the time until responses to small prompts
	// start.
	small       moments
	smallGrowth slopePrior
}

// modelAt returns what the observations say at a time.
func (s *Service) modelAt(now time.Time) *serviceModel {
	if s.model.valid && current(s.model.at, now) {
		return &s.model
	}
	perToken, base := boundedPrefill(s.prefill.momentsAt(serviceLifetime, now).fit(startPrefill))
	pace := s.pace.momentsAt(serviceLifetime, now)
	growth, _ := pace.fit(startGrowth)
	small := s.small.momentsAt(serviceLifetime, now)
	smallGrowth, _ := small.fit(startGrowth)
	s.model = serviceModel{
		at: now, valid: true, perToken: perToken, base: base, level: math.Log(base + perToken*levelTokens),
		pace: pace.normalised(priorMass), growth: slopePrior{slope: growth, spread: startGrowth.spread},
		small: small.normalised(priorMass), smallGrowth: slopePrior{slope: smallGrowth, spread: startGrowth.spread},
	}
	return &s.model
}

// NewService returns what is known of a service before any observation.
func NewService() *Service {
	return &Service{}
}

// NewEndpoint returns what is known of one of its endpoints before any observation.
func (s *Service) NewEndpoint() *Endpoint {
	return &Endpoint{service: s}
}

// NewSpeed is NewEndpoint as an EndpointSpeed.
func (s *Service) NewSpeed() EndpointSpeed {
	return s.NewEndpoint()
}

// PrefillRate returns how many prompt tokens an endpoint of the service prefills per
// second on average.
func (s *Service) PrefillRate(now time.Time) float64 {
	return 1 / s.modelAt(now).perToken
}

// observe learns from a time to the first event, in seconds, beside the one that the line
// predicts, at an endpoint with a level.
func (s *Service) observe(promptWork, took, usual, level float64, now time.Time) {
	s.model.valid = false
	s.level.add(level, 1, serviceLifetime, now)
	ratio := took / usual / math.Exp(level-s.level.mean)
	s.prefill.add(promptWork, usual*min(max(ratio, 1/maxStep), maxStep), serviceLifetime, now)
}

// observeSmall learns from the time until the response to a small prompt started beside
// running requests.
func (s *Service) observeSmall(running, took float64, now time.Time) {
	s.model.valid = false
	s.small.add(running, took, serviceLifetime, now)
}

// observePace learns from a pause between events, in seconds, beside running requests.
func (s *Service) observePace(running, pause float64, now time.Time) {
	s.model.valid = false
	s.pace.add(running, pause, serviceLifetime, now)
}

// ObserveResponse learns from the time until the response to a small request started at any
// endpoint of the service.
func (s *Service) ObserveResponse(took time.Duration, now time.Time) {
	if took <= 0 {
		return
	}
	s.response.addMoment(min(took.Seconds(), maxSmallSeconds), now)
}

// Response returns the average time until the responses to small requests started lately;
// zero if none did.
func (s *Service) Response(now time.Time) time.Duration {
	return seconds(s.response.recent(0, now))
}

// levelTokens is the prompt work, in tokens, by which the speeds of endpoints are compared.
const levelTokens = 10_000.0

// maxStep bounds how far one observation lies from the line, as a factor either way.
const maxStep = 2.0

// boundedPrefill bounds the time per token to what engines may take.
func boundedPrefill(perToken, base float64) (float64, float64) {
	return min(max(perToken, startPrefill.slope/maxStartFactor), startPrefill.slope*maxStartFactor), base
}

// maxStartFactor bounds the time per token relative to the start value.
const maxStartFactor = 16.0
