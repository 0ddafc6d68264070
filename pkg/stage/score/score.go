// Package score is the stage that predicts what each candidate endpoint would
// cost a request, in seconds of waiting and work. Each scorer adds one part of
// the cost; lower is better, and a saving is negative.
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

// Scorer adds one part of the predicted cost of each endpoint. It is a
// deterministic function of its input and safe for concurrent use.
type Scorer interface {
	// Name identifies the scorer in traces.
	Name() string
	// Add adds seconds to costs[i] for eps[i]. The endpoints are sorted by ID.
	Add(in *route.Input, eps []*snapshot.Endpoint, costs []float64)
}

// Nominator is a scorer that can tell which endpoints it favours. Those are
// scored even when only a sample of the others is.
type Nominator interface {
	// Nominate appends to nominated the indexes of the favoured endpoints in
	// eps.
	Nominate(in *route.Input, eps []*snapshot.Endpoint, nominated []int) []int
}

// Chain sums the costs of its scorers.
type Chain []Scorer

// Default returns all scorers with their default options.
func Default() Chain {
	return Chain{NewLoad(LoadOptions{}), NewPace(PaceOptions{}), NewPrefix(PrefixOptions{}), NewShards(ShardOptions{}), NewSlowStart(SlowStartOptions{})}
}

// Costs writes the total cost of eps[i] to costs[i]. The slices have the same
// length.
func (c Chain) Costs(in *route.Input, eps []*snapshot.Endpoint, costs []float64) {
	clear(costs)
	for _, scorer := range c {
		scorer.Add(in, eps, costs)
	}
}

// sampleSize is the number of endpoints that are scored in addition to the
// nominated ones.
const sampleSize = 64

// Scratch is the working memory of one decision; later decisions may reuse it.
type Scratch struct {
	// Endpoints are the endpoints to score, sorted by ID.
	Endpoints []*snapshot.Endpoint
	sampled   []int
}

// Sample sets m.Endpoints to the endpoints to score: all of them, if there are
// at most 2*sampleSize, or else an evenly spaced random sample and the
// endpoints that the scorers nominate.
func (c Chain) Sample(in *route.Input, eps []*snapshot.Endpoint, m *Scratch) {
	if len(eps) <= 2*sampleSize {
		m.Endpoints = append(m.Endpoints[:0], eps...)
		return
	}
	m.sampled = sampleEvenly(in.Rand, len(eps), m.sampled[:0])
	for _, scorer := range c {
		if nominator, ok := scorer.(Nominator); ok {
			m.sampled = nominator.Nominate(in, eps, m.sampled)
		}
	}
	slices.Sort(m.sampled)
	m.Endpoints = m.Endpoints[:0]
	for _, i := range slices.Compact(m.sampled) {
		m.Endpoints = append(m.Endpoints, eps[i])
	}
}

// sampleEvenly appends sampleSize evenly spaced indexes below count, with a
// random offset.
func sampleEvenly(rand route.Rand, count int, sampled []int) []int {
	step := float64(count) / sampleSize
	offset := route.Float64(rand) * step
	for i := range sampleSize {
		sampled = append(sampled, min(int(offset+float64(i)*step), count-1))
	}
	return sampled
}

// Explain fills costs as Costs does, drawing the same numbers from the random
// source, and returns one step for each scorer and endpoint.
func (c Chain) Explain(in *route.Input, eps []*snapshot.Endpoint, costs []float64) []route.Step {
	clear(costs)
	added := make([]float64, len(eps))
	var steps []route.Step
	for _, scorer := range c {
		clear(added)
		scorer.Add(in, eps, added)
		for i, ep := range eps {
			costs[i] += added[i]
			steps = append(steps, route.Step{Stage: Stage, Name: scorer.Name(), Endpoint: ep.ID, Score: added[i]})
		}
	}
	return steps
}

// indexOf returns the index of the endpoint in eps, which is sorted by ID.
func indexOf(eps []*snapshot.Endpoint, id types.EndpointID) (int, bool) {
	return slices.BinarySearchFunc(eps, id, func(ep *snapshot.Endpoint, id types.EndpointID) int {
		return cmp.Compare(ep.ID, id)
	})
}

// daemonsInRegion returns the number of live daemons in the local region,
// including this one. They share the region's endpoints.
func daemonsInRegion(s *snapshot.Snapshot) int {
	count := 1
	for i := range s.Members {
		member := &s.Members[i]
		if member.Region == s.Self.Region && member.State == snapshot.MemberAlive {
			count++
		}
	}
	return count
}
