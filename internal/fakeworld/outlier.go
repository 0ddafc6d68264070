package fakeworld

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/outlier"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// observe lets the daemon judge an endpoint by its own attempts.
func (d *Daemon) observe(p *passage, id types.EndpointID, sent time.Time, failure *types.Failure) {
	if d.detector == nil {
		return
	}
	now := d.world.clock.now
	result := outlier.Result{Endpoint: id, Outcome: outlier.OutcomeOf(failure), At: now}
	if result.Outcome == outlier.OutcomeSucceeded {
		result.Slowness = float64(now.Sub(sent)) / float64(expected(p.call.Request))
	}
	if d.detector.Observe(result) {
		d.applyOutliers()
	}
}

// applyOutliers takes the detector's verdicts into the endpoints.
func (d *Daemon) applyOutliers() {
	if d.detector == nil {
		return
	}
	for _, ep := range d.Snapshot.Endpoints[Service] {
		was := ep.State
		d.detector.Apply(ep, d.world.clock.now)
		if was == snapshot.EndpointReady && ep.State != was {
			d.cache.Forget(ep.ID)
		}
	}
}
