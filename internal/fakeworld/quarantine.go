package fakeworld

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingomount/flamingomount/pkg/control/quarantine"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	// nearDelay is the one-way delay between daemons of a region.
	nearDelay = time.Millisecond
	// digestEvery is how often a daemon tells another what crashed.
	digestEvery = time.Second
	// claimAgain is how soon to route again when an endpoint is reserved.
	claimAgain = 100 * time.Millisecond
)

// equip gives the daemon the optional parts of its system.
func (d *Daemon) equip() {
	if d.world.system.Spill != nil {
		d.planner = d.world.system.Spill()
	}
	if d.world.system.Outlier != nil {
		d.detector = d.world.system.Outlier()
		d.detector.Track(d.Snapshot.Endpoints)
	}
	if d.world.system.Quarantine != nil {
		d.fatal, d.cursors = d.world.system.Quarantine(), map[*Daemon]uint64{}
		d.world.clock.every(digestEvery, digestEvery, d.tellDigest)
	}
}

// tellDigest tells a random daemon what it has not been told.
func (d *Daemon) tellDigest() {
	all := d.world.everyDaemon()
	to := all[d.world.rand.IntN(len(all))]
	digest := d.fatal.Digest(d.cursors[to])
	d.cursors[to] = digest.Next
	d.tell(to, func() { to.fatal.Merge(digest, d.world.clock.now) })
}

func (w *World) everyDaemon() []*Daemon {
	var all []*Daemon
	for _, region := range w.Config.Regions {
		all = append(all, w.regions[region.Name].daemons...)
	}
	return all
}

// tell runs a function after the delay to another daemon, unless it is cut off.
func (d *Daemon) tell(to *Daemon, run func()) {
	here, there := d.Snapshot.Self.Region, to.Snapshot.Self.Region
	switch {
	case to == d:
		run()
	case here == there:
		d.world.clock.after(nearDelay, run)
	default:
		l := d.world.links[linkKey{here, there}]
		if l != nil && !l.cut {
			d.world.clock.after(l.oneWay, run)
		}
	}
}

// claim asks the owner of the content whether the call may run.
func (d *Daemon) claim(p *passage, ep *snapshot.Endpoint) {
	if p.call.first == nil {
		p.call.first = d
	}
	owner := p.call.first
	asked := d.fatal.NewClaim(contentOf(p.call), ep.ID, p.call.Request.Deadline)
	d.tell(owner, func() {
		answer := owner.fatal.Acquire(asked, d.world.clock.now)
		owner.tell(d, func() { d.claimed(p, ep, owner, answer) })
	})
}

// claimed acts on the owner's answer.
func (d *Daemon) claimed(p *passage, ep *snapshot.Endpoint, owner *Daemon, answer quarantine.Answer) {
	p.owner = owner
	switch answer.Kind {
	case quarantine.AnswerRun:
		d.send(p, ep)
	case quarantine.AnswerRunAt:
		d.runAt(p, answer.Endpoint)
	case quarantine.AnswerRunAlone:
		d.reserve(p, ep)
	case quarantine.AnswerRefuse:
		if !p.call.Fatal {
			d.world.InnocentsRefused++
		}
		d.end(p, types.NewFailure(types.NotRun, types.CodeQuarantined, "quarantined"), false)
	default:
		d.later(p, time.Duration(answer.WaitMillis)*time.Millisecond)
	}
}

// runAt runs a copy beside the first one, if that is in this region.
func (d *Daemon) runAt(p *passage, id types.EndpointID) {
	ep := d.byID[id]
	if ep == nil || ep.State != snapshot.EndpointReady {
		d.settle(p, id, types.NewFailure(types.NotRun, types.CodeNoEndpoint, "copy runs elsewhere"))
		d.later(p, claimAgain)
		return
	}
	d.send(p, ep)
}

// reserve asks the endpoint's owner to run a suspect.
func (d *Daemon) reserve(p *passage, ep *snapshot.Endpoint) {
	owner := d.world.endpointOwner(ep)
	asked := d.fatal.NewClaim(contentOf(p.call), ep.ID, p.call.Request.Deadline)
	d.tell(owner, func() {
		answer := owner.fatal.Reserve(asked, d.world.clock.now)
		owner.tell(d, func() {
			if answer.Kind == quarantine.AnswerRun {
				p.alone = true
				d.send(p, ep)
				return
			}
			d.settle(p, ep.ID, types.NewFailure(types.NotRun, types.CodeNoEndpoint, "reserved"))
			d.later(p, claimAgain)
		})
	})
}

// later routes the call again after a wait, unless that is too late.
func (d *Daemon) later(p *passage, wait time.Duration) {
	if d.world.clock.now.Add(wait).After(p.call.Request.Deadline) {
		d.end(p, types.NewFailure(types.NotRun, types.CodeDeadline, "held for too long"), false)
		return
	}
	d.world.clock.after(wait, func() { d.attempt(p) })
}

// settle tells the owners how an attempt ended.
func (d *Daemon) settle(p *passage, id types.EndpointID, failure *types.Failure) {
	if d.fatal == nil || p.owner == nil {
		return
	}
	now := d.world.clock.now
	hash := quarantine.Hash(contentOf(p.call))
	owner, guard := p.owner, d.world.endpointOwner(&snapshot.Endpoint{ID: id, Region: d.Snapshot.Self.Region})
	if failure != nil && failure.Verdict == types.MayHaveRun && failure.Code == types.CodeEndpointFailed {
		report := quarantine.CrashReport{Endpoint: id, Contents: []quarantine.Hash{hash}, AtMillis: now.UnixMilli()}
		for _, to := range []*Daemon{d, owner, guard} {
			d.tell(to, func() { to.fatal.RecordCrash(report, d.world.clock.now) })
		}
		return
	}
	outcome := quarantine.OutcomeEnded
	if failure == nil {
		outcome = quarantine.OutcomeCompleted
	}
	release := quarantine.Release{Content: hash, Outcome: outcome}
	d.tell(owner, func() { owner.fatal.Release(release, d.world.clock.now) })
	if p.alone {
		p.alone = false
		d.tell(guard, func() { guard.fatal.Unreserve(id, hash) })
	}
}

// contentOf names a call's content; all fatal calls have the same one.
func contentOf(call *Call) request.Fingerprint {
	if call.Fatal {
		return request.Fingerprint{0xff}
	}
	var content request.Fingerprint
	hash := xxhash.Sum64String(string(call.Request.ID))
	for i := range 8 {
		content[i+1] = byte(hash >> (8 * i))
	}
	return content
}

func (w *World) endpointOwner(ep *snapshot.Endpoint) *Daemon {
	daemons := w.regions[ep.Region].daemons
	return daemons[xxhash.Sum64String(string(ep.ID))%uint64(len(daemons))]
}

// ResendToAll presents one fatal request to every daemon at once; its caller's
// first entry is the first daemon.
func (w *World) ResendToAll(deadline time.Duration) {
	all := w.everyDaemon()
	for _, d := range all {
		call := &Call{
			Fatal: true, Origin: d.Snapshot.Self.Region, first: all[0],
			Request: &request.Request{
				ID: types.RequestID("fatal-" + d.Snapshot.Self.Incarnation.String()), Service: w.service,
				Org: w.org("fatal"), Rank: types.RankUrgent, Arrived: w.clock.now,
				Deadline: w.clock.now.Add(deadline), Repeatable: true, OutputTokens: urgentTokens,
			},
		}
		w.Present(call, d)
	}
}

// Lost is the number of times that an engine went down.
func (w *World) Lost() int {
	lost := 0
	for _, e := range w.engines {
		lost += e.Crashes
	}
	return lost
}
