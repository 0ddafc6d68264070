package world

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/flamingomount/flamingomount/tools/soak/check"
)

const (
	// longWait is the wait of one thread for a processor from which its process counts
	// as slowed.
	longWait = 500 * time.Millisecond
	// waitsInterval is the time between two looks at the threads.
	waitsInterval = 200 * time.Millisecond
)

// waits holds how long each thread of the daemons has waited for a processor since it
// began, by its file.
type waits map[string]time.Duration

// longest takes over a new reading and returns by how much the wait of a thread grew most.
func (w waits) longest(reading waits) time.Duration {
	most := time.Duration(0)
	for thread, wait := range reading {
		most = max(most, wait-w[thread])
		w[thread] = wait
	}
	return most
}

// watchProcessors notes when processes of the daemons wait long for a processor, until
// ctx ends. Where the kernel doesn't tell, it notes nothing.
func (w *World) watchProcessors(ctx context.Context) {
	known := make(map[string]waits)
	for ctx.Err() == nil {
		for name, pid := range w.processes() {
			if known[name] == nil {
				known[name] = make(waits)
			}
			if wait := known[name].longest(readWaits(pid)); wait >= longWait {
				w.noteSlowed(check.DaemonOf(name), wait)
			}
		}
		time.Sleep(waitsInterval)
	}
}

// noteSlowed notes a wait of a daemon that has just ended.
func (w *World) noteSlowed(daemon string, wait time.Duration) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.Slowed = append(w.record.Slowed, check.Span{From: now.Add(-wait), To: now, Daemon: daemon})
}

// readWaits asks the kernel how long each thread of a process has waited for a processor.
// Threads that end meanwhile are left out.
func readWaits(pid int) waits {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return nil
	}
	found := make(waits, len(files))
	for _, file := range files {
		told, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		if wait, ok := parseWait(string(told)); ok {
			found[file] = wait
		}
	}
	return found
}

// parseWait returns the time waited that a thread's statistics tell: the second number, in
// nanoseconds.
func parseWait(schedstat string) (time.Duration, bool) {
	fields := strings.Fields(schedstat)
	if len(fields) < 2 {
		return 0, false
	}
	nanoseconds, err := strconv.ParseInt(fields[1], 10, 64)
	return time.Duration(nanoseconds), err == nil
}
