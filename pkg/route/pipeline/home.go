package pipeline

import (
	"fmt"
	"time"

	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// routeByRegion handles requests whose routing depends only on regions and
// quarantine: it refuses those that may not run in the local region, and routes
// those of an organisation with another home region to that region. Decided is
// false when the request may run in the local region.
func routeByRegion(in *route.Input) (decision route.Decision, failure *types.Failure, decided bool) {
	if in.Snapshot == nil || in.Snapshot.Config == nil || in.Request == nil || in.Request.Service == nil {
		return decision, nil, false
	}
	if remaining, found := quarantined(in); found {
		failure = types.NewFailure(types.NotRun, types.CodeQuarantined, "the request crashed endpoints and is quarantined")
		failure.RetryAfter = remaining
		return decision, failure, true
	}
	localRegion := in.Snapshot.Self.Region
	if !in.Request.Service.Allows(localRegion) {
		message := fmt.Sprintf("service %q may not use region %q", in.Request.Service.Name, localRegion)
		failure = types.NewFailure(types.NotRun, types.CodeResidency, message)
		failure.Entries = eligibleDaemons(in)
		return decision, failure, true
	}
	home := homeOf(in)
	if home == "" || home == localRegion {
		return decision, nil, false
	}
	if !in.Request.Service.Allows(home) {
		message := fmt.Sprintf("the organisation is bound to region %q, which service %q may not use", home, in.Request.Service.Name)
		return decision, types.NewFailure(types.NotRun, types.CodeResidency, message), true
	}
	if len(in.Request.Path) > 0 {
		return decision, types.NewFailure(types.NotRun, types.CodeLoop, "a forwarded request is not forwarded again"), true
	}
	decision = route.Decision{Region: home, Reason: "the organisation's home region"}
	return decision, nil, true
}

// quarantined returns the remaining quarantine of the request's content and
// whether it is quarantined.
func quarantined(in *route.Input) (time.Duration, bool) {
	if in.Request.Fingerprint == (request.Fingerprint{}) {
		return 0, false
	}
	until, found := in.Snapshot.Quarantine[in.Request.Fingerprint]
	return until.Sub(in.Now), found && in.Now.Before(until)
}

func homeOf(in *route.Input) types.Region {
	if in.Request.Org == nil {
		return ""
	}
	return in.Request.Org.Home
}

// mayRunIn reports whether the service and the organisation's home region allow
// the region.
func mayRunIn(in *route.Input, region types.Region) bool {
	home := homeOf(in)
	return in.Request.Service.Allows(region) && (home == "" || home == region)
}

// eligibleDaemons lists the live daemons in regions that may run the request.
func eligibleDaemons(in *route.Input) []types.VMID {
	var daemons []types.VMID
	for i := range in.Snapshot.Members {
		member := &in.Snapshot.Members[i]
		if member.State == snapshot.MemberAlive && mayRunIn(in, member.Region) {
			daemons = append(daemons, member.Incarnation.VM)
		}
	}
	return daemons
}
