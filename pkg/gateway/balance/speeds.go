package balance

import (
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/estimate"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// speeds holds what is known of how fast the endpoints of each service work. It is learned
// where the configuration calls for it, and averaged elsewhere.
type speeds struct {
	learns   bool
	services map[types.ServiceName]estimate.ServiceSpeed
}

// newSpeeds returns what is known without a configuration.
func newSpeeds() speeds {
	return speeds{services: make(map[types.ServiceName]estimate.ServiceSpeed)}
}

// update applies a configuration, and reports whether what was known is void.
func (s *speeds) update(config *catalog.Config) bool {
	learns := config != nil && config.Predicts()
	if learns == s.learns {
		return false
	}
	s.learns = learns
	clear(s.services)
	return true
}

// of returns what is known of a service.
func (s *speeds) of(name types.ServiceName) estimate.ServiceSpeed {
	known := s.services[name]
	if known == nil {
		known = s.newService()
		s.services[name] = known
	}
	return known
}

// newService returns what is known of a service before any observation.
func (s *speeds) newService() estimate.ServiceSpeed {
	if s.learns {
		return estimate.NewService()
	}
	return estimate.NewAveragedService()
}

// renewSpeeds forgets how fast each endpoint is. Requests in flight are kept, and tell it to
// what takes its place.
func (p *Pool) renewSpeeds() {
	for _, ep := range p.states {
		ep.speed = p.speeds.of(ep.placed.Service).NewSpeed()
	}
	for _, ep := range p.lapsed {
		ep.speed = p.speeds.of(ep.placed.Service).NewSpeed()
	}
}
