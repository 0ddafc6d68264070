package world

import (
	"net/http"
	"os"
	"time"

	"github.com/flamingomount/flamingomount/pkg/types"
	"github.com/flamingomount/flamingomount/platform/standin"
	"github.com/flamingomount/flamingomount/tools/soak/link"
)

// NewRemovedEndpoint returns a world without daemons in which an endpoint has been added
// and removed again, and the endpoint's address.
func NewRemovedEndpoint() (w *World, address string, err error) {
	w = &World{store: standin.NewStore(), ledger: &standin.Ledger{}, placeOf: make(map[string]types.DataCentre)}
	w.entries, w.evacuated = make(map[string]told), make(map[types.DataCentre]evacuation)
	w.senders = senders{processes: w.processes, names: make(map[string]func() string)}
	w.storeHTTP = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}
	if err := w.reserve(); err != nil {
		return w, "", err
	}
	one, err := w.addEndpoint(desk, regions[0])
	if err != nil {
		return w, "", err
	}
	one.Kill()
	w.remove(one)
	return w, one.link.Address(), nil
}

// Supervised runs a program as a daemon is run, and returns how often it was started,
// what stops it, what starts the next process, and what ends it for good.
func Supervised(program string, log *os.File, store, callers *link.Link) (starts func() int, stop, next, end func()) {
	d := &daemon{binary: program, log: log, store: store, callers: callers, replace: make(chan struct{}), live: make(map[*process]bool)}
	d.keepRunning()
	starts = func() int {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.starts
	}
	return starts, func() { d.stop() }, d.startNext, d.end
}

// Waits returns what takes readings of the waits of threads one after the other.
func Waits() func(reading map[string]time.Duration) time.Duration {
	known := make(waits)
	return func(reading map[string]time.Duration) time.Duration { return known.longest(reading) }
}

// ParseWait parses the statistics of a thread.
func ParseWait(schedstat string) (time.Duration, bool) {
	return parseWait(schedstat)
}

// ReadWaits asks the kernel for the waits of a process.
func ReadWaits(pid int) map[string]time.Duration {
	return readWaits(pid)
}
