// Package stopsignal receives the signals that stop the process, and tells by when a
// signal had not been sent: a process that was stopped or starved receives it late.
package stopsignal

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/suspension"
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
	// Began is the last moment by which the first signal had not been sent, in time that
	// counts the suspension of the VM.
	Began time.Time
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

// Age returns the longest time that may have passed since the first signal was sent;
// zero if there was none.
func (w *Watch) Age() time.Duration {
	return w.State().Age()
}

// Age returns the longest time that may have passed since the first signal was sent;
// zero if there was none.
func (s State) Age() time.Duration {
	if s.First == nil {
		return 0
	}
	return now().Sub(s.Began)
}

// now returns the time, including that for which the VM was suspended.
func now() time.Time {
	return time.Now().Add(suspension.Total())
}

// Close ends the watch: the signals have their default effect again.
func (w *Watch) Close() {
	signal.Stop(w.signals)
	close(w.ended)
	w.running.Wait()
	w.stop()
}

func (w *Watch) run() {
	noSignal := newQuiet(now())
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case received := <-w.signals:
			w.record(received, noSignal.proven)
			ticker.Stop()
		case <-ticker.C:
			// The time is read first: a signal may come while the channel is looked at.
			if at := now(); len(w.signals) == 0 {
				noSignal.check(at)
			}
		case <-w.ended:
			return
		}
	}
}

// record counts a signal before which there was none until a time.
func (w *Watch) record(received os.Signal, began time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state.First == nil {
		w.state.First, w.state.Began = received, began
		w.stop()
	}
	w.state.Count++
}
