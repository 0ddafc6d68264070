package balance_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/balance/gate"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
)

const gateWaitLimit = 30 * time.Second

var _ = Describe("Gate, when an endpoint wants no requests", func() {
	var v *catalog.View
	var pool *balance.Pool
	var g *gate.Gate
	var only *catalog.Endpoint
	BeforeEach(func() {
		v = deskView(1, nil)
		pool = newPool(v, 1)
		g = gate.New(pool, time.Now)
		only = v.Endpoints[desk][0].Endpoint
	})
	// attempt returns an attempt and a function that tells whether it was cancelled.
	attempt := func() (*gate.Connecting, func() bool) {
		cancelled := false
		return g.NewConnecting(&balance.Permit{Endpoint: catalog.ActiveEndpoint{Endpoint: only}}, func() { cancelled = true }), func() bool { return cancelled }
	}

	DescribeTable("cancels the attempts that have no connection yet, and no others", func(notice balance.Notice) {
		waiting, waitingCancelled := attempt()
		connected, connectedCancelled := attempt()
		Expect(waiting.Begin()).To(BeTrue())
		Expect(connected.Begin()).To(BeTrue())
		Expect(connected.End()).To(BeTrue())
		g.Note(only, notice)
		Expect(waitingCancelled()).To(BeTrue())
		Expect(waiting.Aborted()).To(BeTrue())
		Expect(waiting.End()).To(BeFalse())
		Expect(connectedCancelled()).To(BeFalse())
		Expect(connected.Aborted()).To(BeFalse())
		late, lateCancelled := attempt()
		Expect(late.Begin()).To(BeFalse())
		Expect(lateCancelled()).To(BeTrue())
	},
		Entry("because it is leaving", balance.Notice{Leaving: true}),
		Entry("because it asked for a pause", balance.Notice{Backoff: time.Minute}),
	)

	It("stops an attempt that connects again after its kept connection was closed", func() {
		again, cancelled := attempt()
		Expect(again.Begin()).To(BeTrue())
		Expect(again.End()).To(BeTrue())
		g.Note(only, balance.Notice{Leaving: true})
		Expect(again.Begin()).To(BeFalse())
		Expect(again.End()).To(BeFalse())
		Expect(cancelled()).To(BeTrue())
	})

	It("tells its observer of each notice and of the change that it caused", func() {
		var changes []balance.Change
		g.SetObserver(func(_ *catalog.Endpoint, _ balance.Notice, change balance.Change) { changes = append(changes, change) })
		g.Note(only, balance.Notice{})
		g.Note(only, balance.Notice{Leaving: true})
		g.Note(only, balance.Notice{Leaving: true})
		Expect(changes).To(Equal([]balance.Change{{Leaving: true}, {}}))
	})

	DescribeTable("believes another daemon about the incarnation that it used", func(startedAt int64, takes bool) {
		g.NoteRemote(only.ID, startedAt, balance.Notice{Leaving: true})
		Expect(g.Takes(only)).To(Equal(takes))
	},
		Entry("the same one", startA, false),
		Entry("one of unknown start time", int64(0), false),
		Entry("an earlier one", startA-1, true),
		Entry("a later one", startB, true),
	)

	It("remembers what another daemon says of an endpoint that is not published now", func() {
		publish(pool, deskView(0, nil))
		g.NoteRemote(only.ID, startA, balance.Notice{Leaving: true})
		g.NoteRemote("never seen", 0, balance.Notice{Leaving: true})
		publish(pool, v)
		Expect(g.Takes(only)).To(BeFalse())
	})

	It("applies the answer to a misdirected request to the endpoint that has the address", func() {
		g.NoteSuccessor(&catalog.Endpoint{ID: "old", Address: only.Address}, balance.Notice{Leaving: true})
		Expect(g.Takes(only)).To(BeFalse())
		g.NoteSuccessor(&catalog.Endpoint{ID: "old", Address: "nobody:80"}, balance.Notice{Leaving: true})
	})

	It("grants a waiting request when the pause ends", func() {
		const pause = 300 * time.Millisecond
		ctx, stop := context.WithCancel(context.Background())
		var running conc.WaitGroup
		running.Go(func() { g.Run(ctx) })
		DeferCleanup(func() {
			stop()
			running.Wait()
		})
		asked := time.Now()
		g.Note(only, balance.Notice{Backoff: pause})
		permit, refusal, err := g.Acquire(ctx, withWait(asked, gateWaitLimit))
		Expect(err).NotTo(HaveOccurred())
		Expect(refusal).To(BeNil())
		Expect(permit).NotTo(BeNil())
		Expect(time.Since(asked)).To(BeNumerically(">=", pause))
	})

	It("refuses a waiting request at once when the last endpoint leaves", func() {
		for {
			if permit, _ := g.Try(newRequest(desk, 0)); permit == nil {
				break
			}
		}
		var refused *balance.Refusal
		var waiting sync.WaitGroup
		waiting.Go(func() { _, refused, _ = g.Acquire(context.Background(), withWait(time.Now(), gateWaitLimit)) })
		Eventually(func() int { return g.Loads()[0].Waiting }, gateWaitLimit).Should(Equal(1))
		began := time.Now()
		g.Note(only, balance.Notice{Leaving: true})
		waiting.Wait()
		Expect(refused.NoEndpoint).To(BeTrue())
		Expect(time.Since(began)).To(BeNumerically("<", gateWaitLimit/2))
	})
})
