package proxy

import (
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
