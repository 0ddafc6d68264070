package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// deployCommand is the run line of deploy/system.toml.
var deployCommand = []string{"target/flamingomountd", "platform"}

// Ports of every daemon on a loopback address of its own.
const (
	readyPort     = 8140
	directoryPort = 8143
	frontPort     = 8144
	controlPort   = 8146
	metricsPort   = 9464
)

// memoryMB and graceS are the figures of the users' example of a settings file.
const (
	memoryMB = 284
	graceS   = 8
)

// daemon is one process of the system.
type daemon struct {
	node, zone, region, ip, file string
	log                          *os.File
	mu                           sync.Mutex
	process                      *exec.Cmd
	ended                        chan struct{}
}

// fleet is the daemons of a run.
type fleet struct {
	dir     string
	store   *store
	zones   map[string]string
	daemons []*daemon
}

// newFleet prepares one daemon for each of the zones listed.
func newFleet(dir string, s *store, regions map[string]string, zones ...string) (*fleet, error) {
	f := &fleet{dir: dir, store: s, zones: regions}
	var second int
	for try := 0; ; try++ {
		second = 20 + rand.IntN(200)
		if freeAddress(fmt.Sprintf("127.%d.77.1", second)) {
			break
		}
		if try > 50 {
			return nil, errors.New("no free loopback address")
		}
	}
	count := map[string]int{}
	for number, zone := range zones {
		count[zone]++
		d := &daemon{node: fmt.Sprintf("front-%s-%d", zone, count[zone]), zone: zone, region: regions[zone], ip: fmt.Sprintf("127.%d.77.%d", second, number+1)}
		if !freeAddress(d.ip) {
			return nil, errors.New("a loopback address is in use")
		}
		f.daemons = append(f.daemons, d)
	}
	for _, d := range f.daemons {
		if err := f.write(d); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func freeAddress(ip string) bool {
	for _, port := range []int{readyPort, directoryPort, frontPort, controlPort, metricsPort} {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// write writes the settings file in the platform's format.
func (f *fleet) write(d *daemon) error {
	var seeds, zones []string
	for _, one := range f.daemons[:min(len(f.daemons), 3)] {
		seeds = append(seeds, fmt.Sprintf("%q", one.at(controlPort)))
	}
	for zone, region := range f.zones {
		zones = append(zones, fmt.Sprintf("%s = %q", zone, region))
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
contracts = ["base","drain","config","cost","retry","recover","engine","stream","places","platform"]
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
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 1
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 5000
ackMs = 6000
catchUpS = 4
drainMs = 3000
graceS = %d
lossSlackMs = 200
configMs = 3000
rollbackSlackMs = 250
maxSkewMs = 8000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 56
coldOvershoot = 1.5
coldSlack = 3
evacuateMs = 5000
recoveryS = 12
eventDeadlineMs = 600
reuseWindowS = 10
ttl_max_s = 5
[provider]
address = %q
form = "read"
writesPerS = 400
readsPerS = 2000
retentionS = 20
maxValueBytes = 1048576
minTtlMs = 1000
`, d.node, d.ip, d.zone, d.region, strings.Join(seeds, ","), strings.Join(zones, "\n"),
		d.at(frontPort), d.at(readyPort), d.at(controlPort), d.at(directoryPort), memoryMB, graceS, f.store.address())
	d.file = filepath.Join(f.dir, d.node+".toml")
	return os.WriteFile(d.file, []byte(text), 0o600)
}

func (d *daemon) at(port int) string { return fmt.Sprintf("%s:%d", d.ip, port) }

// start starts the process with the command of the deploy file.
func (f *fleet) start(d *daemon) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.log == nil {
		var err error
		if d.log, err = os.Create(filepath.Join(f.dir, d.node+".log")); err != nil {
			return err
		}
	}
	command := exec.Command(deployCommand[0], deployCommand[1:]...)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FLAMINGOMOUNT_SETTINGS=" + d.file}
	command.Stdout, command.Stderr = d.log, d.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startProcess(command); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.process, d.ended = command, ended
	go func() { _ = command.Wait(); close(ended) }()
	return nil
}

// startAll starts all daemons and waits until each is ready.
func (f *fleet) startAll() error {
	for _, d := range f.daemons {
		if err := f.start(d); err != nil {
			return err
		}
	}
	for _, d := range f.daemons {
		if err := d.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (d *daemon) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.at(readyPort)+wire["ready"], nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (d *daemon) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.ready() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", d.node)
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil {
		_ = d.process.Process.Signal(s)
	}
}

// pid returns the number of the process.
func (d *daemon) pid() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.process.Process.Pid
}

// stopAll ends every process that the run started.
func (f *fleet) stopAll() {
	for _, d := range f.daemons {
		d.signal(syscall.SIGKILL)
		if d.ended != nil {
			<-d.ended
		}
	}
}
