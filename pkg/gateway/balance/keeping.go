package balance

import (
	"cmp"
	"slices"
	"time"
)

// maxKeepers is the largest number of endpoints of one daemon that keep the same large
// prefix.
const maxKeepers = 2

// keepingPrefix returns the endpoints that may keep the large prefix of a request: where few
// daemons take the traffic of many, each sends large prompts to so many endpoints that a
// prefix would be prefilled at each that has room when its home has none. Endpoints that are
// stalled, or cold with their rate used up, are not counted: the next ones stand in.
func (p *Pool) keepingPrefix(req RequestInfo, candidates []*endpointState, trace *Trace, now time.Time) []*endpointState {
	if !req.large() || !p.peers.OthersTakeNothing || len(candidates) <= maxKeepers {
		return candidates
	}
	ordered := slices.Clone(candidates)
	slices.SortFunc(ordered, func(a, b *endpointState) int {
		return cmp.Compare(prefixWeight(req.Prefix, b.idHash), prefixWeight(req.Prefix, a.idHash))
	})
	able, keepers := 0, 0
	for keepers < len(ordered) && able < maxKeepers {
		if ep := ordered[keepers]; !p.coldRateUsed(ep, now) && ep.stalledFor(now) <= stallAfter {
			able++
		}
		keepers++
	}
	for _, ep := range ordered[keepers:] {
		trace.drop(ep, DroppedNotKeeping)
	}
	return ordered[:keepers]
}

// coldRateUsed reports whether a cold endpoint gets no more requests of this daemon now.
func (p *Pool) coldRateUsed(ep *endpointState, now time.Time) bool {
	return ep.limitedAsCold(now) && ep.countedSends(now) >= p.coldShare(ep)
}
