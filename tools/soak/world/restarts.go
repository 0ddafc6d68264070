package world

import (
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/types"
	"github.com/flamingomount/flamingomount/platform/standin"
	"github.com/flamingomount/flamingomount/tools/soak/check"
	"github.com/flamingomount/flamingomount/tools/soak/plan"
)

// revived holds the services whose endpoints crash and start again, by a step's target.
var revived = []types.ServiceName{engines, engines, engines, desk}

// mostWriteDelay bounds the time between the start of an endpoint and its first entry.
const mostWriteDelay = 700 * time.Millisecond

// revive crashes up to half of a service's endpoints, and starts each again under its ID.
// Every other crash is silent: its connections end when the endpoint is back.
func (w *World) revive(step plan.Step) {
	silent := step.Variant%2 == 0
	candidates := w.endpointsOf(revived[step.Target%len(revived)])
	var away conc.WaitGroup
	for number := range min(1+step.Variant/2%2, (len(candidates)+1)/2) {
		one := candidates[(step.Variant/4+number)%len(candidates)]
		if w.takeOut(one, 0) {
			away.Go(func() { w.crashAndReturn(one, step, silent) })
		}
	}
	away.Wait()
}

// crashAndReturn crashes an endpoint that has been taken out, and starts it again.
func (w *World) crashAndReturn(one *endpoint, step plan.Step, silent bool) {
	fault := check.Span{From: time.Now(), Elsewhere: true}
	if silent {
		fault.Endpoint = one.id
	}
	one.end(silent)
	if step.For > lapse {
		time.Sleep(lapse)
		w.announce(one, absent)
	}
	time.Sleep(time.Until(fault.From.Add(step.For)))
	w.startAgain(one, step)
	fault.To = time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.Faults = append(w.record.Faults, fault)
}

// end ends an endpoint. A silent end comes to the link first, so that no connection tells
// of it.
func (e *endpoint) end(silent bool) {
	if silent {
		e.link.Down(true)
		e.Kill()
		return
	}
	e.Kill()
	e.link.Down(false)
}

// startAgain starts an endpoint that has ended again, under its ID and address. Its entry
// is written a little later, or once the store takes it.
func (w *World) startAgain(one *endpoint, step plan.Step) {
	again, cold, err := w.newEndpoint(one.id, one.service, one.region, false)
	if err != nil {
		return // one endpoint fewer for the rest
	}
	again.link = one.link
	w.enter(again, cold)
	if one.link.Up(again.Address()) != nil {
		w.remove(again)
		return
	}
	time.Sleep(mostWriteDelay * time.Duration(step.Variant%8) / 8)
	w.awaitStore()
	if w.isThere(again) {
		w.announce(again, ready)
	}
}

// isThere reports whether an endpoint has not ended nor begun to leave.
func (w *World) isThere(one *endpoint) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Contains(w.endpoints, one)
}

// takeOut removes an endpoint from those that are there, and reports whether it was there
// and at least so many others of its service and region stay.
func (w *World) takeOut(one *endpoint, others int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	stay := 0
	for _, other := range w.endpoints {
		if other != one && other.service == one.service && other.region == one.region {
			stay++
		}
	}
	if stay < others || !slices.Contains(w.endpoints, one) {
		return false
	}
	w.endpoints = slices.DeleteFunc(w.endpoints, func(other *endpoint) bool { return other == one })
	return true
}

// rejoin lets an endpoint leave as planned, and start again under its ID. Every other one
// says in its answers, too, that it leaves.
func (w *World) rejoin(step plan.Step) {
	candidates := w.endpointsOf(revived[step.Target%len(revived)])
	if len(candidates) == 0 {
		return
	}
	one := candidates[step.Variant/2%len(candidates)]
	if !w.takeOut(one, 1) {
		return
	}
	if step.Variant%2 == 0 {
		one.SetLeaving()
	}
	w.announce(one, draining)
	leaving := w.change(check.Change{What: "leaving of " + one.id, Within: drainWithin, Forbids: func(run standin.Run) bool {
		return run.Endpoint == one.id
	}})
	time.Sleep(lingerAfterDrain)
	w.announce(one, absent)
	one.end(false)
	time.Sleep(step.For)
	w.takenBack(leaving)
	w.startAgain(one, step)
}
