package main

import (
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/internal/fakenet"
)

// publishEvery is the time between two changes of 5,200 a day.
const publishEvery = 24 * time.Hour / 5200

// endpointsPerDaemon gives the fleet's 2,100 workers before 360 daemons.
const endpointsPerDaemon = 2100.0 / 360

// row is what one fleet size costs.
type row struct {
	daemons                 int
	sent, received          float64 // bytes a second and daemon, mean
	worst                   float64 // of the busiest daemon, both ways
	messages                float64 // requests a second and daemon
	cpu                     float64 // share of a core a daemon
	memory                  float64 // bytes a daemon
	configReads, configPeak float64 // a second, of the whole fleet
	listReads               float64 // a second, of the whole fleet
	publish                 spread  // seconds to the last daemon, 5% lost
	crash, pause, leave     away
	restart                 restart
}

// spread is the median and the largest of several trials, in seconds.
type spread struct{ median, worst float64 }

// away is how long a VM that is gone is still named, by its own region and by
// any daemon.
type away struct{ region, all spread }

// restart is what the restart of a whole data centre takes.
type restart struct {
	daemons     int
	seconds     float64 // until each of them is in service again
	configReads int
	peak        int     // most reads of the configuration service in a second
	received    float64 // bytes a daemon received meanwhile
}

func newNetwork(opts options, size int) (*fakenet.Network, error) {
	n := fakenet.New(fakenet.Options{
		Seed: opts.seed, Layout: fakenet.StandardLayout(size), Jitter: 2 * time.Millisecond,
		ListLag: 5 * time.Second, Endpoints: int(float64(size) * endpointsPerDaemon),
		Organisations: opts.organisations, Thinning: opts.thinning,
		Unchecked: true,
	})
	const warmUp = 2 * time.Minute
	n.Run(warmUp)
	return n, eris.Wrapf(n.Checker().Converged(), "%d daemons after %s", size, warmUp)
}

func measure(opts options, size int) (row, error) {
	runtime.GC()
	before := heap()
	n, err := newNetwork(opts, size)
	if err != nil {
		return row{}, err
	}
	r := row{daemons: size, memory: (heap() - before) / float64(size)}
	r.steady(n, opts)
	r.publishing(n, opts)
	r.crash = failures(n, opts, func(d *fakenet.Daemon) { d.Stop() })
	r.pause = failures(n, opts, func(d *fakenet.Daemon) { d.Pause(pauseLength) })
	r.leave = failures(n, opts, func(d *fakenet.Daemon) { d.Drain() })
	r.restart = restartDataCentre(n)
	return r, n.Failure()
}

// steady measures a time without faults, with the usual rate of changes.
func (r *row) steady(n *fakenet.Network, opts options) {
	start := totals(n)
	busiest := make([]int, len(n.Daemons))
	for i, d := range n.Daemons {
		busiest[i] = d.Stats.BytesSent + d.Stats.BytesReceived
	}
	configReads, listReads := n.Config.Reads, n.List.Reads
	n.Config.Peak = 0
	cpu, publishing := processorTime(), time.Duration(0)
	length := time.Duration(opts.steady) * time.Second
	for done := time.Duration(0); done < length; done += publishEvery {
		before := processorTime()
		n.Config.Publish()
		publishing += processorTime() - before
		n.Run(min(publishEvery, length-done))
	}
	share := (processorTime() - cpu - publishing).Seconds()
	seconds, daemons := length.Seconds(), float64(len(n.Daemons))
	end := totals(n)
	r.cpu = share / seconds / daemons
	r.sent = float64(end.BytesSent-start.BytesSent) / seconds / daemons
	r.received = float64(end.BytesReceived-start.BytesReceived) / seconds / daemons
	r.messages = float64(end.Messages-start.Messages) / seconds / daemons
	for i, d := range n.Daemons {
		both := d.Stats.BytesSent + d.Stats.BytesReceived - busiest[i]
		r.worst = max(r.worst, float64(both)/seconds)
	}
	r.configReads = float64(n.Config.Reads-configReads) / seconds
	r.configPeak = float64(n.Config.Peak)
	r.listReads = float64(n.List.Reads-listReads) / seconds
}

// publishing measures how long a change takes to the last daemon while 5 of 100
// messages are lost.
func (r *row) publishing(n *fakenet.Network, opts options) {
	const loss = 0.05
	n.SetLoss(loss)
	var seconds []float64
	for range opts.trials {
		revision := n.Config.Publish()
		took, _ := n.RunUntil(time.Minute, func() bool { return inForce(n) >= revision })
		seconds = append(seconds, took.Seconds())
		n.Run(publishEvery)
	}
	n.SetLoss(0)
	n.Run(30 * time.Second)
	r.publish = spreadOf(seconds)
}

func totals(n *fakenet.Network) fakenet.Stats {
	var sum fakenet.Stats
	for _, d := range n.Daemons {
		sum.BytesSent += d.Stats.BytesSent
		sum.BytesReceived += d.Stats.BytesReceived
		sum.Messages += d.Stats.Messages
	}
	return sum
}

func spreadOf(values []float64) spread {
	slices.Sort(values)
	return spread{median: values[len(values)/2], worst: values[len(values)-1]}
}

func heap() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// processorTime is the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
