package main

import (
	"time"

	"github.com/flamingomount/flamingomount/internal/fakenet"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const (
	// pauseLength is how long a paused daemon stands still.
	pauseLength = 40 * time.Second
	// answerLimit bounds the wait until nobody names a VM.
	answerLimit = 60 * time.Second
	// recovery lets a VM return before the next trial.
	recovery = 40 * time.Second
)

// failures measures how long entries answers still name a VM after a failure.
// The VM list does not show the failure; a daemon that is down is started again
// after each trial.
func failures(n *fakenet.Network, opts options, fail func(*fakenet.Daemon)) away {
	var region, all []float64
	for trial := range opts.trials {
		d := n.Daemons[(trial*7919)%len(n.Daemons)]
		fail(d)
		inRegion, everywhere := timesUntilAway(n, d)
		region, all = append(region, inRegion), append(all, everywhere)
		n.Run(recovery)
		if !d.Up() || d.Draining() {
			d.Start()
			n.Run(recovery)
		}
	}
	return away{region: spreadOf(region), all: spreadOf(all)}
}

// timesUntilAway returns the seconds until no daemon of the VM's region, and
// until no daemon at all, names it.
func timesUntilAway(n *fakenet.Network, gone *fakenet.Daemon) (region, all float64) {
	start := n.Now()
	for n.Now().Sub(start) < answerLimit {
		n.Run(100 * time.Millisecond)
		elapsed := n.Now().Sub(start).Seconds()
		near, far := naming(n, gone)
		if near && elapsed > region {
			region = elapsed
		}
		if near || far {
			all = elapsed
			continue
		}
		return region, elapsed
	}
	return region, all
}

// naming reports whether a live daemon of the same region, or of another one,
// names the VM.
func naming(n *fakenet.Network, gone *fakenet.Daemon) (near, far bool) {
	for _, d := range n.Daemons {
		if d == gone || !d.Up() {
			continue
		}
		if (near && d.Region == gone.Region) || (far && d.Region != gone.Region) {
			continue
		}
		if !fakenet.Names(d, gone.VM) {
			continue
		}
		if d.Region == gone.Region {
			near = true
		} else {
			far = true
		}
	}
	return near, far
}

// restartDataCentre restarts every daemon of the largest data centre at once.
func restartDataCentre(n *fakenet.Network) restart {
	dc := largestDataCentre(n)
	n.Run(recovery)
	n.Config.Peak = 0
	reads := n.Config.Reads
	var group []*fakenet.Daemon
	received := 0
	for _, d := range n.Daemons {
		if d.DataCentre == dc {
			group = append(group, d)
			received += d.Stats.BytesReceived
			d.Start()
		}
	}
	took, _ := n.RunUntil(2*time.Minute, func() bool {
		for _, d := range group {
			if d.InForce() == 0 {
				return false
			}
		}
		return true
	})
	for _, d := range group {
		received -= d.Stats.BytesReceived
	}
	return restart{
		daemons: len(group), seconds: took.Seconds(), configReads: n.Config.Reads - reads,
		peak: n.Config.Peak, received: float64(-received) / float64(len(group)),
	}
}

func largestDataCentre(n *fakenet.Network) types.DataCentre {
	counts := map[types.DataCentre]int{}
	var largest types.DataCentre
	for _, d := range n.Daemons {
		counts[d.DataCentre]++
		if counts[d.DataCentre] > counts[largest] {
			largest = d.DataCentre
		}
	}
	return largest
}

// inForce returns the oldest revision in force in any live daemon.
func inForce(n *fakenet.Network) types.Revision {
	oldest := n.Config.Latest()
	for _, d := range n.Daemons {
		if d.Up() {
			oldest = min(oldest, d.InForce())
		}
	}
	return oldest
}
