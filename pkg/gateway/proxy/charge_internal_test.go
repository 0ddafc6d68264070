package proxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

var _ = ginkgo.Describe("The charge of a retry", func() {
	const fixed = 10
	var (
		now time.Time
		// suspended is how long the VM was suspended.
		suspended time.Duration
		budgets   *RetryBudgets
		r         *run
	)
	left := func() int {
		count := 0
		for budgets.Allow("svc", now) {
			count++
		}
		return count
	}
	ginkgo.BeforeEach(func() {
		now = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
		suspended = 0
		budgets = NewRetryBudgets(0, fixed/budgetFraction, 0, now.Add(-time.Hour))
		budgets.SetFleetSize(1)
		snapshot := &control.Snapshot{View: &catalog.View{}}
		r = &run{
			ctx: context.Background(), sent: 1,
			h: &Handler{opts: Options{
				Now: func() time.Time { return now }, Suspended: func() time.Duration { return suspended }, RetryBudgets: budgets, Metrics: NewMetrics(prometheus.NewRegistry()),
				Snapshot: func() *control.Snapshot { return snapshot }, Transport: NewTransport(),
			}},
			req: &Request{Service: "svc", Route: &catalog.Route{Kind: catalog.Idempotent}, Header: http.Header{}, Deadline: time.Now().Add(time.Minute)},
		}
	})

	ginkgo.It("is not needed before an attempt may have arrived", func() {
		r.sent = 0
		Expect(r.charge()).To(BeTrue())
		Expect(left()).To(Equal(fixed))
	})

	ginkgo.It("is kept for the next attempt while enough of its time is left", func() {
		Expect(r.charge()).To(BeTrue())
		at := r.chargedAt
		now = now.Add(arrivalTime - minChargeLeft)
		Expect(r.charge()).To(BeTrue())
		Expect(r.chargedAt).To(Equal(at))
		Expect(left()).To(Equal(fixed - 1))
	})

	ginkgo.It("is replaced by a later one when too little of its time is left", func() {
		Expect(r.charge()).To(BeTrue())
		now = now.Add(arrivalTime - minChargeLeft + time.Millisecond)
		Expect(r.charge()).To(BeTrue())
		Expect(r.chargedAt).To(Equal(now))
		Expect(left()).To(Equal(fixed - 1))
	})

	ginkgo.It("is replaced by a later one when the VM was suspended for its time", func() {
		Expect(r.charge()).To(BeTrue())
		suspended = arrivalTime
		Expect(r.charge()).To(BeTrue())
		Expect(r.chargedAt).To(Equal(now.Add(suspended)))
	})

	ginkgo.It("is not permitted by requests from before a long suspension of the VM", func() {
		r.h.opts.RetryBudgets = NewRetryBudgets(0.2, 0, 0, now.Add(-time.Hour))
		for range 100 {
			r.h.opts.RetryBudgets.RecordRequest("svc", r.h.inBudgetTime(now))
		}
		now = now.Add(time.Second)
		Expect(r.affordable()).To(BeTrue())
		suspended = time.Minute
		Expect(r.affordable()).To(BeFalse())
	})

	ginkgo.It("takes over the reservation of a stalled stream and is not spent twice", func() {
		Expect(r.reserveRetry()).To(BeTrue())
		at := now
		now = now.Add(100 * time.Millisecond)
		Expect(r.affordable()).To(BeTrue())
		Expect(r.charge()).To(BeTrue())
		Expect(r.chargedAt).To(Equal(at))
		Expect(left()).To(Equal(fixed - 1))
	})

	ginkgo.It("is not taken while the request waits for capacity", func() {
		Expect(r.affordable()).To(BeTrue())
		Expect(left()).To(Equal(fixed))
		Expect(r.affordable()).To(BeFalse())
		Expect(r.retryDenied).To(BeTrue())
	})

	ginkgo.It("lets nothing be sent over a connection that is obtained after a suspension of the VM", func() {
		Expect(r.charge()).To(BeTrue())
		var w attemptConn
		w.cancel = func() {}
		defer w.limit(r.arriveBy(), r.h.budgetTime)()
		Expect(w.tooLate()).To(BeFalse())
		suspended = arrivalTime
		Expect(w.tooLate()).To(BeTrue())
	})

	ginkgo.It("lets nothing be forwarded when too little of its time is left", func() {
		received := 0
		daemon := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received++ }))
		ginkgo.DeferCleanup(daemon.Close)
		r.chargedAt = now.Add(-arrivalTime + hopTransit + hopTime)
		r.reached = true
		failure := r.forward(members.Member{VM: types.VMID(daemon.Listener.Addr().String()), Region: "south"})
		Expect(failure.Verdict).To(Equal(types.NotRun))
		Expect(r.reached).To(BeFalse())
		Expect(received).To(BeZero())
	})
})

var _ = ginkgo.Describe("The windows that a retry is measured against", func() {
	ginkgo.It("have weights whose sum is one", func() {
		Expect(previousWeight + overlappingWeight + currentWeight).To(BeNumerically("~", 1, 1e-12))
	})
})
