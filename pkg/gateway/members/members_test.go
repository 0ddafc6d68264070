package members_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestMembers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "members")
}

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func member(vm types.VMID, beat uint64) members.Member {
	return members.Member{VM: vm, Incarnation: 1, Beat: beat, State: members.Serving, Region: "north", CallerAddress: string(vm)}
}

func remoteMember(vm types.VMID, beat uint64) members.Member {
	remote := member(vm, beat)
	remote.Region, remote.DataCentre = "south", "south-a"
	return remote
}

var _ = Describe("Table", func() {
	var table *members.Table
	BeforeEach(func() { table = members.New(member("self:1", 0), []types.VMID{"self:1", "seed:1"}) })

	It("counts a daemon as lost when its beat stops growing, however often its row is received", func() {
		table.Merge([]members.Member{member("a:1", 5)}, start)
		for i := range 10 {
			table.Merge([]members.Member{member("a:1", 5)}, start.Add(time.Duration(i)*time.Second/2))
		}
		Expect(table.Live(start.Add(members.HeartbeatTimeout - time.Millisecond))).To(HaveLen(1))
		Expect(table.Live(start.Add(members.HeartbeatTimeout))).To(BeEmpty())
	})

	It("ignores an older beat or an older incarnation", func() {
		later := member("a:1", 9)
		later.State = members.Leaving
		table.Merge([]members.Member{later}, start)
		table.Merge([]members.Member{member("a:1", 8)}, start)
		Expect(table.Live(start)[0].State).To(Equal(members.Leaving))
		restarted := member("a:1", 1)
		restarted.Incarnation = 2
		table.Merge([]members.Member{restarted}, start)
		Expect(table.Live(start)[0].State).To(Equal(members.Serving))
		table.Merge([]members.Member{later}, start)
		Expect(table.Live(start)[0].Incarnation).To(BeEquivalentTo(2))
	})

	It("keeps when it first learned that a daemon is leaving, until the daemon is back", func() {
		leaving := func(incarnation, beat uint64) members.Member {
			row := member("a:1", beat)
			row.Incarnation, row.State = incarnation, members.Leaving
			return row
		}
		table.Merge([]members.Member{member("a:1", 1)}, start)
		Expect(table.Live(start)[0].LeavingSince).To(BeZero())
		table.Merge([]members.Member{leaving(1, 2)}, start.Add(time.Second))
		table.Merge([]members.Member{leaving(1, 3)}, start.Add(2*time.Second))
		Expect(table.Live(start.Add(2 * time.Second))[0].LeavingSince).To(Equal(start.Add(time.Second)))
		table.Merge([]members.Member{leaving(2, 4)}, start.Add(3*time.Second))
		Expect(table.Live(start.Add(3 * time.Second))[0].LeavingSince).To(Equal(start.Add(3 * time.Second)))
		back := member("a:1", 1)
		back.Incarnation = 3
		table.Merge([]members.Member{back}, start.Add(4*time.Second))
		Expect(table.Live(start.Add(4 * time.Second))[0].LeavingSince).To(BeZero())
	})

	// Guards against callers that are led out of their homes in the moments between the
	// end of a daemon that was stopped and its start.
	It("keeps a leaving daemon for its timeout, also while it can't be reached", func() {
		later := start.Add(members.HeartbeatTimeout - time.Millisecond)
		leaving := member("a:1", 1)
		leaving.State = members.Leaving
		table.Merge([]members.Member{leaving, member("b:1", 1)}, start)
		table.MarkUnreachable("a:1", later)
		table.MarkUnreachable("b:1", later)
		Expect(table.Live(later)).To(HaveLen(1))
		Expect(table.Live(later)[0].VM).To(BeEquivalentTo("a:1"))
		Expect(table.Live(start.Add(members.HeartbeatTimeout))).To(BeEmpty())
	})

	It("raises its incarnation above that of an earlier process on its VM whose clock was ahead", func() {
		earlier := member("self:1", 900)
		earlier.Incarnation = 77
		table.Merge([]members.Member{earlier}, start)
		Expect(table.Self().Incarnation).To(BeEquivalentTo(78))
	})

	It("learns from its region how many daemons there may be, and not from other regions", func() {
		before := member("a:1", 5)
		before.RegionPeak = 3
		remote := remoteMember("b:1", 5)
		remote.RegionPeak = 30
		table.Merge([]members.Member{before, remote}, start)
		Expect(table.Peak().Region).To(Equal(3))
		Expect(table.Self().RegionPeak).To(Equal(3))
		absurd := member("c:1", 5)
		absurd.RegionPeak = 1 << 40
		table.Merge([]members.Member{absurd}, start)
		Expect(table.Peak().Region).To(BeNumerically("<=", 1000))
	})

	It("learns from its data centre how many daemons there may be, and not from other data centres", func() {
		before := member("a:1", 5)
		before.DataCentrePeak = 3
		remote := remoteMember("b:1", 5)
		remote.DataCentrePeak = 30
		table.Merge([]members.Member{before, remote}, start)
		Expect(table.Peak().DataCentre).To(Equal(3))
		Expect(table.Self().DataCentrePeak).To(Equal(3))
		absurd := member("c:1", 5)
		absurd.DataCentrePeak = 1 << 40
		table.Merge([]members.Member{absurd}, start)
		Expect(table.Peak().DataCentre).To(BeNumerically("<=", 1000))
	})

	It("learns from any daemon how many there may be in the fleet, and tells it", func() {
		remote := remoteMember("b:1", 5)
		remote.FleetPeak = 30
		table.Merge([]members.Member{remote}, start)
		Expect(table.Peak().Fleet).To(Equal(30))
		Expect(table.Self().FleetPeak).To(Equal(30))
		absurd := member("c:1", 5)
		absurd.FleetPeak, absurd.DataCentresPeak = 1<<40, 1<<40
		table.Merge([]members.Member{absurd}, start)
		Expect(table.Peak().Fleet).To(BeNumerically("<=", 1000))
		Expect(table.Peak().DataCentres).To(BeNumerically("<=", 1000))
	})

	It("sends to its seeds while it knows no other daemon, and later to unknown seeds", func() {
		random := rand.New(rand.NewPCG(1, 2))
		Expect(table.Targets(start, random)).To(ConsistOf(types.VMID("seed:1")))
		joining := members.New(table.Self(), []types.VMID{"seed:1", "seed:2", "seed:3"})
		Expect(joining.Targets(start, rand.New(rand.NewPCG(3, 4)))).To(ConsistOf(types.VMID("seed:1"), types.VMID("seed:2"), types.VMID("seed:3")))
		table.Merge([]members.Member{member("a:1", 1)}, start)
		for table.Beat(nil); table.Joining(); table.Beat(nil) {
			Expect(table.Targets(start, random)).To(ContainElement(types.VMID("seed:1")))
			table.Merge([]members.Member{member("seed:1", table.Self().Beat)}, start)
		}
		table = members.New(table.Self(), []types.VMID{"seed:1"})
		table.Merge([]members.Member{member("a:1", 1)}, start)
		asked := 0
		for range 16 {
			table.Beat(nil)
			for _, vm := range table.Targets(start, random) {
				if vm == "seed:1" {
					asked++
				}
			}
		}
		Expect(asked).To(Equal(2))
	})

	It("bounds its heartbeats independently of the size of the fleet", func() {
		random := rand.New(rand.NewPCG(1, 2))
		var fleet []members.Member
		for i := range 300 {
			fleet = append(fleet, member(types.VMID("n"+time.Duration(i).String()), 1), remoteMember(types.VMID("s"+time.Duration(i).String()), 1))
		}
		table.Merge(fleet, start)
		for table.Joining() {
			table.Beat(nil)
			Expect(len(table.Targets(start, random))).To(BeNumerically("<=", 3))
		}
		sent := 0
		for range 24 {
			table.Beat(nil)
			sent += len(table.Targets(start, random))
		}
		Expect(sent).To(BeNumerically("<=", 24+24/4+3))
	})

	It("lets one daemon of a data centre send heartbeats to other data centres", func() {
		random := rand.New(rand.NewPCG(1, 2))
		vms := []types.VMID{"a:1", "b:1", "c:1", "d:1"}
		speakers := 0
		for _, vm := range vms {
			peerTable := members.New(member(vm, 1), nil)
			for _, other := range vms {
				peerTable.Merge([]members.Member{member(other, 1), remoteMember("s:1", 1)}, start)
			}
			spoke := false
			for range 8 {
				peerTable.Beat(nil)
				for _, target := range peerTable.Targets(start, random) {
					spoke = spoke || target == "s:1"
				}
			}
			if spoke {
				speakers++
			}
		}
		Expect(speakers).To(Equal(1))
	})

	It("sends another data centre the rows of both data centres, but of no third one", func() {
		third := member("t:1", 1)
		third.DataCentre = "north-b"
		table.Merge([]members.Member{member("a:1", 1), remoteMember("s:1", 1), remoteMember("s:2", 1), third}, start)
		Expect(table.HeartbeatMembers("s:1", start)).To(HaveLen(4))
		Expect(table.HeartbeatMembers("a:1", start)).To(HaveLen(5))
	})

	It("joins daemons of a data centre that know only a daemon of another one", func() {
		tables := map[types.VMID]*members.Table{}
		for _, vm := range []types.VMID{"s:1", "s:2"} {
			tables[vm] = members.New(remoteMember(vm, 1), nil)
			tables[vm].Merge([]members.Member{member("self:1", 1)}, start)
			table.Merge([]members.Member{tables[vm].Self()}, start)
		}
		for vm, peerTable := range tables {
			peerTable.Merge(table.HeartbeatMembers(vm, start), start)
			Expect(peerTable.Live(start)).To(HaveLen(2))
		}
	})

	It("remembers the peak numbers of live daemons in its region and in the fleet", func() {
		table.Merge([]members.Member{member("a:1", 1), member("b:1", 1), remoteMember("c:1", 1)}, start)
		Expect(table.Peak().Region).To(Equal(3))
		Expect(table.Peak().Fleet).To(Equal(4))
		table.Merge([]members.Member{member("a:1", 2)}, start.Add(time.Minute))
		Expect(table.Peak().Region).To(Equal(3))
		Expect(table.Peak().Fleet).To(Equal(4))
	})

	Describe("reading the store", func() {
		const wait = time.Second
		fresh := members.StoreAge{Newest: 100 * time.Millisecond, Primary: 100 * time.Millisecond, Wait: wait}
		stale := members.StoreAge{Newest: 3 * wait, Primary: 3 * wait, Wait: wait}
		tables := func() []*members.Table {
			vms := []types.VMID{"a:1", "b:1", "c:1"}
			var all []*members.Table
			for _, vm := range vms {
				peerTable := members.New(member(vm, 1), nil)
				for _, other := range vms {
					peerTable.Merge([]members.Member{member(other, 1)}, start)
				}
				all = append(all, peerTable)
			}
			return all
		}

		It("is done by one daemon of a region while its reads are fresh", func() {
			readers := 0
			for _, peerTable := range tables() {
				if peerTable.ShouldRead(false, fresh, start) {
					readers++
				}
			}
			Expect(readers).To(Equal(1))
		})

		// Guards against a configuration that every daemon of a region waits for behind one
		// narrow link.
		It("is done by a daemon with a large link, which is also told for the others of its data centre", func() {
			const large, small = 200, 10
			linked := func(vm types.VMID, dc types.DataCentre, megabits int) members.Member {
				row := member(vm, 1)
				row.DataCentre, row.LinkMegabits = dc, megabits
				return row
			}
			var rows []members.Member
			for number := range 9 {
				for _, dc := range []types.DataCentre{"x", "y"} {
					megabits := small
					if number%4 == 1 {
						megabits = large
					}
					rows = append(rows, linked(types.VMID(fmt.Sprintf("%s%d:1", dc, number)), dc, megabits))
				}
			}
			linkOf := func(vm types.VMID) int {
				return rows[slices.IndexFunc(rows, func(row members.Member) bool { return row.VM == vm })].LinkMegabits
			}
			readers := map[types.VMID]bool{}
			for _, self := range rows {
				peerTable := members.New(self, nil)
				peerTable.Merge(rows, start)
				readers[peerTable.PrimaryReader(start)] = true
				Expect(linkOf(peerTable.PrimaryReader(start))).To(Equal(large))
				relays := peerTable.Relays(start)
				Expect(relays).To(HaveLen(1))
				Expect(linkOf(relays[0])).To(Equal(large))
			}
			Expect(readers).To(HaveLen(1), "all agree")
		})

		It("is taken over when the newest read is stale", func() {
			for _, peerTable := range tables() {
				Expect(peerTable.ShouldRead(false, stale, start)).To(BeTrue())
			}
		})

		It("continues at a daemon that took over until the primary reader reads again", func() {
			for _, peerTable := range tables() {
				age := members.StoreAge{Newest: 0, Primary: stale.Primary, Wait: wait}
				Expect(peerTable.ShouldRead(true, age, start)).To(BeTrue())
			}
		})
	})
})
