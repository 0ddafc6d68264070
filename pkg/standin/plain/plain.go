// Package plain is a small stand-in for a plain service such as an order
// worker. It counts how often each idempotency key ran and can refuse, crash
// after running, or answer for another attempt on demand.
package plain

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/flamingomount/flamingomount/pkg/standin/reply"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// maxBodyBytes bounds the body of one order.
const maxBodyBytes = 1 << 20

// Fault is a fault that the worker shows on every call until it is changed.
type Fault int

// The faults.
const (
	// FaultNone: orders run and are answered.
	FaultNone Fault = iota
	// FaultRefuse: orders are refused with 503 and do not run.
	FaultRefuse
	// FaultLeaving: orders are refused with 503 and the sign of leaving.
	FaultLeaving
	// FaultRunThenCut: orders run, then the connection is cut.
	FaultRunThenCut
	// FaultCrossed: orders run, but the answer names another attempt.
	FaultCrossed
)

// Answer is the worker's answer.
type Answer struct {
	Key string `json:"key"`
	// Runs is how often this worker ran the key.
	Runs int `json:"runs"`
	// Echo is the order as received.
	Echo   string           `json:"echo"`
	Worker types.EndpointID `json:"worker"`
}

// Worker is the stand-in. All methods are safe for concurrent use.
type Worker struct {
	id types.EndpointID

	mu      sync.Mutex
	runs    map[string]int
	running int
	fault   Fault
	delay   time.Duration
}

var _ http.Handler = (*Worker)(nil)

// New returns a worker.
func New(id types.EndpointID) *Worker {
	return &Worker{id: id, runs: make(map[string]int)}
}

// SetFault sets the fault to show from now on.
func (w *Worker) SetFault(fault Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = fault
}

// SetDelay sets how long each order takes to run.
func (w *Worker) SetDelay(delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delay = delay
}

// Runs returns how often the key ran.
func (w *Worker) Runs(key string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[key]
}

// load is the worker's report of itself.
type load struct {
	TakenAt time.Time `json:"taken_at"`
	Running int       `json:"running"`
	Queued  int       `json:"queued"`
}

// ServeHTTP runs one order or reports the load.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/load" {
		w.mu.Lock()
		report := load{TakenAt: time.Now(), Running: w.running}
		w.mu.Unlock()
		reply.JSON(rw, report)
		return
	}
	rw.Header().Set(types.HeaderAttemptID, r.Header.Get(types.HeaderAttemptID))
	w.mu.Lock()
	fault, delay := w.fault, w.delay
	w.mu.Unlock()
	switch fault {
	case FaultLeaving:
		rw.Header().Set(types.HeaderLeaving, "true")
		http.Error(rw, "leaving", http.StatusServiceUnavailable)
		return
	case FaultRefuse:
		http.Error(rw, "refused", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(rw, "unreadable order", http.StatusBadRequest)
		return
	}
	answer := w.run(r.Header.Get(types.HeaderIdempotencyKey), body, delay)
	switch fault {
	case FaultRunThenCut:
		panic(http.ErrAbortHandler)
	case FaultCrossed:
		rw.Header().Set(types.HeaderAttemptID, "crossed")
	}
	reply.JSON(rw, answer)
}

func (w *Worker) run(key string, body []byte, delay time.Duration) Answer {
	w.mu.Lock()
	w.running++
	w.runs[key]++
	answer := Answer{Key: key, Runs: w.runs[key], Echo: string(body), Worker: w.id}
	w.mu.Unlock()
	time.Sleep(delay)
	w.mu.Lock()
	w.running--
	w.mu.Unlock()
	return answer
}
