package balance_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// troubleStages is the number of stages of troubleView.
const troubleStages = 7

// troubleView returns the view of averagedView at a stage of a fault: a data centre is being
// evacuated, is evacuated, and returns with endpoints that may be cold; some endpoints have
// started again and are cold, some are no longer published, and they return.
func troubleView(config *catalog.Config, stage int, now time.Time) *catalog.View {
	view := averagedView(config, 0)
	view.Evacuated, view.Leaving = map[types.DataCentre]bool{}, map[types.ServiceName][]catalog.ActiveEndpoint{}
	const evacuated = types.DataCentre("north-1")
	for service, endpoints := range view.Endpoints {
		var kept []catalog.ActiveEndpoint
		for number, endpoint := range endpoints {
			there := endpoint.DataCentre == evacuated
			switch {
			case stage == 1 && there:
				endpoint.LastRequestAt = now.Add(300 * time.Millisecond)
			case stage == 2 && there:
				view.Evacuated[evacuated] = true
				view.Leaving[service] = append(view.Leaving[service], endpoint)
				continue
			case stage == 3 && there:
				endpoint.ColdUntil, endpoint.ColdAssumed = now.Add(2*time.Second), true
			case stage >= 4 && number < 4:
				endpoint.StartedAt = 2
				if stage == 4 {
					endpoint.ColdUntil = now.Add(3 * time.Second)
				}
			case stage == 5 && number < 7:
				continue
			}
			kept = append(kept, endpoint)
		}
		view.Endpoints[service] = kept
	}
	return view
}

// arriveInTrouble places a request that may be larger than those of arrive, up to more than
// the memory of an engine, and now and then an endpoint asks for a pause, or leaves.
func (p *averagedPlay) arriveInTrouble() {
	p.arrive()
	// Prefixes that an engine got at the same time are evicted in any order.
	p.now = p.now.Add(time.Microsecond)
	req := p.request()
	req.PromptTokens *= 1 + p.rng.IntN(20)
	if req.Prefix == 0 && p.rng.IntN(2) == 0 {
		req.Deadline = p.now.Add(p.millis(800))
	}
	permit, refusal := p.pool.Try(req, p.now)
	if permit == nil && refusal == nil {
		refusal = p.pool.Refuse(req, p.now)
	}
	p.decided(req, permit, refusal)
	if permit == nil {
		return
	}
	switch p.rng.IntN(150) {
	case 0:
		p.pool.Note(permit.Endpoint.Endpoint, balance.Notice{Backoff: p.millis(300)}, p.now)
	case 1:
		if p.rng.IntN(3) == 0 {
			p.pool.Note(permit.Endpoint.Endpoint, balance.Notice{Leaving: true}, p.now)
		}
	}
}

// playTrouble is playAveraged through the stages of troubleView, twice, while daemons come
// and go.
func playTrouble(config *catalog.Config, daemons int) string {
	play := &averagedPlay{rng: rand.New(rand.NewPCG(58, uint64(daemons))), now: start, pool: balance.NewPool("north", "north-0", balance.Bounds{ColdOvershoot: 1.5, ColdSlack: 3})}
	const requests, stageRequests = 2800, 200
	part := float64(min(daemons, 8))
	for number := range requests {
		if number%stageRequests == 0 {
			stage := number / stageRequests
			live := fleetOf(max(daemons-stage%3, 1))
			serving := make([]balance.Daemon, 0, len(live))
			for i, vm := range live {
				serving = append(serving, balance.Daemon{VM: vm, DataCentre: types.DataCentre(fmt.Sprintf("north-%d", i%4/3))})
			}
			play.pool.Update(troubleView(config, stage%troubleStages, play.now), balance.Membership{
				Self: live[0], Live: live, SameDataCentre: live, Serving: serving, PeakLive: daemons, Joining: stage == 0 && daemons == 3,
			})
		}
		if number%100 == 0 {
			play.decisions.WriteByte('\n')
		}
		next := play.now.Add(play.millis(part * (1 + float64(max(number%1400-700, 700-number%1400))/40)))
		for len(play.events) > 0 && !play.events[0].at.After(next) {
			event := play.events[0]
			play.events, play.now = play.events[1:], event.at
			event.run()
			play.takeGrants()
		}
		play.now = next
		play.pool.GrantAll(play.now)
		play.takeGrants()
		play.arriveInTrouble()
	}
	return play.decisions.String() + "\n"
}

var _ = Describe("A configuration that does not call for predictions, in trouble", func() {
	// The files in testdata were written by the same playTrouble on a copy of commit 0b34bee,
	// with averagedFailure and averagedSuccess as for those of averaged_test.go.
	DescribeTable("is served with the decisions of before they were made", func(daemons int) {
		expectDecisions(playTrouble(averagedConfig(), daemons), fmt.Sprintf("trouble-%d.txt", daemons))
	},
		Entry("by the only daemon", 1),
		Entry("by one of three daemons", 3),
		Entry("by one of twelve daemons that share the endpoints", 12),
		Entry("by one of forty daemons, with few endpoints for each", 40))
})
