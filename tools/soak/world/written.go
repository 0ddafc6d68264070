package world

import (
	"maps"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
	"github.com/flamingomount/flamingomount/platform/standin"
	"github.com/flamingomount/flamingomount/tools/soak/check"
	"github.com/flamingomount/flamingomount/tools/soak/plan"
)

// state is what the store says of an endpoint.
type state uint8

// States of endpoints in the store.
const (
	ready state = iota
	draining
	absent
)

// told is what an endpoint has written last, and when.
type told struct {
	one   *endpoint
	state state
	at    time.Time
}

// operatorConfig is the configuration that was published last, and when.
type operatorConfig struct {
	config *catalog.Config
	at     time.Time
}

// evacuation tells whether a data centre is evacuated, and since when that holds.
type evacuation struct {
	on bool
	at time.Time
}

// awaitStore waits until the store takes what is written, in runs that write while it is
// away. In other runs it takes everything at once.
func (w *World) awaitStore() {
	for (w.opts.Restarts || w.opts.Restored) && !w.store.Available() {
		time.Sleep(pollStore)
	}
}

// announce writes or removes an endpoint's entry.
func (w *World) announce(one *endpoint, to state) {
	w.awaitStore()
	w.mu.Lock()
	w.entries[one.id] = told{one, to, time.Now()}
	w.mu.Unlock()
	one.write(to)
}

func (e *endpoint) write(to state) {
	switch to {
	case ready:
		e.Publish()
	case draining:
		e.PublishDraining()
	case absent:
		e.Withdraw()
	}
}

// writeConfig writes a configuration and notes when it was acknowledged.
func (w *World) writeConfig(from time.Time, config *catalog.Config) {
	w.mu.Lock()
	w.latest = operatorConfig{config, from}
	w.mu.Unlock()
	w.store.PublishConfig(config)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.Markers = append(w.record.Markers, check.Marker{Version: config.Version, From: from, Acknowledged: time.Now()})
}

// setEvacuated writes or removes the evacuation of a data centre.
func (w *World) setEvacuated(dc types.DataCentre, on bool) {
	w.writing.Lock()
	defer w.writing.Unlock()
	w.awaitStore()
	w.mu.Lock()
	w.evacuated[dc] = evacuation{on, time.Now()}
	w.mu.Unlock()
	w.writeEvacuation(dc, on)
}

func (w *World) writeEvacuation(dc types.DataCentre, on bool) {
	if on {
		w.store.Evacuate(dc)
	} else {
		w.store.EndEvacuation(dc)
	}
}

// awaitEnd waits until the traffic of a run with a store that comes back from a copy ends.
func (w *World) awaitEnd() {
	if w.opts.Restored {
		<-w.traffic.Done()
	}
}

// storeAway lets the store be away for a while, unless it is away already. What happens
// at the end comes before it answers again.
func (w *World) storeAway(step plan.Step, length time.Duration, atEnd func()) bool {
	if !w.away.TryLock() {
		return false
	}
	defer w.away.Unlock()
	w.store.SetFault([]standin.Fault{standin.Unavailable, standin.RateLimited, standin.Unresponsive}[step.Variant%3])
	time.Sleep(length)
	atEnd()
	w.store.SetFault(standin.NoFault)
	return true
}

const (
	// minAway and maxAwayBeyond bound the time for which a store is away that comes back
	// from a copy, writtenWithin the time after which what was lost is written again.
	minAway       = 200 * time.Millisecond
	maxAwayBeyond = 1300 * time.Millisecond
	writtenWithin = 2 * time.Second
)

// restore takes a copy of the store's content, lets the store go away when the copy has
// reached its age, and come back with the content of the copy. Operator and endpoints
// write again what is lost; the entries of endpoints that are gone lapse again.
func (w *World) restore(step plan.Step) {
	taken, copied := time.Now(), w.store.Copy()
	time.Sleep(step.For)
	fault := check.Span{From: time.Now(), Elsewhere: true}
	away := minAway + maxAwayBeyond*time.Duration(step.Variant%16)/16
	comeBack := func() {
		w.cutStoreLinks()
		w.store.Restore(copied)
	}
	if !w.storeAway(step, away, comeBack) {
		return // another fault of the store is on
	}
	fault.To = time.Now()
	w.mu.Lock()
	w.record.Faults = append(w.record.Faults, fault)
	w.mu.Unlock()
	w.serving.Go(func() { w.writeAgain(taken, step) })
	w.serving.Go(w.lapseAgain)
}

// cutStoreLinks resets what daemons have open to the store.
func (w *World) cutStoreLinks() {
	for _, one := range w.daemons {
		one.store.Reset()
	}
}

// writeAgain writes what was written since a time again, each writer after a time of its
// own, the operator's records in their order.
func (w *World) writeAgain(since time.Time, step plan.Step) {
	w.mu.Lock()
	number := step.Variant
	for id, lost := range w.entries {
		if lost.at.Before(since) || lost.state == absent {
			continue
		}
		number++
		delay := writtenWithin * time.Duration(number%8) / 8
		w.serving.Go(func() {
			time.Sleep(delay)
			w.awaitStore()
			w.mu.Lock()
			last := w.entries[id]
			w.mu.Unlock()
			last.one.write(last.state)
		})
	}
	w.mu.Unlock()
	time.Sleep(writtenWithin * time.Duration(step.Variant/8%8) / 8)
	w.writing.Lock()
	defer w.writing.Unlock()
	w.awaitStore()
	w.mu.Lock()
	config, evacuated := w.latest, maps.Clone(w.evacuated)
	w.mu.Unlock()
	if !config.at.Before(since) {
		w.store.PublishConfig(config.config)
	}
	for dc, lost := range evacuated {
		if !lost.at.Before(since) {
			w.writeEvacuation(dc, lost.on)
		}
	}
}

// lapseAgain removes the entries of endpoints that are gone, which a copy has brought
// back, as the store does when nobody writes them.
func (w *World) lapseAgain() {
	time.Sleep(lapse)
	w.awaitStore()
	for _, id := range w.store.Endpoints() {
		w.mu.Lock()
		last := w.entries[id]
		w.mu.Unlock()
		if last.state == absent {
			last.one.Withdraw()
		}
	}
}
