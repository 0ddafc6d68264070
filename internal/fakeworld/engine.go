package fakeworld

import (
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/control/cacheview"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// The speed of a fake engine.
const (
	// perOutputToken is the time of one token in a full batch.
	perOutputToken = 20 * time.Millisecond
	// perBlock is the prefill time of one prompt block that is not cached.
	perBlock = 25 * time.Millisecond
	// aloneSpeed is the time of a token in an empty batch, relative to a full
	// one.
	aloneSpeed = 0.7
)

// job is one attempt at an engine.
type job struct {
	call *Call
	// begun is called at the first token, ended when the attempt is over.
	begun func()
	ended func(failure *types.Failure)
	boot  int
}

// Engine is one fake endpoint.
type Engine struct {
	// ID, Region and Slots are as published.
	ID     types.EndpointID
	Region types.Region
	Slots  int
	// Slow multiplies every time; 1 is usual.
	Slow float64

	world   *World
	cache   *prefixCache
	running map[*job]struct{}
	queue   [types.RankCount][]*job
	down    bool
	boot    int
	seq     uint64
	// Crashes counts how often the engine went down.
	Crashes int
}

func (e *Engine) queued() int {
	return len(e.queue[types.RankUrgent]) + len(e.queue[types.RankPatient])
}

// submit takes an attempt; an engine that is down refuses the connection.
func (e *Engine) submit(j *job) {
	if e.down {
		j.ended(types.NewFailure(types.NotRun, types.CodeEndpointFailed, "connection refused"))
		return
	}
	rank := j.call.Request.Rank
	e.queue[rank] = append(e.queue[rank], j)
	e.fill()
}

// fill starts queued attempts in free slots, by priority.
func (e *Engine) fill() {
	for rank := range e.queue {
		for len(e.running) < e.Slots && len(e.queue[rank]) > 0 {
			j := e.queue[rank][0]
			e.queue[rank] = e.queue[rank][1:]
			e.start(j)
		}
	}
}

func (e *Engine) start(j *job) {
	j.boot = e.boot
	e.running[j] = struct{}{}
	request := j.call.Request
	hits := e.cache.use(request.Prefix)
	e.world.stats.prefix(j.call, hits)
	prefill := time.Duration(len(request.Prefix)-hits) * perBlock
	batch := aloneSpeed + (1-aloneSpeed)*float64(len(e.running))/float64(e.Slots)
	decode := time.Duration(float64(request.OutputTokens) * float64(perOutputToken) * batch)
	first := time.Duration(float64(prefill+perOutputToken) * e.Slow)
	whole := time.Duration(float64(prefill+decode) * e.Slow)
	if j.call.Fatal {
		e.world.clock.after(first, func() { e.ifRunning(j, e.crashAndRestart) })
		return
	}
	e.world.clock.after(first, func() { e.ifRunning(j, j.begun) })
	e.world.clock.after(whole, func() { e.ifRunning(j, func() { e.finish(j) }) })
}

// cancel ends an attempt whose caller is gone, wherever it is.
func (e *Engine) cancel(j *job) {
	rank := j.call.Request.Rank
	if i := slices.Index(e.queue[rank], j); i >= 0 {
		e.queue[rank] = slices.Delete(e.queue[rank], i, i+1)
	} else if _, running := e.running[j]; running {
		delete(e.running, j)
	} else {
		return
	}
	j.ended(types.NewFailure(types.MayHaveRun, types.CodeDeadline, "the deadline passed"))
	e.fill()
}

func (e *Engine) ifRunning(j *job, then func()) {
	if _, running := e.running[j]; running && j.boot == e.boot {
		then()
	}
}

func (e *Engine) finish(j *job) {
	delete(e.running, j)
	j.ended(nil)
	e.fill()
}

func (e *Engine) crashAndRestart() {
	e.crash()
	e.world.clock.after(e.world.Config.RestartAfter, e.restart)
}

// crash loses the cache and everything that was running or queued.
func (e *Engine) crash() {
	e.down = true
	e.boot++
	e.Crashes++
	e.cache.clear()
	e.seq = 0
	lost := e.inOrder()
	clear(e.running)
	for rank := range e.queue {
		e.queue[rank] = nil
	}
	for _, j := range lost {
		j.ended(types.NewFailure(types.MayHaveRun, types.CodeEndpointFailed, "connection lost"))
	}
	e.world.engineChanged(e)
}

// inOrder lists every attempt in a deterministic order.
func (e *Engine) inOrder() []*job {
	var jobs []*job
	for j := range e.running {
		jobs = append(jobs, j)
	}
	sortJobs(jobs)
	for rank := range e.queue {
		jobs = append(jobs, e.queue[rank]...)
	}
	return jobs
}

func (e *Engine) restart() {
	e.down = false
	e.world.engineChanged(e)
}

// emit publishes a cache event to every daemon of the region: late, and lost by
// chance.
func (e *Engine) emit(kind cacheview.Kind, prefix uint64) {
	e.seq++
	config := e.world.Config
	if e.world.cacheRand.Float64() < config.CacheEventLoss {
		return
	}
	batch := cacheview.Batch{Events: []cacheview.Event{{Seq: e.seq, Kind: kind, Prefix: prefix}}, Next: e.seq + 1}
	e.world.clock.after(config.CacheEventDelay, func() {
		for _, d := range e.world.regions[e.Region].daemons {
			d.cacheEvents(e.ID, batch)
		}
	})
}
