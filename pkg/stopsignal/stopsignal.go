// Package stopsignal receives the signals that stop the process.
package stopsignal

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// queued is the number of signals that wait to be counted; further ones are dropped.
const queued = 8

// Watch receives stop signals. It is safe for concurrent use.
type Watch struct {
	signals chan os.Signal
	stopped context.Context
	stop    context.CancelFunc
	ended   chan struct{}
	running conc.WaitGroup

	mu    sync.Mutex
	state State
}

// State is what a Watch has received.
type State struct {
	// First is the first signal; nil if there was none.
	First os.Signal
	// At is when the first signal was received.
	At time.Time
	// Count is the number of signals. It may be too low if many come at once.
	Count int
}

// Start receives the signals from now on, until Close.
func Start(signals ...os.Signal) *Watch {
	w := &Watch{signals: make(chan os.Signal, queued), ended: make(chan struct{})}
	w.stopped, w.stop = context.WithCancel(context.Background())
	signal.Notify(w.signals, signals...)
	w.running.Go(w.run)
	return w
}

// Stopped returns a context that ends with the first signal.
func (w *Watch) Stopped() context.Context {
	return w.stopped
}

// State returns what was received.
func (w *Watch) State() State {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state
}

// Close ends the watch: the signals have their default effect again.
func (w *Watch) Close() {
	signal.Stop(w.signals)
	close(w.ended)
	w.running.Wait()
	w.stop()
}

func (w *Watch) run() {
	for {
		select {
		case received := <-w.signals:
			w.record(received)
			w.stop()
		case <-w.ended:
			return
		}
	}
}

func (w *Watch) record(received os.Signal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state.First == nil {
		w.state.First, w.state.At = received, time.Now()
	}
	w.state.Count++
}
