package oncehistory

import "time"

// Scenario names one scheduled disturbance.
type Scenario string

// The scenarios whose cost is measured.
const (
	// ScenarioNone disturbs nothing.
	ScenarioNone Scenario = "undisturbed"
	// ScenarioCrash crashes one daemon of eight, which restarts after 5 s.
	ScenarioCrash Scenario = "one daemon crashes"
	// ScenarioRolling drains and restarts all daemons, one after the other.
	ScenarioRolling Scenario = "rolling restart of all"
	// ScenarioListChange drains one VM, takes it off the list and lists it
	// again under a new boot.
	ScenarioListChange Scenario = "the VM list changes"
	// ScenarioPartition cuts one region off for a minute, both ways.
	ScenarioPartition Scenario = "one region is cut off"
)

// Scenarios lists all scenarios.
func Scenarios() []Scenario {
	return []Scenario{ScenarioNone, ScenarioCrash, ScenarioRolling, ScenarioListChange, ScenarioPartition}
}

const (
	scenarioStart = warmUp + 20*time.Second
	restartAfter  = 5 * time.Second
	rollingGap    = 50 * time.Second
	cutLasts      = time.Minute
)

func (w *world) schedule() {
	if w.config.Faults.Every > 0 {
		w.after(warmUp, w.disturb)
	}
	w.after(scenarioStart, func() { w.begin(w.config.Scenario) })
}

func (w *world) begin(scenario Scenario) {
	switch scenario {
	case ScenarioCrash:
		w.replace(w.vms[0], restartAfter, false)
	case ScenarioRolling:
		for i, v := range w.vms {
			w.after(time.Duration(i)*rollingGap, func() { w.drain(v, false) })
		}
	case ScenarioListChange:
		w.drain(w.vms[0], true)
	case ScenarioPartition:
		w.cutRegion(0, true)
		w.after(cutLasts, func() { w.cutRegion(0, false) })
	}
}

// replace crashes the VM's daemon and starts another one later.
func (w *world) replace(v *vm, after time.Duration, delist bool) {
	w.crash(v)
	if delist {
		w.publish(v, false)
	}
	w.after(after, func() {
		if v.current == nil {
			w.boot(v)
			w.publish(v, true)
		}
	})
}

// drain lets the daemon leave in order: it refuses new tickets, stays until
// the ones that name it have expired, and goes when it runs nothing.
func (w *world) drain(v *vm, delist bool) {
	d := v.current
	if d == nil {
		return
	}
	next := *d.view
	next.Draining = true
	d.view = &next
	w.after(w.config.Linger, func() { w.leave(d, delist) })
}

func (w *world) leave(d *daemon, delist bool) {
	switch {
	case d.dead:
	case len(d.waiting) > 0:
		w.after(time.Second, func() { w.leave(d, delist) })
	default:
		w.replace(d.vm, restartAfter, delist)
	}
}

func (w *world) cutRegion(region int, cut bool) {
	for other := range regionCount {
		if other != region {
			w.cut[region][other] = cut
			w.cut[other][region] = cut
		}
	}
}

// stopWorkers takes some order workers down for a while.
func (w *world) stopWorkers(count int) {
	for _, i := range w.rng.Perm(len(w.workers))[:count] {
		worker := w.workers[i]
		worker.down = true
		w.after(w.between(time.Second, 8*time.Second), func() { worker.down = false })
	}
}

// disturb brings about one random fault and schedules the next.
func (w *world) disturb() {
	v := w.vms[w.rng.IntN(len(w.vms))]
	switch w.rng.IntN(7) {
	case 0:
		w.replace(v, w.between(0, 10*time.Second), w.chance(0.5))
	case 1, 2:
		if v.current != nil {
			v.current.pausedUntil = w.now.Add(w.between(100*time.Millisecond, 40*time.Second))
		}
	case 3:
		from, to := w.rng.IntN(regionCount), w.rng.IntN(regionCount)
		w.cut[from][to] = true
		w.after(w.between(time.Second, 10*time.Second), func() { w.cut[from][to] = false })
	case 4:
		w.drain(v, w.chance(0.5))
	case 5:
		w.stopWorkers(1 + w.rng.IntN(len(w.workers)))
	case 6:
		if v.current != nil {
			v.current.skew += w.between(-w.config.Faults.Skew, w.config.Faults.Skew)
		}
	}
	w.after(w.between(0, 2*w.config.Faults.Every), w.disturb)
}
