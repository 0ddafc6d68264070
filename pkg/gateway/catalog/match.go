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

// Match returns the host's route with the longest prefix of the path, or nil if
// no route matches. Prepare must have been called.
func (c *Config) Match(host, path string) *Route {
	for _, route := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// AllowedRegionsOf returns the regions that all routes of the host allow, or nil
// if none of them is restricted to regions.
func (c *Config) AllowedRegionsOf(host string) []types.Region {
	var regions []types.Region
	for _, route := range c.byHost[strings.ToLower(host)] {
		if len(route.AllowedRegions) == 0 {
			continue
		}
		if regions == nil {
			regions = slices.Clone(route.AllowedRegions)
			continue
		}
		regions = slices.DeleteFunc(regions, func(region types.Region) bool { return !route.Allows(region) })
	}
	return regions
}

// ServiceFor chooses one of the route's backends by weight. The same key always
// yields the same service.
func (r *Route) ServiceFor(key string) types.ServiceName {
	total := 0
	for _, backend := range r.Backends {
		total += max(backend.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	offset := int(xxhash.Sum64String(key) % uint64(total))
	for _, backend := range r.Backends {
		offset -= max(backend.Weight, 0)
		if offset < 0 {
			return backend.Service
		}
	}
	return ""
}
