package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// mixLoad is a load of short and long prompts.
type mixLoad struct {
	// shortRate and longRate are requests per second at a time since the start.
	shortRate, longRate func(time.Duration) float64
	// lostAt is when half of the engines are lost; zero means never.
	lostAt time.Duration
	// daemons is how many daemons share the engines; each believes that it alone sends
	// them long prompts.
	daemons int
}

const (
	mixEngines  = 6
	mixSeconds  = 12
	mixPrefixes = 30
	// mixWindow is the time in which a kind that is asked for must be served.
	mixWindow = 2 * time.Second
)

// maxHold lets the slack of a prompt bound its hold.
const maxHold = time.Minute

// holdingPool returns a pool that holds large prompts.
func holdingPool(v *catalog.View) *balance.Pool {
	pool := balance.NewPool("north", "north-a", balance.Bounds{MaxHold: maxHold})
	pool.Update(v, balance.Membership{Self: "d0", PeakLive: 1})
	return pool
}

// mixTally counts the outcomes of one kind of request.
type mixTally struct {
	sent, inTime, late, refused int
	// windows counts the requests in time by the window of their arrival, sentIn all of
	// them.
	windows, sentIn [mixSeconds * time.Second / mixWindow]int
}

func (t *mixTally) share() float64 { return float64(t.inTime) / float64(max(t.sent, 1)) }

// starved counts the windows in which several requests came and none was in time.
func (t *mixTally) starved() int {
	const several = 20
	count := 0
	for i, sent := range t.sentIn {
		if sent >= several && t.windows[i] == 0 {
			count++
		}
	}
	return count
}

// mixConfig is the configuration of engines that serve a short and a long kind.
func mixConfig(longObjective time.Duration) *catalog.View {
	v := view(mixEngines, 2, nil)
	v.Config.Services[engines].HealthPath = ""
	v.Config.Services[engines].ColdPerSecond = 0
	v.Config.Services[engines].Engine.Slots = 24
	for i := range v.Endpoints[engines] {
		v.Endpoints[engines][i].Endpoint.Slots = 24
	}
	backends := []catalog.Backend{{Service: engines, Weight: 1}}
	v.Config.Routes = []*catalog.Route{
		{Name: "short", Rank: 0, Objective: 800 * time.Millisecond, Timeout: 5 * time.Second, Backends: backends},
		{Name: "long", Rank: 1, Objective: longObjective, Timeout: 10 * time.Second, Backends: backends},
	}
	v.Config.Prepare()
	return v
}

// requests draws the requests of a load, sorted by arrival.
func (l mixLoad) requests(seed uint64, longObjective time.Duration) []balance.RequestInfo {
	rng := rand.New(rand.NewPCG(seed, 58))
	var drawn []balance.RequestInfo
	draw := func(rate func(time.Duration) float64, build func() balance.RequestInfo) {
		if rate == nil {
			return
		}
		const step = time.Millisecond
		for at := time.Duration(0); at < mixSeconds*time.Second; at += step {
			if rng.Float64() < rate(at)*step.Seconds() {
				req := build()
				req.Service, req.Arrived = engines, start.Add(at)
				req.Deadline = req.Arrived.Add(10 * time.Second)
				drawn = append(drawn, req)
			}
		}
	}
	draw(l.shortRate, func() balance.RequestInfo {
		return balance.RequestInfo{Rank: 0, PromptTokens: 100 + rng.IntN(800), Objective: 800 * time.Millisecond}
	})
	draw(l.longRate, func() balance.RequestInfo {
		own := min(int(rng.ExpFloat64()*3_720), 53_000)
		return balance.RequestInfo{
			Rank: 1, PromptTokens: 13_300 + own, PrefixTokens: 13_300, Prefix: 1 + rng.Uint64N(mixPrefixes), Objective: longObjective,
		}
	})
	slices.SortStableFunc(drawn, func(a, b balance.RequestInfo) int { return a.Arrived.Compare(b.Arrived) })
	return drawn
}

// mixRun is a play of a load.
type mixRun struct {
	pools    []*balance.Pool
	engines  map[types.EndpointID]*simulatedEngine
	running  []*mixRunning
	waiting  []mixWaiting
	outcomes map[int]*mixTally
	// decisions tells each decision, in order.
	decisions []string
}

type mixRunning struct {
	running
	pool *balance.Pool
}

type mixWaiting struct {
	waiter *balance.Waiter
	pool   *balance.Pool
	long   bool
}

// playMix plays a load and returns the outcomes by rank. Without holds, long prompts
// that have no room are refused at once.
func playMix(l mixLoad, seed uint64, longObjective time.Duration, holds bool) map[int]*mixTally {
	return runMix(l, seed, longObjective, holds).outcomes
}

// runMix plays a load.
func runMix(l mixLoad, seed uint64, longObjective time.Duration, holds bool) *mixRun {
	v := mixConfig(longObjective)
	r := &mixRun{engines: map[types.EndpointID]*simulatedEngine{}, outcomes: map[int]*mixTally{0: {}, 1: {}}}
	live := fleetOf(max(l.daemons, 1))
	for _, vm := range live {
		var bounds balance.Bounds
		if holds {
			bounds.MaxHold = maxHold
		}
		pool := balance.NewPool("north", "north-a", bounds)
		pool.Update(v, balance.Membership{Self: vm, Live: live, SameDataCentre: live, PeakLive: len(live)})
		r.pools = append(r.pools, pool)
	}
	r.warm(v)
	requests := l.requests(seed, longObjective)
	next := 0
	for at := time.Duration(0); next < len(requests) || len(r.running)+len(r.waiting) > 0; at += 5 * time.Millisecond {
		now := start.Add(at)
		if l.lostAt > 0 && at == l.lostAt {
			r.lose(v, live)
		}
		r.step(now)
		for ; next < len(requests) && !requests[next].Arrived.After(now); next++ {
			r.place(requests[next], r.pools[next%len(r.pools)], now)
		}
	}
	return r
}

// warm lets each engine hold the prefixes that have their home there.
func (r *mixRun) warm(v *catalog.View) {
	for _, ep := range v.Endpoints[engines] {
		r.engines[ep.ID] = &simulatedEngine{held: map[uint64]bool{}, prefixCost: 1}
	}
	for prefix := range uint64(mixPrefixes) {
		home, _ := balance.PrefixHome(v.Endpoints[engines], prefix+1, func(catalog.ActiveEndpoint) bool { return true })
		r.engines[home.ID].held[prefix+1] = true
	}
}

// lose removes half of the engines; what runs there is not counted as in time.
func (r *mixRun) lose(v *catalog.View, live []types.VMID) {
	without := *v
	without.Endpoints = map[types.ServiceName][]catalog.ActiveEndpoint{engines: v.Endpoints[engines][:mixEngines/2]}
	for i, pool := range r.pools {
		pool.Update(&without, balance.Membership{Self: live[i], Live: live, SameDataCentre: live, PeakLive: len(live)})
	}
}

func (r *mixRun) step(now time.Time) {
	r.running = slices.DeleteFunc(r.running, func(run *mixRunning) bool {
		if !run.started && !run.prefilledAt.After(now) {
			run.started = true
			run.pool.ResponseStarted(run.permit, now)
		}
		if run.endsAt.After(now) {
			return false
		}
		run.pool.Done(run.permit, balance.Succeeded, now)
		return true
	})
	for _, pool := range r.pools {
		pool.GrantAll(now)
	}
	r.waiting = slices.DeleteFunc(r.waiting, func(w mixWaiting) bool {
		select {
		case permit := <-w.waiter.Granted:
			r.run(w.waiter.RequestInfo, w.pool, permit, now)
			return true
		case <-w.waiter.Refused:
			r.outcomes[w.waiter.RequestInfo.Rank].refused++
			return true
		default:
		}
		if w.waiter.ExpiresAt.After(now) {
			return false
		}
		var permit *balance.Permit
		if w.long {
			permit, _ = w.pool.EndHold(w.waiter, now)
		} else {
			w.pool.CancelWait(w.waiter, now)
		}
		if permit != nil {
			r.run(w.waiter.RequestInfo, w.pool, permit, now)
		} else {
			r.outcomes[w.waiter.RequestInfo.Rank].refused++
		}
		return true
	})
}

// decide records a decision.
func (r *mixRun) decide(now time.Time, what string, endpoint types.EndpointID) {
	r.decisions = append(r.decisions, fmt.Sprintf("%s: %s %s", now.Sub(start), what, endpoint))
}

func (r *mixRun) place(req balance.RequestInfo, pool *balance.Pool, now time.Time) {
	tally := r.outcomes[req.Rank]
	tally.sent++
	tally.sentIn[req.Arrived.Sub(start)/mixWindow]++
	permit, refusal := pool.Try(req, now)
	if permit != nil {
		r.run(req, pool, permit, now)
		return
	}
	waiter := waitFor(pool, req, refusal, now)
	if waiter == nil {
		tally.refused++
		r.decide(now, "refused", "")
		return
	}
	r.decide(now, "waits", "")
	r.waiting = append(r.waiting, mixWaiting{waiter: waiter, pool: pool, long: req.PrefixTokens > 0})
}

// waitFor queues or holds a request that got no permit, as the gate does; nil if it is
// refused.
func waitFor(pool *balance.Pool, req balance.RequestInfo, refusal *balance.Refusal, now time.Time) *balance.Waiter {
	var waiter *balance.Waiter
	switch large := req.PrefixTokens >= balance.MinLargePrefixTokens; {
	case refusal != nil:
	case !large:
		waiter, _ = pool.Enqueue(req, now)
	case pool.Holds(req):
		waiter, _ = pool.Hold(req, now)
	}
	return waiter
}

// run starts a request at an engine and counts whether its response starts in time.
func (r *mixRun) run(req balance.RequestInfo, pool *balance.Pool, permit *balance.Permit, now time.Time) {
	r.decide(now, "sent to", permit.Endpoint.ID)
	prefilledAt := r.engines[permit.Endpoint.ID].prefill(req, now)
	const stream = 400 * time.Millisecond
	r.running = append(r.running, &mixRunning{
		running: running{permit: permit, prefilledAt: prefilledAt, endsAt: prefilledAt.Add(stream)}, pool: pool,
	})
	tally := r.outcomes[req.Rank]
	if prefilledAt.Sub(req.Arrived) > req.Objective {
		tally.late++
		return
	}
	tally.inTime++
	tally.windows[req.Arrived.Sub(start)/mixWindow]++
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// during returns a rate that is another one between two times.
func during(rate, other float64, from, to time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return other
		}
		return rate
	}
}
