package pipeline

import (
	"fmt"
	"time"

	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// routeHome handles what the region decides: requests that may not run here and
// requests of an organisation bound to another region. Done is false when the
// request may run here.
func routeHome(in *route.Input) (decision route.Decision, failure *types.Failure, done bool) {
	if in.Snapshot == nil || in.Snapshot.Config == nil || in.Request == nil || in.Request.Service == nil {
		return decision, nil, false
	}
	if until, found := quarantined(in); found {
		failure = types.NewFailure(types.NotRun, types.CodeQuarantined, "the request crashed endpoints and is quarantined")
		failure.RetryAfter = until
		return decision, failure, true
	}
	here := in.Snapshot.Self.Region
	if !in.Request.Service.Allows(here) {
		message := fmt.Sprintf("service %q may not use region %q", in.Request.Service.Name, here)
		failure = types.NewFailure(types.NotRun, types.CodeResidency, message)
		failure.Entries = entriesIn(in)
		return decision, failure, true
	}
	home := homeOf(in)
	if home == "" || home == here {
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

// mayRunIn reports whether residency and the organisation's home allow the
// region.
func mayRunIn(in *route.Input, region types.Region) bool {
	home := homeOf(in)
	return in.Request.Service.Allows(region) && (home == "" || home == region)
}

// entriesIn lists live daemons of regions that may run the request.
func entriesIn(in *route.Input) []types.VMID {
	var entries []types.VMID
	for i := range in.Snapshot.Members {
		member := &in.Snapshot.Members[i]
		if member.State == snapshot.MemberAlive && mayRunIn(in, member.Region) {
			entries = append(entries, member.Incarnation.VM)
		}
	}
	return entries
}
