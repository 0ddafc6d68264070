package oncehistory

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/once"
	"github.com/flamingomount/flamingomount/pkg/control/ticket"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	attemptTimeout = 2 * time.Second
	forwardTimeout = 5 * time.Second
	refreshEvery   = 500 * time.Millisecond
	suspectAfter   = 3 * time.Second
	orgName        = types.OrgName("coop")
)

var orderService = &published.Service{
	Name: "orders", Kind: published.KindPlain, Regions: []types.Region{"r0", "r1", "r2"},
}

// decider decides what a daemon does with a received order.
type decider interface {
	Begin(now time.Time, order once.RequestInfo, view *snapshot.Snapshot) once.Decision
	Finish(now time.Time, id ticket.ID, outcome once.Outcome)
	Len() int
	ResponseBytes() int
}

var _ decider = (*once.Ledger)(nil)

// daemon is one incarnation.
type daemon struct {
	w           *world
	vm          *vm
	self        types.Incarnation
	ledger      decider
	view        *snapshot.Snapshot
	heard       map[types.VMID]time.Time
	skew        time.Duration
	dead        bool
	pausedUntil time.Time
	waiting     map[ticket.ID][]func(answer)
}

// message is one send of an order.
type message struct {
	key     key
	order   int
	path    []types.Incarnation
	respond func(answer)
}

func vmID(index int) types.VMID          { return types.VMID("10.0.0." + strconv.Itoa(index) + ":7000") }
func regionName(region int) types.Region { return types.Region("r" + strconv.Itoa(region)) }

// boot starts a new incarnation with an empty memory.
func (w *world) boot(v *vm) {
	v.boots++
	d := &daemon{
		w: w, vm: v, heard: make(map[types.VMID]time.Time), waiting: make(map[ticket.ID][]func(answer)),
		self: types.Incarnation{VM: vmID(v.index), Boot: types.BootID(fmt.Sprintf("b%d", v.boots))},
	}
	if limit := w.config.Faults.Skew; limit > 0 {
		d.skew = w.between(-limit, limit)
	}
	d.view = &snapshot.Snapshot{Self: snapshot.Self{Incarnation: d.self, Region: regionName(v.region)}}
	d.ledger = w.newLedger(d)
	v.current = d
	d.refresh()
}

func (w *world) crash(v *vm) {
	if v.current != nil {
		v.current.dead = true
		v.current = nil
	}
}

func (d *daemon) clock() time.Time { return d.w.now.Add(d.skew) }

// refresh takes in what this daemon hears of the others, and goes on doing so.
func (d *daemon) refresh() {
	d.refreshNow()
	d.w.after(d.w.between(refreshEvery/2, refreshEvery*3/2), func() { d.w.on(d, d.refresh) })
}

func (d *daemon) refreshNow() {
	next := *d.view
	next.Members = nil
	for _, other := range d.w.vms {
		if other != d.vm && other.boots > 0 {
			next.Members = append(next.Members, d.member(other))
		}
	}
	d.view = &next
}

func (d *daemon) member(other *vm) snapshot.Member {
	id := vmID(other.index)
	member := snapshot.Member{Incarnation: types.Incarnation{VM: id}, State: snapshot.MemberListed}
	for _, known := range d.view.Members {
		if known.Incarnation.VM == id {
			member = known
		}
	}
	member.Region = regionName(other.region)
	reachable := !d.w.cut[other.region][d.vm.region] && !d.w.chance(d.w.config.Faults.ListLate)
	if peer := other.current; peer != nil && reachable && !d.w.now.Before(peer.pausedUntil) {
		d.heard[id] = d.w.now
		member.Incarnation, member.State = peer.self, snapshot.MemberAlive
		if peer.view.Draining {
			member.State = snapshot.MemberLeaving
		}
	}
	if member.State == snapshot.MemberAlive && d.w.now.Sub(d.heard[id]) > suspectAfter {
		member.State = snapshot.MemberSuspect
	}
	return member
}

// newID draws a ticket ID.
func (w *world) newID() ticket.ID {
	var id ticket.ID
	binary.BigEndian.PutUint64(id[:8], w.rng.Uint64())
	binary.BigEndian.PutUint64(id[8:], w.rng.Uint64())
	return id
}

// issue returns a fresh ticket; empty when no owner is known.
func (d *daemon) issue() string {
	id := d.w.newID()
	owner, ok := once.OwnerFor(id, orderService, d.view)
	if !ok {
		return ""
	}
	issuer := ticket.Issuer{Keyring: d.w.keyring, Self: d.self}
	text, err := issuer.Issue(d.clock(), ticket.Request{ID: id, Org: orgName, Owner: owner})
	if err != nil {
		return ""
	}
	return text
}

// handle takes in one send of an order.
func (d *daemon) handle(m message) {
	if len(m.path) > 1 {
		d.w.check.fail(RuleLoop, fmt.Sprintf("order %d passed %v", m.order, m.path))
		return
	}
	decision := d.ledger.Begin(d.clock(), d.w.orderOf(d, m), d.view)
	d.checkBounds()
	switch decision.Action {
	case once.ActionRun:
		d.waiting[decision.ID] = append(d.waiting[decision.ID], m.respond)
		d.checkOwner(m)
		d.attempt(m, decision.ID, d.w.workersFor(d.vm.region))
	case once.ActionWait:
		d.waiting[decision.ID] = append(d.waiting[decision.ID], m.respond)
	case once.ActionForward:
		d.forward(m, decision.Owner)
	default:
		m.respond(d.answerOf(decision))
	}
}

func (d *daemon) checkBounds() {
	bounds := d.w.config.Ledger.WithDefaults()
	if d.ledger.Len() > bounds.MaxRecords || d.ledger.ResponseBytes() > bounds.MaxResponseBytes {
		d.w.check.fail(RuleMemory, fmt.Sprintf("%d records, %d bytes", d.ledger.Len(), d.ledger.ResponseBytes()))
	}
}

func (d *daemon) checkOwner(m message) {
	if d.w.config.Way != WayTicket || d.w.config.OutcomesOnly {
		return
	}
	claims, err := d.w.keyring.Verify(string(m.key))
	switch {
	case err != nil:
		d.w.check.fail(RuleBare, string(m.key))
	case claims.Owner != d.self:
		d.w.check.fail(RuleOwner, fmt.Sprintf("%s ran order %d of %s", d.self, m.order, claims.Owner))
	}
}

func (d *daemon) answerOf(decision once.Decision) answer {
	if decision.Response != nil {
		return answer{verdict: types.Ran, body: string(decision.Response.Body)}
	}
	a := answer{verdict: decision.Failure.Verdict, code: decision.Failure.Code}
	if decision.Reissue {
		a.ticket = d.issue()
	}
	return a
}

// forward sends the order to its owner, once, and passes on the answer.
func (d *daemon) forward(m message, owner types.Incarnation) {
	answered := false
	respond := func(a answer) {
		d.w.on(d, func() {
			if !answered {
				answered = true
				m.respond(a)
			}
		})
	}
	unknown := answer{verdict: types.MayHaveRun, code: types.CodeOwnerUnknown}
	path := append(append([]types.Incarnation(nil), m.path...), d.self)
	d.w.toDaemon(d.vm.region, indexOf(owner.VM), true, func(peer *daemon) {
		back := func(a answer) { d.w.transmit(peer.vm.region, d.vm.region, false, func() { respond(a) }) }
		peer.handle(message{key: m.key, order: m.order, path: path, respond: back})
	}, func() { respond(unknown) })
	d.w.after(forwardTimeout, func() { respond(unknown) })
}

func indexOf(id types.VMID) int {
	var index int
	_, _ = fmt.Sscanf(string(id), "10.0.0.%d:7000", &index)
	return index
}

// attempt tries the workers in turn for as long as they refuse to connect.
func (d *daemon) attempt(m message, id ticket.ID, workers []*worker) {
	if len(workers) == 0 {
		failure := types.NewFailure(types.NotRun, types.CodeNoEndpoint, "no order worker")
		d.finish(id, once.Outcome{Verdict: types.NotRun, Failure: failure})
		return
	}
	done := false
	end := func(then func()) func() {
		return func() {
			d.w.on(d, func() {
				if !done {
					done = true
					then()
				}
			})
		}
	}
	answered := func(body string) {
		end(func() {
			d.finish(id, once.Outcome{Verdict: types.Ran, Response: &once.Response{Status: 200, Body: []byte(body)}})
		})()
	}
	d.w.work(d.vm.region, workers[0], m.key, m.order, answered, end(func() { d.attempt(m, id, workers[1:]) }))
	d.w.after(attemptTimeout, end(func() { d.timedOut(m, id, workers[0]) }))
}

func (d *daemon) timedOut(m message, id ticket.ID, used *worker) {
	if d.w.config.Mutant == MutantTransportReplay {
		d.w.work(d.vm.region, used, m.key, m.order, func(string) {}, func() {})
	}
	failure := types.NewFailure(types.MayHaveRun, types.CodeEndpointFailed, "no answer")
	d.finish(id, once.Outcome{Verdict: types.MayHaveRun, Failure: failure})
}

// finish ends the run and answers everyone who waits for it.
func (d *daemon) finish(id ticket.ID, outcome once.Outcome) {
	d.ledger.Finish(d.clock(), id, outcome)
	d.checkBounds()
	for _, respond := range d.waiting[id] {
		respond(d.answerOf(outcome.Decision(id, 0)))
	}
	delete(d.waiting, id)
}

// workersFor lists the order workers, those of the region first.
func (w *world) workersFor(region int) []*worker {
	var near, far []*worker
	for _, worker := range w.workers {
		if worker.region == region {
			near = append(near, worker)
			continue
		}
		far = append(far, worker)
	}
	return append(near, far...)
}
