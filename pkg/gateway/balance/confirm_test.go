package balance_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
)

var _ = Describe("An endpoint that may turn cold while its data centre is evacuated", func() {
	const (
		// bound is the number of requests that the endpoint of view may get in one
		// second while it is cold.
		bound = 9.3*1.5 + 3
		step  = 10 * time.Millisecond
		span  = 4 * time.Second
		// checkInterval is the time between two looks for due checks, answerTime
		// the time until a check is answered.
		checkInterval = 50 * time.Millisecond
		answerTime    = 10 * time.Millisecond
		coldStart     = 3 * time.Second
	)

	evacuated := func(healthPath string) *catalog.View {
		v := view(1, 0, func(p *catalog.ActiveEndpoint) { p.LastRequestAt = start.Add(span) })
		v.Config.Services[engines].HealthPath = healthPath
		return v
	}

	// check is a health check that has been sent.
	type check struct {
		pool  *balance.Pool
		probe balance.Probe
		at    time.Time
	}

	// sendAll lets every daemon send as much as it may, while the endpoint, which
	// turns cold at coldAt, answers their checks. It returns the times of the
	// requests.
	sendAll := func(pools []*balance.Pool, coldAt time.Time) []time.Time {
		var sent []time.Time
		var checks []check
		for now := start; now.Before(start.Add(span)); now = now.Add(step) {
			for len(checks) > 0 && !checks[0].at.After(now) {
				var coldUntil time.Time
				if !checks[0].at.Before(coldAt) {
					coldUntil = coldAt.Add(coldStart)
				}
				checks[0].pool.RecordProbe(checks[0].probe, coldUntil)
				checks = checks[1:]
			}
			for _, pool := range pools {
				if permit, _ := pool.Permit(newRequest(engines, 0), now); permit != nil {
					sent = append(sent, now)
					pool.Done(permit, balance.Succeeded, now)
				}
				if now.Sub(start)%checkInterval != 0 {
					continue
				}
				due, pending := pool.DueConfirmations(now)
				Expect(pending).To(BeTrue())
				for _, probe := range due {
					checks = append(checks, check{pool: pool, probe: probe, at: now.Add(answerTime)})
				}
			}
		}
		return sent
	}

	// most returns the largest number of requests in any second from a time on.
	most := func(sent []time.Time, from time.Time) int {
		largest, first := 0, 0
		for i := range sent {
			for sent[first].Before(from) && first < i || sent[i].Sub(sent[first]) >= time.Second {
				first++
			}
			largest = max(largest, i-first+1)
		}
		return largest
	}

	DescribeTable("gets no more than the cold rate while no health check tells that it is warm", func(daemons int) {
		sent := sendAll(newFleet(evacuated(""), daemons), start)
		Expect(float64(most(sent, start))).To(BeNumerically("<=", bound))
		Expect(len(sent)).To(BeNumerically(">", 30))
	}, Entry("2 daemons", 2), Entry("3 daemons", 3), Entry("28 daemons", 28))

	DescribeTable("gets no more than the cold rate from the moment at which it turns cold", func(daemons int) {
		for at := time.Second; at < span; at += 235 * time.Millisecond {
			sent := sendAll(newFleet(evacuated("/well"), daemons), start.Add(at))
			Expect(float64(most(sent, start.Add(at)))).To(BeNumerically("<=", bound))
		}
	}, Entry("2 daemons", 2), Entry("3 daemons", 3), Entry("28 daemons", 28))

	DescribeTable("gets many times the cold rate while it answers that it is warm", func(daemons int) {
		sent := sendAll(newFleet(evacuated("/well"), daemons), start.Add(span))
		Expect(float64(len(sent)) / span.Seconds()).To(BeNumerically(">", 4*bound))
	}, Entry("2 daemons", 2), Entry("3 daemons", 3), Entry("28 daemons", 28))

	It("is checked only by daemons that use it, and not while it is known to be cold", func() {
		pool := newPool(evacuated("/well"), 1)
		due, pending := pool.DueConfirmations(start)
		Expect(due).To(BeEmpty())
		Expect(pending).To(BeTrue())
		for permit, _ := pool.Permit(newRequest(engines, 0), start); permit != nil; {
			permit, _ = pool.Permit(newRequest(engines, 0), start)
		}
		due, _ = pool.DueConfirmations(start)
		Expect(due).To(HaveLen(1))
		Expect(due[0].Path).To(Equal("/well"))
		again, _ := pool.DueConfirmations(start.Add(checkInterval))
		Expect(again).To(BeEmpty())
		pool.RecordProbe(due[0], start.Add(time.Second))
		again, _ = pool.DueConfirmations(start.Add(900 * time.Millisecond))
		Expect(again).To(BeEmpty())
	})

	It("is not warm because of the check of an earlier start", func() {
		v := evacuated("/well")
		pool := newPool(v, 1)
		use := func() {
			for permit, _ := pool.Permit(newRequest(engines, 0), start); permit != nil; {
				permit, _ = pool.Permit(newRequest(engines, 0), start)
			}
		}
		use()
		due, _ := pool.DueConfirmations(start)
		again := view(1, 0, func(p *catalog.ActiveEndpoint) { p.LastRequestAt, p.StartedAt = start.Add(span), 7 })
		again.Config = v.Config
		pool.Update(again, balance.Membership{Self: "d0", PeakLive: 1})
		use()
		due[0].DueAt = start.Add(time.Second)
		pool.RecordProbe(due[0], time.Time{})
		permit, _ := pool.Permit(newRequest(engines, 0), start)
		Expect(permit).To(BeNil())
	})

	It("is checked again when a check was not answered", func() {
		pool := newPool(evacuated("/well"), 1)
		for permit, _ := pool.Permit(newRequest(engines, 0), start); permit != nil; {
			permit, _ = pool.Permit(newRequest(engines, 0), start)
		}
		due, _ := pool.DueConfirmations(start)
		Expect(due).To(HaveLen(1))
		due, _ = pool.DueConfirmations(start.Add(500 * time.Millisecond))
		Expect(due).To(HaveLen(1))
	})

	It("counts the requests that were on their way when the check was sent", func() {
		pool := newPool(evacuated("/well"), 1)
		sentAt, count := start, 0
		for permit, _ := pool.Permit(newRequest(engines, 0), sentAt); permit != nil; count++ {
			permit, _ = pool.Permit(newRequest(engines, 0), sentAt)
		}
		Expect(count).To(BeNumerically(">", 0))
		due, _ := pool.DueConfirmations(sentAt.Add(20 * time.Millisecond))
		pool.RecordProbe(due[0], time.Time{})
		permit, _ := pool.Permit(newRequest(engines, 0), sentAt.Add(25*time.Millisecond))
		Expect(permit).To(BeNil())
		due, _ = pool.DueConfirmations(sentAt.Add(40 * time.Millisecond))
		pool.RecordProbe(due[0], time.Time{})
		Expect(requestPermit(pool, newRequest(engines, 0), sentAt.Add(45*time.Millisecond))).NotTo(BeNil())
	})

	It("gets nothing from daemons that have no share of its cold rate, whose requests do not wait for it", func() {
		sent, refused := 0, 0
		for _, pool := range newFleet(evacuated("/well"), 28) {
			permit, refusal := pool.Permit(newRequest(engines, 0), start)
			if permit != nil {
				sent++
			}
			if refusal != nil && refusal.NoEndpoint {
				refused++
			}
		}
		// 0.75 of the bound of 16.95 requests, one from each sender.
		Expect(sent).To(Equal(12))
		Expect(refused).To(Equal(16))
	})

	It("needs no checks once it gets no more requests", func() {
		_, pending := newPool(evacuated("/well"), 1).DueConfirmations(start.Add(span))
		Expect(pending).To(BeFalse())
	})
})
