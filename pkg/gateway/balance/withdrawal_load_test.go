package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// The play: daemons send short requests to plain endpoints, a third of which
// leave one after the other, or pause together.
const (
	playDaemons     = 3
	playEndpoints   = 12
	playSlots       = 6
	playQueue       = 12
	playServiceTime = 60 * time.Millisecond
	playLength      = 8 * time.Second
	// playTail is how long the play goes on after the last request.
	playTail = 3 * time.Second
	playStep = time.Millisecond
	// playDrain is how long after its first notice a leaving endpoint may get the
	// requests that callers send, and playGone when it ends; its record vanishes
	// then.
	playDrain = 2 * time.Second
	playGone  = 6 * time.Second
	playWave  = 250 * time.Millisecond
	// playPause is the pause, in which requests after playGrace break the rule if
	// there are more than two of them from one daemon.
	playPause = 2 * time.Second
	playGrace = 500 * time.Millisecond
	playBegin = 2 * time.Second
	// playGrant is how often the gate grants in addition to when a request ends.
	playGrant = 50 * time.Millisecond
)

// trouble is what a third of the endpoints do.
type trouble int

const (
	leaveInWave trouble = iota
	pauseTogether
)

// playedRequest is a request of the play.
type playedRequest struct {
	info     balance.RequestInfo
	daemon   int
	permit   *balance.Permit
	endpoint int
	endsAt   time.Time
}

// playedEndpoint is an endpoint of the play.
type playedEndpoint struct {
	running []*playedRequest
	queued  []*playedRequest
	// troubleAt is when its trouble begins; zero if it has none.
	troubleAt time.Time
	// told holds when it first told each daemon, and late counts the requests of
	// each daemon that broke the rule after that.
	told [playDaemons]time.Time
	late [playDaemons]int
}

// playResult is the outcome of a play.
type playResult struct {
	sent, served, refused, failed int
	// late counts the requests that came against the rule, and worst the most of
	// them from one daemon to one endpoint.
	late, worst int
	// retries counts the requests that were sent again.
	retries int
	// possible is the share that the endpoints that want requests could serve.
	possible float64
}

func (r playResult) share() float64 {
	return float64(r.served) / float64(r.sent)
}

// play runs requests at a share of the capacity. Heeded is false for daemons that
// do not read what the endpoints say.
type play struct {
	trouble   trouble
	heeded    bool
	rng       *rand.Rand
	pools     []*balance.Pool
	endpoints []*playedEndpoint
	waiting   []*playedWaiter
	// removed is the number of endpoints whose records have vanished.
	removed int
	result  playResult
}

type playedWaiter struct {
	waiter *balance.Waiter
	daemon int
}

func runPlay(kind trouble, load float64, heeded bool) playResult {
	p := &play{trouble: kind, heeded: heeded, rng: rand.New(rand.NewPCG(33, 1)), pools: newFleet(deskView(playEndpoints, playSlotsOf), playDaemons)}
	for i := range playEndpoints {
		ep := &playedEndpoint{}
		if i%3 == 0 {
			ep.troubleAt = start.Add(playBegin)
			if kind == leaveInWave {
				ep.troubleAt = ep.troubleAt.Add(time.Duration(i) * playWave)
			}
		}
		p.endpoints = append(p.endpoints, ep)
	}
	perStep := load * playEndpoints * playSlots * playStep.Seconds() / playServiceTime.Seconds()
	due, possible := 0.0, 0.0
	for at := start; at.Before(start.Add(playLength + playTail)); at = at.Add(playStep) {
		p.publish(at)
		p.finish(at)
		p.grant(at)
		if !at.Before(start.Add(playLength)) {
			continue
		}
		for due += perStep; due >= 1; due-- {
			p.arrive(at)
		}
		possible += min(1, p.openShare(at)/load)
	}
	p.result.possible = possible / float64(playLength/playStep)
	for _, ep := range p.endpoints {
		for _, late := range ep.late {
			p.result.late += late
			p.result.worst = max(p.result.worst, late)
		}
	}
	return p.result
}

func playSlotsOf(placed *catalog.ActiveEndpoint) { placed.Slots = playSlots }

// publish removes the records of endpoints that are gone.
func (p *play) publish(at time.Time) {
	gone := p.count(func(ep *playedEndpoint) bool { return p.gone(ep, at) })
	if gone == p.removed {
		return
	}
	p.removed = gone
	v := deskView(playEndpoints, playSlotsOf)
	index := -1
	v.Endpoints[desk] = slices.DeleteFunc(v.Endpoints[desk], func(catalog.ActiveEndpoint) bool {
		index++
		return p.gone(p.endpoints[index], at)
	})
	for i, pool := range p.pools {
		pool.Update(v, fleetMembership(i))
	}
}

func (p *play) count(condition func(*playedEndpoint) bool) (count int) {
	for _, ep := range p.endpoints {
		if condition(ep) {
			count++
		}
	}
	return count
}

// openShare returns the share of the endpoints that want requests.
func (p *play) openShare(at time.Time) float64 {
	closed := p.count(func(ep *playedEndpoint) bool { return p.leaving(ep, at) || p.pausing(ep, at) })
	return 1 - float64(closed)/playEndpoints
}

func (p *play) leaving(ep *playedEndpoint, at time.Time) bool {
	return p.trouble == leaveInWave && !ep.troubleAt.IsZero() && !at.Before(ep.troubleAt)
}

func (p *play) gone(ep *playedEndpoint, at time.Time) bool {
	return p.trouble == leaveInWave && !ep.troubleAt.IsZero() && !at.Before(ep.troubleAt.Add(playGone))
}

func fleetMembership(index int) balance.Membership {
	var live []types.VMID
	for i := range playDaemons {
		live = append(live, types.VMID(fmt.Sprintf("d%d", i)))
	}
	return balance.Membership{Self: live[index], Live: live, SameDataCentre: live, PeakLive: playDaemons}
}

// arrive places a new request at one of the daemons.
func (p *play) arrive(at time.Time) {
	p.result.sent++
	p.place(&playedRequest{daemon: p.rng.IntN(playDaemons), info: balance.RequestInfo{
		Service: desk, Rank: 1, Arrived: at, Deadline: at.Add(3 * time.Second), Objective: time.Second,
	}}, at)
}

func (p *play) place(request *playedRequest, at time.Time) {
	pool := p.pools[request.daemon]
	permit, refusal := pool.Try(request.info, at)
	if permit == nil && refusal == nil {
		var waiter *balance.Waiter
		if waiter, refusal = pool.Enqueue(request.info, at); waiter != nil {
			p.waiting = append(p.waiting, &playedWaiter{waiter: waiter, daemon: request.daemon})
			return
		}
	}
	if refusal != nil {
		p.result.refused++
		return
	}
	p.send(request, permit, at)
}

// grant sends the waiting requests that may go now.
func (p *play) grant(at time.Time) {
	for _, pool := range p.pools {
		if at.Sub(start)%playGrant == 0 {
			pool.GrantAll(at)
		}
	}
	waiting := p.waiting
	p.waiting = nil
	for _, entry := range waiting {
		select {
		case permit := <-entry.waiter.Granted:
			p.send(&playedRequest{info: entry.waiter.RequestInfo, daemon: entry.daemon}, permit, at)
		case <-entry.waiter.Refused:
			p.result.refused++
		default:
			if at.Before(entry.waiter.ExpiresAt) {
				p.waiting = append(p.waiting, entry)
				continue
			}
			p.pools[entry.daemon].CancelWait(entry.waiter, at)
			p.result.refused++
		}
	}
}

// send delivers a request to its endpoint.
func (p *play) send(request *playedRequest, permit *balance.Permit, at time.Time) {
	var index int
	_, _ = fmt.Sscanf(string(permit.Endpoint.ID), "desk-%d", &index)
	ep := p.endpoints[index]
	request.permit, request.endpoint = permit, index
	p.countLate(ep, request, at)
	switch {
	case p.gone(ep, at):
		p.pools[request.daemon].Done(permit, balance.ConnectFailed, at)
		p.again(request, at)
	case p.pausing(ep, at):
		p.answer(ep, request, at, balance.Notice{Backoff: ep.troubleAt.Add(playPause).Sub(at)})
		p.pools[request.daemon].Done(permit, balance.Refused, at)
		p.again(request, at)
	case len(ep.running) < playSlots:
		p.run(ep, request, at)
	case len(ep.queued) < playQueue:
		ep.queued = append(ep.queued, request)
	default:
		p.pools[request.daemon].Done(permit, balance.Refused, at)
		p.again(request, at)
	}
}

func (p *play) pausing(ep *playedEndpoint, at time.Time) bool {
	return p.trouble == pauseTogether && !ep.troubleAt.IsZero() && !at.Before(ep.troubleAt) && at.Before(ep.troubleAt.Add(playPause))
}

// countLate counts a request that comes against the rule.
func (p *play) countLate(ep *playedEndpoint, request *playedRequest, at time.Time) {
	told := ep.told[request.daemon]
	switch {
	case told.IsZero():
	case p.trouble == leaveInWave && request.info.Arrived.After(told.Add(playDrain)):
		ep.late[request.daemon]++
	case p.pausing(ep, at) && at.After(told.Add(playGrace)):
		ep.late[request.daemon]++
	}
}

// again sends a request a second time, or gives up.
func (p *play) again(request *playedRequest, at time.Time) {
	if len(request.info.Tried) > 0 {
		p.result.failed++
		return
	}
	p.result.retries++
	info := request.info
	info.Tried = []types.EndpointID{request.permit.Endpoint.ID}
	p.place(&playedRequest{info: info, daemon: request.daemon}, at)
}

func (p *play) run(ep *playedEndpoint, request *playedRequest, at time.Time) {
	request.endsAt = at.Add(time.Duration((0.5 + p.rng.Float64()) * float64(playServiceTime)))
	ep.running = append(ep.running, request)
}

// finish ends the requests that have run.
func (p *play) finish(at time.Time) {
	for _, ep := range p.endpoints {
		var ended []*playedRequest
		ep.running = slices.DeleteFunc(ep.running, func(request *playedRequest) bool {
			if request.endsAt.After(at) {
				return false
			}
			ended = append(ended, request)
			return true
		})
		for len(ep.queued) > 0 && len(ep.running) < playSlots {
			p.run(ep, ep.queued[0], at)
			ep.queued = ep.queued[1:]
		}
		for _, request := range ended {
			p.result.served++
			p.answer(ep, request, at, balance.Notice{Leaving: p.leaving(ep, at)})
			p.pools[request.daemon].Done(request.permit, balance.Succeeded, at)
		}
	}
}

// answer passes on what an endpoint says of itself in a response.
func (p *play) answer(ep *playedEndpoint, request *playedRequest, at time.Time, notice balance.Notice) {
	if notice.Empty() {
		return
	}
	if ep.told[request.daemon].IsZero() {
		ep.told[request.daemon] = at
	}
	if p.heeded {
		p.pools[request.daemon].Note(request.permit.Endpoint.Endpoint, notice, at)
	}
}

var _ = Describe("a third of the endpoints", func() {
	DescribeTable("get no request against the rules, while the others serve what they can", func(kind trouble, load float64) {
		ignored, heeded := runPlay(kind, load, false), runPlay(kind, load, true)
		By(fmt.Sprintf("ignored %.4f %+v", ignored.share(), ignored))
		By(fmt.Sprintf("heeded  %.4f %+v", heeded.share(), heeded))
		Expect(ignored.worst).To(BeNumerically(">", 2))
		Expect(heeded.late).To(BeZero())
		Expect(heeded.share()).To(BeNumerically(">=", 0.95*heeded.possible))
		if kind == pauseTogether {
			Expect(heeded.share()).To(BeNumerically(">=", ignored.share()))
		}
	},
		Entry("that leave in a wave, at half load", leaveInWave, 0.5),
		Entry("that leave in a wave, at full load", leaveInWave, 0.95),
		Entry("that pause for 2 s, at half load", pauseTogether, 0.5),
		Entry("that pause for 2 s, at full load", pauseTogether, 0.95),
	)
})
