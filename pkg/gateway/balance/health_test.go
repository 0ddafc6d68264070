package balance_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/types"
)

var _ = Describe("Pool", func() {
	Describe("health", func() {
		It("avoids an endpoint that can't be reached, and tries it again with one request", func() {
			pool := newPool(view(0, 2, nil), 1)
			first := requestPermit(pool, newRequest(desk, 1), start)
			pool.Done(first, balance.ConnectFailed, start)
			for range 5 {
				Expect(requestPermit(pool, newRequest(desk, 1), start).Endpoint.ID).NotTo(Equal(first.Endpoint.ID))
			}
			later := start.Add(time.Second)
			probes := 0
			for range 5 {
				if requestPermit(pool, newRequest(desk, 1), later).Endpoint.ID == first.Endpoint.ID {
					probes++
				}
			}
			Expect(probes).To(Equal(1))
		})

		It("goes on using endpoints when all of them fail", func() {
			pool := newPool(view(0, 2, nil), 1)
			now := start
			for range 200 {
				now = now.Add(50 * time.Millisecond)
				permit := requestPermit(pool, newRequest(desk, 1), now)
				Expect(permit).NotTo(BeNil())
				pool.Done(permit, balance.ServerError, now)
			}
		})

		It("prefers an endpoint that fails less", func() {
			pool := newPool(view(0, 2, nil), 1)
			now, counts := start, map[types.EndpointID]int{}
			for range 400 {
				now = now.Add(10 * time.Millisecond)
				permit := requestPermit(pool, newRequest(desk, 1), now)
				counts[permit.Endpoint.ID]++
				result := balance.Succeeded
				if permit.Endpoint.ID == "desk-0" {
					result = balance.ServerError
				}
				pool.Done(permit, result, now)
			}
			Expect(counts["desk-0"]).To(BeNumerically("<", 40))
		})

		It("avoids an endpoint that takes requests and answers nothing", func() {
			pool := newPool(view(2, 0, nil), 1)
			hung := requestPermit(pool, newRequest(engines, 1), start)
			later := start.Add(time.Second)
			for range 20 {
				Expect(requestPermit(pool, newRequest(engines, 1), later).Endpoint.ID).NotTo(Equal(hung.Endpoint.ID))
			}
		})

		It("does not choose an endpoint twice for one request", func() {
			pool := newPool(view(0, 2, nil), 1)
			req := newRequest(desk, 1)
			req.Tried = []types.EndpointID{"desk-0"}
			Expect(requestPermit(pool, req, start).Endpoint.ID).To(BeEquivalentTo("desk-1"))
			req.Tried = append(req.Tried, "desk-1")
			_, refusal := pool.Permit(req, start)
			Expect(refusal.NoEndpoint).To(BeTrue())
		})
	})
})
