package world

import (
	"os"

	"github.com/flamingomount/flamingomount/tools/soak/link"
)

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
