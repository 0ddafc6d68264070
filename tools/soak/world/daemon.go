package world

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/entry"
	"github.com/flamingomount/flamingomount/pkg/types"
	"github.com/flamingomount/flamingomount/platform/standin"
	"github.com/flamingomount/flamingomount/tools/soak/check"
	"github.com/flamingomount/flamingomount/tools/soak/link"
)

// Ports of every daemon on its own loopback address.
const (
	frontPort     = 8144
	readyPort     = 8140
	controlPort   = 8146
	directoryPort = 8143
)

// Bounds that the daemons are told.
const (
	usualGrace   = 4 * time.Second
	rollingGrace = 8 * time.Second
	configWithin = 3 * time.Second
	memoryBytes  = 284 << 20
)

// budget is the retry budget. Its fixed part is small, so that a service whose
// endpoints refuse soon reaches it.
var budget = check.Budget{Ratio: 0.2, Slack: 8, Window: 5 * time.Second}

// restartAfter is the delay before a daemon that ended starts again.
const restartAfter = 300 * time.Millisecond

// daemon is one process of the gateway, restarted whenever it ends.
type daemon struct {
	name   string
	region types.Region
	ip     string
	binary string
	file   string
	log    *os.File
	// grace is the time that it gets to stop, places its deployment's data centres.
	grace  time.Duration
	places map[types.DataCentre]types.Region
	// replace makes the supervisor start the next process while this one ends.
	replace chan struct{}
	// store and callers are the links to the store and from callers.
	store   *link.Link
	callers *link.Link

	mu sync.Mutex
	// current is the process that started last, live holds all that run.
	current *process
	live    map[*process]bool
	starts  int
	ending  bool
	// exits lists when processes ended that nobody had told to.
	exits []check.Span
	// killed is true from the kill of a process to the start of the next one, restarts
	// lists these starts.
	killed   bool
	restarts []check.Span
	// run is the process's loop.
	run conc.WaitGroup
}

// process is one start of a daemon.
type process struct {
	*os.Process
	name string
	// ended is closed when it has ended.
	ended chan struct{}
	// told is true if it was told to end, or started while the one before still had its
	// addresses.
	told bool
	// stopped is when it was first asked to stop; zero if it never was.
	stopped time.Time
}

// directory is the address that callers ask where to connect.
func (d *daemon) directory() string {
	return fmt.Sprintf("%s:%d", d.ip, directoryPort)
}

func (d *daemon) front() string {
	return fmt.Sprintf("%s:%d", d.ip, frontPort)
}

func (d *daemon) readiness() string {
	return fmt.Sprintf("%s:%d", d.ip, readyPort)
}

func (d *daemon) control() string {
	return fmt.Sprintf("%s:%d", d.ip, controlPort)
}

// settings writes the daemon's settings file.
func (d *daemon) settings(dir string, seeds []types.VMID) error {
	d.file = filepath.Join(dir, d.name+".toml")
	return standin.Settings{
		Settings: entry.Settings{
			Region: d.region, DataCentre: dataCentreOf(d.region), CallerAddress: d.front(), PeerAddress: d.control(), Seeds: seeds,
			MemoryBytes: memoryBytes, ConfigPropagationLimit: configWithin, EvacuationLimit: evacuateWithin, Grace: d.grace,
			Cold: balance.Bounds{ColdOvershoot: coldOvershoot, ColdSlack: coldSlack}, RetryRatio: budget.Ratio, RetrySlack: budget.Slack, RetryWindow: budget.Window,
		},
		Ready: d.readiness(), Directory: d.directory(), Store: d.store.Address(), Regions: d.places,
	}.Write(d.file)
}

// free reports an error when another process has the daemon's addresses: its
// answers would be taken for the daemon's.
func (d *daemon) free() error {
	for _, port := range []int{frontPort, readyPort, controlPort, directoryPort} {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", d.ip, port))
		if err != nil {
			return eris.Wrap(err, "another process has the daemon's address")
		}
		_ = listener.Close() // it was open until now
	}
	return nil
}

// keepRunning starts the daemon and starts it again until end is called.
func (d *daemon) keepRunning() {
	d.run.Go(func() {
		for {
			command := exec.Command(d.binary, "platform", "--settings", d.file)
			command.Stdout, command.Stderr = d.log, d.log
			// A soak that is killed leaves no daemons behind.
			command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
			one := d.start(command)
			if one == nil {
				return
			}
			d.run.Go(func() {
				_ = command.Wait() // how it ended is in its log
				d.noteExit(one)
				close(one.ended)
			})
			select {
			case <-one.ended:
				time.Sleep(restartAfter)
			case <-d.replace:
			}
		}
	})
}

// start starts a process unless the run is over.
func (d *daemon) start(command *exec.Cmd) *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ending {
		return nil
	}
	if err := command.Start(); err != nil {
		fmt.Fprintln(d.log, "soak: the daemon does not start:", err)
		return nil
	}
	d.starts++
	d.current = &process{
		Process: command.Process, name: check.ProcessName(d.name, d.starts), ended: make(chan struct{}), told: len(d.live) > 0,
	}
	d.live[d.current] = true
	if now := time.Now(); d.killed {
		d.killed = false
		d.restarts = append(d.restarts, check.Span{From: now, To: now, Daemon: d.name})
	}
	return d.current
}

// noteExit notes that a process ended, and when if nobody told it to.
func (d *daemon) noteExit(one *process) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.live, one)
	if now := time.Now(); !one.told {
		d.exits = append(d.exits, check.Span{From: now, To: now, Daemon: d.name})
	}
}

// unasked returns when processes ended that nobody had told to.
func (d *daemon) unasked() []check.Span {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.exits)
}

// startsAfterKills returns when processes started whose predecessors were killed.
func (d *daemon) startsAfterKills() []check.Span {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.restarts)
}

// running adds the names and numbers of the processes that run to found.
func (d *daemon) running(found map[string]int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for one := range d.live {
		found[one.name] = one.Pid
	}
}

// stop asks the process that started last to stop and returns it, nil if none runs, with
// the time at which it was first asked.
func (d *daemon) stop() (*process, time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.live[d.current] {
		return nil, time.Time{}
	}
	if d.current.stopped.IsZero() {
		d.current.stopped = time.Now()
	}
	_ = d.current.Signal(syscall.SIGTERM) // it may have ended by itself
	d.current.told = true
	return d.current, d.current.stopped
}

// signal sends a signal to the process that started last.
func (d *daemon) signal(signal syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current != nil {
		_ = d.current.Signal(signal) // it may have ended by itself
		d.current.told = d.current.told || signal == syscall.SIGKILL
		d.killed = d.killed || signal == syscall.SIGKILL && d.live[d.current]
	}
}

// latest returns the name of the process that started last; empty if it has ended.
func (d *daemon) latest() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.live[d.current] {
		return ""
	}
	return d.current.name
}

// startNext lets the supervisor start the next process now if the one before still ends.
func (d *daemon) startNext() {
	d.mu.Lock()
	stops := d.live[d.current] && !d.current.stopped.IsZero()
	d.mu.Unlock()
	if !stops {
		return
	}
	select {
	case d.replace <- struct{}{}:
	default: // it starts one already
	}
}

// end kills the daemon for good.
func (d *daemon) end() {
	d.mu.Lock()
	d.ending = true
	for one := range d.live {
		_ = one.Kill() // also when it is stopped; it may have ended by itself
	}
	d.mu.Unlock()
	d.run.Wait()
	d.store.Close()
	d.callers.Close()
	_ = d.log.Close() // its content is for readers only
}

// ready reports whether the daemon takes callers.
func (d *daemon) ready(ctx context.Context) bool {
	return standin.Ready(ctx, d.readiness())
}
