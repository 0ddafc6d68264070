package entry

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/internal/mixedconfig"
	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

var _ = ginkgo.Describe("the membership of the daemons of a region", func() {
	member := func(vm types.VMID, dc types.DataCentre, megabits int) members.Member {
		return members.Member{VM: vm, State: members.Serving, Region: "north", DataCentre: dc, LinkMegabits: megabits}
	}
	// of is that of a daemon with a small link beside two others of its data centre and one
	// of another, with a configuration.
	of := func(config *catalog.Config, others int) balance.Membership {
		return regionMembership(&control.Snapshot{View: &catalog.View{Config: config}, Self: member("a", "north-a", 10), Members: []members.Member{
			member("b", "north-a", others), member("c", "north-a", others), member("d", "north-b", 10),
		}})
	}

	ginkgo.It("shares endpoints among those that take the traffic, and the rate of cold ones among all", func() {
		membership := of(mixedconfig.New(), 200)
		Expect(membership.Live).To(ConsistOf(types.VMID("a"), types.VMID("b"), types.VMID("c"), types.VMID("d")))
		Expect(membership.SameDataCentre).To(ConsistOf(types.VMID("b"), types.VMID("c")))
		Expect(membership.Serving).To(ConsistOf(
			balance.Daemon{VM: "b", DataCentre: "north-a"}, balance.Daemon{VM: "c", DataCentre: "north-a"}, balance.Daemon{VM: "d", DataCentre: "north-b"}))
		Expect(membership.OthersTakeNothing).To(BeTrue())
	})

	ginkgo.It("is that of all where links are equal, or the configuration has no short urgent work beside long work", func() {
		for _, membership := range []balance.Membership{of(mixedconfig.New(), 10), of(&catalog.Config{Version: 1}, 200), of(nil, 200)} {
			Expect(membership.SameDataCentre).To(HaveLen(3))
			Expect(membership.Serving).To(HaveLen(4))
			Expect(membership.OthersTakeNothing).To(BeFalse())
		}
	})
})
