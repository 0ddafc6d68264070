package balance

import (
	"cmp"
	"slices"
)

// maxKeepers is the largest number of endpoints of one daemon that keep the same large
// prefix.
const maxKeepers = 2

// keepingPrefix returns the endpoints that may keep the large prefix of a request: where few
// daemons take the traffic of many, each sends large prompts to so many endpoints that a
// prefix would be prefilled at each that has room when its home has none.
func (p *Pool) keepingPrefix(req RequestInfo, candidates []*endpointState, trace *Trace) []*endpointState {
	if !req.large() || !p.peers.OthersTakeNothing || len(candidates) <= maxKeepers {
		return candidates
	}
	ordered := slices.Clone(candidates)
	slices.SortFunc(ordered, func(a, b *endpointState) int {
		return cmp.Compare(prefixWeight(req.Prefix, b.idHash), prefixWeight(req.Prefix, a.idHash))
	})
	for _, ep := range ordered[maxKeepers:] {
		trace.drop(ep, DroppedNotKeeping)
	}
	return ordered[:maxKeepers]
}
