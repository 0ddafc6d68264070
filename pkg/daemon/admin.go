package daemon

import (
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/admin"
	"github.com/flamingomount/flamingomount/pkg/bundle"
	"github.com/flamingomount/flamingomount/pkg/burn"
	"github.com/flamingomount/flamingomount/pkg/control/once"
	"github.com/flamingomount/flamingomount/pkg/metrics"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/admission"
	"github.com/flamingomount/flamingomount/pkg/stage/retry"
	"github.com/flamingomount/flamingomount/pkg/types"
	"github.com/flamingomount/flamingomount/pkg/usage"
)

// Build is the version of the daemon; it can be set at link time.
var Build = "development"

func newRecorder(d *Daemon) *recorder {
	return &recorder{
		log:     d.opts.Log,
		metrics: metrics.New(d.gauges),
		self:    d.self.Region,
		now:     d.opts.Now,
		book:    usage.NewBook(),
		burn:    burn.NewState(d.self, d.started),
	}
}

func (d *Daemon) newAdmin() http.Handler {
	return admin.New(admin.Sources{
		Snapshot: d.control.Load,
		Status:   d.status,
		Queues:   d.queues,
		Orders:   d.orders,
		Explain:  d.explain,
		Validate: d.validate,
		Usage:    d.recorder.usage,
		Burn:     func() (burn.DaemonReport, error) { return d.recorder.report() },
		Metrics:  d.recorder.metrics.Handler(),
		Now:      d.opts.Now,
	}, admin.Options{Bodies: d.bodies, BodyTimeout: d.opts.Settings.Timeouts.Body})
}

// validate checks whether a bundle could be published now, without applying it.
// Its revision must be above the revision in force.
func (d *Daemon) validate(values map[string][]byte) admin.Validation {
	validation := admin.Validation{Problems: []string{}}
	invalid := func(err error) admin.Validation {
		validation.Problems = append(validation.Problems, err.Error())
		return validation
	}
	keys, err := publisherKeys(d.opts.Settings.Bundle.PublicKeys)
	if err != nil {
		return invalid(err)
	}
	candidate, err := bundle.FromValues(values)
	if err != nil {
		return invalid(err)
	}
	config, err := bundle.OpenAll(candidate, keys)
	if err != nil {
		return invalid(err)
	}
	validation.Revision = config.Revision
	if current := d.control.Load().Config; current != nil && config.Revision <= current.Revision {
		return invalid(eris.Errorf("revision %s is not above %s, which is in force", config.Revision, current.Revision))
	}
	validation.Valid = true
	return validation
}

func (d *Daemon) status() admin.Status {
	view := d.control.Load()
	status := admin.Status{Self: d.self, Build: Build, Started: d.started, Paused: view.Paused}
	status.NotReady = view.NotReady()
	status.Ready = status.NotReady == ""
	if view.Config != nil {
		status.Config = admin.ConfigStatus{
			Revision: view.Config.Revision, Hash: view.Config.Hash, PublishedAt: view.Config.PublishedAt,
			Origin: "files",
		}
	}
	if view.Origin != nil {
		status.Config.Origin = originName(view.Origin)
		status.Config.ConfirmedAt = time.UnixMilli(view.Origin.Confirmed.Load())
		status.Config.Refused = view.Origin.Refused
	}
	status.Drain = admin.DrainStatus{Draining: view.Draining, InFlight: int(d.inFlight.Load())}
	if deadline := d.drainDeadline.Load(); deadline > 0 {
		status.Drain.EndsBy = time.UnixMilli(deadline)
	}
	return status
}

func originName(origin *snapshot.ConfigOrigin) string {
	if origin.FromService {
		return "service"
	}
	return "peer"
}

func (d *Daemon) queues() admin.Queues {
	totals := admin.Queues{Ranks: make([]admin.QueueStatus, types.RankCount)}
	for _, rank := range types.Ranks() {
		totals.Ranks[rank].Rank = rank
	}
	d.gates.forEachController(func(controller *admission.Controller) {
		for _, rank := range types.Ranks() {
			status := &totals.Ranks[rank]
			status.Waiting += controller.Queued(rank)
			status.Running += controller.Running(rank)
			status.Organisations += controller.ActiveOrgs()
			status.Capacity += controller.Capacity()
		}
	})
	return totals
}

func (d *Daemon) orders() admin.Orders {
	counts := d.guard.Counts()
	return admin.Orders{
		Running: counts.Running, Finished: counts.Finished,
		Bytes: int64(counts.ResponseBytes), LimitBytes: once.DefaultMaxResponseBytes,
	}
}

func (d *Daemon) explain(req *request.Request) (route.Decision, *types.Failure) {
	return d.router.Route(route.Input{
		Request: req, Snapshot: d.control.Load(), Now: d.opts.Now(), Rand: d.opts.Rand, Explain: true,
	})
}

// gauges computes the gauge metrics from the current snapshot and from the
// state of the stages.
func (d *Daemon) gauges() metrics.Gauges {
	orders := d.guard.Counts()
	view := d.control.Load()
	gauges := metrics.Gauges{
		Quarantined: len(view.Quarantine), Queued: d.gates.queuedByRank(), OrdersHeld: orders.Running + orders.Finished,
		LinkBudgetBytes: d.planner.LinkBytes(),
		Draining:        view.Draining, Ready: view.NotReady() == "",
	}
	if policy, ok := d.opts.Retrier.(*retry.Policy); ok {
		gauges.RetryBudget = policy.Tokens()
	}
	if view.Config != nil {
		gauges.Revision = view.Config.Revision
	}
	if view.Origin != nil {
		gauges.ConfigAge = d.opts.Now().Sub(time.UnixMilli(view.Origin.Confirmed.Load()))
	}
	for i := range view.Members {
		switch view.Members[i].State {
		case snapshot.MemberAlive:
			gauges.MembersAlive++
			gauges.OldestPeer = max(gauges.OldestPeer, d.opts.Now().Sub(view.Members[i].HeardAt))
		case snapshot.MemberSuspect:
			gauges.MembersSuspect++
		}
	}
	for _, endpoints := range view.Endpoints {
		countEndpoints(&gauges, endpoints)
	}
	return gauges
}

func countEndpoints(gauges *metrics.Gauges, endpoints []*snapshot.Endpoint) {
	for _, endpoint := range endpoints {
		switch endpoint.State {
		case snapshot.EndpointReady:
			gauges.EndpointsReady++
		case snapshot.EndpointEjected:
			gauges.EndpointsEjected++
		case snapshot.EndpointLeaving:
			gauges.EndpointsLeaving++
		}
	}
}
