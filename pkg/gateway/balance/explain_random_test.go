package balance_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// randomPool is a pool with few slots, in which requests of several organisations run,
// wait and are held.
type randomPool struct {
	rng     *rand.Rand
	pool    *balance.Pool
	now     time.Time
	running []*balance.Permit
	waiting []*balance.Waiter
}

func newRandomPool(seed uint64) *randomPool {
	rng := rand.New(rand.NewPCG(seed, 58))
	v := mixConfig(time.Duration(1000+rng.IntN(2000)) * time.Millisecond)
	v.Endpoints[engines] = v.Endpoints[engines][:1+rng.IntN(3)]
	slots := 2 + rng.IntN(6)
	v.Config.Services[engines].Engine.Slots = slots
	for i := range v.Endpoints[engines] {
		v.Endpoints[engines][i].Endpoint.Slots = slots
	}
	pool := holdingPool(v)
	if rng.IntN(4) == 0 {
		pool = newPool(v, 1+rng.IntN(3))
	}
	return &randomPool{rng: rng, pool: pool, now: start}
}

// request draws a request, a long one in two of five cases.
func (r *randomPool) request() balance.RequestInfo {
	req := newRequest(engines, 0)
	req.Arrived = r.now.Add(-time.Duration(r.rng.IntN(300)) * time.Millisecond)
	req.Deadline = r.now.Add(time.Duration(200+r.rng.IntN(5000)) * time.Millisecond)
	req.Objective = 800 * time.Millisecond
	req.Organisation = types.OrgName(fmt.Sprint("org-", r.rng.IntN(3)))
	req.CallerRank, req.PromptTokens = r.rng.IntN(2), 100+r.rng.IntN(5000)
	if r.rng.IntN(5) < 2 {
		req.Rank, req.Objective = 1, 1200*time.Millisecond
		req.Prefix, req.PrefixTokens, req.PromptTokens = 1+r.rng.Uint64N(5), 13_300, 13_300+r.rng.IntN(20_000)
		req.PrefixUncached = r.rng.IntN(4) == 0
	}
	if r.rng.IntN(4) == 0 {
		for i := range 3 {
			if r.rng.IntN(2) == 0 {
				req.Tried = append(req.Tried, types.EndpointID(fmt.Sprintf("%s-%d", engines, i)))
			}
		}
	}
	return req
}

// step lets a random time pass, in which responses start and requests end.
func (r *randomPool) step() {
	r.now = r.now.Add(time.Duration(r.rng.IntN(150)) * time.Millisecond)
	if len(r.running) > 0 && r.rng.IntN(3) > 0 {
		i := r.rng.IntN(len(r.running))
		permit := r.running[i]
		r.pool.ResponseStarted(permit, r.now)
		if r.rng.IntN(2) == 0 {
			r.running = append(r.running[:i], r.running[i+1:]...)
			result := balance.Succeeded
			if r.rng.IntN(6) == 0 {
				result = balance.ConnectFailed
			}
			r.pool.Done(permit, result, r.now)
		}
	}
	if r.rng.IntN(2) == 0 {
		r.pool.GrantAll(r.now)
	}
	r.collect()
}

// collect takes the permits of requests that wait no longer, and ends expired waits.
func (r *randomPool) collect() {
	var left []*balance.Waiter
	for _, waiter := range r.waiting {
		select {
		case permit := <-waiter.Granted:
			r.running = append(r.running, permit)
			continue
		case <-waiter.Refused:
			continue
		default:
		}
		if waiter.ExpiresAt.After(r.now) {
			left = append(left, waiter)
			continue
		}
		if waiter.RequestInfo.PrefixTokens == 0 {
			r.pool.CancelWait(waiter, r.now)
		} else if permit, _ := r.pool.EndHold(waiter, r.now); permit != nil {
			r.running = append(r.running, permit)
		}
	}
	r.waiting = left
}

// place places a request as the gate does.
func (r *randomPool) place(req balance.RequestInfo) (permit *balance.Permit, waiter *balance.Waiter, refusal *balance.Refusal) {
	permit, refusal = r.pool.Try(req, r.now)
	switch large := req.PrefixTokens >= balance.MinLargePrefixTokens; {
	case permit != nil:
		r.running = append(r.running, permit)
		return permit, nil, nil
	case refusal != nil:
		return nil, nil, refusal
	case !large:
		waiter, refusal = r.pool.Enqueue(req, r.now)
	case r.pool.Holds(req):
		waiter, refusal = r.pool.Hold(req, r.now)
	default:
		refusal = r.pool.Refuse(req, r.now)
	}
	if waiter != nil {
		r.waiting = append(r.waiting, waiter)
	}
	return nil, waiter, refusal
}

var _ = Describe("An explanation beside a queue", func() {
	It("tells what is then done, whatever waits and is held", func() {
		const seeds, steps = 2000, 25
		counts := map[string]int{}
		for seed := range uint64(seeds) {
			r := newRandomPool(seed)
			for range steps {
				r.step()
				req := r.request()
				found := r.pool.Explain(req, r.now)
				waitingBefore := len(r.waiting)
				permit, waiter, refusal := r.place(req)
				where := fmt.Sprintf("seed %d, %d wait, request %+v, explained %+v", seed, waitingBefore, req, found)
				var chosen types.EndpointID
				if permit != nil {
					chosen = permit.Endpoint.ID
				}
				Expect(found.Chosen).To(Equal(chosen), where)
				Expect(found.Refusal).To(Equal(refusal), where)
				large := req.PrefixTokens > 0
				Expect(found.Held).To(Equal(waiter != nil && large), where)
				Expect(found.Queued).To(Equal(waiter != nil && !large), where)
				if waiter != nil {
					Expect(r.now.Add(found.MaxWait)).To(Equal(waiter.ExpiresAt), where)
				}
				counts[fmt.Sprintf("placed %t, waits %t, refused %t, beside others %t, large %t", permit != nil, waiter != nil, refusal != nil, waitingBefore > 0, large)]++
			}
		}
		Expect(len(counts)).To(BeNumerically(">=", 12), "not all cases came up: %v", counts)
		AddReportEntry("cases", counts)
	})
})
