package score

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
)

// BoundedOptions sets the bounded rendezvous scorer.
type BoundedOptions struct {
	// Outside is the cost of any endpoint but the chosen one. Default 100 ms.
	Outside time.Duration
	// Bound is the highest load of a chosen endpoint, as a multiple of the
	// mean. Default 1.25.
	Bound float64
}

const defaultBound = 1.25

// Bounded prefers the endpoint with the highest rendezvous hash of the request's
// key whose load is at most Bound times the mean.
type Bounded struct {
	options BoundedOptions
}

var _ Scorer = (*Bounded)(nil)

// NewBounded builds the scorer; zero options take their defaults.
func NewBounded(o BoundedOptions) *Bounded {
	setDefault(&o.Outside, defaultOutside)
	if o.Bound <= 0 {
		o.Bound = defaultBound
	}
	return &Bounded{options: o}
}

// Name returns "bounded".
func (b *Bounded) Name() string {
	return "bounded"
}

// Add adds the cost of being outside to all but the chosen endpoint.
func (b *Bounded) Add(in *route.Input, eps []*snapshot.Endpoint, costs []float64) {
	if len(in.Request.Prefix) == 0 {
		return
	}
	key := requestKey(in.Request.Prefix)
	var total occupancy
	for _, ep := range eps {
		total.add(float64(ep.Load.Running+ep.Load.Queued), ep.Slots)
	}
	bound := total.mean() * b.options.Bound
	chosen := -1
	var best uint64
	for i, ep := range eps {
		load := float64(ep.Load.Running+ep.Load.Queued) + sinceReport(ep)
		if load > bound*float64(max(ep.Slots, 1))+1 {
			continue
		}
		hash := mix(xxhash.Sum64String(string(ep.ID)) ^ key)
		if chosen < 0 || hash > best {
			chosen, best = i, hash
		}
	}
	for i := range eps {
		if i != chosen {
			costs[i] += b.options.Outside.Seconds()
		}
	}
}
