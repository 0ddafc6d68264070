package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/flamingomount/flamingomount/pkg/standin/reply"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// maxLoads bounds the kept load reports.
const maxLoads = 1024

// loadReport is the engine's report of itself.
type loadReport struct {
	TakenAt   time.Time `json:"taken_at"`
	Running   int       `json:"running"`
	Queued    int       `json:"queued"`
	CacheUsed float64   `json:"cache_used"`
}

// noteLoad keeps a report, so that a lagging one can be served later.
func (e *Engine) noteLoad() {
	running, queued := e.queue.depth()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loads = append(e.loads, loadReport{
		TakenAt:   time.Now(),
		Running:   running,
		Queued:    queued,
		CacheUsed: e.cache.share(),
	})
	if len(e.loads) > maxLoads {
		e.loads = e.loads[len(e.loads)-maxLoads:]
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	e.noteLoad()
	e.mu.Lock()
	report := e.loads[0]
	latest := time.Now().Add(-e.opts.ReportLag)
	for _, kept := range e.loads {
		if kept.TakenAt.After(latest) && e.opts.ReportLag > 0 {
			break
		}
		report = kept
	}
	e.mu.Unlock()
	reply.JSON(w, report)
}

// eventsAnswer is the answer to a read of the cache events.
type eventsAnswer struct {
	Events []cacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	events := e.cache.since(after, time.Now(), e.opts.ReportLag, e.opts.DropEvents)
	next := e.cache.newest(time.Now(), e.opts.ReportLag)
	e.mu.Unlock()
	reply.JSON(w, eventsAnswer{Events: events, Next: next})
}

// Order asks an engine to load or unload a version or to change its role.
type Order struct {
	Kind    string             `json:"kind"`
	Model   types.ServiceName  `json:"model"`
	Version types.ModelVersion `json:"version"`
	Role    string             `json:"role"`
}

// OrderState is what the engine last did of its orders.
type OrderState struct {
	Model   types.ServiceName  `json:"model"`
	Version types.ModelVersion `json:"version"`
	Role    string             `json:"role"`
	Fencing uint64             `json:"fencing"`
}

// State returns what the engine last did of its orders.
func (e *Engine) State() OrderState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

func (e *Engine) serveOrderState(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	reply.JSON(w, e.State())
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var order Order
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&order)
	if err != nil {
		http.Error(w, "unreadable order", http.StatusBadRequest)
		return
	}
	fencing, err := strconv.ParseUint(r.Header.Get(types.HeaderFencing), 10, 64)
	if err != nil {
		http.Error(w, "missing fencing number", http.StatusBadRequest)
		return
	}
	state, accepted := e.apply(order, fencing)
	if !accepted {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	reply.JSON(w, state)
}

func (e *Engine) apply(order Order, fencing uint64) (OrderState, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.ChecksFencing && fencing < e.state.Fencing {
		return e.state, false
	}
	e.state.Fencing = fencing
	switch order.Kind {
	case "load":
		e.state.Model, e.state.Version = order.Model, order.Version
	case "unload":
		e.state.Model, e.state.Version = "", ""
	case "role":
		e.state.Role = order.Role
	}
	return e.state, true
}
