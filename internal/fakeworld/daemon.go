package fakeworld

import (
	"math/rand/v2"
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/cacheview"
	"github.com/flamingomount/flamingomount/pkg/control/loadview"
	"github.com/flamingomount/flamingomount/pkg/control/outlier"
	"github.com/flamingomount/flamingomount/pkg/control/quarantine"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/admission"
	"github.com/flamingomount/flamingomount/pkg/stage/retry"
	"github.com/flamingomount/flamingomount/pkg/stage/spill"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Daemon is one independent daemon: it decides on what it knows itself.
type Daemon struct {
	// Snapshot is what the daemon knows. The fake changes it in place.
	Snapshot *snapshot.Snapshot

	world    *World
	rand     *rand.Rand
	router   route.Router
	admitter admission.Admitter
	retrier  Retrier
	cache    *cacheview.View
	tracker  *loadview.Tracker
	byID     map[types.EndpointID]*snapshot.Endpoint
	waiting  map[admission.ID]*passage
	planner  *spill.Planner
	waits    spill.WaitEstimator
	detector *outlier.Detector
	fatal    *quarantine.Tracker
	cursors  map[*Daemon]uint64
	lastID   admission.ID
}

// passage is a call inside one daemon.
type passage struct {
	call   *Call
	id     admission.ID
	tried  []types.EndpointID
	resend bool
	// offered is when admission was asked.
	offered time.Time
	// owner and alone belong to the claim of the running attempt.
	owner *Daemon
	alone bool
	// attempts counts those of this daemon.
	attempts int
	// reply ends the passage; failure is nil when the answer is whole.
	reply func(failure *types.Failure)
}

// accept takes in a call.
func (d *Daemon) accept(call *Call, reply func(*types.Failure)) {
	now := d.world.clock.now
	d.lastID++
	p := &passage{call: call, id: d.lastID, reply: reply}
	p.resend = d.retrier.RecordRequest(call.Request, d.world.Config.Policy.RetryBudget, now)
	d.waiting[p.id] = p
	if !d.sendAway(p) {
		d.admit(p)
	}
}

// admit asks admission for the call to start.
func (d *Daemon) admit(p *passage) {
	now := d.world.clock.now
	p.offered = now
	r := p.call.Request
	d.decided(d.admitter.Offer(admission.Offer{
		ID: p.id, Rank: r.Rank, Org: r.Org.Name, Share: r.Org.Share,
		Cost: float64(r.OutputTokens), Bytes: int64(r.InputTokens * bytesPerToken), Deadline: r.Deadline,
	}, now))
}

// decided carries out the decisions of admission.
func (d *Daemon) decided(decisions []admission.Decision) {
	for _, decision := range decisions {
		p := d.waiting[decision.ID]
		if p == nil || decision.Outcome == admission.Queued {
			continue
		}
		if decision.Outcome == admission.Refused {
			delete(d.waiting, decision.ID)
			p.reply(decision.Failure)
			continue
		}
		p.call.Request.OrgRunning = decision.OrgRunning
		d.waits.RecordWait(p.call.Request.Rank, d.world.clock.now.Sub(p.offered), d.world.clock.now)
		d.attempt(p)
	}
}

// attempt routes the call and sends it.
func (d *Daemon) attempt(p *passage) {
	in := route.Input{Request: p.call.Request, Snapshot: d.Snapshot, Tried: p.tried, Now: d.world.clock.now, Rand: d.rand}
	decision, failure := d.router.Route(in)
	switch {
	case failure != nil:
		d.end(p, failure, false)
	case decision.Endpoint != nil && d.fatal != nil:
		d.claim(p, decision.Endpoint)
	case decision.Endpoint != nil:
		d.send(p, decision.Endpoint)
	default:
		d.forward(p, decision.Region)
	}
}

func (d *Daemon) send(p *passage, ep *snapshot.Endpoint) {
	sent := d.world.clock.now
	p.call.Attempts++
	p.attempts++
	ep.Counters.InFlight.Add(1)
	ep.Counters.Sent.Add(1)
	call := p.call
	engine := d.world.engines[ep.ID]
	j := &job{
		call: call,
		begun: func() {
			if call.FirstToken.IsZero() {
				call.FirstToken = d.world.clock.now
			}
		},
		ended: func(failure *types.Failure) {
			ep.Counters.InFlight.Add(-1)
			ep.Counters.Done.Add(1)
			d.attemptEnded(p, ep, sent, failure)
		},
	}
	engine.submit(j)
	// The caller leaves at its deadline, whichever system serves it.
	d.world.clock.after(call.Request.Deadline.Sub(sent), func() { engine.cancel(j) })
}

func (d *Daemon) attemptEnded(p *passage, ep *snapshot.Endpoint, sent time.Time, failure *types.Failure) {
	now := d.world.clock.now
	d.settle(p, ep.ID, failure)
	d.observe(p, ep.ID, sent, failure)
	if d.world.system.Attempted != nil {
		d.world.system.Attempted(d, p.call, ep.ID, failure)
	}
	if failure == nil {
		d.tracker.Ended(ep, d.sharing(), now.Sub(sent), expected(p.call.Request), now)
		d.cache.AssumeStored(ep.ID, p.call.Request.Prefix)
		p.call.History = types.Ran
		d.end(p, nil, true)
		return
	}
	p.call.History = p.call.History.Merge(failure.Verdict)
	p.tried = append(p.tried, ep.ID)
	decision := d.retrier.Decide(retry.Input{
		Request: p.call.Request, Failure: failure, History: p.call.History, Attempts: p.attempts,
		Resend: p.resend, Now: now, Rand: d.rand,
	})
	if !decision.ShouldRetry {
		d.end(p, failure, false)
		return
	}
	d.world.clock.after(decision.Delay, func() { d.attempt(p) })
}

// forward sends the call to a daemon of another region, once.
func (d *Daemon) forward(p *passage, region types.Region) {
	call := p.call
	call.Request.Path = append(call.Request.Path, d.Snapshot.Self.Incarnation)
	call.Away++
	d.world.forward(d, call, region, func(failure *types.Failure) { d.end(p, failure, false) })
}

func (d *Daemon) end(p *passage, failure *types.Failure, useful bool) {
	delete(d.waiting, p.id)
	p.reply(failure)
	d.decided(d.admitter.Done(admission.Completion{ID: p.id, Representative: useful}, d.world.clock.now))
}

// sharing is the number of daemons that share the endpoints.
func (d *Daemon) sharing() int {
	return len(d.Snapshot.Members) + 1
}

// report takes in a load report.
func (d *Daemon) report(id types.EndpointID, load snapshot.Load) {
	ep := d.byID[id]
	ep.Load = load
	d.tracker.Report(ep, d.sharing(), d.world.clock.now)
}

// note remembers the counters for reports that arrive later.
func (d *Daemon) note() {
	for _, ep := range d.Snapshot.Endpoints[Service] {
		d.tracker.SampleCounters(ep, d.sharing(), d.world.clock.now)
	}
}

// tick lets admission look at the clock and at the present capacity.
func (d *Daemon) tick() {
	now := d.world.clock.now
	d.Snapshot.TakenAt = now
	d.Snapshot.Prefixes = d.cache.Publish()
	d.applyOutliers()
	capacity := d.tracker.Capacity(d.Snapshot.Endpoints[Service], d.Snapshot.Self.Region, d.sharing(), now)
	d.decided(d.admitter.SetCapacity(capacity, now))
	d.decided(d.admitter.Tick(now))
}

// health takes in that an engine went down or came back. A daemon with a
// detector finds out for itself.
func (d *Daemon) health(id types.EndpointID, down bool) {
	if d.detector != nil {
		return
	}
	ep := d.byID[id]
	if down {
		ep.State = snapshot.EndpointEjected
		ep.Reason = "down"
		d.cache.Forget(id)
		return
	}
	ep.State = snapshot.EndpointReady
	ep.Reason = ""
	ep.SlowStartAt = d.world.clock.now
}

func (d *Daemon) cacheEvents(id types.EndpointID, batch cacheview.Batch) {
	if d.byID[id].State == snapshot.EndpointReady {
		d.cache.Apply(id, batch)
	}
}
