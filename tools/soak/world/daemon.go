package world

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/platform/standin"
	"github.com/flamingomount/flamingomount/platform/wire"
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
	graceS       = 4.0
	configWithin = 3 * time.Second
	memoryMB     = 284
)

// restartAfter is the delay before a daemon that ended starts again.
const restartAfter = 300 * time.Millisecond

// daemon is one process of the gateway, restarted whenever it ends.
type daemon struct {
	name   string
	region string
	ip     string
	binary string
	file   string
	log    *os.File
	// store and callers are the links to the store and from callers.
	store   *link.Link
	callers *link.Link

	mu      sync.Mutex
	process *os.Process
	ending  bool
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

func (d *daemon) control() string {
	return fmt.Sprintf("%s:%d", d.ip, controlPort)
}

// settings writes the daemon's settings file.
func (d *daemon) settings(dir string, zones map[string]string, seeds []string) error {
	settings := wire.Settings{
		Node: d.name, Zone: d.region + zoneSuffix, Region: d.region, Seeds: seeds, Zones: zones,
		Listen: wire.Listen{
			Front: d.front(), Ready: fmt.Sprintf("%s:%d", d.ip, readyPort),
			Control: d.control(), Directory: d.directory(),
		},
		Limits: wire.Limits{MemoryMB: memoryMB},
		Bounds: wire.Bounds{
			GraceS: graceS, ConfigMS: float64(configWithin.Milliseconds()), RetryBudgetRatio: 0.2, BudgetSlack: 56,
			ColdOvershoot: 1.5, ColdSlack: 3, DirectoryTTLS: 5,
		},
		Provider: wire.Provider{Address: d.store.Address()},
	}
	text, err := toml.Marshal(settings)
	if err != nil {
		return err
	}
	d.file = filepath.Join(dir, d.name+".toml")
	return os.WriteFile(d.file, text, 0o600)
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
	d.process = command.Process
	return true
}

// signal sends a signal to the process that this soak started last.
func (d *daemon) signal(signal syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil {
		_ = d.process.Signal(signal) // it may have ended by itself
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
	return standin.Ready(ctx, fmt.Sprintf("%s:%d", d.ip, readyPort))
}
