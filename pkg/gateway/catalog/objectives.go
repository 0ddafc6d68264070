package catalog

import "github.com/flamingomount/flamingomount/pkg/types"

// MixesObjectives reports whether the engines of a service serve short urgent work beside
// long work: a more urgent route has to respond sooner than a less urgent one, and its
// requests end sooner. Only then is it worth knowing how long each engine takes, and what a
// request does to those beside it: elsewhere the long work is as urgent, or the short one
// has more time than the prompts that hold it up. Prepare must have been called.
func (c *Config) MixesObjectives(service types.ServiceName) bool {
	return c.mixed[service]
}

// Predicts reports whether MixesObjectives holds for any service. Prepare must have been
// called.
func (c *Config) Predicts() bool {
	return len(c.mixed) > 0
}

// indexObjectives builds the index that MixesObjectives uses.
func (c *Config) indexObjectives() {
	c.mixed = make(map[types.ServiceName]bool)
	for name, service := range c.Services {
		if service.Engine != nil && mixesObjectives(c.routesTo(name)) {
			c.mixed[name] = true
		}
	}
}

// routesTo returns the routes with an objective and a timeout that send requests to a
// service.
func (c *Config) routesTo(service types.ServiceName) []*Route {
	var routes []*Route
	for _, route := range c.Routes {
		if route.Objective > 0 && route.Timeout > 0 && route.Uses(service) {
			routes = append(routes, route)
		}
	}
	return routes
}

// mixesObjectives reports whether a route has a shorter objective and a shorter timeout than
// one that is less urgent.
func mixesObjectives(routes []*Route) bool {
	for _, urgent := range routes {
		for _, other := range routes {
			if urgent.Rank < other.Rank && urgent.Objective < other.Objective && urgent.Timeout < other.Timeout {
				return true
			}
		}
	}
	return false
}
