// Package candidates is the stage that decides which endpoints may run a
// request. Each filter removes endpoints for one reason; a filter that lacks
// the information it needs removes every endpoint.
package candidates

import (
	"fmt"

	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Stage is the name of this stage in traces.
const Stage = "candidates"

// Filter removes endpoints for one reason. It is a deterministic function of
// its input and safe for concurrent use.
type Filter interface {
	// Name identifies the filter in traces and failures.
	Name() string
	// Keep reports whether the endpoint may run the request.
	Keep(in *route.Input, ep *snapshot.Endpoint) bool
	// Retain removes the endpoints that may not run the request, in place and
	// preserving order.
	Retain(in *route.Input, eps []*snapshot.Endpoint) []*snapshot.Endpoint
	// KeepsAll reports whether the filter keeps every endpoint for this
	// request, so that it can be skipped.
	KeepsAll(in *route.Input) bool
	// Code is the failure code when this filter removes the last endpoint.
	Code() types.Code
}

// Chain applies filters in order.
type Chain []Filter

// Default returns all filters in the order of the stage.
func Default() Chain {
	return Chain{Service{}, Region{}, Residency{}, Home{}, Version{}, Health{}, Drain{}, Quarantine{}, Tried{}}
}

// Select appends to kept the endpoints of the request's service that pass every
// filter, in the snapshot's order. When none passes, the failure has the code
// of the filter that removed the last one, or CodeResidency if the service may
// not use the local region.
func (c Chain) Select(in *route.Input, kept []*snapshot.Endpoint) ([]*snapshot.Endpoint, *types.Failure) {
	if in.Snapshot == nil || in.Snapshot.Config == nil {
		return kept, types.NewFailure(types.NotRun, types.CodeNotReady, "no configuration is in force yet")
	}
	if in.Request == nil || in.Request.Service == nil {
		return kept, types.NewFailure(types.NotRun, types.CodeUnknownService, "the request names no published service")
	}
	start := len(kept)
	kept = append(kept, in.Snapshot.Endpoints[in.Request.Service.Name]...)
	for _, filter := range c {
		if filter.KeepsAll(in) {
			continue
		}
		kept = kept[:start+len(filter.Retain(in, kept[start:]))]
		if len(kept) == start {
			return kept, failure(in, filter)
		}
	}
	if len(kept) == start {
		return kept, types.NewFailure(types.NotRun, types.CodeNoEndpoint, "no endpoint is known")
	}
	return kept, nil
}

// retain removes, in place, the endpoints for which keep returns false. It is
// small enough to be inlined together with keep.
func retain(eps []*snapshot.Endpoint, keep func(ep *snapshot.Endpoint) bool) []*snapshot.Endpoint {
	next := 0
	for _, ep := range eps {
		if keep(ep) {
			eps[next] = ep
			next++
		}
	}
	return eps[:next]
}

// firstRejection returns the index of the first filter that removes the
// endpoint, or the number of filters when all keep it.
func (c Chain) firstRejection(in *route.Input, ep *snapshot.Endpoint) int {
	for i, filter := range c {
		if !filter.Keep(in, ep) {
			return i
		}
	}
	return len(c)
}

// failure returns the failure for a request whose last endpoint the filter
// removed.
func failure(in *route.Input, filter Filter) *types.Failure {
	if !in.Request.Service.Allows(in.Snapshot.Self.Region) {
		message := fmt.Sprintf("service %q may not use region %q", in.Request.Service.Name, in.Snapshot.Self.Region)
		return types.NewFailure(types.NotRun, types.CodeResidency, message)
	}
	message := fmt.Sprintf("no endpoint of service %q passes the %s filter", in.Request.Service.Name, filter.Name())
	return types.NewFailure(types.NotRun, filter.Code(), message)
}

// Explain returns one step for each endpoint of the service: the first filter
// that drops it, or "kept".
func (c Chain) Explain(in *route.Input) []route.Step {
	if in.Snapshot == nil || in.Request == nil || in.Request.Service == nil {
		return nil
	}
	var steps []route.Step
	for _, ep := range in.Snapshot.Endpoints[in.Request.Service.Name] {
		step := route.Step{Stage: Stage, Endpoint: ep.ID, Name: "kept"}
		if i := c.firstRejection(in, ep); i < len(c) {
			step.Name = c[i].Name()
			step.Dropped = true
			step.Reason = ep.Reason
		}
		steps = append(steps, step)
	}
	return steps
}
