package catalog

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// Prepare builds the indexes that Match, OrganisationOf, Urgency and MixesObjectives use.
func (c *Config) Prepare() {
	c.indexCredentials()
	c.indexUrgencies()
	c.indexObjectives()
	if c.packed == nil {
		c.packed = &packedConfig{}
	}
	c.byHost = make(map[string][]*Route)
	for _, route := range c.Routes {
		route.sentPrefix = sentPrefix(route.Prefix)
		c.byHost[route.Host] = append(c.byHost[route.Host], route)
	}
	for _, routes := range c.byHost {
		slices.SortFunc(routes, func(a, b *Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Prefix, b.Prefix))
		})
	}
}

// sentPrefix returns a prefix as it stands in requests: characters that no request
// target may hold are encoded, and what is encoded stays so.
func sentPrefix(prefix string) string {
	var sent strings.Builder
	for i := range len(prefix) {
		if c := prefix[i]; c <= ' ' || c >= utf8.RuneSelf {
			fmt.Fprintf(&sent, "%%%02X", c)
		} else {
			sent.WriteByte(c)
		}
	}
	return sent.String()
}

// Match returns the host's route with the longest prefix of the path, or nil if
// no route matches. Path and prefixes are compared as they were sent and published,
// without decoding: an encoded slash separates no segments. Prepare must have been
// called.
func (c *Config) Match(host, path string) *Route {
	for _, route := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.sentPrefix) {
			return route
		}
	}
	return nil
}

// RestrictedRoutesOf returns the routes of a host whose data is restricted to regions.
func (c *Config) RestrictedRoutesOf(host string) []*Route {
	var restricted []*Route
	for _, route := range c.byHost[strings.ToLower(host)] {
		if len(route.AllowedRegions) > 0 {
			restricted = append(restricted, route)
		}
	}
	return restricted
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
