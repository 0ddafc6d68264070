package proxy

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/internal/mixedconfig"
	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

var _ = ginkgo.Describe("The daemons of a region that may take a request", func() {
	// namesOf returns them where two daemons with large links and two with small ones serve,
	// of which some have refused the request because they leave.
	namesOf := func(leaving ...types.VMID) []types.VMID {
		snap := &control.Snapshot{View: &catalog.View{Config: mixedconfig.New()}}
		for vm, megabits := range map[types.VMID]int{"large-0": 200, "large-1": 200, "small-0": 10, "small-1": 10} {
			snap.Members = append(snap.Members, members.Member{
				VM: vm, State: members.Serving, Region: "south", DataCentre: "south-a", LinkMegabits: megabits,
			})
		}
		r := &run{leavingDaemons: leaving}
		names := []types.VMID{}
		for _, member := range r.serving(snap, "south") {
			names = append(names, member.VM)
		}
		usable := r.servingRegions(snap)["south"]
		Expect(usable).To(Equal(len(names) > 0))
		return names
	}

	ginkgo.It("are those with large links", func() {
		Expect(namesOf()).To(ConsistOf(types.VMID("large-0"), types.VMID("large-1")))
	})

	ginkgo.It("are the others too once those with large links leave", func() {
		Expect(namesOf("large-0")).To(ConsistOf(types.VMID("large-1"), types.VMID("small-0"), types.VMID("small-1")))
		Expect(namesOf("large-0", "large-1")).To(ConsistOf(types.VMID("small-0"), types.VMID("small-1")))
		Expect(namesOf("large-0", "large-1", "small-0", "small-1")).To(BeEmpty())
	})
})
