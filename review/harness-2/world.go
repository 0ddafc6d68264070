//go:build review2

package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/flamingomount/flamingomount/platform/standin"
	"github.com/flamingomount/flamingomount/platform/wire"
)

// host is the host name of all routes.
const host = "review.example"

// world is a small deployment on loopback.
type world struct {
	binary  string
	dir     string
	store   *standin.Store
	address string
	record  *record
	zones   map[string]string
	daemons []*daemon
	workers []*worker
}

// record is the file that gets what happened.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// newWorld starts the store.
func newWorld(binary, recordPath string, zones map[string]string) (*world, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &world{
		binary: binary, dir: dir, store: standin.NewStore(), address: listener.Addr().String(),
		record: &record{file: file, start: time.Now()}, zones: zones,
	}
	go func() { _ = http.Serve(listener, w.store) }()
	return w, nil
}

// end ends all processes and removes the folder.
func (w *world) end() {
	for _, d := range w.daemons {
		d.kill()
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.file.Close()
}

// daemon is one process of the gateway.
type daemon struct {
	world *world
	name  string
	zone  string
	ip    string
	file  string
	ports map[string]int
	// held keeps the ports free for the first start.
	held []net.Listener

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// limits are the limits and bounds of a machine's settings.
type limits struct {
	memoryMB int
	maxFDs   int
	// bounds replaces bounds of the settings, or adds some.
	bounds map[string]string
}

// usualLimits are those of a machine of the users' small deployments.
var usualLimits = limits{memoryMB: 284, maxFDs: 4100}

// usualBounds are the bounds of the users' small deployments, as lines of a settings file.
const usualBounds = `
retryBudgetRatio = 0.2
`

// boundsText returns the bounds as lines of the settings file.
func (l limits) boundsText() string {
	bounds := map[string]string{}
	for _, line := range strings.Split(strings.TrimSpace(usualBounds), "\n") {
		name, value, _ := strings.Cut(line, " = ")
		bounds[name] = value
	}
	maps.Copy(bounds, l.bounds)
	var lines strings.Builder
	for _, name := range slices.Sorted(maps.Keys(bounds)) {
		fmt.Fprintf(&lines, "%s = %s\n", name, bounds[name])
	}
	return lines.String()
}

// contracts returns the parts of the rules that are in force.
func (l limits) contracts() string {
	text := `"base","drain","config","cost","retry","recover","engine","stream","places","platform"`
	if l.bounds["strictRevoke"] != "" {
		text += `,"tenants","quota"`
	}
	return text
}

// metricsPort is the metrics port of the deploy file, the same for all daemons: each one has
// a loopback address of its own.
const metricsPort = 9464

// newDaemon returns a daemon that is not started yet. Its ports are held until it starts.
func (w *world) newDaemon(name, zone string) (*daemon, error) {
	d := &daemon{world: w, name: name, zone: zone, ports: map[string]int{}}
	for d.ip == "" {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250), 1+rand.IntN(250))
		if listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, metricsPort)); err == nil {
			d.ip, d.held = ip, append(d.held, listener)
		}
	}
	for _, port := range []string{"front", "ready", "control", "directory"} {
		listener, err := net.Listen("tcp", d.ip+":0")
		if err != nil {
			return nil, err
		}
		d.ports[port], d.held = listener.Addr().(*net.TCPAddr).Port, append(d.held, listener)
	}
	d.file = filepath.Join(w.dir, name+".toml")
	w.daemons = append(w.daemons, d)
	return d, nil
}

// addr returns one of the daemon's listen addresses.
func (d *daemon) addr(port string) string {
	return fmt.Sprintf("%s:%d", d.ip, d.ports[port])
}

// settings writes the settings file.
func (d *daemon) settings(l limits) error {
	var seeds []string
	for _, other := range d.world.daemons[:min(len(d.world.daemons), 3)] {
		seeds = append(seeds, fmt.Sprintf("%q", other.addr("control")))
	}
	var zones strings.Builder
	for zone, region := range d.world.zones {
		fmt.Fprintf(&zones, "%s = %q\n", zone, region)
	}
	text := fmt.Sprintf(`node = %q
role = "entry"
nodeClass = "front"
serves = ["front","control","directory"]
ip = %q
zone = %q
region = %q
portRange = [7660,7675]
seeds = [%s]
firstStart = true
inTolerance = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = [%s]

[zones]
%s
[listen]
front = %q
ready = %q
control = %q
directory = %q

[limits]
cpuShare = 0.4
cores = 1
memoryMb = %d
maxFds = %d
linkMbps = 1000.0
diskMb = 0

[faultTolerance]
machines = 2
zones = 1
regions = 1

[bounds]
%s
[provider]
address = %q
form = "read"
writesPerS = 400
readsPerS = 2000
retentionS = 20
maxValueBytes = 1048576
minTtlMs = 1000
`, d.name, d.ip, d.zone, d.world.zones[d.zone], strings.Join(seeds, ","), l.contracts(), zones.String(),
		d.addr("front"), d.addr("ready"), d.addr("control"), d.addr("directory"), l.memoryMB, l.maxFDs, l.boundsText(), d.world.address)
	return os.WriteFile(d.file, []byte(text), 0o600)
}

// start starts the process as the deploy file says.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(d.world.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(d.world.binary, "platform")
	command.Env = append(os.Environ(), "FLAMINGOMOUNT_SETTINGS="+d.file)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	for _, listener := range d.held {
		_ = listener.Close()
	}
	d.held = nil
	if err := command.Start(); err != nil {
		return err
	}
	d.command, d.ended = command, make(chan struct{})
	d.world.record.add("%s starts as process %d", d.name, command.Process.Pid)
	ended := d.ended
	go func() {
		_ = command.Wait()
		d.world.record.add("%s: process %d has ended: %v", d.name, command.Process.Pid, command.ProcessState)
		close(ended)
	}()
	return nil
}

// kill ends the process and waits for its end.
func (d *daemon) kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command == nil {
		return
	}
	_ = d.command.Process.Kill()
	<-d.ended
}

// running reports whether the process runs.
func (d *daemon) running() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.ended:
		return false
	default:
		return true
	}
}

// residentMB returns the resident memory of the process, in units of 2^20 bytes.
func (d *daemon) residentMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.command.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		var kb int
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
			return kb >> 10
		}
	}
	return 0
}

// settleTime is longer than contactMs of all cases: when traffic begins, the machines are in
// touch, and their start is no longer near.
const settleTime = 6500 * time.Millisecond

// startAll writes all settings, starts all daemons and waits until they are ready.
func (w *world) startAll(l limits) error {
	for _, d := range w.daemons {
		if err := d.settings(l); err != nil {
			return err
		}
	}
	for _, d := range w.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, d := range w.daemons {
		for !d.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(settleTime)
	return nil
}

func (d *daemon) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + d.addr("ready") + wire.ReadyPath)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// publish writes the operator's configuration.
func (w *world) publish(config wire.Config) {
	w.store.PutJSON(wire.ConfigKey, config)
}
