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
	grace        = 4 * time.Second
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
	// store and callers are the links to the store and from callers.
	store   *link.Link
	callers *link.Link

	mu      sync.Mutex
	process *os.Process
	// starts counts the processes; ended is closed when the last one has ended.
	starts int
	ended  chan struct{}
	ending bool
	// told is true if the process was told to end; exits lists when others ended.
	told  bool
	exits []check.Span
	// run is the process's loop.
	run conc.WaitGroup
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
			MemoryBytes: memoryBytes, ConfigPropagationLimit: configWithin, EvacuationLimit: evacuateWithin, Grace: grace,
			Cold: balance.Bounds{ColdOvershoot: coldOvershoot, ColdSlack: coldSlack}, RetryRatio: budget.Ratio, RetrySlack: budget.Slack, RetryWindow: budget.Window,
		},
		Ready: d.readiness(), Directory: d.directory(), Store: d.store.Address(), Regions: dataCentres(),
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
			if !d.start(command) {
				return
			}
			_ = command.Wait() // how it ended is in its log
			close(d.ended)
			d.noteExit()
			time.Sleep(restartAfter)
		}
	})
}

// start starts the process unless the run is over.
func (d *daemon) start(command *exec.Cmd) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ending {
		return false
	}
	if err := command.Start(); err != nil {
		fmt.Fprintln(d.log, "soak: the daemon does not start:", err)
		return false
	}
	d.process, d.ended = command.Process, make(chan struct{})
	d.starts++
	d.told = false
	return true
}

// noteExit notes that the process ended if nobody told it to.
func (d *daemon) noteExit() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now := time.Now(); !d.told {
		d.exits = append(d.exits, check.Span{From: now, To: now, Daemon: d.name})
	}
}

// unasked returns when processes ended that nobody had told to.
func (d *daemon) unasked() []check.Span {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.exits)
}

// running returns the name and the number of the process that started last.
func (d *daemon) running() (string, int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process == nil {
		return "", 0
	}
	return check.ProcessName(d.name, d.starts), d.process.Pid
}

// stop asks the process to stop and returns what is closed when it has ended, nil
// without a process.
func (d *daemon) stop() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process == nil {
		return nil
	}
	_ = d.process.Signal(syscall.SIGTERM) // it may have ended by itself
	d.told = true
	return d.ended
}

// signal sends a signal to the process that this soak started last.
func (d *daemon) signal(signal syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil {
		_ = d.process.Signal(signal) // it may have ended by itself
		d.told = d.told || signal == syscall.SIGKILL
	}
}

// end kills the daemon for good.
func (d *daemon) end() {
	d.mu.Lock()
	d.ending = true
	d.mu.Unlock()
	d.signal(syscall.SIGCONT)
	d.signal(syscall.SIGKILL)
	d.run.Wait()
	d.store.Close()
	d.callers.Close()
	_ = d.log.Close() // its content is for readers only
}

// ready reports whether the daemon takes callers.
func (d *daemon) ready(ctx context.Context) bool {
	return standin.Ready(ctx, d.readiness())
}
