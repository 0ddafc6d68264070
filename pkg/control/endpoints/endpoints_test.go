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
	firstEndpoint := func(at time.Time) *snapshot.Endpoint { return state.View(at, nil)["s"][0] }

	It("marks an endpoint as leaving on the first sign, whatever its source", func() {
		Expect(firstEndpoint(now).State).To(Equal(snapshot.EndpointReady))
		Expect(state.MarkLeaving(now, now, "e1")).To(BeTrue())
		Expect(firstEndpoint(now).State).To(Equal(snapshot.EndpointLeaving))
		state.SetList(listing(2, false)) // the list lags behind the sign
		Expect(firstEndpoint(now).State).To(Equal(snapshot.EndpointLeaving))
		listedFirst := endpoints.New()
		listedFirst.SetList(listing(2, true)) // the list is the first source
		Expect(listedFirst.View(now, nil)["s"][0].State).To(Equal(snapshot.EndpointLeaving))
	})

	It("sends a sign to peers a limited number of times", func() {
		state.MarkLeaving(now, now, "e1")
		sends := 0
		for len(state.NextGossip()) > 0 {
			sends++
		}
		Expect(sends).To(BeNumerically(">=", 3))
		Expect(state.MarkLeaving(now, now, "e1")).To(BeFalse(), "a known sign is not new")
	})

	It("keeps an endpoint's counters only while it is listed", func() {
		firstEndpoint(now).Counters.Sent.Store(5)
		state.SetList(listing(2, false))
		Expect(firstEndpoint(now).Counters.Sent.Load()).To(Equal(int64(5)))
		state.SetList(&platform.VMListing{Version: 3})
		state.SetList(listing(4, false))
		Expect(firstEndpoint(now).Counters.Sent.Load()).To(BeZero())
	})

	It("ignores a load report that is older than the last", func() {
		state.SetLoad("e1", snapshot.Load{TakenAt: now, Running: 3})
		state.SetLoad("e1", snapshot.Load{TakenAt: now.Add(-time.Second), Running: 1})
		Expect(firstEndpoint(now).Load.Running).To(Equal(3))
	})
})
