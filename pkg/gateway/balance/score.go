package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Weights of the score, in seconds.
const (
	// readRate is how many prompt tokens an engine reads in a second.
	readRate = 55_000.0
	// runCost is what each request that runs at an engine adds to another one.
	runCost = 0.002
	// slotCost is what a full endpoint adds to a request of a plain service.
	slotCost = 0.05
	// errorCost is what an endpoint that fails every request would add.
	errorCost = 1.0
	// stallAfter is how long an endpoint may begin no answer before it is
	// avoided, and stallCost what it then adds.
	stallAfter = 700 * time.Millisecond
	stallCost  = 2.0
	// coldCost keeps requests from cold endpoints while others are as good.
	coldCost = 0.05
	// otherDCCost keeps requests in the own data centre, since bytes between
	// data centres are dear, until its endpoints are clearly busier.
	otherDCCost = 0.15
	// awayCost keeps large prompts at the home of their prefix while that
	// answers in time: what is read twice is missing for others.
	awayCost = 1.0
	// othersShare is the part of this daemon's own load that each other daemon
	// of the region is assumed to add.
	othersShare = 0.6
	// MinLargePrefixTokens is the size, in tokens, from which a prefix has a home.
	MinLargePrefixTokens = 1000
)

// cost predicts the seconds that the request would take at the endpoint beyond
// what it takes anywhere.
func (p *Pool) cost(ask RequestInfo, one *state, home bool, now time.Time) float64 {
	others := 1 + othersShare*float64(max(one.sharers, 1)-1)
	cost := one.errorRate * errorCost
	if one.stalled(now) > stallAfter {
		cost += stallCost
	}
	if one.cold(now) {
		cost += coldCost
	}
	if one.placed.DataCentre != p.dc {
		cost += otherDCCost
	}
	if !one.isEngine() {
		return cost + slotCost*float64(one.inFlight)*others/float64(one.slots()) + tieBreak(one.placed.ID, now)
	}
	cost += p.unread(ask, one, home) / readRate
	wait := one.unread / readRate
	if ask.large() && !home {
		wait += awayCost
	}
	if !ask.large() {
		wait = max(wait, one.begins.known(0, now))
	}
	cost += wait
	cost += runCost * float64(one.inFlight) * others
	return cost + tieBreak(one.placed.ID, now)
}

// tieBreak spreads equal costs without a random source.
func tieBreak(id types.EndpointID, now time.Time) float64 {
	const smallest = 1e-6
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(id))
	spread := (d.Sum64() ^ uint64(now.UnixNano())*0x9E3779B97F4A7C15) >> 40
	return float64(spread) / (1 << 24) * smallest
}

// unread is how many prompt tokens the endpoint would have to read. A prefix
// counts as cached at its home also before this daemon has sent it there:
// another one may have, and the home should read it rather than any other.
func (p *Pool) unread(ask RequestInfo, one *state, home bool) float64 {
	cached := one.cache.longest(ask)
	if home {
		cached = ask.PrefixTokens
	}
	// An engine refuses what does not fit into its memory.
	return float64(min(max(ask.PromptTokens-cached, 0), one.memoryTokens()))
}

// homeOf returns the endpoint that a large prefix belongs to among the eligible
// ones, which every daemon finds alike; nil for other requests.
func homeOf(ask RequestInfo, eligible []*state) *state {
	if !ask.large() {
		return nil
	}
	home, _ := first(ask.Prefix, eligible, func(one *state) types.EndpointID { return one.placed.ID })
	return home
}

// PrefixHome returns the endpoint, of any region that is allowed, that a large
// prefix belongs to. Within its region it is the one that a Pool prefers.
func PrefixHome(endpoints []catalog.ActiveEndpoint, prefix uint64, allowed func(catalog.ActiveEndpoint) bool) (catalog.ActiveEndpoint, bool) {
	return first(prefix, endpoints, func(one catalog.ActiveEndpoint) types.EndpointID {
		if !allowed(one) {
			return ""
		}
		return one.ID
	})
}

// first returns the endpoint that comes first for a prefix by rendezvous. Those
// without an ID are left out.
func first[E any](prefix uint64, endpoints []E, idOf func(E) types.EndpointID) (best E, found bool) {
	var highest uint64
	for _, one := range endpoints {
		id := idOf(one)
		if id == "" {
			continue
		}
		if weight := prefixWeight(prefix, id); !found || weight > highest {
			best, highest, found = one, weight, true
		}
	}
	return best, found
}

func prefixWeight(prefix uint64, id types.EndpointID) uint64 {
	hash := xxhash.Sum64String(string(id)) ^ prefix
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}
