package proxy_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
)

var _ = Describe("An endpoint that asks for a pause", func() {
	const pause = 400 * time.Millisecond

	DescribeTable("gets no request until its end, and then again", func(respond http.HandlerFunc) {
		w := newTestProxy(catalog.Idempotent)
		w.route.MaxAttempts = 1
		var mu sync.Mutex
		var asked time.Time
		near := newEndpoint(func(rw http.ResponseWriter, r *http.Request) {
			mu.Lock()
			first := asked.IsZero()
			if first {
				asked = time.Now()
			}
			mu.Unlock()
			if first {
				respond(rw, r)
				return
			}
			respondOK(rw, r)
		})
		startNearAndFar(w, near, newEndpoint(respondOK))
		Expect(w.call("GET", "/r/", "").status).To(Equal(503))
		for time.Since(asked) < pause {
			Expect(w.call("GET", "/r/", "").status).To(Equal(200))
			if time.Since(asked) < pause {
				Expect(near.count()).To(Equal(1))
			}
		}
		Eventually(func() int {
			w.call("GET", "/r/", "")
			return near.count()
		}, eventuallyTimeout).Should(BeNumerically(">", 1))
	},
		Entry("with a refusal", asksPause(pause)),
		Entry("with a 503 that does not say whether the request was run", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			signResponse(w, r)
			w.Header().Set(headerBackoff, pause.String())
			w.WriteHeader(http.StatusServiceUnavailable)
		})),
	)

	It("makes a request that can't wait be refused at once, with the time until the end", func() {
		w := newTestProxy(catalog.Idempotent)
		only := newEndpoint(asksPause(20 * time.Second))
		w.start(only)
		for range 5 {
			began := time.Now()
			resp := w.call("GET", "/r/", "")
			Expect(time.Since(began)).To(BeNumerically("<", w.route.Objective))
			Expect(resp.status).To(Equal(503))
			Expect(resp.body).To(ContainSubstring(string(types.CodePaused)))
			advice, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
			Expect(err).NotTo(HaveOccurred())
			Expect(advice).To(BeNumerically("~", 25, 6))
		}
		Expect(only.count()).To(Equal(1))
	})

	It("gets a request that can wait when the pause has ended", func() {
		w := newTestProxy(catalog.Idempotent)
		only := newEndpoint(respondOK)
		w.start(only)
		ctx, stop := context.WithCancel(context.Background())
		var running conc.WaitGroup
		running.Go(func() { w.gate.Run(ctx) })
		DeferCleanup(func() {
			stop()
			running.Wait()
		})
		began := time.Now()
		w.gate.Note(w.endpointOf(0), balance.Notice{Backoff: pause})
		Expect(w.call("GET", "/r/", "").status).To(Equal(200))
		Expect(time.Since(began)).To(BeNumerically(">=", pause))
	})

	It("makes requests go to another region", func() {
		expectRemoteAfterFirst(asksPause(time.Minute), 5)
	})

	It("gets no request that waited for a connection to it", func() {
		expectElsewhereAfter(func(w http.ResponseWriter, r *http.Request) {
			// A kept connection would take the next request before the response is seen.
			w.Header().Set("Connection", "close")
			asksPause(time.Minute)(w, r)
		}, http.StatusServiceUnavailable, 1)
	})

	It("gets at most two requests later than half a second after it asked, under load", func() {
		const long = 1500 * time.Millisecond
		w := newTestProxy(catalog.Idempotent)
		w.retryRatio, w.retryFixed = 1, 1000
		var mu sync.Mutex
		served := 0
		var until time.Time
		late, within := 0, 0
		near := newEndpoint(func(rw http.ResponseWriter, r *http.Request) {
			mu.Lock()
			now := time.Now()
			asks := served >= 100 && until.IsZero()
			if asks {
				until = now.Add(long)
			}
			if !asks && now.Before(until) {
				within++
			}
			if now.Before(until) && now.After(until.Add(500*time.Millisecond-long)) {
				late++
			}
			served++
			mu.Unlock()
			if asks {
				asksPause(long)(rw, r)
				return
			}
			respondOK(rw, r)
		})
		startNearAndFar(w, near, newEndpoint(respondOK))
		ended := func() bool {
			mu.Lock()
			defer mu.Unlock()
			return !until.IsZero() && time.Now().After(until)
		}
		var callers conc.WaitGroup
		for range 8 {
			callers.Go(func() {
				for !ended() {
					w.call("GET", "/r/", "")
					time.Sleep(time.Millisecond)
				}
			})
		}
		callers.Wait()
		mu.Lock()
		defer mu.Unlock()
		By(fmt.Sprintf("%d requests in the pause, %d of them later than 0.5 s", within, late))
		Expect(late).To(BeNumerically("<=", 2))
	})

	It("of a stream is resumed elsewhere", func() {
		w := newTestProxy(catalog.Streaming)
		w.route.Resumable, w.route.MaxAttempts = true, 3
		near := newEndpoint(eventStream(4, 2))
		paused := newEndpoint(eventStream(4, 0))
		far := newEndpoint(eventStream(4, 0))
		w.start(near, paused, far)
		w.snap.View.Endpoints[service][1].DataCentre = farDataCentre
		w.snap.View.Endpoints[service][2].DataCentre = farDataCentre
		w.update()
		w.gate.Note(w.endpointOf(1), balance.Notice{Backoff: time.Minute})
		resp := w.call("POST", "/r/", "x")
		Expect(resp.err).NotTo(HaveOccurred())
		Expect(strings.Count(resp.body, "data:")).To(Equal(4))
		Expect([]int{near.count(), paused.count(), far.count()}).To(Equal([]int{1, 0, 1}))
	})
})
