package fakenet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/flamingomount/flamingomount/pkg/peer"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// HistoryOptions describe one random history.
type HistoryOptions struct {
	Seed uint64
	// Steps is how many events are handled under faults.
	Steps int
	// Daemons is the number of daemons; default 8, in three regions.
	Daemons int
	// Mutant and AcceptReplays plant a fault; see Options.
	Mutant        func(*peer.Message)
	AcceptReplays bool
}

// HistoryResult says what a history did.
type HistoryResult struct {
	Steps     int
	Revisions types.Revision
	Acts      map[string]int
	Accepted  int
	Refused   int
	Simulated time.Duration
}

const (
	// stepsPerAct is the mean number of events between two acts of the driver.
	stepsPerAct = 40
	// convergeWithin is how long daemons have once all faults are over.
	convergeWithin = 60 * time.Second
)

// RunHistory drives a network through random faults, checks every invariant
// after each event, then ends all faults and waits for convergence. The error
// names the first broken invariant.
func RunHistory(opts HistoryOptions) (HistoryResult, error) {
	if opts.Daemons == 0 {
		opts.Daemons = 8
	}
	n := New(Options{
		Seed: opts.Seed, Layout: StandardLayout(opts.Daemons), Loss: 0.05, Duplicate: 0.05,
		Jitter: 300 * time.Millisecond, ListLag: 4 * time.Second, Endpoints: 12,
		Mutant: opts.Mutant, AcceptReplays: opts.AcceptReplays,
	})
	h := &history{net: n, rng: rand.New(rand.NewPCG(opts.Seed, 3)), acts: map[string]int{}}
	for n.Steps() < opts.Steps && n.Failure() == nil {
		// With every daemon down nothing is left to happen but an act.
		if !n.Step() || h.rng.IntN(stepsPerAct) == 0 {
			h.act()
		}
	}
	err := n.Failure()
	if err == nil {
		err = h.finish()
	}
	return h.result(), err
}

// history is the driver of one run.
type history struct {
	net  *Network
	rng  *rand.Rand
	acts map[string]int
}

func (h *history) result() HistoryResult {
	result := HistoryResult{
		Steps: h.net.Steps(), Revisions: h.net.Config.Latest(), Acts: h.acts,
		Accepted: h.net.checker.Accepted, Simulated: h.net.now.Sub(epoch),
	}
	for _, d := range h.net.Daemons {
		result.Refused += d.Stats.Refused
	}
	return result
}

// act is one thing that the driver does.
func (h *history) act() {
	acts := []struct {
		name   string
		weight int
		do     func()
	}{
		{"publish", 10, func() { h.net.Config.Publish() }},
		{"service down", 2, func() { h.net.Config.Down = true }},
		{"service up", 4, func() { h.net.Config.Down = false }},
		{"service stale", 4, func() { h.net.Config.SetStale(true) }},
		{"service fresh", 3, func() { h.net.Config.SetStale(false) }},
		{"list down", 1, func() { h.net.List.Down = true }},
		{"list up", 3, func() { h.net.List.Down = false }},
		{"restart", 4, h.restart},
		{"restart all", 1, h.restartRegion},
		{"crash", 3, func() { h.daemon().Stop() }},
		{"start", 6, h.start},
		{"drain", 3, h.drain},
		{"pause", 4, h.pause},
		{"cut one way", 4, h.cut},
		{"cut region", 2, func() { h.net.CutRegion(h.daemon().Region, true) }},
		{"heal", 3, h.heal},
		{"replay", 8, h.net.Replay},
		{"forge", 8, h.net.Forge},
	}
	total := 0
	for _, a := range acts {
		total += a.weight
	}
	pick := h.rng.IntN(total)
	for _, a := range acts {
		if pick -= a.weight; pick < 0 {
			h.acts[a.name]++
			a.do()
			return
		}
	}
}

func (h *history) daemon() *Daemon {
	return h.net.Daemons[h.rng.IntN(len(h.net.Daemons))]
}

func (h *history) restart() {
	if d := h.daemon(); d.up && !d.draining {
		d.Start()
	}
}

func (h *history) restartRegion() {
	region := h.daemon().Region
	for _, d := range h.net.Daemons {
		if d.Region == region && d.up && !d.draining {
			d.Start()
		}
	}
}

func (h *history) start() {
	if d := h.daemon(); !d.up {
		d.Start()
		h.net.List.List(d, false)
	}
}

// drain makes a daemon leave; the platform lists it late, and its process ends
// after a while.
func (h *history) drain() {
	d := h.daemon()
	if !d.up || d.draining || d.Paused() {
		return
	}
	d.Drain()
	h.net.List.List(d, true)
	incarnation := d.incarnation
	h.net.after(time.Duration(1+h.rng.IntN(10))*time.Second, func() {
		if d.is(incarnation) {
			d.Stop()
			h.net.List.Remove(d)
		}
	})
}

func (h *history) pause() {
	if d := h.daemon(); d.up {
		d.Pause(time.Duration(500+h.rng.IntN(15000)) * time.Millisecond)
	}
}

func (h *history) cut() {
	h.net.Cut(h.daemon().VM, h.daemon().VM, true)
}

func (h *history) heal() {
	h.net.cut = map[cutKey]bool{}
}

// finish ends every fault, brings every daemon back and waits for convergence.
func (h *history) finish() error {
	n := h.net
	n.Heal()
	n.Config.Down, n.List.Down = false, false
	n.Config.SetStale(false)
	n.Run(30 * time.Second) // drains end, pauses end
	for _, d := range n.Daemons {
		if !d.up {
			d.Start()
		}
		n.List.List(d, false)
	}
	n.Config.Publish()
	converged := func() bool { return n.Failure() != nil || n.checker.Converged() == nil }
	_, ok := n.RunUntil(convergeWithin, converged)
	if err := n.Failure(); err != nil {
		return err
	}
	if !ok {
		return fmt.Errorf("not converged %s after the last fault: %w", convergeWithin, n.checker.Converged())
	}
	return nil
}
