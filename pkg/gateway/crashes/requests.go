package crashes

import (
	"maps"
	"slices"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// NewCrash returns a report of a crash that has just happened, with the traits of
// each request that is suspected.
func NewCrash(endpoint types.EndpointID, requests ...Traits) Crash {
	report := Crash{Endpoint: endpoint}
	for _, traits := range requests {
		if len(traits) > 0 {
			report.Suspects = append(report.Suspects, traits...)
			report.Requests = append(report.Requests, len(traits))
		}
	}
	return report
}

// requests returns the traits of each request that the report tells apart; none if
// the numbers do not fit the suspects.
func (c Crash) requests() []Traits {
	var requests []Traits
	left := c.Suspects
	for _, size := range c.Requests {
		if size <= 0 || size > len(left) {
			return nil
		}
		requests = append(requests, left[:size])
		left = left[size:]
	}
	return requests
}

// addRequest remembers which traits were in one request. A report whose traits have
// been cleared in part adds nothing to one that is complete.
func (c *crash) addRequest(traits Traits) {
	request := make(map[Trait]bool, len(traits))
	for _, trait := range traits {
		request[trait] = true
	}
	known := len(request)
	for _, other := range c.requests {
		if contains(other, request) {
			return
		}
		known += len(other)
	}
	c.requests = slices.DeleteFunc(c.requests, func(other map[Trait]bool) bool { return contains(request, other) })
	if known <= maxSuspects {
		c.requests = append(c.requests, request)
	}
}

// contains reports whether all traits of part are in request.
func contains(request, part map[Trait]bool) bool {
	for trait := range part {
		if !request[trait] {
			return false
		}
	}
	return true
}

// requestsWith returns the requests that had the trait, as far as they are told
// apart.
func (c *crash) requestsWith(trait Trait) []map[Trait]bool {
	var found []map[Trait]bool
	for _, request := range c.requests {
		if request[trait] {
			found = append(found, request)
		}
	}
	return found
}

// suspectsTogether reports whether the crash suspects a trait, and a request with it
// may have had all the others as well.
func (c *crash) suspectsTogether(trait Trait, others Traits) bool {
	if !c.suspects[trait] {
		return false
	}
	requests := c.requestsWith(trait)
	return len(requests) == 0 || slices.ContainsFunc(requests, func(request map[Trait]bool) bool {
		return !slices.ContainsFunc(others, func(other Trait) bool { return !request[other] })
	})
}

// report returns the crash as others are told of it: the traits that it still
// suspects, by request where that is known.
func (c *crash) report() Crash {
	var requests []Traits
	alone := maps.Clone(c.suspects)
	for _, request := range c.requests {
		var traits Traits
		for trait := range request {
			if c.suspects[trait] {
				traits = append(traits, trait)
				delete(alone, trait)
			}
		}
		slices.Sort(traits)
		requests = append(requests, traits)
	}
	report := NewCrash(c.endpoint, requests...)
	report.Suspects = append(report.Suspects, slices.Sorted(maps.Keys(alone))...)
	return report
}

// companions returns the tied traits that every request with the candidate had as
// well, in each of its crashes; none if a crash does not tell its requests apart.
func (c candidate) companions(tied map[Trait]bool) Traits {
	common := maps.Clone(tied)
	delete(common, c.trait)
	for _, crash := range c.found {
		requests := crash.requestsWith(c.trait)
		if len(requests) == 0 {
			return nil
		}
		for _, request := range requests {
			maps.DeleteFunc(common, func(other Trait, _ bool) bool { return !request[other] })
		}
	}
	return slices.Sorted(maps.Keys(common))
}

// setCompanions sets the companions of tied candidates.
func setCompanions(guilty []candidate) {
	tied := make(map[Trait]bool, len(guilty))
	for _, c := range guilty {
		tied[c.trait] = true
	}
	for i := range guilty {
		guilty[i].with = guilty[i].companions(tied)
	}
}

// alwaysTogether reports whether every request with one of the tied candidates had all
// of them.
func alwaysTogether(guilty []candidate) bool {
	return !slices.ContainsFunc(guilty, func(c candidate) bool { return len(c.with) < len(guilty)-1 })
}

// narrowest leaves out each tied candidate that is in all requests of another one and
// in further requests too: the other one explains the same crashes and concerns fewer
// requests.
func narrowest(guilty []candidate) []candidate {
	wider := make(map[Trait]bool)
	for _, c := range guilty {
		for _, other := range guilty {
			if slices.Contains(c.with, other.trait) && !slices.Contains(other.with, c.trait) {
				wider[other.trait] = true
			}
		}
	}
	return slices.DeleteFunc(guilty, func(c candidate) bool { return wider[c.trait] })
}
