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

// Options configures the router; zero fields take the defaults of their stage.
type Options struct {
	Filters candidates.Chain
	Scorers score.Chain
	Policy  pick.Policy
	// Spillover decides whether a request goes to another region instead of an
	// endpoint in the local one. Nil means that none does.
	Spillover Spillover
}

// Spillover decides whether a request goes to another region.
type Spillover interface {
	// Choose returns the region to send the request to and a reason, or false
	// when the request stays in the local region. Local lists the endpoints
	// that may run it there and may be empty.
	Choose(in *route.Input, local []*snapshot.Endpoint) (types.Region, string, bool)
}

// Router routes requests through the stages.
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

// New returns a router.
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

// Route filters, scores and picks an endpoint. It routes a request bound to
// another region to that region, and refuses a request that may not run in the
// local region with the verdict NotRun.
func (r *Router) Route(in route.Input) (route.Decision, *types.Failure) {
	if decision, failure, decided := routeByRegion(&in); decided {
		return decision, failure
	}
	buffers := r.scratch.Get().(*scratch)
	defer r.release(buffers)
	kept, failure := r.options.Filters.Select(&in, buffers.kept)
	buffers.kept = kept
	if region, reason, ok := r.spillover(&in, kept, failure); ok {
		return route.Decision{Region: region, Reason: reason, Trace: r.trace(&in)}, nil
	}
	if failure != nil {
		return route.Decision{Trace: r.trace(&in)}, failure
	}
	return r.choose(&in, buffers), nil
}

// spillover asks Options.Spillover for a region. It does not ask for a request
// that was already forwarded, that failed for another reason than a missing
// endpoint, or that is not repeatable.
func (r *Router) spillover(in *route.Input, kept []*snapshot.Endpoint, failure *types.Failure) (types.Region, string, bool) {
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

// release returns the working memory to the pool. It clears the references to
// endpoints first, so that the pool does not keep removed endpoints alive.
func (r *Router) release(buffers *scratch) {
	clear(buffers.kept[:cap(buffers.kept)])
	clear(buffers.scored.Endpoints)
	buffers.kept = buffers.kept[:0]
	r.scratch.Put(buffers)
}

func (r *Router) choose(in *route.Input, buffers *scratch) route.Decision {
	r.options.Scorers.Sample(in, buffers.kept, &buffers.scored)
	kept := buffers.scored.Endpoints
	buffers.costs = slices.Grow(buffers.costs[:0], len(kept))
	costs := buffers.costs[:len(kept)]
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
