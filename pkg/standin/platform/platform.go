// Package platform is a small stand-in for a customer's platform: the
// configuration service, the VM list, the client directory and the weight
// store, served over HTTP on loopback for tests and demonstrations. It can be
// down, stale or over its read rate on demand, and it counts every call.
package platform

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
	"golang.org/x/time/rate"

	api "github.com/flamingomount/flamingomount/pkg/platform"
	"github.com/flamingomount/flamingomount/pkg/platform/httpplatform"
	"github.com/flamingomount/flamingomount/pkg/standin/reply"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// DefaultReadsPerSecond is the read rate of all readers together.
const DefaultReadsPerSecond = 2000

// Platform is the stand-in. All methods are safe for concurrent use.
type Platform struct {
	router  *httprouter.Router
	limiter *rate.Limiter

	mu      sync.Mutex
	values  map[string]api.Value
	frozen  map[string]api.Value
	past    map[string][][]byte
	listing api.VMListing
	shown   api.VMListing
	weights map[weightKey]int64
	down    bool
	calls   int64
	lists   int64
	changed chan struct{}
}

type weightKey struct {
	model   types.ServiceName
	version types.ModelVersion
}

var _ http.Handler = (*Platform)(nil)

// New returns an empty platform that allows DefaultReadsPerSecond.
func New() *Platform {
	p := &Platform{
		router:  httprouter.New(),
		limiter: rate.NewLimiter(DefaultReadsPerSecond, DefaultReadsPerSecond),
		values:  make(map[string]api.Value),
		past:    make(map[string][][]byte),
		weights: make(map[weightKey]int64),
		changed: make(chan struct{}),
	}
	p.router.GET("/config/*key", p.serveConfig)
	p.router.GET("/vms", p.serveVMs)
	p.router.GET("/directory", p.serveDirectory)
	p.router.GET("/weights/:model/:version", p.serveWeights)
	return p
}

// ServeHTTP serves one call of the platform.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.router.ServeHTTP(w, r)
}

// Publish sets the value of a key; only a publisher outside the system does so.
func (p *Platform) Publish(key string, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	version := p.values[key].Version + 1
	p.values[key] = api.Value{Data: data, Version: version}
	p.past[key] = append(p.past[key], data)
	p.wake()
}

// Republish serves the value of each key that was published as the n-th one
// again, as a stale copy of the service does; versions go on.
func (p *Platform) Republish(n uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, past := range p.past {
		if n >= 1 && n <= uint64(len(past)) {
			p.values[key] = api.Value{Data: past[n-1], Version: p.values[key].Version + 1}
		}
	}
	p.wake()
}

// SetDown makes every call fail, or ends that.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.wake()
}

// SetStale keeps serving the present values whatever is published later, or
// ends that.
func (p *Platform) SetStale(stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = nil
	if stale {
		p.frozen = make(map[string]api.Value, len(p.values))
		for key, value := range p.values {
			p.frozen[key] = value
		}
	}
	p.wake()
}

// SetVMs replaces the VM list. Readers see it after ShowVMs, so that a test can
// let the list lag.
func (p *Platform) SetVMs(vms []api.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listing = api.VMListing{Version: p.listing.Version + 1, VMs: vms}
}

// ShowVMs lets readers see the list that SetVMs set last.
func (p *Platform) ShowVMs() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shown = p.listing
}

// SetWeights sets the size in bytes of one version's weights.
func (p *Platform) SetWeights(model types.ServiceName, version types.ModelVersion, size int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.weights[weightKey{model, version}] = size
}

// Calls returns how many calls were made of the configuration service.
func (p *Platform) Calls() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// ListsSent returns how often the whole VM list was sent.
func (p *Platform) ListsSent() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lists
}

// wake lets every waiting watch look again. The caller holds the lock.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// lookup is one look at a key.
type lookup struct {
	value   api.Value
	found   bool
	down    bool
	changed <-chan struct{}
}

func (p *Platform) look(key string) lookup {
	p.mu.Lock()
	defer p.mu.Unlock()
	values := p.values
	if p.frozen != nil {
		values = p.frozen
	}
	value, found := values[key]
	return lookup{value: value, found: found, down: p.down, changed: p.changed}
}

func (p *Platform) serveConfig(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	p.mu.Lock()
	p.calls++
	p.mu.Unlock()
	if !p.limiter.Allow() {
		http.Error(w, "read rate exceeded", http.StatusTooManyRequests)
		return
	}
	key := params.ByName("key")[1:]
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMs, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for {
		found := p.look(key)
		if found.down {
			http.Error(w, "configuration service is down", http.StatusServiceUnavailable)
			return
		}
		if waitMs <= 0 || (found.found && found.value.Version != after) {
			writeValue(w, found)
			return
		}
		select {
		case <-found.changed:
		case <-timer.C:
			writeValue(w, p.look(key))
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeValue(w http.ResponseWriter, found lookup) {
	if !found.found {
		http.Error(w, "unknown key", http.StatusNotFound)
		return
	}
	reply.JSON(w, found.value)
}

func (p *Platform) serveVMs(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	p.mu.Lock()
	shown, down := p.shown, p.down
	p.mu.Unlock()
	if down {
		http.Error(w, "VM list is down", http.StatusServiceUnavailable)
		return
	}
	tag := `"` + strconv.FormatUint(shown.Version, 10) + `"`
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	p.mu.Lock()
	p.lists++
	p.mu.Unlock()
	reply.JSON(w, shown)
}

func (p *Platform) serveDirectory(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	p.mu.Lock()
	shown := p.shown
	p.mu.Unlock()
	answer := httpplatform.DirectoryResponse{}
	for _, vm := range shown.VMs {
		if vm.Role == api.RoleEntry && !vm.Leaving {
			answer.Entries = append(answer.Entries, vm.Address)
		}
	}
	reply.JSON(w, answer)
}

func (p *Platform) serveWeights(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	key := weightKey{
		model:   types.ServiceName(params.ByName("model")),
		version: types.ModelVersion(params.ByName("version")),
	}
	p.mu.Lock()
	size, found := p.weights[key]
	p.mu.Unlock()
	if !found {
		http.Error(w, "unknown weights", http.StatusNotFound)
		return
	}
	reply.JSON(w, httpplatform.SizeResponse{SizeBytes: size})
}
