package endpoints_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/control/endpoints"
	"github.com/flamingomount/flamingomount/pkg/platform"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
)

func TestEndpoints(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "endpoints")
}

var now = time.Date(2026, 10, 1, 12, 0, 0, 0, time.UTC)

func listing(version uint64, leaving bool) *platform.VMListing {
	return &platform.VMListing{Version: version, VMs: []platform.VM{
		{Role: platform.RoleEndpoint, Endpoint: "e1", Service: "s", Address: "10.0.0.9:80", Slots: 4, Leaving: leaving},
		{Role: platform.RoleEndpoint, Endpoint: "e2", Service: "s", Address: "10.0.0.8:80", Slots: 4},
	}}
}

var _ = Describe("The endpoint view", func() {
	var state *endpoints.State
	BeforeEach(func() {
		state = endpoints.New()
		state.SetList(listing(1, false))
	})
	first := func(at time.Time) *snapshot.Endpoint { return state.View(at, nil)["s"][0] }

	It("takes the earliest sign of leaving, whichever it is", func() {
		Expect(first(now).State).To(Equal(snapshot.EndpointReady))
		Expect(state.MarkLeaving(now, now, "e1")).To(BeTrue())
		Expect(first(now).State).To(Equal(snapshot.EndpointLeaving))
		state.SetList(listing(2, false)) // the list lags and has not seen it
		Expect(first(now).State).To(Equal(snapshot.EndpointLeaving))
		other := endpoints.New()
		other.SetList(listing(2, true)) // the list came first
		Expect(other.View(now, nil)["s"][0].State).To(Equal(snapshot.EndpointLeaving))
	})

	It("passes a sign on to peers a bounded number of times", func() {
		state.MarkLeaving(now, now, "e1")
		copies := 0
		for len(state.NextGossip()) > 0 {
			copies++
		}
		Expect(copies).To(BeNumerically(">=", 3))
		Expect(state.MarkLeaving(now, now, "e1")).To(BeFalse(), "a sign that is known is no news")
	})

	It("keeps an endpoint's counters while it is listed, and no longer", func() {
		first(now).Counters.Sent.Store(5)
		state.SetList(listing(2, false))
		Expect(first(now).Counters.Sent.Load()).To(Equal(int64(5)))
		state.SetList(&platform.VMListing{Version: 3})
		state.SetList(listing(4, false))
		Expect(first(now).Counters.Sent.Load()).To(BeZero())
	})

	It("ignores a load report that is older than the last", func() {
		state.SetLoad("e1", snapshot.Load{TakenAt: now, Running: 3})
		state.SetLoad("e1", snapshot.Load{TakenAt: now.Add(-time.Second), Running: 1})
		Expect(first(now).Load.Running).To(Equal(3))
	})
})
