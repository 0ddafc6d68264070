package estimate

import (
	"math"
	"time"
)

// Start values of a service of which nothing is known.
const (
	// startPrefillRate is in prompt tokens per second.
	startPrefillRate = 55_000.0
	// startGrowth is what each running request adds to the pause between events, in
	// seconds.
	startGrowth = 0.002
	// maxStartFactor bounds one observation of a rate relative to startPrefillRate.
	maxStartFactor = 16.0
	// serviceLifetime is the time within which an observation of the endpoints of a
	// service loses most of its weight.
	serviceLifetime = 30 * time.Second
)

// Service is what is known of the endpoints of a service on average.
type Service struct {
	rate average
	pace line
}

// NewService returns what is known of a service before any observation.
func NewService() *Service {
	return &Service{}
}

// NewEndpoint returns what is known of one of its endpoints before any observation.
func (s *Service) NewEndpoint() *Endpoint {
	return &Endpoint{service: s}
}

// PrefillRate returns how many prompt tokens an endpoint of the service prefills per
// second on average.
func (s *Service) PrefillRate(now time.Time) float64 {
	return math.Exp(s.logRate(now))
}

func (s *Service) logRate(now time.Time) float64 {
	return s.rate.blended(math.Log(startPrefillRate), priorMass, serviceLifetime, now)
}

func (s *Service) observeRate(rate, weight float64, now time.Time) {
	logged := math.Log(startPrefillRate) + clampLog(rate/startPrefillRate, maxStartFactor)
	s.rate.add(logged, weight, serviceLifetime, now)
}

// growth returns what each running request adds to the pause between events, in seconds.
func (s *Service) growth() float64 {
	growth, _ := s.pace.fit(startGrowth, s.pace.at)
	return growth
}
