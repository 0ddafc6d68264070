package members_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/demand"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

var _ = Describe("what daemons that leave tell of their callers", func() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var table *members.Table
	BeforeEach(func() {
		table = members.New(members.Member{VM: "a:1", Region: "north", State: members.Serving}, nil)
	})
	leaving := func(vm types.VMID, beat uint64, counts demand.Counts) members.Member {
		return members.Member{VM: vm, Incarnation: 1, Beat: beat, Region: "east", State: members.Leaving, Demand: counts}
	}

	It("is in the row of a daemon from when it leaves", func() {
		Expect(table.Self().Demand).To(BeEmpty())
		table.Leave(demand.Counts{"r": 3}, now)
		Expect(table.Self().State).To(Equal(members.Leaving))
		Expect(table.Self().LeavingFor(now.Add(time.Second))).To(Equal(time.Second))
		Expect(table.Self().Demand).To(Equal(demand.Counts{"r": 3}))
	})

	It("is added up by region, each daemon once", func() {
		table.Merge([]members.Member{leaving("e:1", 1, demand.Counts{"r": 3, "q": 1}), leaving("e:2", 1, demand.Counts{"r": 4})}, now)
		table.Merge([]members.Member{leaving("e:1", 2, demand.Counts{"r": 3, "q": 1})}, now)
		Expect(table.Demand()).To(Equal(map[types.Region]demand.Counts{"east": {"r": 7, "q": 1}}))
	})

	It("is kept while the daemon starts again, and for as long as it was counted", func() {
		table.Merge([]members.Member{leaving("e:1", 1, demand.Counts{"r": 3})}, now)
		table.Merge([]members.Member{{VM: "e:1", Incarnation: 2, Beat: 1, Region: "east", State: members.Serving}}, now.Add(time.Second))
		table.Forget(now.Add(2 * demand.Window))
		Expect(table.Demand()).To(HaveKey(types.Region("east")))
		table.Forget(now.Add(2*demand.Window + time.Second))
		Expect(table.Demand()).To(BeEmpty())
	})

	It("is not kept longer because the daemon repeats it", func() {
		table.Merge([]members.Member{leaving("e:1", 1, demand.Counts{"r": 3})}, now)
		table.Merge([]members.Member{leaving("e:1", 2, demand.Counts{"r": 3})}, now.Add(time.Minute))
		table.Forget(now.Add(2*demand.Window + time.Second))
		Expect(table.Demand()).To(BeEmpty())
	})

	It("is passed on to a daemon that joins, with its age", func() {
		table.Merge([]members.Member{leaving("e:1", 1, demand.Counts{"r": 3}), leaving("e:2", 1, demand.Counts{"r": 4})}, now)
		joining := members.New(members.Member{VM: "e:1", Region: "east"}, nil)
		told := table.ToldDemand(now.Add(50 * time.Second))
		joining.MergeDemand(told, now)
		Expect(joining.Demand()).To(Equal(map[types.Region]demand.Counts{"east": {"r": 7}}))
		joining.MergeDemand(told, now)
		joining.Merge([]members.Member{leaving("e:2", 1, demand.Counts{"r": 4})}, now)
		Expect(joining.Demand()["east"]).To(Equal(demand.Counts{"r": 7}), "what is repeated adds nothing")
		joining.Merge([]members.Member{leaving("e:3", 1, demand.Counts{"r": 9})}, now)
		Expect(joining.Demand()["east"]).To(Equal(demand.Counts{"r": 16}))
		joining.Forget(now.Add(2*demand.Window - 49*time.Second))
		Expect(joining.Demand()["east"]).To(Equal(demand.Counts{"r": 9}), "the age goes on")
	})

	It("does not live longer because daemons pass it on, nor because of an age that is not one", func() {
		table.MergeDemand([]members.ToldDemand{{VM: "e:1", Region: "east", Counts: demand.Counts{"r": 3}, Age: time.Minute + time.Second}}, now)
		Expect(table.Demand()).To(BeEmpty())
		table.MergeDemand([]members.ToldDemand{{VM: "e:1", Region: "east", Counts: demand.Counts{"r": 3}, Age: -time.Hour}}, now)
		table.Forget(now.Add(2*demand.Window + time.Second))
		Expect(table.Demand()).To(BeEmpty())
	})

	// Guards against counts of an earlier run weighing after a second stop.
	It("is recorded for each run of a daemon", func() {
		table.Merge([]members.Member{leaving("e:1", 1, demand.Counts{"r": 300})}, now)
		table.Merge([]members.Member{{VM: "e:1", Incarnation: 2, Beat: 1, Region: "east", State: members.Serving}}, now.Add(10*time.Second))
		again := leaving("e:1", 2, demand.Counts{"q": 290})
		again.Incarnation = 2
		table.Merge([]members.Member{again}, now.Add(50*time.Second))
		Expect(table.Demand()["east"]).To(Equal(demand.Counts{"r": 300, "q": 290}))
		table.Forget(now.Add(70 * time.Second))
		Expect(table.Demand()["east"]).To(Equal(demand.Counts{"q": 290}))
	})

	It("survives a reset of the table", func() {
		table.Merge([]members.Member{leaving("e:1", 1, demand.Counts{"r": 3})}, now)
		Expect(table.EmptyCopy().Demand()["east"]).To(Equal(demand.Counts{"r": 3}))
	})

	It("is in heartbeats only shortly after a daemon leaves", func() {
		table.Merge([]members.Member{{VM: "a:2", Incarnation: 1, Beat: 1, Region: "north", State: members.Serving}}, now)
		table.Leave(demand.Counts{"r": 3}, now)
		Expect(table.HeartbeatMembers("a:2", now.Add(time.Second))[0].Demand).To(Equal(demand.Counts{"r": 3}))
		Expect(table.HeartbeatMembers("a:2", now.Add(5*time.Second))[0].Demand).To(BeEmpty())
	})

	It("names the regions whose daemons left, until they are back or forgotten", func() {
		table.Merge([]members.Member{leaving("e:1", 1, nil), {VM: "s:1", Incarnation: 1, Beat: 1, Region: "south", State: members.Serving}}, now)
		table.Forget(now.Add(30 * time.Second))
		Expect(table.LeftRegions()).To(Equal(map[types.Region]bool{"east": true}))
		table.Merge([]members.Member{{VM: "e:1", Incarnation: 2, Beat: 1, Region: "east", State: members.Serving}}, now.Add(30*time.Second))
		Expect(table.LeftRegions()).To(BeEmpty())
	})

	It("is bounded, whatever a row says", func() {
		many := make(demand.Counts)
		for i := range 1000 {
			many[fmt.Sprint(i)] = 1 + uint64(i)
		}
		table.Leave(many, now)
		Expect(len(table.Self().Demand)).To(BeNumerically("<", len(many)))
		Expect(table.Self().Demand).To(HaveKey("999"))
		table.Merge([]members.Member{leaving("e:1", 1, many)}, now)
		Expect(table.Demand()).To(BeEmpty())
		table.Merge([]members.Member{leaving("e:2", 1, demand.Counts{"r": 1 << 63})}, now)
		Expect(table.Demand()["east"]["r"]).To(And(BeNumerically(">", uint64(0)), BeNumerically("<", uint64(1)<<40)))
	})
})
