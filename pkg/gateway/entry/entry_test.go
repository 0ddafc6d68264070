package entry_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/demand"
	"github.com/flamingomount/flamingomount/pkg/gateway/entry"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "entry")
}

func servingMember(address string, region types.Region, dc types.DataCentre) members.Member {
	return members.Member{VM: types.VMID(address), CallerAddress: address, State: members.Serving, Region: region, DataCentre: dc}
}

var _ = Describe("the directory", func() {
	const grace = 8 * time.Second
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var snap *control.Snapshot
	var own demand.Counts
	BeforeEach(func() {
		own = nil
		config := &catalog.Config{Routes: []*catalog.Route{
			{Host: "bound.example", Prefix: "/a/", AllowedRegions: []types.Region{"north", "east"}},
			{Host: "bound.example", Prefix: "/b/", AllowedRegions: []types.Region{"east"}},
			{Host: "east.example", Prefix: "/a/", AllowedRegions: []types.Region{"east"}},
			{Host: "free.example", Prefix: "/a/"},
			{Name: "s-both", Host: "split.example", Prefix: "/a/", AllowedRegions: []types.Region{"north", "east"}},
			{Name: "s-east", Host: "split.example", Prefix: "/b/", AllowedRegions: []types.Region{"east"}},
			{Name: "s-north", Host: "split.example", Prefix: "/c/", AllowedRegions: []types.Region{"north"}},
		}}
		config.Prepare()
		snap = &control.Snapshot{
			Self: servingMember("n1", "north", "north-a"), View: &catalog.View{Config: config},
			Members: []members.Member{servingMember("n2", "north", "north-a"), servingMember("n3", "north", "north-b"), servingMember("e1", "east", "east-a"), servingMember("s1", "south", "south-a")},
		}
	})

	entries := func(host string, region types.Region, dc types.DataCentre) []string {
		directory := entry.Directory{Grace: grace}
		return directory.Answer(snap, entry.Lookup{Host: host, Region: region, DataCentre: dc}, own, now).Addresses
	}
	setState := func(state members.State, addresses ...string) {
		for i := range snap.Members {
			if slices.Contains(addresses, snap.Members[i].CallerAddress) {
				snap.Members[i].State = state
			}
		}
		if slices.Contains(addresses, snap.Self.CallerAddress) {
			snap.Self.State = state
		}
	}

	It("returns the daemons of the caller's data centre", func() {
		Expect(entries("free.example", "north", "north-a")).To(ConsistOf("n1", "n2"))
	})

	It("returns the daemons of the region if the data centre has too few", func() {
		Expect(entries("free.example", "north", "north-b")).To(ConsistOf("n1", "n2", "n3"))
	})

	It("returns daemons of the host's allowed regions for a region without daemons, and all daemons if the host has no such limit", func() {
		Expect(entries("bound.example", "west", "west-a")).To(ConsistOf("e1"))
		Expect(entries("free.example", "west", "west-a")).To(HaveLen(5))
	})

	It("gives answers that lead callers away, or to daemons that stop, a short lifetime", func() {
		lifetime := func(region types.Region) time.Duration {
			return entry.Directory{Grace: grace}.Answer(snap, entry.Lookup{Host: "bound.example", Region: region}, nil, now).Lifetime
		}
		usual := lifetime("north")
		Expect(lifetime("west")).To(BeNumerically("<", usual))
		setState(members.Leaving, "e1", "n1", "n2", "n3")
		Expect(lifetime("north")).To(BeNumerically("<", usual))
		snap.Members = slices.DeleteFunc(snap.Members, func(member members.Member) bool { return member.Region != "south" })
		snap.Self.State = members.Serving
		snap.Self.Region = "south"
		Expect(lifetime("west")).To(BeNumerically("<", usual), "all daemons")
	})

	It("omits a leaving daemon", func() {
		snap.Self.State = members.Leaving
		Expect(entries("free.example", "north", "north-a")).To(ConsistOf("n2", "n3"))
	})

	// Guards against callers of a region whose daemons all stop being led out of the
	// homes of their data: the host had routes without a common home.
	It("names the daemons of the caller's region while they stop, if the restricted routes have no region in common", func() {
		setState(members.Leaving, "n1", "n2", "n3")
		Expect(entries("split.example", "north", "north-a")).To(ConsistOf("n1", "n2", "n3"))
		Expect(entries("bound.example", "north", "north-a")).To(ConsistOf("e1"))
	})

	It("names regions that nearly all restricted requests of the caller's region may enter, while its daemons stop", func() {
		setState(members.Leaving, "n1", "n2", "n3")
		own = demand.Counts{"s-both": 300, "s-north": 2}
		Expect(entries("split.example", "north", "north-a")).To(ConsistOf("e1"))
		own = demand.Counts{"s-both": 300, "s-north": 20}
		Expect(entries("split.example", "north", "north-a")).To(ConsistOf("n1", "n2", "n3"))
		own = demand.Counts{"s-both": 10}
		Expect(entries("split.example", "north", "north-a")).To(ConsistOf("n1", "n2", "n3"), "too few requests tell nothing")
	})

	It("lets a few requests of idle routes close no region, and names none on account of many routes without requests", func() {
		setState(members.Leaving, "n1", "n2", "n3")
		own = demand.Counts{"s-both": 85, "s-north": 2}
		Expect(entries("split.example", "north", "north-a")).To(ConsistOf("e1"))
		config := &catalog.Config{Routes: []*catalog.Route{{Name: "busy", Host: "many.example", Prefix: "/b/", AllowedRegions: []types.Region{"north"}}}}
		for i := range 100 {
			config.Routes = append(config.Routes, &catalog.Route{Name: fmt.Sprint(i), Host: "many.example", Prefix: fmt.Sprintf("/%d/", i), AllowedRegions: []types.Region{"north", "east"}})
		}
		config.Prepare()
		snap.View = &catalog.View{Config: config}
		own = nil
		Expect(entries("many.example", "north", "north-a")).To(ConsistOf("n1", "n2", "n3"))
	})

	It("leads callers to a region at its limit, and not beyond", func() {
		setState(members.Leaving, "n1", "n2", "n3")
		// 36 and the standard error of 6 are a twentieth of 840.
		own = demand.Counts{"s-both": 804, "s-north": 36}
		Expect(entries("split.example", "north", "north-a")).To(ConsistOf("e1"))
		own = demand.Counts{"s-both": 803, "s-north": 36}
		Expect(entries("split.example", "north", "north-a")).To(ConsistOf("n1", "n2", "n3"))
		// One request is added for a route without any.
		own = demand.Counts{"s-both": 20}
		Expect(entries("split.example", "north", "north-a")).To(ConsistOf("e1"))
		own = demand.Counts{"s-both": 19}
		Expect(entries("split.example", "north", "north-a")).To(ConsistOf("n1", "n2", "n3"))
	})

	It("names nobody while the caller's region has lost its daemons after an announcement, unless a region is permitted", func() {
		snap.Self, snap.Members[2] = snap.Members[2], snap.Self
		snap.Members = slices.DeleteFunc(snap.Members, func(member members.Member) bool { return member.Region == "north" })
		Expect(entries("split.example", "north", "north-a")).To(ConsistOf("e1"), "lost without one")
		snap.Left = map[types.Region]bool{"north": true}
		Expect(entries("split.example", "north", "north-a")).To(BeEmpty())
		Expect(entries("bound.example", "north", "north-a")).To(ConsistOf("e1"))
		Expect(entries("free.example", "north", "north-a")).To(ConsistOf("e1", "s1"))
	})

	// Guards against the only daemon left serving nobody but the callers of its region.
	It("names itself if it sees none of the daemons that it knew", func() {
		snap.Members, snap.Peak = nil, members.Peak{Fleet: 5}
		Expect(entries("free.example", "west", "west-a")).To(ConsistOf("n1"))
		Expect(entries("bound.example", "west", "west-a")).To(ConsistOf("n1"))
	})

	It("still names a daemon that should be back at any moment", func() {
		setState(members.Leaving, "e1")
		for i := range snap.Members {
			if snap.Members[i].CallerAddress == "e1" {
				snap.Members[i].LeavingSince = now.Add(-grace - time.Second)
			}
		}
		Expect(entries("east.example", "west", "west-a")).To(ConsistOf("e1"))
	})

	It("weighs routes by what the daemons that stop told of their callers, not by the requests of another region", func() {
		setState(members.Leaving, "n1", "n2", "n3")
		snap.Self, snap.Members[2] = snap.Members[2], snap.Self
		own = demand.Counts{"s-both": 300}
		Expect(entries("split.example", "north", "north-a")).To(ConsistOf("n1", "n2", "n3"))
		snap.Demand = map[types.Region]demand.Counts{"north": {"s-both": 300}}
		Expect(entries("split.example", "north", "north-a")).To(ConsistOf("e1"))
	})

	It("names the regions that the most restricted requests may enter for a region that has no daemons", func() {
		Expect(entries("split.example", "west", "west-a")).To(ConsistOf("e1", "n1", "n2", "n3"))
		own = demand.Counts{"s-north": 10}
		Expect(entries("split.example", "west", "west-a")).To(ConsistOf("n1", "n2", "n3"))
		setState(members.Leaving, "n1", "n2", "n3")
		Expect(entries("split.example", "west", "west-a")).To(ConsistOf("e1"))
		setState(members.Leaving, "e1")
		Expect(entries("split.example", "west", "west-a")).To(ConsistOf("n1", "n2", "n3"))
	})

	// Guards against the same while the daemons of all homes stop in overlapping series.
	It("names the daemons of the homes that stop or start if none of them serves", func() {
		setState(members.Leaving, "e1")
		Expect(entries("bound.example", "west", "west-a")).To(ConsistOf("e1"))
		Expect(entries("free.example", "west", "west-a")).To(HaveLen(4))
		setState(members.Starting, "e1")
		Expect(entries("bound.example", "west", "west-a")).To(ConsistOf("e1"))
		Expect(entries("bound.example", "north", "north-a")).To(ConsistOf("n1", "n2"), "the caller's own region is always allowed")
		setState(members.Leaving, "n1", "n2", "n3")
		Expect(entries("bound.example", "north", "north-a")).To(ConsistOf("e1", "n1", "n2", "n3"))
	})

	// Guards against callers of a host without restricted routes that get no daemon at all
	// while all daemons stop.
	It("names the daemons that stop or start for a host without restricted routes if none serves, first those of the caller's region", func() {
		setState(members.Leaving, "n1", "n2", "n3", "e1", "s1")
		Expect(entries("free.example", "north", "north-a")).To(ConsistOf("n1", "n2", "n3"))
		Expect(entries("free.example", "west", "west-a")).To(ConsistOf("n1", "n2", "n3", "e1", "s1"))
	})

	It("names the daemons of other homes, or all, if those of the homes do not come back from a stop", func() {
		setState(members.Leaving, "e1")
		for i := range snap.Members {
			if snap.Members[i].CallerAddress == "e1" {
				snap.Members[i].LeavingSince = now.Add(-grace - 3*time.Second)
			}
		}
		Expect(entries("bound.example", "west", "west-a")).To(ConsistOf("n1", "n2", "n3"), "one of its routes allows north")
		Expect(entries("east.example", "west", "west-a")).To(ConsistOf("n1", "n2", "n3", "s1"))
	})

	It("names the daemons of other homes, or all, if those of the homes are lost without an announcement", func() {
		snap.Members = slices.DeleteFunc(snap.Members, func(member members.Member) bool { return member.Region == "east" })
		Expect(entries("bound.example", "west", "west-a")).To(ConsistOf("n1", "n2", "n3"), "one of its routes allows north")
		Expect(entries("east.example", "west", "west-a")).To(ConsistOf("n1", "n2", "n3", "s1"))
	})

	// Guards against a daemon that has just started and leads callers out of the homes
	// since it does not know the daemons there yet.
	It("names nobody out of the homes while it joins the others or knows no configuration", func() {
		snap.Members = nil
		snap.Joining = true
		Expect(entries("bound.example", "west", "west-a")).To(BeEmpty())
		Expect(entries("free.example", "west", "west-a")).To(ConsistOf("n1"))
		snap.View = &catalog.View{}
		Expect(entries("free.example", "west", "west-a")).To(BeEmpty())
	})
})

var _ = Describe("the log of lookups", func() {
	It("tells the routes behind the homes with their requests, and who serves and who does not", func() {
		config := &catalog.Config{Version: 3, Routes: []*catalog.Route{
			{Name: "r-busy", Host: "a.example", Prefix: "/a/", AllowedRegions: []types.Region{"north", "east"}},
			{Name: "r-idle", Host: "a.example", Prefix: "/b/", AllowedRegions: []types.Region{"south"}},
			{Name: "r-free", Host: "a.example", Prefix: "/c/"},
		}}
		config.Prepare()
		snap := &control.Snapshot{Self: servingMember("e1", "east", "east-a"), View: &catalog.View{Config: config}}
		snap.Members = []members.Member{{VM: "n1", State: members.Leaving, Region: "north"}}
		var out bytes.Buffer
		log := entry.NewLookupLog(entry.NewLog(&out))
		snap.Demand = map[types.Region]demand.Counts{"north": {"r-busy": 90}}
		log.Record(snap, entry.Lookup{Host: "a.example", Region: "north"}, entry.Answer{Addresses: []string{"e1"}, Scope: entry.HomesScope}, demand.Counts{"r-busy": 5})
		var line map[string]any
		Expect(json.Unmarshal(out.Bytes(), &line)).To(Succeed())
		Expect(line).To(HaveKeyWithValue("restricted", ConsistOf(
			HaveKeyWithValue("requests", BeNumerically("==", 90)), HaveKeyWithValue("homes", ConsistOf("south")),
		)))
		Expect(line).To(HaveKeyWithValue("serving", HaveKeyWithValue("east", BeNumerically("==", 1))))
		Expect(line).To(HaveKeyWithValue("away", HaveKeyWithValue("north", BeNumerically("==", 1))))
	})
})

var _ = Describe("the log", func() {
	It("keeps more lines of failures than of successes, within its limits, and counts the skipped ones", func() {
		var out bytes.Buffer
		requests := entry.NewRequestLog(entry.NewLog(&out))
		for range 1000 {
			requests.Request(logrus.Fields{"request": "a"}, false)
			requests.Request(logrus.Fields{"request": "f"}, true)
		}
		answered := strings.Count(out.String(), "request answered")
		failed := strings.Count(out.String(), "request failed")
		Expect(answered).To(BeNumerically("<=", 2*entry.SuccessLines+entry.SuccessLines*10))
		Expect(failed).To(BeNumerically(">", answered))
		Expect(failed).To(BeNumerically("<", 1000))
		Expect(out.String()).To(ContainSubstring("lines_skipped"))
	})

	It("never blocks if nothing reads its lines", func() {
		lines := entry.NewLineWriter()
		done := make(chan struct{})
		go func() {
			defer close(done)
			for range 10 * entry.LineBuffer {
				_, _ = lines.Write([]byte("x\n"))
			}
		}()
		Eventually(done, 30*time.Second).Should(BeClosed())
		Expect(lines.Dropped()).To(BeEquivalentTo(9 * entry.LineBuffer))
	})
})
