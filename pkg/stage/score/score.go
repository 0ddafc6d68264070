// Package score is the stage that predicts what each candidate would cost a
// request, in seconds of waiting and work. Each scorer adds one part of the
// cost; lower is better and a saving is negative.
package score

import (
	"cmp"
	"slices"

	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Stage is the name of this stage in traces.
const Stage = "score"

// Scorer adds its part of the predicted cost of each endpoint. It is a
// deterministic function of its input, safe for concurrent use.
type Scorer interface {
	// Name identifies the scorer in traces.
	Name() string
	// Add adds seconds to costs[i] for eps[i]. The endpoints are sorted by ID.
	Add(in *route.Input, eps []*snapshot.Endpoint, costs []float64)
}

// Nominator is a scorer that knows which endpoints it would favour, so that they
// are scored even when only a sample of the others is.
type Nominator interface {
	// Nominate appends indexes of eps.
	Nominate(in *route.Input, eps []*snapshot.Endpoint, nominated []int) []int
}

// Chain adds up the costs of its scorers.
type Chain []Scorer

// Default returns every scorer with its default options.
func Default() Chain {
	return Chain{NewLoad(LoadOptions{}), NewPace(PaceOptions{}), NewPrefix(PrefixOptions{}), NewShards(ShardOptions{}), NewSlowStart(SlowStartOptions{})}
}

// Costs fills costs, which has the length of eps.
func (c Chain) Costs(in *route.Input, eps []*snapshot.Endpoint, costs []float64) {
	clear(costs)
	for _, scorer := range c {
		scorer.Add(in, eps, costs)
	}
}

// sampleSize is the number of endpoints beside the nominated ones that are
// scored.
const sampleSize = 64

// Scratch is the working memory of one decision; it can be used again.
type Scratch struct {
	// Endpoints are the endpoints to score, sorted by ID.
	Endpoints []*snapshot.Endpoint
	chosen    []int
}

// Sample sets m.Endpoints to those that are worth scoring: all of a few, or an even
// random sample of many and those that the scorers nominate.
func (c Chain) Sample(in *route.Input, eps []*snapshot.Endpoint, m *Scratch) {
	if len(eps) <= 2*sampleSize {
		m.Endpoints = append(m.Endpoints[:0], eps...)
		return
	}
	m.chosen = evenly(in.Rand, len(eps), m.chosen[:0])
	for _, scorer := range c {
		if nominator, ok := scorer.(Nominator); ok {
			m.chosen = nominator.Nominate(in, eps, m.chosen)
		}
	}
	slices.Sort(m.chosen)
	m.Endpoints = m.Endpoints[:0]
	for _, i := range slices.Compact(m.chosen) {
		m.Endpoints = append(m.Endpoints, eps[i])
	}
}

// evenly appends sampleSize of the indexes below count, evenly spaced from a
// random one.
func evenly(rand route.Rand, count int, chosen []int) []int {
	step := float64(count) / sampleSize
	offset := route.Float64(rand) * step
	for i := range sampleSize {
		chosen = append(chosen, min(int(offset+float64(i)*step), count-1))
	}
	return chosen
}

// Explain returns one step for each scorer and endpoint. It draws from the
// random source as Costs does.
func (c Chain) Explain(in *route.Input, eps []*snapshot.Endpoint, costs []float64) []route.Step {
	clear(costs)
	part := make([]float64, len(eps))
	var steps []route.Step
	for _, scorer := range c {
		clear(part)
		scorer.Add(in, eps, part)
		for i, ep := range eps {
			costs[i] += part[i]
			steps = append(steps, route.Step{Stage: Stage, Name: scorer.Name(), Endpoint: ep.ID, Score: part[i]})
		}
	}
	return steps
}

// find returns the index of the endpoint in the sorted list.
func find(eps []*snapshot.Endpoint, id types.EndpointID) (int, bool) {
	return slices.BinarySearchFunc(eps, id, func(ep *snapshot.Endpoint, id types.EndpointID) int {
		return cmp.Compare(ep.ID, id)
	})
}

// entries returns how many daemons of this region share the endpoints.
func entries(s *snapshot.Snapshot) int {
	count := 1
	for i := range s.Members {
		member := &s.Members[i]
		if member.Region == s.Self.Region && member.State == snapshot.MemberAlive {
			count++
		}
	}
	return count
}
