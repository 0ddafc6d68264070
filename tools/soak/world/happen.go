package world

import (
	"context"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/types"
	"github.com/flamingomount/flamingomount/platform/standin"
	"github.com/flamingomount/flamingomount/tools/soak/check"
	"github.com/flamingomount/flamingomount/tools/soak/link"
	"github.com/flamingomount/flamingomount/tools/soak/plan"
)

// Bounds on changes, as the platform's pages name them.
const (
	drainWithin    = 3 * time.Second
	evacuateWithin = 5 * time.Second
	// evacuateFor is long enough for the bound to be passed.
	evacuateFor = 8 * time.Second
	// lingerAfterLeave is how long an endpoint serves on after it has begun to say
	// that it leaves, and before its entry is removed.
	lingerAfterLeave = 7 * time.Second
	// lingerAfterDrain is how long an endpoint serves on after it was told to
	// leave.
	lingerAfterDrain = 5 * time.Second
)

// Run lets the plan happen under traffic, and returns what was seen.
func (w *World) Run(steps []plan.Step) *check.Record {
	traffic, stop := context.WithTimeout(context.Background(), w.opts.Length)
	defer stop()
	w.traffic = traffic
	var happening conc.WaitGroup
	started := time.Now()
	if w.opts.Homes {
		w.followers(traffic)
	} else {
		w.callers(traffic)
	}
	w.directCallers(traffic)
	if w.opts.Restored {
		w.probers(traffic)
	}
	if w.opts.Timed {
		w.serving.Go(func() { w.watchProcessors(traffic) })
	}
	var visiting conc.WaitGroup
	if w.opts.Rolling {
		w.visitors(traffic, &visiting)
	}
	for _, step := range steps {
		time.Sleep(time.Until(started.Add(step.At)))
		happening.Go(func() { w.happen(step) })
	}
	<-traffic.Done()
	happening.Wait()
	visiting.Wait()
	// Calls that have begun end within callWithin; late runs would show here.
	time.Sleep(callWithin)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.Calls, w.record.Runs, w.record.Arrivals = slices.Clone(w.calls), w.ledger.Runs(), w.ledger.Arrivals()
	w.record.Timed, w.record.Allowed, w.record.Services = w.opts.Timed, w.allowed, w.servicesOf
	w.record.Budget, w.record.Grace, w.record.ConfigWithin = budget, w.opts.grace(), configWithin
	w.record.DrainWithin, w.record.LeastServed = drainWithin, w.opts.leastServed()
	w.record.Homes, w.record.RegionOf = w.homesOf, make(map[string]types.Region)
	for _, one := range w.daemons {
		w.record.RegionOf[one.name] = one.region
		w.record.Exits = append(w.record.Exits, one.unasked()...)
		w.record.Restarts = append(w.record.Restarts, one.startsAfterKills()...)
	}
	w.record.RouteTimeout, w.record.MaxAttempts = w.opts.routeTimeout(), maxAttempts
	return &w.record
}

// servicesOf returns the services to which some configuration in force sent a
// call. It is asked after the run.
func (w *World) servicesOf(call check.Call) []types.ServiceName {
	switch {
	case strings.HasPrefix(call.Path, standin.StatusPath), call.Host == homesHost, call.Marker > 0:
		return []types.ServiceName{desk}
	case strings.HasPrefix(call.Path, standin.FetchPath):
		return []types.ServiceName{vault}
	case isLong(call.Path):
		return []types.ServiceName{library}
	case !strings.HasPrefix(call.Path, standin.OrderPath):
		return []types.ServiceName{engines}
	}
	var found []types.ServiceName
	for at, orders := range w.orders {
		last := at == len(w.orders)-1
		if orders.from.Before(call.Ended) && (last || call.Sent.Before(w.orders[at+1].from.Add(configWithin))) {
			found = append(found, orders.service)
		}
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// allowed reports whether some configuration of the run lets a run be.
func (w *World) allowed(run standin.Run) bool {
	switch {
	case strings.HasPrefix(run.Path, standin.OrderPath):
		return run.Service == desk || run.Service == annex
	case strings.HasPrefix(run.Path, standin.StatusPath), strings.HasPrefix(run.Path, markerPath):
		return run.Service == desk
	case strings.HasPrefix(run.Path, standin.FetchPath):
		return run.Service == vault
	case isLong(run.Path):
		return run.Service == library
	case w.homeRouteOf(run.Path) != nil:
		return run.Service == desk && w.homeRouteOf(run.Path).allows(w.placeOf[run.Endpoint])
	case strings.HasPrefix(run.Path, standin.ReportPath):
		return run.Service == engines && w.placeOf[run.Endpoint] == dataCentreOf(homeRegion)
	}
	return run.Service == engines
}

// happen lets one step happen and notes it.
func (w *World) happen(step plan.Step) {
	if step.Kind.Planned() {
		w.planned(step)
		return
	}
	if step.Kind == plan.Restore {
		w.restore(step)
		return
	}
	target := w.daemons[step.Target%len(w.daemons)]
	fault := check.Span{From: time.Now(), Daemon: target.name}
	switch step.Kind {
	case plan.Kill:
		target.signal(syscall.SIGKILL)
	case plan.KillAll:
		fault.Daemon = ""
		for _, one := range w.daemons {
			one.signal(syscall.SIGKILL)
		}
	case plan.Pause:
		fault.Frozen = true
		target.signal(syscall.SIGSTOP)
		time.Sleep(step.For)
		target.signal(syscall.SIGCONT)
	case plan.StoreLink:
		disturb(target.store, step)
	case plan.CallerLink:
		disturb(target.callers, step)
	default:
		fault.Daemon, fault.Elsewhere = "", true
		fault.Endpoint = w.faultElsewhere(step)
	}
	fault.To = time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.Faults = append(w.record.Faults, fault)
}

// faultElsewhere lets a fault of the store or of endpoints happen, and returns
// the endpoint whose link was disturbed, if one was.
func (w *World) faultElsewhere(step plan.Step) string {
	switch step.Kind {
	case plan.Revive:
		w.revive(step)
	case plan.StoreDown:
		w.storeAway(step, step.For, func() {})
	case plan.StoreForgets:
		w.store.DropHistory()
	case plan.Taint:
		w.tainted.Store(true)
	case plan.Burst:
		w.burst(step)
	case plan.Backoff:
		w.backoff(step)
	default:
		return w.endpointFault(step)
	}
	return ""
}

// OverHop is the target of a plan.Burst that concerns the service whose endpoints
// are all in one region, InEachRegion of one that concerns a service which every
// region has. Refusing and Dropping are variants of a burst.
const (
	OverHop      = 0
	InEachRegion = 3
	Refusing     = 0
	Dropping     = 1
)

var (
	burstTargets  = []types.ServiceName{OverHop: vault, vault, desk, InEachRegion: engines}
	burstVariants = []standin.Behaviour{
		Refusing: {RefuseEvery: 1}, Dropping: {DropEvery: 1}, {MisdirectEvery: 1}, {FailEvery: 1},
		{RefuseEvery: 2, MisdirectEvery: 3, DropEvery: 5},
	}
)

// burst lets every endpoint of a service turn all requests away for a while.
func (w *World) burst(step plan.Step) {
	service := burstTargets[step.Target%len(burstTargets)]
	behaviour := burstVariants[step.Variant%len(burstVariants)]
	behaviour.Delay = workTime
	w.behave(service, behaviour)
	time.Sleep(step.For)
	w.behave(service, standin.Behaviour{Delay: workTime})
}

// backoff lets an endpoint, or every other time all endpoints of its service, ask
// for a pause.
func (w *World) backoff(step plan.Step) {
	asking := []*endpoint{w.pick(step.Target)}
	if step.Variant%2 == 0 {
		asking = w.endpointsOf(asking[0].service)
	}
	for _, one := range asking {
		one.AskForPause(step.For)
	}
	time.Sleep(step.For)
}

// behave sets the behaviour of every endpoint of a service.
func (w *World) behave(service types.ServiceName, behaviour standin.Behaviour) {
	for _, one := range w.endpointsOf(service) {
		one.SetBehaviour(behaviour)
	}
}

// disturb sets one of a link's bad modes for a while.
func disturb(l *link.Link, step plan.Step) {
	bad := []link.Mode{link.Slow, link.OneWay, link.Silent, link.Refuse}
	l.Set(bad[step.Variant%len(bad)])
	time.Sleep(step.For)
	l.Set(link.Forward)
}

// endpointFault lets a fault of one endpoint happen, and returns the endpoint if
// its link was disturbed.
func (w *World) endpointFault(step plan.Step) string {
	one := w.pick(step.Target)
	switch step.Kind {
	case plan.Crash:
		w.crash(one, step.For)
	case plan.Misbehave:
		bad := []standin.Behaviour{
			{TruncateEvery: 3}, {DropEvery: 3}, {MislabelEvery: 3}, {FailEvery: 3}, {Delay: slowWork},
		}[step.Variant%5]
		bad.Delay = max(bad.Delay, workTime)
		one.SetBehaviour(bad)
		time.Sleep(step.For)
		one.SetBehaviour(standin.Behaviour{Delay: workTime})
	case plan.EndpointLink:
		disturb(one.link, step)
		return one.id
	}
	return ""
}

// crash ends an endpoint, and lets another one come for it after a while.
func (w *World) crash(one *endpoint, after time.Duration) {
	w.remove(one)
	one.Kill()
	time.Sleep(after)
	w.announce(one, absent)
	// An endpoint that can't listen again is one fewer for the rest.
	_, _ = w.addEndpoint(one.service, one.region)
}

// crashByPart lets an endpoint crash because of the deadly part of a prompt.
func (w *World) crashByPart(one *endpoint) {
	const away = time.Second
	fault := check.Span{From: time.Now(), Elsewhere: true}
	w.mu.Lock()
	w.record.Deadly = append(w.record.Deadly, fault.From)
	w.mu.Unlock()
	w.serving.Go(func() {
		w.crash(one, away)
		fault.To = time.Now()
		w.mu.Lock()
		defer w.mu.Unlock()
		w.record.Faults = append(w.record.Faults, fault)
	})
}

// planned lets planned work happen.
func (w *World) planned(step plan.Step) {
	target := w.daemons[step.Target%len(w.daemons)]
	switch step.Kind {
	case plan.Move:
		w.move(step)
	case plan.Evacuate:
		w.evacuate(step)
	case plan.Drain:
		w.drain(step)
	case plan.Leave:
		w.leave(step)
	case plan.Rejoin:
		w.rejoin(step)
	case plan.Stop:
		w.stop(target)
	case plan.Replace:
		time.AfterFunc(step.For, target.startNext)
		w.stop(target)
	case plan.Reload:
		from := time.Now()
		target.signal(syscall.SIGHUP)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.record.Reloads = append(w.record.Reloads, check.Span{From: from, To: from, Daemon: target.name})
	}
}

// stop asks a daemon to stop, ends it when the grace period is well over and notes how
// long it took, from the first time at which the process was asked.
func (w *World) stop(target *daemon) {
	told, from := target.stop()
	if told == nil {
		return
	}
	stop := check.Span{From: from, Daemon: target.name}
	select {
	case <-told.ended:
	case <-time.After(time.Until(from.Add(w.opts.grace() + time.Second))):
		_ = told.Kill() // it may have ended by itself
	}
	stop.To = time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.Stops = append(w.record.Stops, stop)
}

// change notes an acknowledged change and returns its place.
func (w *World) change(change check.Change) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	change.At = time.Now()
	w.record.Changes = append(w.record.Changes, change)
	return len(w.record.Changes) - 1
}

func (w *World) takenBack(at int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.Changes[at].Until = time.Now()
}

// move lets the orders go to one of the two services. The change holds until the
// next move.
func (w *World) move(step plan.Step) {
	to, other := desk, annex
	if step.Variant%2 == 0 {
		to, other = annex, desk
	}
	what := "orders moved to " + string(to)
	w.mu.Lock()
	for at := range w.record.Changes {
		if strings.HasPrefix(w.record.Changes[at].What, "orders moved") && w.record.Changes[at].Until.IsZero() {
			w.record.Changes[at].Until = time.Now()
		}
	}
	w.mu.Unlock()
	w.publish(to)
	w.change(check.Change{What: what, Within: configWithin, Forbids: func(run standin.Run) bool {
		return strings.HasPrefix(run.Path, standin.OrderPath) && run.Service == other
	}})
}

// evacuate takes the south out and back. Reports have one home only, the north,
// which stays. One evacuation of a data centre follows another.
func (w *World) evacuate(step plan.Step) {
	w.evacuating.Lock()
	defer w.evacuating.Unlock()
	south := dataCentreOf(regions[1])
	w.setEvacuated(south, true)
	at := w.change(check.Change{What: "evacuation of " + string(south), Within: evacuateWithin, Forbids: func(run standin.Run) bool {
		return w.placeOf[run.Endpoint] == south
	}})
	time.Sleep(evacuateFor)
	if step.Variant%2 == 0 {
		w.awaitEnd()
	}
	w.takenBack(at)
	w.setEvacuated(south, false)
}

// drain replaces an endpoint: the new one comes first.
func (w *World) drain(step plan.Step) {
	one := w.pick(step.Target)
	if _, err := w.addEndpoint(one.service, one.region); err != nil {
		return
	}
	w.remove(one)
	w.announce(one, draining)
	w.change(check.Change{What: "leaving of " + one.id, Within: drainWithin, Forbids: func(run standin.Run) bool {
		return run.Endpoint == one.id
	}})
	time.Sleep(lingerAfterDrain)
	w.announce(one, absent)
	w.awaitEnd()
	one.Kill()
}

// leave replaces an endpoint that says in its answers that it leaves. The store
// learns of it at the same time or only at the end.
func (w *World) leave(step plan.Step) {
	one := w.pick(step.Target)
	if _, err := w.addEndpoint(one.service, one.region); err != nil {
		return
	}
	w.remove(one)
	one.SetLeaving()
	if step.Variant%2 == 0 {
		w.announce(one, draining)
	}
	time.Sleep(lingerAfterLeave)
	w.announce(one, absent)
	time.Sleep(drainWithin + time.Second)
	one.Kill()
}
