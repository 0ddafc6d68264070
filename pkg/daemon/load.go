package daemon

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/loadview"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/dispatch"
	"github.com/flamingomount/flamingomount/pkg/stage/limit"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// loads keeps the concurrency limits and the token pace of the local region's
// endpoints up to date. Only one goroutine may call refresh; the tracker is safe
// for concurrent use.
type loads struct {
	tracker *loadview.Tracker
	// lastReportAt holds the time of the last processed load report of each
	// endpoint.
	lastReportAt map[types.EndpointID]time.Time
}

func newLoads() *loads {
	return &loads{
		tracker:      loadview.NewTracker(limit.Options{}),
		lastReportAt: make(map[types.EndpointID]time.Time),
	}
}

// refresh samples the counters of the local region's endpoints, processes the
// load reports received since the last call and forgets endpoints that are no
// longer listed.
func (l *loads) refresh(view *snapshot.Snapshot, now time.Time) {
	daemons := daemonsInRegion(view)
	listed := make(map[types.EndpointID]bool, len(l.lastReportAt))
	for _, endpoints := range view.Endpoints {
		for _, endpoint := range endpoints {
			if endpoint.Region != view.Self.Region || endpoint.Counters == nil {
				continue
			}
			listed[endpoint.ID] = true
			l.refreshEndpoint(endpoint, daemons, now)
		}
	}
	for id := range l.lastReportAt {
		if !listed[id] {
			delete(l.lastReportAt, id)
			l.tracker.Forget(id)
		}
	}
}

func (l *loads) refreshEndpoint(endpoint *snapshot.Endpoint, daemons int, now time.Time) {
	l.tracker.SampleCounters(endpoint, daemons, now)
	takenAt := endpoint.Load.TakenAt
	previous, seen := l.lastReportAt[endpoint.ID]
	if !seen || takenAt.After(previous) {
		l.lastReportAt[endpoint.ID] = takenAt
	}
	if !takenAt.IsZero() && takenAt.After(previous) {
		l.tracker.Report(endpoint, daemons, now)
	}
}

// capacity returns how many requests of the service this daemon may have in
// flight. It is at least one, so that the router, not the queue, refuses a
// request when no endpoint is left.
func (l *loads) capacity(view *snapshot.Snapshot, service types.ServiceName, now time.Time) int {
	endpoints := view.Endpoints[service]
	return max(l.tracker.Capacity(endpoints, view.Self.Region, daemonsInRegion(view), now), 1)
}

// recordTokenPace compares the duration of a streamed response, from its first
// byte, with the duration expected from the service's inter-token latency
// objective. It ignores failed attempts, responses of fewer than 2 tokens and
// services without the objective.
func (l *loads) recordTokenPace(report dispatch.Report, view *snapshot.Snapshot) {
	objective := report.Request.Service.Objectives[types.RankUrgent].BetweenTokens
	if report.Endpoint == nil || report.Kind != dispatch.KindSucceeded || objective == 0 || report.Tokens < 2 {
		return
	}
	elapsed := report.Ended.Sub(report.FirstByte)
	expected := objective * time.Duration(report.Tokens-1)
	l.tracker.Ended(report.Endpoint, daemonsInRegion(view), elapsed, expected, report.Ended)
}
