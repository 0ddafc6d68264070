package catalog

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// Prepare builds the index that Match uses.
func (c *Config) Prepare() {
	c.byHost = make(map[string][]*Route)
	for _, route := range c.Routes {
		c.byHost[route.Host] = append(c.byHost[route.Host], route)
	}
	for _, routes := range c.byHost {
		slices.SortFunc(routes, func(a, b *Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Prefix, b.Prefix))
		})
	}
}

// Match returns the route of the host with the longest prefix that begins the
// path; nil when there is none. Config must have been prepared.
func (c *Config) Match(host, path string) *Route {
	for _, route := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// AllowedRegionsOf returns the regions that every route of the host may enter; nil when
// none of its routes is bound to regions.
func (c *Config) AllowedRegionsOf(host string) []types.Region {
	var homes []types.Region
	for _, route := range c.byHost[strings.ToLower(host)] {
		if len(route.AllowedRegions) == 0 {
			continue
		}
		if homes == nil {
			homes = slices.Clone(route.AllowedRegions)
			continue
		}
		homes = slices.DeleteFunc(homes, func(region types.Region) bool { return !route.Allows(region) })
	}
	return homes
}

// ServiceFor chooses among the route's backends by their weights. The same key
// always finds the same service.
func (r *Route) ServiceFor(key string) types.ServiceName {
	total := 0
	for _, backend := range r.Backends {
		total += max(backend.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	at := int(xxhash.Sum64String(key) % uint64(total))
	for _, backend := range r.Backends {
		at -= max(backend.Weight, 0)
		if at < 0 {
			return backend.Service
		}
	}
	return ""
}
