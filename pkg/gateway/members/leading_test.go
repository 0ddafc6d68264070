package members_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

var _ = Describe("The daemons that take the traffic", func() {
	// daemons returns those of one data centre, by their links in megabits per second.
	daemons := func(dc types.DataCentre, links ...int) []members.Member {
		var found []members.Member
		for number, link := range links {
			vm := types.VMID(fmt.Sprintf("%s-%d", dc, number))
			found = append(found, members.Member{VM: vm, Region: "north", DataCentre: dc, LinkMegabits: link})
		}
		return found
	}
	namesOf := func(found []members.Member) []types.VMID {
		names := []types.VMID{}
		for _, member := range found {
			names = append(names, member.VM)
		}
		return names
	}

	DescribeTable("are those with large links, if these suffice", func(links []int, want ...types.VMID) {
		Expect(namesOf(members.Leading(daemons("a", links...)))).To(Equal(want))
	},
		Entry("two large ones among small ones", []int{10, 200, 10, 200, 10}, types.VMID("a-1"), types.VMID("a-3")),
		Entry("some between", []int{200, 60, 200, 10, 10}, types.VMID("a-0"), types.VMID("a-1"), types.VMID("a-2")),
		Entry("one large one alone", []int{200, 10, 10}, types.VMID("a-0"), types.VMID("a-1"), types.VMID("a-2")),
		Entry("large ones that have less than all small ones", []int{50, 50, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10},
			types.VMID("a-0"), types.VMID("a-1"), types.VMID("a-2"), types.VMID("a-3"), types.VMID("a-4"), types.VMID("a-5"),
			types.VMID("a-6"), types.VMID("a-7"), types.VMID("a-8"), types.VMID("a-9"), types.VMID("a-10"), types.VMID("a-11")),
		Entry("equal ones", []int{1000, 1000, 1000}, types.VMID("a-0"), types.VMID("a-1"), types.VMID("a-2")),
		Entry("a quarter is not small", []int{200, 200, 50}, types.VMID("a-0"), types.VMID("a-1"), types.VMID("a-2")),
		Entry("less than a quarter is", []int{200, 200, 49}, types.VMID("a-0"), types.VMID("a-1")),
		Entry("no link is known", []int{0, 0}, types.VMID("a-0"), types.VMID("a-1")),
		Entry("a daemon of another version tells none", []int{200, 0, 200, 10}, types.VMID("a-0"), types.VMID("a-1"), types.VMID("a-2")),
		Entry("absurd numbers", []int{-5, 1 << 40, 1 << 40}, types.VMID("a-0"), types.VMID("a-1"), types.VMID("a-2")),
		Entry("nobody", []int{}))

	It("are chosen in each data centre by itself", func() {
		all := append(daemons("a", 200, 10, 200), daemons("b", 10, 10)...)
		Expect(namesOf(members.Leading(all))).To(Equal([]types.VMID{"a-0", "a-2", "b-0", "b-1"}))
	})
})
