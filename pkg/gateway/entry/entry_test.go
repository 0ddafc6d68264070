package entry_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
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

var _ = Describe("Entries", func() {
	var snap *control.Snapshot
	BeforeEach(func() {
		config := &catalog.Config{Routes: []*catalog.Route{
			{Host: "bound.example", Prefix: "/a/", AllowedRegions: []types.Region{"north", "east"}},
			{Host: "bound.example", Prefix: "/b/", AllowedRegions: []types.Region{"east"}},
			{Host: "free.example", Prefix: "/a/"},
		}}
		config.Prepare()
		snap = &control.Snapshot{
			Self: servingMember("n1", "north", "north-a"), View: &catalog.View{Config: config},
			Members: []members.Member{servingMember("n2", "north", "north-a"), servingMember("n3", "north", "north-b"), servingMember("e1", "east", "east-a"), servingMember("s1", "south", "south-a")},
		}
	})

	It("returns the daemons of the caller's data centre", func() {
		Expect(entry.Entries(snap, "free.example", "north", "north-a")).To(ConsistOf("n1", "n2"))
	})

	It("returns the daemons of the region if the data centre has too few", func() {
		Expect(entry.Entries(snap, "free.example", "north", "north-b")).To(ConsistOf("n1", "n2", "n3"))
	})

	It("returns daemons of the host's allowed regions for a region without daemons, and all daemons if the host has no such limit", func() {
		Expect(entry.Entries(snap, "bound.example", "west", "west-a")).To(ConsistOf("e1"))
		Expect(entry.Entries(snap, "free.example", "west", "west-a")).To(HaveLen(5))
	})

	It("omits a leaving daemon", func() {
		snap.Self.State = members.Leaving
		Expect(entry.Entries(snap, "free.example", "north", "north-a")).To(ConsistOf("n2", "n3"))
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
