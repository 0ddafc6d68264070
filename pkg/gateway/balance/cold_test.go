package balance_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	gomegatypes "github.com/onsi/gomega/types"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
)

var _ = Describe("Pool", func() {
	Describe("cold endpoints", func() {
		coldView := func() *catalog.View {
			return view(1, 0, func(p *catalog.ActiveEndpoint) { p.ColdUntil = start.Add(time.Minute) })
		}

		DescribeTable("get no more than the bound in any second from daemons that can't ask each other", func(daemons int) {
			var sent []time.Time
			pools := newFleet(coldView(), daemons)
			for step := range 800 {
				now := start.Add(time.Duration(step) * 5 * time.Millisecond)
				for _, pool := range pools {
					if permit, _ := pool.Permit(newRequest(engines, 0), now); permit != nil {
						sent = append(sent, now)
						pool.Done(permit, balance.Succeeded, now)
					}
				}
			}
			const bound = 9.3*1.5 + 3
			for i := range sent {
				count := 0
				for _, other := range sent[i:] {
					if other.Sub(sent[i]) < time.Second {
						count++
					}
				}
				Expect(float64(count)).To(BeNumerically("<=", bound))
			}
			Expect(len(sent)).To(BeNumerically(">", 30))
		}, Entry("3 daemons", 3), Entry("28 daemons", 28))

		// sendAll lets every daemon send as much as it may for some seconds and
		// returns the largest number of requests in any second.
		sendAll := func(pools []*balance.Pool) int {
			var sent []time.Time
			for step := range 800 {
				now := start.Add(time.Duration(step) * 5 * time.Millisecond)
				for _, pool := range pools {
					if permit, _ := pool.Permit(newRequest(engines, 0), now); permit != nil {
						sent = append(sent, now)
						pool.Done(permit, balance.Succeeded, now)
					}
				}
			}
			most := 0
			for i := range sent {
				count := 0
				for _, other := range sent[i:] {
					if other.Sub(sent[i]) < time.Second {
						count++
					}
				}
				most = max(most, count)
			}
			return most
		}

		// split builds the pools of daemons that saw each other before a
		// partition left them in groups.
		split := func(daemons, group int) []*balance.Pool {
			var pools []*balance.Pool
			for first := 0; first < daemons; first += group {
				var live []types.VMID
				for i := first; i < min(first+group, daemons); i++ {
					live = append(live, types.VMID(fmt.Sprintf("d%d", i)))
				}
				for _, vm := range live {
					pool := balance.NewPool("north", "north-a", balance.Bounds{ColdOvershoot: 1.5, ColdSlack: 3})
					pool.Update(coldView(), balance.Membership{Self: vm, Live: live, SameDataCentre: live, PeakLive: daemons})
					pools = append(pools, pool)
				}
			}
			return pools
		}

		DescribeTable("get no more than the bound on all sides of a partition together", func(daemons, group int) {
			Expect(float64(sendAll(split(daemons, group)))).To(BeNumerically("<=", 9.3*1.5+3))
		}, Entry("halves", 28, 14), Entry("thirds", 27, 9), Entry("one daemon cut off", 28, 27), Entry("two of three", 3, 2), Entry("one of two", 2, 1), Entry("each alone", 3, 1))

		// The rate of slow engines: the shares of three daemons come to one
		// request per second each when they are rounded down twice.
		slowView := func() *catalog.View {
			v := coldView()
			v.Config.Services[engines].ColdPerSecond = 2.4
			return v
		}
		const slowBound = 2.4*1.5 + 3

		Describe("whose cold time is only assumed", func() {
			assumed := func() *catalog.View {
				return view(2, 0, func(p *catalog.ActiveEndpoint) { p.ColdUntil, p.ColdAssumed = start.Add(4*time.Second), true })
			}
			checked := func(v *catalog.View) *balance.Pool {
				v.Config.Services[engines].HealthPath = "/well"
				return newPool(v, 1)
			}
			// granted counts the requests that the pool sends at a time.
			granted := func(pool *balance.Pool, now time.Time) int {
				count := 0
				for range 200 {
					if permit, _ := pool.Permit(newRequest(engines, 0), now); permit != nil {
						count++
					}
				}
				return count
			}

			It("get their full load once a health check has found them warm", func() {
				pool := checked(assumed())
				due := pool.DueProbes(start)
				Expect(due).To(HaveLen(2))
				Expect(due[0].Path).To(Equal("/well"))
				for _, probe := range due {
					pool.RecordProbe(probe, start)
				}
				Expect(granted(pool, start)).To(BeNumerically(">", 60))
				Expect(pool.DueProbes(start.Add(time.Second))).To(BeEmpty())
			})

			DescribeTable("stay cold for as long as the health check says", func(after time.Duration, matcher gomegatypes.GomegaMatcher) {
				pool := checked(assumed())
				for _, probe := range pool.DueProbes(start) {
					pool.RecordProbe(probe, start.Add(time.Second))
				}
				Expect(granted(pool, start.Add(after))).To(matcher)
			},
				Entry("before", 900*time.Millisecond, BeNumerically("<", 20)),
				Entry("after", 1100*time.Millisecond, BeNumerically(">", 60)),
			)

			It("stay cold while no health check has answered, and are checked again", func() {
				pool := checked(assumed())
				Expect(pool.DueProbes(start)).To(HaveLen(2))
				Expect(pool.DueProbes(start.Add(100 * time.Millisecond))).To(BeEmpty())
				Expect(pool.DueProbes(start.Add(time.Second))).To(HaveLen(2))
				Expect(granted(pool, start.Add(time.Second))).To(BeNumerically("<", 20))
			})

			It("keep a cold time that was announced after the check", func() {
				pool := checked(assumed())
				due := pool.DueProbes(start)
				announced := view(2, 0, func(p *catalog.ActiveEndpoint) { p.ColdUntil = start.Add(5 * time.Second) })
				pool.Update(announced, balance.Membership{Self: "d0", PeakLive: 1})
				for _, probe := range due {
					pool.RecordProbe(probe, start)
				}
				Expect(granted(pool, start)).To(BeNumerically("<", 20))
			})
		})

		DescribeTable("get nearly all that they can serve from the daemons of a small region", func(daemons int) {
			most := sendAll(newFleet(slowView(), daemons))
			Expect(most).To(BeNumerically("<=", slowBound))
			Expect(most).To(BeNumerically(">=", 6))
		}, Entry("two daemons", 2), Entry("three daemons", 3))

		It("get no more than the bound when one of three daemons has restarted and reaches only one of the others", func() {
			pools := []*balance.Pool{}
			for _, m := range []balance.Membership{
				// d0 has restarted and knows the number of daemons from d1.
				{Self: "d0", Live: []types.VMID{"d0", "d1"}, PeakLive: 3},
				{Self: "d1", Live: []types.VMID{"d0", "d1", "d2"}, PeakLive: 3},
				{Self: "d2", Live: []types.VMID{"d1", "d2"}, PeakLive: 3},
			} {
				pool := balance.NewPool("north", "north-a", balance.Bounds{ColdOvershoot: 1.5, ColdSlack: 3})
				pool.Update(slowView(), m)
				pools = append(pools, pool)
			}
			Expect(sendAll(pools)).To(BeNumerically("<=", slowBound))
		})

		It("get no more than the bound when one of two daemons has restarted and is cut off", func() {
			alone := balance.NewPool("north", "north-a", balance.Bounds{ColdOvershoot: 1.5, ColdSlack: 3})
			alone.Update(slowView(), balance.Membership{Self: "d0", Live: []types.VMID{"d0"}, PeakLive: 1})
			other := balance.NewPool("north", "north-a", balance.Bounds{ColdOvershoot: 1.5, ColdSlack: 3})
			other.Update(slowView(), balance.Membership{Self: "d1", Live: []types.VMID{"d1"}, PeakLive: 2})
			Expect(sendAll([]*balance.Pool{alone, other})).To(BeNumerically("<=", slowBound))
		})

		It("are left to others by daemons that have just started", func() {
			var pools []*balance.Pool
			for i := range 28 {
				pool := balance.NewPool("north", "north-a", balance.Bounds{ColdOvershoot: 1.5, ColdSlack: 3})
				self := types.VMID(fmt.Sprintf("d%d", i))
				pool.Update(coldView(), balance.Membership{Self: self, Live: []types.VMID{self}, PeakLive: 1, Joining: true})
				pools = append(pools, pool)
			}
			Expect(float64(sendAll(pools))).To(BeNumerically("<=", 9.3*1.5+3))
		})

		DescribeTable("get no more than the bound while daemons of a small region that know each other have just started", func(joining, allowed int) {
			live := fleetOf(3)
			var pools []*balance.Pool
			for i, self := range live {
				pool := balance.NewPool("north", "north-a", balance.Bounds{ColdOvershoot: 1.5, ColdSlack: 3})
				pool.Update(coldView(), balance.Membership{Self: self, Live: live, PeakLive: 3, Joining: i < joining})
				pools = append(pools, pool)
			}
			most := sendAll(pools)
			Expect(float64(most)).To(BeNumerically("<=", 9.3*1.5+3))
			Expect(most).To(Equal(allowed))
		}, Entry("one of three", 1, 11), Entry("all", 3, 3))

		It("are bounded by a daemon that does not know the others yet", func() {
			pool := newPool(coldView(), 1)
			sent := 0
			for range 50 {
				if permit, _ := pool.Permit(newRequest(engines, 0), start); permit != nil {
					sent++
				}
			}
			Expect(3 * sent).To(BeNumerically("<=", 16))
		})

		It("are assumed after an endpoint came back from a failure", func() {
			pool := newPool(view(1, 0, nil), 3)
			permit := requestPermit(pool, newRequest(engines, 0), start)
			pool.Done(permit, balance.ConnectFailed, start)
			back := start.Add(time.Second)
			pool.Done(requestPermit(pool, newRequest(engines, 0), back), balance.Succeeded, back)
			sent := 0
			for range 50 {
				if permit, _ := pool.Permit(newRequest(engines, 0), back); permit != nil {
					sent++
				}
			}
			Expect(sent).To(BeNumerically("<=", 4))
		})
	})
})
