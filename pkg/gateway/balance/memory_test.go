package balance_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
)

var _ = Describe("The memory of an engine", func() {
	prompt := func(prefix uint64) balance.RequestInfo {
		req := withPrefix(prefix)
		req.PromptTokens, req.OutputTokens = 90_000, 10_000
		return req
	}

	It("is not given more than it holds, since it would put requests back", func() {
		pool := newPool(view(1, 0, nil), 1)
		var permits []*balance.Permit
		for prefix := range uint64(3) {
			permit := requestPermit(pool, prompt(prefix+1), start)
			Expect(permit).NotTo(BeNil())
			pool.ResponseStarted(permit, start.Add(readTime))
			permits = append(permits, permit)
		}
		Expect(requestPermit(pool, prompt(4), start.Add(readTime))).To(BeNil())
		pool.Done(permits[0], balance.Succeeded, start.Add(2*readTime))
		Expect(requestPermit(pool, prompt(4), start.Add(2*readTime))).NotTo(BeNil())
	})

	It("is not taken by a request that names a response of any length, since engines take memory as they write", func() {
		pool := newPool(view(1, 0, nil), 1)
		endless := newRequest(engines, 0)
		endless.PromptTokens, endless.OutputTokens = 100, 100_000_000
		Expect(requestPermit(pool, endless, start)).NotTo(BeNil())
		Expect(requestPermit(pool, newRequest(engines, 0), start)).NotTo(BeNil())
	})

	It("holds a prefix once that several requests share", func() {
		pool := newPool(view(1, 0, nil), 1)
		count := func(share bool) (placed int) {
			for number := range uint64(30) {
				req := withPrefix(1)
				if !share {
					req.Prefix = 100 + number
				}
				permit := requestPermit(pool, req, start)
				if permit == nil {
					break
				}
				pool.ResponseStarted(permit, start.Add(readTime))
				placed++
				defer pool.Done(permit, balance.Succeeded, start.Add(readTime))
			}
			return placed
		}
		Expect(count(true)).To(Equal(30))
		Expect(count(false)).To(Equal(18))
	})

	// room returns a pool with an engine that is never idle, and how many prompts it takes.
	room := func(pool *balance.Pool) int {
		var permits []*balance.Permit
		for prefix := range uint64(9) {
			permit := requestPermit(pool, prompt(500+prefix), start)
			if permit == nil {
				break
			}
			pool.ResponseStarted(permit, start.Add(readTime))
			permits = append(permits, permit)
		}
		for _, permit := range permits {
			pool.Done(permit, balance.Succeeded, start.Add(readTime))
		}
		return len(permits)
	}
	busyPool := func() *balance.Pool {
		pool := newPool(view(1, 0, nil), 1)
		small := requestPermit(pool, newRequest(engines, 0), start)
		pool.ResponseStarted(small, start)
		return pool
	}

	It("is given back in full when a prompt beyond it shared a prefix", func() {
		pool := busyPool()
		before := room(pool)
		for range 5 {
			first, beyond := prompt(1), prompt(1)
			first.PromptTokens, first.PrefixTokens = 90_000, 80_000
			beyond.PromptTokens, beyond.PrefixTokens = 400_000, 80_000
			one := requestPermit(pool, first, start)
			Expect(one).NotTo(BeNil())
			pool.ResponseStarted(one, start)
			other := requestPermit(pool, beyond, start)
			Expect(other).NotTo(BeNil())
			pool.Done(one, balance.Succeeded, start)
			pool.Done(other, balance.Abandoned, start)
		}
		Expect(room(pool)).To(Equal(before))
	})

	It("is given back in full when its size changed meanwhile", func() {
		pool := busyPool()
		before := room(pool)
		resize := func(tokens int) {
			v := view(1, 0, nil)
			v.Config.Services[engines].Engine.CacheTokens = tokens
			pool.Update(v, balance.Membership{Self: "d0", PeakLive: 1})
		}
		for prefix := range uint64(5) {
			permit := requestPermit(pool, prompt(prefix+1), start)
			Expect(permit).NotTo(BeNil())
			pool.ResponseStarted(permit, start)
			resize(80_000)
			pool.Done(permit, balance.Succeeded, start)
			resize(350_000)
		}
		Expect(room(pool)).To(Equal(before))
	})

	It("takes a prompt that fills nearly all of it only if nothing else runs", func() {
		pool := newPool(view(1, 0, nil), 1)
		large := prompt(1)
		large.PromptTokens = 330_000
		small := requestPermit(pool, newRequest(engines, 0), start)
		pool.ResponseStarted(small, start)
		Expect(requestPermit(pool, large, start)).To(BeNil())
		pool.Done(small, balance.Succeeded, start)
		Expect(requestPermit(pool, large, start)).NotTo(BeNil())
	})

	It("takes a prompt of any size if nothing else runs", func() {
		pool := newPool(view(1, 0, nil), 1)
		huge := withPrefix(1)
		huge.PromptTokens = 1 << 40
		Expect(requestPermit(pool, huge, start)).NotTo(BeNil())
	})
})
