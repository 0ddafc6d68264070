package proxy

import (
	"maps"
	"slices"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/explain"
	"github.com/flamingomount/flamingomount/pkg/gateway/regions"
)

// maxExplainedEndpoints bounds the endpoints of an answer; those that may get the request
// come first.
const maxExplainedEndpoints = 200

// describeRegions tells which regions may take the request.
func (e *explanation) describeRegions(snap *control.Snapshot) {
	r := e.run
	serving := r.servingRegions(snap)
	loads := regions.Loads(snap.View, snap.Members, r.req.Service)
	here, slow := r.responseHere(snap, loads)
	slow = slow && r.req.PrefixTokens < balance.MinLargePrefixTokens && r.req.allows(snap.Self.Region)
	for _, region := range slices.Sorted(maps.Keys(loads)) {
		described := explain.Region{Region: region, FreeShare: loads[region].FreeFraction(), ResponseMs: loads[region].Response.Milliseconds(), Daemons: len(r.serving(snap, region))}
		switch {
		case !r.req.Route.Allows(region):
			described.Dropped = "the route's data may not be used there"
		case !r.req.allows(region):
			described.Dropped = "the organisation's data may not be used there"
		case !serving[region]:
			described.Dropped = "no daemon serves there"
		case slow && region != snap.Self.Region:
			described.SoonerShare = regions.SoonerShare(here, loads[region].Response)
		}
		e.answer.Regions = append(e.answer.Regions, described)
	}
}

// describeEndpoints tells what the placement found of each endpoint.
func (e *explanation) describeEndpoints(found balance.Explanation) {
	slices.SortStableFunc(found.Endpoints, func(a, b balance.TracedEndpoint) int {
		if (a.Drop == "") != (b.Drop == "") {
			if a.Drop == "" {
				return -1
			}
			return 1
		}
		return 0
	})
	shown := min(len(found.Endpoints), maxExplainedEndpoints)
	e.answer.EndpointsLeftOut = len(found.Endpoints) - shown
	for _, ep := range found.Endpoints[:shown] {
		described := explain.Endpoint{
			ID: ep.Endpoint, DataCentre: ep.DataCentre, Dropped: string(ep.Drop), InFlight: ep.InFlight, Limit: ep.Limit,
			BacklogTokens: int(ep.BacklogTokens), FirstEventMs: ep.FirstEvent.Milliseconds(), Certainty: ep.Certainty,
		}
		if ep.Drop == "" {
			described.Score, described.Parts = ep.Cost.Sum(), scoreParts(ep.Cost)
		}
		e.answer.Endpoints = append(e.answer.Endpoints, described)
	}
}

// scoreParts lists the parts of a score that are not zero.
func scoreParts(cost balance.Cost) []explain.Score {
	all := []explain.Score{
		{Name: "work", Seconds: cost.Work},
		{Name: "slots", Seconds: cost.Slots},
		{Name: "off home", Seconds: cost.OffHome},
		{Name: "other data centre", Seconds: cost.OtherDataCentre},
		{Name: "cold", Seconds: cost.Cold},
		{Name: "stalled", Seconds: cost.Stalled},
		{Name: "errors", Seconds: cost.Errors},
		{Name: "tie break", Seconds: cost.TieBreak},
	}
	return slices.DeleteFunc(all, func(part explain.Score) bool { return part.Seconds == 0 })
}
