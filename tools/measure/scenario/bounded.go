package scenario

import (
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/score"
)

const (
	// loadBound is the highest load of a chosen endpoint, as a multiple of the
	// mean.
	loadBound = 1.25
	// outsideCost is the cost, in seconds, of any other endpoint.
	outsideCost = 0.1
)

// bounded prefers the endpoint with the highest rendezvous hash of the request's
// prompt whose load is at most loadBound times the mean. It is what the shards
// scorer is compared with.
type bounded struct{}

var _ score.Scorer = bounded{}

// Name returns "bounded".
func (bounded) Name() string {
	return "bounded"
}

// Add adds the cost of being outside to all but the chosen endpoint.
func (bounded) Add(in *route.Input, eps []*snapshot.Endpoint, costs []float64) {
	if len(in.Request.Prefix) == 0 {
		return
	}
	total, slots := 0, 0
	for _, ep := range eps {
		total += ep.Load.Running + ep.Load.Queued
		slots += ep.Slots
	}
	bound := loadBound * float64(total) / float64(max(slots, 1))
	first := func(ep *snapshot.Endpoint) bool {
		load := float64(ep.Load.Running+ep.Load.Queued) + score.InFlightSinceReport(ep)
		return load <= bound*float64(ep.Slots)+1
	}
	chosen := score.Rendezvous(eps, score.AffinityKey(in.Request.Prefix), first)
	for i := range eps {
		if i != chosen {
			costs[i] += outsideCost
		}
	}
}
