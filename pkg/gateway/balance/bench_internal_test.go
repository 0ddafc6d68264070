package balance

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// constantCost is the cost of a placing before the speed of endpoints was learned: with
// constants for the prefill rate and for what runs, and one moving average of responses.
type constantCost struct {
	response map[*endpointState]constantAverage
}

type constantAverage struct {
	value      float64
	observedAt time.Time
}

func (c constantCost) cost(p *Pool, req RequestInfo, ep *endpointState, home bool, now time.Time) float64 {
	const prefillRate, runCost, observationTTL = 55_000.0, 0.002, 1500 * time.Millisecond
	others := 1 + otherDaemonsShare*float64(max(ep.peers, 1)-1)
	cost := ep.errorRate * errorCost
	if ep.stalledFor(now) > stallAfter {
		cost += stallCost
	}
	if ep.cold(now) {
		cost += coldCost
	}
	if ep.placed.DataCentre != p.dc {
		cost += otherDCCost
	}
	cost += p.prefillTokens(req, ep, home, now) / prefillRate
	wait := ep.prefillTokens / prefillRate
	if req.large() && !home {
		wait += offHomeCost
	}
	if seen := c.response[ep]; !req.large() && now.Sub(seen.observedAt) <= observationTTL {
		wait = max(wait, seen.value)
	}
	cost += wait
	cost += runCost * float64(ep.inFlight) * others
	return cost + tieBreak(ep.idHash, now)
}

// benchPool returns a pool of busy engines of which responses were seen.
func benchPool(count int) *Pool {
	const service = types.ServiceName("engines")
	view := &catalog.View{
		Endpoints: map[types.ServiceName][]catalog.ActiveEndpoint{},
		Config: &catalog.Config{Services: map[types.ServiceName]*catalog.Service{
			service: {Name: service, Engine: &catalog.Engine{Slots: 64, CacheTokens: 350_000}},
		}},
	}
	view.Config.Routes = []*catalog.Route{
		{Rank: 0, Objective: 500 * time.Millisecond, Timeout: 5 * time.Second, Backends: []catalog.Backend{{Service: service, Weight: 1}}},
		{Rank: 1, Objective: time.Second, Timeout: 10 * time.Second, Backends: []catalog.Backend{{Service: service, Weight: 1}}},
	}
	view.Config.Prepare()
	for i := range count {
		id := types.EndpointID(fmt.Sprintf("engine-%d", i))
		view.Endpoints[service] = append(view.Endpoints[service], catalog.ActiveEndpoint{Endpoint: &catalog.Endpoint{
			ID: id, Service: service, Region: "north", DataCentre: "north-a", Slots: 64, Address: string(id) + ":80",
		}})
	}
	pool := NewPool("north", "north-a", Bounds{})
	pool.Update(view, Membership{Self: "d0", PeakLive: 1})
	now := benchStart
	for i := range 4 * count {
		now = now.Add(time.Millisecond)
		permit, _ := pool.Permit(benchRequest(i%3 == 0, uint64(i), now), now)
		pool.ResponseStarted(permit, now.Add(time.Duration(20+i%50)*time.Millisecond))
		permit.SetPace(Pace{Mean: 40 * time.Millisecond, Longest: 60 * time.Millisecond})
		if i%2 == 0 {
			pool.Done(permit, Succeeded, now.Add(time.Second))
		}
	}
	return pool
}

var benchStart = time.Unix(1_700_000_000, 0)

func benchRequest(large bool, prefix uint64, now time.Time) RequestInfo {
	req := RequestInfo{Service: "engines", PromptTokens: 400, Arrived: now, Deadline: now.Add(10 * time.Second), Objective: time.Second}
	if large {
		req.Prefix, req.PrefixTokens, req.PromptTokens = prefix+1, 13_300, 17_000
	}
	return req
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measure runs a benchmark that also reports the processor time, which other processes of
// the machine lengthen less than the time.
func measure(b *testing.B, name string, decide func()) {
	b.Run(name, func(b *testing.B) {
		from := processorTime()
		for b.Loop() {
			decide()
		}
		b.ReportMetric(float64(processorTime()-from)/float64(b.N), "cpu-ns/op")
	})
}

// BenchmarkPermit times one decision beside that with the cost of before.
func BenchmarkPermit(b *testing.B) {
	for _, count := range []int{71, 500} {
		for _, large := range []bool{false, true} {
			name := fmt.Sprintf("endpoints=%d/large=%t", count, large)
			pool := benchPool(count)
			now := benchStart.Add(10 * time.Second)
			measure(b, name+"/learned", func() {
				now = now.Add(10 * time.Millisecond)
				decide(pool, benchRequest(large, 7, now), now, func(req RequestInfo, ep *endpointState, home bool, now time.Time) float64 {
					return pool.cost(req, ep, home, now).Sum()
				})
			})
			before := constantCost{response: map[*endpointState]constantAverage{}}
			for _, ep := range pool.services["engines"] {
				before.response[ep] = constantAverage{0.02, now}
			}
			measure(b, name+"/constant", func() {
				now = now.Add(10 * time.Millisecond)
				decide(pool, benchRequest(large, 7, now), now, func(req RequestInfo, ep *endpointState, home bool, now time.Time) float64 {
					return before.cost(pool, req, ep, home, now)
				})
			})
		}
	}
}

// decide is Permit with a cost function, without the reservation.
func decide(p *Pool, req RequestInfo, now time.Time, cost func(RequestInfo, *endpointState, bool, time.Time) float64) *endpointState {
	eligible := assignedEndpoints(req, p.filter(req, nil, now), nil)
	home := homeOf(req, eligible)
	var best *endpointState
	var bestCost float64
	for _, ep := range eligible {
		if ep.inFlight >= p.limitNow(req, ep, now) || !p.respondsInTime(req, ep, ep == home, now) {
			continue
		}
		if cost := cost(req, ep, ep == home, now); best == nil || cost < bestCost {
			best, bestCost = ep, cost
		}
	}
	return best
}
