package balance_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// callForPredictions makes a configuration call for predictions, by routes to another service
// than those of the specs.
func callForPredictions(config *catalog.Config) {
	const chat = types.ServiceName("chat")
	backends := []catalog.Backend{{Service: chat, Weight: 1}}
	config.Services[chat] = &catalog.Service{Name: chat, Engine: &catalog.Engine{}}
	config.Routes = append(config.Routes,
		&catalog.Route{Rank: 0, Objective: 500 * time.Millisecond, Timeout: 5 * time.Second, Backends: backends},
		&catalog.Route{Rank: 1, Objective: time.Second, Timeout: 10 * time.Second, Backends: backends})
	config.Prepare()
}

var _ = Describe("A configuration that begins or ceases to call for predictions", func() {
	const took = 300 * time.Millisecond
	predicting, other := averagedConfig(), averagedConfig()
	callForPredictions(predicting)

	// answered plays responses to small requests, the last of which is 0.1 s old at the end.
	answered := func(pool *balance.Pool, now time.Time) time.Time {
		for range 20 {
			permit := requestPermit(pool, newRequest(engines, 0), now)
			pool.ResponseStarted(permit, now.Add(took))
			permit.SetPace(balance.Pace{Mean: 30 * time.Millisecond, Longest: 50 * time.Millisecond})
			pool.Done(permit, balance.Succeeded, now.Add(took))
			now = now.Add(took + 100*time.Millisecond)
		}
		return now
	}

	It("switches between what is learned and the constants", func() {
		pool := newPool(averagedView(other, 0), 1)
		now := answered(pool, start)
		Expect(pool.Response(engines, now)).To(BeZero())
		pool.Update(averagedView(predicting, 0), balance.Membership{Self: "d0", PeakLive: 1})
		now = answered(pool, now)
		Expect(pool.Response(engines, now)).To(BeNumerically("~", took, 10*time.Millisecond))
		Expect(requestPermit(pool, newRequest(engines, 0), now).Prediction().Certainty).To(BeNumerically(">", 0))
		pool.Update(averagedView(other, 0), balance.Membership{Self: "d0", PeakLive: 1})
		Expect(pool.Response(engines, now)).To(BeZero())
		Expect(requestPermit(pool, newRequest(engines, 0), now).Prediction().Certainty).To(BeZero())
	})

	It("renews what is known of endpoints that are not published at that time", func() {
		pool := newPool(averagedView(other, 0), 1)
		now := answered(pool, start)
		gone := averagedView(predicting, 0)
		gone.Endpoints[engines] = nil
		pool.Update(gone, balance.Membership{Self: "d0", PeakLive: 1})
		pool.Update(averagedView(predicting, 0), balance.Membership{Self: "d0", PeakLive: 1})
		for range 14 { // one at each
			permit := requestPermit(pool, newRequest(engines, 0), now)
			Expect(permit).NotTo(BeNil())
			Expect(permit.Prediction().Gap).To(BeNumerically(">", 0), "only what is learned predicts it")
		}
	})

	It("counts a refusal by a full endpoint as a long response where it predicts", func() {
		for config, response := range map[*catalog.Config]time.Duration{predicting: 600 * time.Millisecond, other: 0} {
			pool := newPool(averagedView(config, 0), 1)
			for range 5 {
				pool.Done(requestPermit(pool, newRequest(desk, 0), start), balance.Refused, start.Add(time.Millisecond))
			}
			Expect(pool.Response(desk, start.Add(time.Millisecond))).To(Equal(response))
		}
	})

	It("counts one response of a request, whatever is told of it later", func() {
		for _, config := range []*catalog.Config{predicting, other} {
			pool := newPool(averagedView(config, 0), 1)
			permit := requestPermit(pool, newRequest(engines, 0), start)
			pool.ResponseStarted(permit, start.Add(took))
			pool.ResponseFailed(permit, start.Add(time.Second))
			pool.ResponseStarted(permit, start.Add(time.Second))
			var again *balance.Permit
			for again == nil || again.Endpoint.ID != permit.Endpoint.ID {
				again = requestPermit(pool, newRequest(engines, 0), start.Add(time.Second))
				Expect(again).NotTo(BeNil())
			}
			Expect(again.Prediction().FirstEvent).To(BeNumerically("~", took, took/4))
		}
	})

	It("shares endpoints between groups of daemons that overlap only where it predicts", func() {
		live := fleetOf(12)
		groups := func(config *catalog.Config) int {
			users := map[types.EndpointID]string{}
			for _, vm := range live {
				pool := balance.NewPool("north", "north-0", balance.Bounds{})
				pool.Update(averagedView(config, 0), balance.Membership{Self: vm, Live: live, SameDataCentre: live, PeakLive: len(live)})
				for _, endpoint := range pool.Explain(newRequest(engines, 0), start).Endpoints {
					if endpoint.Drop != balance.DroppedUnassigned {
						users[endpoint.Endpoint] += string(vm) + " "
					}
				}
			}
			Expect(users).To(HaveLen(10))
			found := map[string]bool{}
			for _, group := range users {
				found[group] = true
			}
			return len(found)
		}
		Expect(groups(other)).To(Equal(3))
		Expect(groups(predicting)).To(BeNumerically(">", 3))
	})

	DescribeTable("keeps the requests in flight, and learns from their responses", func(before, after *catalog.Config) {
		pool := newPool(averagedView(before, 0), 1)
		var permits []*balance.Permit
		for range 30 {
			permits = append(permits, requestPermit(pool, newRequest(engines, 0), start))
		}
		pool.Update(averagedView(after, 0), balance.Membership{Self: "d0", PeakLive: 1})
		Expect(pool.InFlight()[engines]).To(Equal(30))
		for _, permit := range permits {
			pool.ResponseStarted(permit, start.Add(took))
		}
		slow := requestPermit(pool, newRequest(engines, 0), start.Add(took)).Prediction().FirstEvent
		Expect(slow).To(BeNumerically(">", took/2))
		for _, permit := range permits {
			pool.Done(permit, balance.Succeeded, start.Add(2*took))
		}
		Expect(pool.InFlight()[engines]).To(Equal(1))
	},
		Entry("when it begins", other, predicting),
		Entry("when it ceases", predicting, other))
})

var _ = Describe("A configuration that begins and ceases to call for predictions in trouble", func() {
	It("leaves nothing in flight or counted when all requests have ended", func() {
		predicting := averagedConfig()
		callForPredictions(predicting)
		configs := []*catalog.Config{averagedConfig(), predicting}
		play := &averagedPlay{rng: rand.New(rand.NewPCG(59, 1)), now: start, pool: balance.NewPool("north", "north-0", balance.Bounds{ColdOvershoot: 1.5, ColdSlack: 3})}
		update := func(number, stage int) {
			play.pool.Update(troubleView(configs[number%2], stage, play.now), balance.Membership{Self: "d0", PeakLive: 1})
		}
		advance := func(until time.Time) {
			for len(play.events) > 0 && !play.events[0].at.After(until) {
				event := play.events[0]
				play.events, play.now = play.events[1:], event.at
				event.run()
				play.takeGrants()
			}
			play.now = until
			play.pool.GrantAll(play.now)
			play.takeGrants()
		}
		for number := range 3000 {
			if number%50 == 0 {
				update(number/50, number/200%troubleStages)
			}
			advance(play.now.Add(play.millis(8)))
			play.arriveInTrouble()
		}
		update(0, 0)
		advance(play.now.Add(5 * time.Minute))
		Expect(play.waiting).To(BeEmpty())
		Expect(play.pool.InFlight()).To(HaveEach(BeZero()))
		for _, endpoint := range play.pool.Explain(newRequest(engines, 0), play.now).Endpoints {
			Expect(endpoint.BacklogTokens).To(BeZero(), string(endpoint.Endpoint))
		}
	})
})
