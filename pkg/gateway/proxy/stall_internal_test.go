package proxy

import (
	"fmt"
	"net/http"
	"net/textproto"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/balance/gate"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Guards against ending a silent stream that the next attempt can't place.
var _ = ginkgo.Describe("An endpoint in another region for the rest of a stream", func() {
	var snap *control.Snapshot
	var r *run
	ginkgo.BeforeEach(func() {
		snap = &control.Snapshot{
			Self:    members.Member{VM: "self", Region: "south", State: members.Serving},
			Members: []members.Member{{VM: "other", Region: "north", State: members.Serving}},
			View:    &catalog.View{Endpoints: map[types.ServiceName][]catalog.ActiveEndpoint{}},
		}
		for _, id := range []types.EndpointID{"e0", "e1", "e2"} {
			snap.View.Endpoints["svc"] = append(snap.View.Endpoints["svc"], catalog.ActiveEndpoint{Endpoint: &catalog.Endpoint{ID: id, Service: "svc", Region: "north"}})
		}
		pool := gate.New(balance.NewPool("south", "", balance.Bounds{}), time.Now)
		r = &run{h: &Handler{opts: Options{Gate: pool}}, req: &Request{Service: "svc", Route: &catalog.Route{}}}
	})

	ginkgo.It("is left while one was not tried", func() {
		r.remoteTried = []types.EndpointID{"e0", "e1"}
		Expect(r.remoteEndpointLeft(snap)).To(BeTrue())
		r.remoteTried = append(r.remoteTried, "e2")
		Expect(r.remoteEndpointLeft(snap)).To(BeFalse())
	})

	ginkgo.It("is not left if the only daemon there is leaving", func() {
		r.leavingDaemons = []types.VMID{"other"}
		Expect(r.remoteEndpointLeft(snap)).To(BeFalse())
	})

	ginkgo.It("is left for a large prompt while it may have another home", func() {
		r.req.PrefixTokens = balance.MinLargePrefixTokens
		r.homes = snap.View.Endpoints["svc"][:1]
		Expect(r.remoteEndpointLeft(snap)).To(BeTrue())
		r.homes = snap.View.Endpoints["svc"][:maxHomes]
		Expect(r.remoteEndpointLeft(snap)).To(BeFalse())
		snap.View.Endpoints["svc"] = snap.View.Endpoints["svc"][:1]
		r.homes = snap.View.Endpoints["svc"]
		Expect(r.remoteEndpointLeft(snap)).To(BeFalse())
	})
})

// Guards against an event that is passed on twice, or lost, when a handover is admitted as it comes.
var _ = ginkgo.Describe("A handover that is admitted while an event comes", func() {
	var r *run
	var d *stallDetector
	var silent attemptConn
	var plan *handover
	var silentEnded, handoverEnded bool
	admit := func() error {
		return r.admitHandover(d, plan, &silent, http.StatusEarlyHints, textproto.MIMEHeader{headerReserved: {"1"}})
	}
	ginkgo.BeforeEach(func() {
		budgets := NewRetryBudgets(0, 10, 0, time.Now().Add(-time.Hour))
		budgets.SetFleetSize(1)
		r = &run{sent: 1, h: &Handler{opts: Options{Now: time.Now, RetryBudgets: budgets}}, req: &Request{Service: "svc", Route: &catalog.Route{}}}
		silentEnded, handoverEnded = false, false
		silent = attemptConn{cancel: func() { silentEnded = true }}
		plan = &handover{body: newHeldBody(nil), conn: attemptConn{cancel: func() { handoverEnded = true }}}
		d = &stallDetector{handover: plan}
	})

	ginkgo.It("is dropped if the event was first", func() {
		Expect(d.beginRelay()).To(BeTrue())
		Expect(admit()).NotTo(Succeed())
		Expect([]bool{silentEnded, handoverEnded}).To(Equal([]bool{false, true}))
		Expect(r.handover).To(BeNil())
		Expect(r.retryReservedAt.Load()).To(BeNil())
	})

	ginkgo.It("keeps the event from being passed on if the event was second", func() {
		Expect(admit()).To(Succeed())
		Expect(d.beginRelay()).To(BeFalse())
		Expect([]bool{silentEnded, handoverEnded}).To(Equal([]bool{true, false}))
		Expect(r.handover).To(BeIdenticalTo(plan))
		Expect(r.retryReservedAt.Load()).NotTo(BeNil())
	})
})

// Guards against a pause of this process that passes for the endpoint's silence.
var _ = ginkgo.Describe("The timer of a silent stream", func() {
	const limit = 2 * time.Second
	const step = limit / stallSteps
	var t *stallTimer
	var now time.Time
	ginkgo.BeforeEach(func() {
		t = (&stallDetector{}).newTimer(limit, func() {})
		ginkgo.DeferCleanup(t.timer.Stop)
		now = time.Date(2026, 12, 6, 2, 0, 0, 0, time.UTC)
		t.beginStep(now)
	})
	// endStep ends the current step late by a time.
	endStep := func(late time.Duration) bool {
		now = t.stepEnd.Add(late)
		return t.countStep(now)
	}

	ginkgo.It("runs out after its limit", func() {
		begin := now
		for range stallSteps - 1 {
			Expect(endStep(0)).To(BeFalse())
		}
		Expect(endStep(0)).To(BeTrue())
		Expect(now.Sub(begin)).To(Equal(limit))
	})

	for paused := range stallSteps {
		ginkgo.It(fmt.Sprintf("leaves time for reading after a pause in step %d", paused+1), func() {
			for range paused {
				Expect(endStep(0)).To(BeFalse())
			}
			Expect(endStep(5 * time.Second)).To(BeFalse())
			resumed := now
			for !endStep(0) {
			}
			Expect(now.Sub(resumed)).To(Equal(time.Duration(stallSteps-paused) * step))
		})
	}

	ginkgo.It("counts steps that end a little late", func() {
		for range stallSteps - 1 {
			Expect(endStep(step / 2)).To(BeFalse())
		}
		Expect(endStep(step / 2)).To(BeTrue())
	})

	ginkgo.It("does not run out by a step that ended when it was reset or stopped", func() {
		for range stallSteps - 1 {
			Expect(endStep(0)).To(BeFalse())
		}
		Expect(t.countStep(t.stepEnd.Add(-1))).To(BeFalse())
		t.stop()
		Expect(t.countStep(now.Add(limit))).To(BeFalse())
	})
})
