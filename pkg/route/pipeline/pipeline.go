// Package pipeline composes the stages candidates, score and pick into the
// router that the daemon uses.
package pipeline

import (
	"fmt"
	"slices"
	"sync"

	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/candidates"
	"github.com/flamingomount/flamingomount/pkg/stage/pick"
	"github.com/flamingomount/flamingomount/pkg/stage/score"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Options sets the router; zero fields take the defaults of their stage.
type Options struct {
	Filters candidates.Chain
	Scorers score.Chain
	Policy  pick.Policy
	// Spillover decides whether a request goes to another region instead. Nil
	// means that none does.
	Spillover Spillover
}

// Spillover decides whether a request leaves for another region.
type Spillover interface {
	// Choose returns the region to send the request to and a reason, or false
	// when the request stays. Local lists the endpoints that may run it here;
	// it is empty when none may.
	Choose(in *route.Input, local []*snapshot.Endpoint) (types.Region, string, bool)
}

// Router is the composed router.
type Router struct {
	options Options
	scratch sync.Pool
}

// scratch is the working memory of one decision.
type scratch struct {
	kept   []*snapshot.Endpoint
	scored score.Scratch
	costs  []float64
}

var _ route.Router = (*Router)(nil)

// New builds a router.
func New(o Options) *Router {
	if o.Filters == nil {
		o.Filters = candidates.Default()
	}
	if o.Scorers == nil {
		o.Scorers = score.Default()
	}
	if o.Policy == nil {
		o.Policy = pick.NearBest{}
	}
	return &Router{options: o, scratch: sync.Pool{New: func() any { return &scratch{} }}}
}

// Route filters, scores and picks. A request bound to another region goes
// there; a request that may not run here is refused with the verdict NotRun.
func (r *Router) Route(in route.Input) (route.Decision, *types.Failure) {
	if decision, failure, done := routeHome(&in); done {
		return decision, failure
	}
	memory := r.scratch.Get().(*scratch)
	defer r.release(memory)
	kept, failure := r.options.Filters.Select(&in, memory.kept)
	memory.kept = kept
	if region, reason, ok := r.spill(&in, kept, failure); ok {
		return route.Decision{Region: region, Reason: reason, Trace: r.trace(&in)}, nil
	}
	if failure != nil {
		return route.Decision{Trace: r.trace(&in)}, failure
	}
	return r.choose(&in, memory), nil
}

// spill asks the spill decision, unless the request was forwarded already, was
// refused for what it is, or may run once only.
func (r *Router) spill(in *route.Input, kept []*snapshot.Endpoint, failure *types.Failure) (types.Region, string, bool) {
	if r.options.Spillover == nil || !in.Request.Repeatable || len(in.Request.Path) > 0 {
		return "", "", false
	}
	if failure != nil && failure.Code != types.CodeNoEndpoint {
		return "", "", false
	}
	region, reason, ok := r.options.Spillover.Choose(in, kept)
	if !ok || !mayRunIn(in, region) {
		return "", "", false
	}
	return region, reason, true
}

// release returns the memory without the endpoints, which may be gone by the
// next decision.
func (r *Router) release(memory *scratch) {
	clear(memory.kept[:cap(memory.kept)])
	clear(memory.scored.Endpoints)
	memory.kept = memory.kept[:0]
	r.scratch.Put(memory)
}

func (r *Router) choose(in *route.Input, memory *scratch) route.Decision {
	r.options.Scorers.Sample(in, memory.kept, &memory.scored)
	kept := memory.scored.Endpoints
	memory.costs = slices.Grow(memory.costs[:0], len(kept))
	costs := memory.costs[:len(kept)]
	var trace []route.Step
	if in.Explain {
		trace = append(r.trace(in), r.options.Scorers.Explain(in, kept, costs)...)
	} else {
		r.options.Scorers.Costs(in, kept, costs)
	}
	i := r.options.Policy.Pick(costs, in.Rand)
	decision := route.Decision{Endpoint: kept[i], Reason: r.options.Policy.Name()}
	if in.Explain {
		reason := fmt.Sprintf("chosen among %d endpoints", len(kept))
		step := route.Step{Stage: pick.Stage, Name: r.options.Policy.Name(), Endpoint: kept[i].ID, Score: costs[i], Reason: reason}
		decision.Trace = append(trace, step)
	}
	return decision
}

func (r *Router) trace(in *route.Input) []route.Step {
	if !in.Explain {
		return nil
	}
	return r.options.Filters.Explain(in)
}
