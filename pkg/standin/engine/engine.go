// Package engine is a small stand-in for a model engine with the contract of
// docs/ENDPOINTS.md: it batches by rank, caches prompt prefixes in limited
// memory, streams, resumes and cancels, reports its load late and its cache
// events late and with gaps, and takes orders. Faults are shown on demand.
package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// Defaults of Options.
const (
	DefaultSlots         = 8
	DefaultCacheBlocks   = 1024
	DefaultTokenInterval = 2 * time.Millisecond
	DefaultBlockPrefill  = time.Millisecond
)

// CrashMark makes the engine crash when a prompt contains it and
// Options.CrashOnMark is set.
const CrashMark = "##crash##"

// Options describes one engine. Zero values mean the defaults.
type Options struct {
	ID      types.EndpointID
	Model   types.ServiceName
	Version types.ModelVersion
	// Slots is how many requests run at once.
	Slots int
	// CacheBlocks bounds the prefix cache, in blocks of the prompt.
	CacheBlocks int
	// TokenInterval is the time between tokens.
	TokenInterval time.Duration
	// BlockPrefill is the time to read one uncached block of the prompt.
	BlockPrefill time.Duration
	// ReportLag is the age of the load and cache events that are served.
	ReportLag time.Duration
	// DropEvents leaves out each n-th cache event; zero leaves out none.
	DropEvents int
	// CanResume is true when the engine resumes streams.
	CanResume bool
	// ChecksFencing is true when old fencing numbers are refused.
	ChecksFencing bool
	// CrashOnMark is true when prompts with CrashMark crash the engine.
	CrashOnMark bool
}

func (o Options) withDefaults() Options {
	if o.Slots == 0 {
		o.Slots = DefaultSlots
	}
	if o.CacheBlocks == 0 {
		o.CacheBlocks = DefaultCacheBlocks
	}
	if o.TokenInterval == 0 {
		o.TokenInterval = DefaultTokenInterval
	}
	if o.BlockPrefill == 0 {
		o.BlockPrefill = DefaultBlockPrefill
	}
	return o
}

// Fault is a fault shown on every answer until it is changed.
type Fault int

// The faults.
const (
	// FaultNone shows no fault.
	FaultNone Fault = iota
	// FaultCrossed answers with another attempt's ID.
	FaultCrossed
	// FaultTruncated ends answers half way, as if they were whole.
	FaultTruncated
	// FaultGarbage answers with something that is not JSON.
	FaultGarbage
	// FaultHang accepts requests and never answers.
	FaultHang
	// FaultCut cuts the connection half way through the answer.
	FaultCut
)

// Engine is the stand-in. All methods are safe for concurrent use.
type Engine struct {
	opts   Options
	router *httprouter.Router
	queue  *slotQueue

	mu      sync.Mutex
	fault   Fault
	leaving bool
	dead    chan struct{}
	isDead  bool
	served  map[types.RequestID]int
	cache   *prefixCache
	loads   []loadReport
	state   OrderState
}

var _ http.Handler = (*Engine)(nil)

// New returns a running engine.
func New(opts Options) *Engine {
	opts = opts.withDefaults()
	e := &Engine{
		opts:   opts,
		router: httprouter.New(),
		queue:  newSlotQueue(opts.Slots),
		dead:   make(chan struct{}),
		served: make(map[types.RequestID]int),
		cache:  newPrefixCache(opts.CacheBlocks),
		state:  OrderState{Model: opts.Model, Version: opts.Version},
	}
	e.router.POST("/v1/chat/completions", e.serveCompletion)
	e.router.POST("/v1/completions", e.serveCompletion)
	e.router.GET("/load", e.serveLoad)
	e.router.GET("/cache/events", e.serveCacheEvents)
	e.router.GET("/orders", e.serveOrderState)
	e.router.POST("/orders", e.serveOrder)
	return e
}

// ServeHTTP serves one call; a crashed engine cuts the connection.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	dead := e.isDead
	e.mu.Unlock()
	if dead {
		panic(http.ErrAbortHandler)
	}
	e.router.ServeHTTP(w, r)
}

// SetFault sets the fault to show from now on.
func (e *Engine) SetFault(fault Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = fault
}

// SetLeaving makes the engine refuse new requests with the sign of leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Crash cuts every request in flight and every later one until Restart.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDead {
		return
	}
	e.isDead = true
	close(e.dead)
}

// Restart brings a crashed engine back with an empty cache.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isDead {
		return
	}
	e.isDead = false
	e.dead = make(chan struct{})
	e.cache = newPrefixCache(e.opts.CacheBlocks)
}

// Dead reports whether the engine has crashed.
func (e *Engine) Dead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isDead
}

// Served returns how many attempts of the request began to run here.
func (e *Engine) Served(id types.RequestID) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.served[id]
}

// Total returns how many attempts began to run here.
func (e *Engine) Total() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	total := 0
	for _, attempts := range e.served {
		total += attempts
	}
	return total
}

// condition is what the engine shows at one moment.
type condition struct {
	fault   Fault
	leaving bool
	dead    <-chan struct{}
}

func (e *Engine) condition() condition {
	e.mu.Lock()
	defer e.mu.Unlock()
	return condition{fault: e.fault, leaving: e.leaving, dead: e.dead}
}
