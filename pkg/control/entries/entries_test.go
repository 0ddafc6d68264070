package entries_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/flamingomount/flamingomount/pkg/control/entries"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestEntries(t *testing.T) {
	RegisterFailHandler(Fail)
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	RunSpecs(t, "entries")
}

const home types.Region = "home"

func member(i int, region types.Region, state snapshot.MemberState) snapshot.Member {
	vm := types.VMID(fmt.Sprintf("10.0.0.%d:7000", i))
	return snapshot.Member{
		Incarnation: types.Incarnation{VM: vm, Boot: "b"}, Region: region, State: state, Revision: 1,
		CallerAddress: fmt.Sprintf("10.0.0.%d:80", i),
	}
}

func view(members ...snapshot.Member) *snapshot.Snapshot {
	return &snapshot.Snapshot{
		Self: snapshot.Self{
			Incarnation: types.Incarnation{VM: "10.0.0.0:7000", Boot: "self"}, Region: home, CallerAddress: "10.0.0.0:80",
		},
		Config: &published.Configuration{Revision: 5, Links: []published.Link{
			{From: home, To: "far", OneWay: 80 * time.Millisecond}, {From: "near", To: home, OneWay: 20 * time.Millisecond},
		}},
		Members: members,
	}
}

func names(response entries.Response) []types.VMID {
	var out []types.VMID
	for _, e := range response.Entries {
		out = append(out, e.VM)
	}
	return out
}

var _ = Describe("The list of entries", func() {
	It("never contains a leaving VM, for any set of members", func() {
		states := []snapshot.MemberState{snapshot.MemberAlive, snapshot.MemberListed, snapshot.MemberSuspect, snapshot.MemberLeaving}
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			snap := view()
			snap.Draining = rapid.Bool().Draw(t, "draining")
			leaving := map[types.VMID]bool{snap.Self.Incarnation.VM: snap.Draining}
			for i := range rapid.IntRange(0, 12).Draw(t, "members") {
				region := rapid.SampledFrom([]types.Region{home, "near", "far"}).Draw(t, "region")
				m := member(i+1, region, rapid.SampledFrom(states).Draw(t, "state"))
				leaving[m.Incarnation.VM] = m.State == snapshot.MemberLeaving
				snap.Members = append(snap.Members, m)
			}
			for _, vm := range names(entries.List(snap, entries.Query{Caller: rapid.String().Draw(t, "caller"), Limit: 20})) {
				if leaving[vm] {
					t.Fatalf("the list contains %s, which is leaving", vm)
				}
			}
		})
	})

	It("ranks the local region first, then the nearest", func() {
		snap := view(member(1, "far", snapshot.MemberListed), member(2, "near", snapshot.MemberListed), member(3, home, snapshot.MemberAlive))
		vms := names(entries.List(snap, entries.Query{Caller: "c", Limit: 9}))
		Expect(vms[:2]).To(ConsistOf(types.VMID("10.0.0.0:7000"), types.VMID("10.0.0.3:7000")))
		Expect(vms[2:]).To(Equal([]types.VMID{"10.0.0.2:7000", "10.0.0.1:7000"}))
	})

	It("contains only VMs of allowed regions", func() {
		snap := view(member(1, "far", snapshot.MemberAlive), member(2, home, snapshot.MemberAlive))
		vms := names(entries.List(snap, entries.Query{Caller: "c", AllowedRegions: []types.Region{"far"}}))
		Expect(vms).To(Equal([]types.VMID{"10.0.0.1:7000"}))
	})

	It("contains suspected VMs only when no other VM is available", func() {
		suspect := member(1, home, snapshot.MemberSuspect)
		Expect(names(entries.List(view(suspect), entries.Query{}))).To(Equal([]types.VMID{"10.0.0.0:7000"}))
		draining := view(suspect)
		draining.Draining = true
		Expect(names(entries.List(draining, entries.Query{}))).To(Equal([]types.VMID{"10.0.0.1:7000"}))
	})

	It("spreads callers evenly, and moves only the callers of a VM that leaves", func() {
		var members []snapshot.Member
		for i := range 7 {
			members = append(members, member(i+1, home, snapshot.MemberAlive))
		}
		const callers = 8000
		before, count := map[string]types.VMID{}, map[types.VMID]int{}
		for i := range callers {
			caller := fmt.Sprint("caller-", i)
			first := names(entries.List(view(members...), entries.Query{Caller: caller}))[0]
			before[caller] = first
			count[first]++
		}
		Expect(count).To(HaveLen(8))
		for vm, n := range count {
			Expect(n).To(BeNumerically("~", callers/8, callers/80), string(vm))
		}
		members[2].State = snapshot.MemberLeaving
		for caller, first := range before {
			if first != members[2].Incarnation.VM {
				Expect(names(entries.List(view(members...), entries.Query{Caller: caller}))[0]).To(Equal(first))
			}
		}
	})
})

var _ = It("ranks a daemon without a configuration after those that have one", func() {
	unconfigured := member(1, home, snapshot.MemberAlive)
	unconfigured.Revision = 0
	configured := member(2, home, snapshot.MemberAlive)
	for i := range 50 {
		listed := entries.List(view(unconfigured, configured), entries.Query{Caller: fmt.Sprint(i)}).Entries
		Expect(listed[len(listed)-1].VM).To(Equal(unconfigured.Incarnation.VM))
	}
})
