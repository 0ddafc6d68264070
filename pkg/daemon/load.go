package daemon

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/loadview"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/dispatch"
	"github.com/flamingomount/flamingomount/pkg/stage/limit"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// loads keeps the limits and the pace of the region's endpoints up to date. One
// goroutine calls refresh; the tracker is safe for concurrent use.
type loads struct {
	tracker *loadview.Tracker
	// reported holds the time of each endpoint's last report taken in.
	reported map[types.EndpointID]time.Time
}

func newLoads() *loads {
	return &loads{
		tracker:  loadview.NewTracker(limit.Options{}),
		reported: make(map[types.EndpointID]time.Time),
	}
}

// refresh notes the counters of the region's endpoints and takes in the reports
// that have come since the last call.
func (l *loads) refresh(view *snapshot.Snapshot, now time.Time) {
	daemons := daemonsOf(view)
	listed := make(map[types.EndpointID]bool, len(l.reported))
	for _, endpoints := range view.Endpoints {
		for _, endpoint := range endpoints {
			if endpoint.Region != view.Self.Region || endpoint.Counters == nil {
				continue
			}
			listed[endpoint.ID] = true
			l.refreshOne(endpoint, daemons, now)
		}
	}
	for id := range l.reported {
		if !listed[id] {
			delete(l.reported, id)
			l.tracker.Forget(id)
		}
	}
}

func (l *loads) refreshOne(endpoint *snapshot.Endpoint, daemons int, now time.Time) {
	l.tracker.SampleCounters(endpoint, daemons, now)
	taken := endpoint.Load.TakenAt
	last, known := l.reported[endpoint.ID]
	if !known || taken.After(last) {
		l.reported[endpoint.ID] = taken
	}
	if !taken.IsZero() && taken.After(last) {
		l.tracker.Report(endpoint, daemons, now)
	}
}

// capacity returns how many requests of the service this daemon may have
// running. It is at least one, so that the router and not the queue refuses a
// request when no endpoint is left.
func (l *loads) capacity(view *snapshot.Snapshot, service types.ServiceName, now time.Time) int {
	endpoints := view.Endpoints[service]
	return max(l.tracker.Capacity(endpoints, view.Self.Region, daemonsOf(view), now), 1)
}

// ended takes in how long the tokens of a streamed answer took, against the
// time between tokens that the service's file wants.
func (l *loads) ended(report dispatch.Report, view *snapshot.Snapshot) {
	objective := report.Request.Service.Objectives[types.RankUrgent].BetweenTokens
	if report.Endpoint == nil || report.Kind != dispatch.KindSucceeded || objective == 0 || report.Tokens < 2 {
		return
	}
	took := report.Ended.Sub(report.FirstByte)
	expected := objective * time.Duration(report.Tokens-1)
	l.tracker.Ended(report.Endpoint, daemonsOf(view), took, expected, report.Ended)
}
