package balance_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
)

var _ = Describe("An endpoint that turns cold without news of it", func() {
	const (
		// bound is the number of requests that the endpoint of view may get in one
		// second while it is cold.
		bound         = 9.3*1.5 + 3
		step          = 10 * time.Millisecond
		checkInterval = 50 * time.Millisecond
		answerTime    = 10 * time.Millisecond
		coldStart     = 3 * time.Second
		// lastNews is when the store is read for the last time, missing when that is
		// too long ago, back when it answers again, settled when its news is trusted.
		lastNews = time.Second
		missing  = lastNews + 2*time.Second
		back     = 6 * time.Second
		settled  = back + 2200*time.Millisecond
		span     = 10 * time.Second
		newsEach = 1300 * time.Millisecond
	)

	published := func(healthPath string, coldUntil time.Time) *catalog.View {
		v := view(1, 0, func(p *catalog.ActiveEndpoint) { p.ColdUntil = coldUntil })
		v.Config.Services[engines].HealthPath = healthPath
		return v
	}

	// tellNews tells a daemon what it knows of the store, which is away from lastNews
	// to back.
	tellNews := func(pool *balance.Pool, now time.Time) {
		since := now.Sub(start)
		if away := since > lastNews && since < back; !away && since%newsEach < step {
			pool.RecordNews(now, now)
		}
	}

	type check struct {
		pool  *balance.Pool
		probe balance.Probe
		at    time.Time
	}

	// play lets every daemon send as much as it may, while the endpoint, which turns
	// cold at coldAt, answers their checks. Tell changes what daemons know meanwhile.
	play := func(pools []*balance.Pool, coldAt time.Duration, tell func(pool *balance.Pool, now time.Time)) (sent []time.Time, checked int) {
		var checks []check
		for now := start; now.Before(start.Add(span)); now = now.Add(step) {
			for len(checks) > 0 && !checks[0].at.After(now) {
				var coldUntil time.Time
				if end := start.Add(coldAt + coldStart); !checks[0].at.Before(start.Add(coldAt)) && now.Before(end) {
					coldUntil = end
				}
				checks[0].pool.RecordProbe(checks[0].probe, coldUntil)
				checks = checks[1:]
			}
			for _, pool := range pools {
				tell(pool, now)
				if permit, _ := pool.Permit(newRequest(engines, 0), now); permit != nil {
					sent = append(sent, now)
					pool.Done(permit, balance.Succeeded, now)
				}
				if now.Sub(start)%checkInterval != 0 {
					continue
				}
				due, _ := pool.DueConfirmations(now)
				for _, probe := range due {
					checked++
					checks = append(checks, check{pool: pool, probe: probe, at: now.Add(answerTime)})
				}
			}
		}
		return sent, checked
	}

	// within returns the requests from one time on and before another.
	within := func(sent []time.Time, from, to time.Duration) (found []time.Time) {
		for _, at := range sent {
			if !at.Before(start.Add(from)) && at.Before(start.Add(to)) {
				found = append(found, at)
			}
		}
		return found
	}

	// most returns the largest number of requests in any second.
	most := func(sent []time.Time) int {
		largest, first := 0, 0
		for i := range sent {
			for sent[i].Sub(sent[first]) >= time.Second {
				first++
			}
			largest = max(largest, i-first+1)
		}
		return largest
	}

	// mostWhileCold is the largest number of requests in any second while it is cold.
	mostWhileCold := func(sent []time.Time, coldAt time.Duration) float64 {
		return float64(most(within(sent, coldAt, coldAt+coldStart)))
	}

	fleetSizes := []TableEntry{Entry("1 daemon", 1), Entry("2 daemons", 2), Entry("3 daemons", 3), Entry("5 daemons", 5), Entry("8 daemons", 8), Entry("28 daemons", 28)}

	DescribeTable("gets no more than the cold rate while the store is away and until entries tell again", func(daemons int) {
		for coldAt := missing; coldAt+coldStart <= settled; coldAt += 435 * time.Millisecond {
			sent, _ := play(newFleet(published("/well", time.Time{}), daemons), coldAt, tellNews)
			Expect(mostWhileCold(sent, coldAt)).To(BeNumerically("<=", bound), "cold at %s", coldAt)
		}
	}, fleetSizes)

	DescribeTable("gets no more than the cold rate while only some daemons know that it is cold", func(daemons int) {
		coldAt := missing + 500*time.Millisecond
		pools := newFleet(published("/well", time.Time{}), daemons)
		live := fleetOf(daemons)
		told := false
		sent, _ := play(pools, coldAt, func(pool *balance.Pool, now time.Time) {
			tellNews(pool, now)
			if told || now.Sub(start) < coldAt+100*time.Millisecond {
				return
			}
			told = true
			for i := 0; i < daemons; i += 2 {
				pools[i].Update(published("/well", start.Add(coldAt+coldStart)), balance.Membership{Self: live[i], Live: live, SameDataCentre: live, PeakLive: daemons})
			}
		})
		Expect(mostWhileCold(sent, coldAt)).To(BeNumerically("<=", bound))
	}, fleetSizes)

	DescribeTable("gets no more than the cold rate while the store is away if its health checks are not answered", func(daemons int) {
		sent, _ := play(newFleet(published("", time.Time{}), daemons), missing, tellNews)
		Expect(float64(most(within(sent, missing, settled)))).To(BeNumerically("<=", bound))
	}, fleetSizes)

	DescribeTable("gets many times the cold rate while it answers that it is warm", func(daemons int) {
		sent, checked := play(newFleet(published("/well", time.Time{}), daemons), span, tellNews)
		Expect(float64(len(within(sent, missing, settled))) / (settled - missing).Seconds()).To(BeNumerically(">", 2*bound))
		Expect(checked).To(BeNumerically(">", 0))
	}, fleetSizes)

	It("is not checked while there is news of the store", func() {
		pools := newFleet(published("/well", time.Time{}), 3)
		sent, checked := play(pools, span, func(pool *balance.Pool, now time.Time) {
			if now.Sub(start)%newsEach < step {
				pool.RecordNews(now, now)
			}
			_, pending := pool.DueConfirmations(now)
			Expect(pending).To(BeFalse())
		})
		Expect(checked).To(BeZero())
		Expect(float64(len(sent)) / span.Seconds()).To(BeNumerically(">", 4*bound))
	})

	DescribeTable("is not limited while the store is read with each watch, however long one waits", func(watchTimeout time.Duration) {
		const onTheWay = 200 * time.Millisecond
		pool := balance.NewPool("north", "north-a", balance.Bounds{ColdOvershoot: 1.5, ColdSlack: 3, WatchTimeout: watchTimeout})
		pool.Update(published("/well", time.Time{}), balance.Membership{Self: "a", Live: []types.VMID{"a"}, PeakLive: 1})
		for since := time.Duration(0); since < span; since += watchTimeout {
			pool.RecordNews(start.Add(since), start.Add(since+onTheWay))
			for at := since + onTheWay; at < since+watchTimeout+onTheWay; at += step {
				permit, _ := pool.Permit(newRequest(engines, 0), start.Add(at))
				Expect(permit).NotTo(BeNil(), "at %s", at)
				pool.Done(permit, balance.Succeeded, start.Add(at))
				due, _ := pool.DueConfirmations(start.Add(at))
				Expect(due).To(BeEmpty(), "at %s", at)
			}
		}
	}, Entry("1.2 s", 1200*time.Millisecond), Entry("2 s", 2*time.Second), Entry("3.2 s", 3200*time.Millisecond))

	It("is looked after before the news is too old, not only with the next snapshot", func() {
		pool := newPool(published("/well", time.Time{}), 1)
		pool.RecordNews(start, start)
		_, pending := pool.DueConfirmations(start.Add(missing - lastNews - 500*time.Millisecond))
		Expect(pending).To(BeTrue())
	})

	It("counts the requests that it got before the news became too old", func() {
		pool := newPool(published("/well", time.Time{}), 1)
		pool.RecordNews(start, start)
		before, after := start.Add(missing-lastNews-step), start.Add(missing-lastNews+step)
		for range 10 {
			pool.Done(requestPermit(pool, newRequest(engines, 0), before), balance.Succeeded, before)
		}
		permit, _ := pool.Permit(newRequest(engines, 0), after)
		Expect(permit).To(BeNil())
	})

	It("is not limited by news that arrives late but was read in time", func() {
		pool := newPool(published("/well", time.Time{}), 1)
		pool.RecordNews(start, start)
		pool.RecordNews(start.Add(time.Second), start.Add(1900*time.Millisecond))
		for range 10 {
			at := start.Add(2900 * time.Millisecond)
			pool.Done(requestPermit(pool, newRequest(engines, 0), at), balance.Succeeded, at)
		}
	})
})
