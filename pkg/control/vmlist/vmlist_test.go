package vmlist_test

import (
	"flag"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/flamingomount/flamingomount/pkg/control/vmlist"
	"github.com/flamingomount/flamingomount/pkg/peer"
	"github.com/flamingomount/flamingomount/pkg/platform"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestVMList(t *testing.T) {
	RegisterFailHandler(Fail)
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	RunSpecs(t, "vmlist")
}

// drawListing draws a list of up to six VMs, some of them leaving.
func drawListing(t *rapid.T, version uint64) *platform.VMListing {
	listing := &platform.VMListing{Version: version}
	for i := range 6 {
		if rapid.Bool().Draw(t, "listed") {
			listing.VMs = append(listing.VMs, platform.VM{
				Role: platform.RoleEntry, Peer: types.VMID(fmt.Sprintf("10.0.0.%d:7000", i)), Leaving: rapid.Bool().Draw(t, "leaving"),
			})
		}
	}
	return listing
}

var _ = Describe("The VM list", func() {
	It("reaches a peer of any older version, as a change or whole", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var reader, follower vmlist.State
			versions := uint64(rapid.IntRange(1, 30).Draw(t, "versions"))
			stop := uint64(rapid.IntRange(0, int(versions)).Draw(t, "stop"))
			for version := uint64(1); version <= versions; version++ {
				listing := drawListing(t, version)
				reader.Set(listing)
				if version <= stop {
					follower.Set(listing)
				}
			}
			change, whole := reader.ChangesSince(follower.Version())
			if stop == versions {
				if change != nil || whole != nil {
					t.Fatalf("a peer that is not behind gets something")
				}
				return
			}
			if !follower.Apply(change) && !follower.Set(whole) {
				t.Fatalf("neither the change nor the list was taken")
			}
			if fmt.Sprint(follower.Listing()) != fmt.Sprint(reader.Listing()) {
				t.Fatalf("the peer holds %v, the reader %v", follower.Listing(), reader.Listing())
			}
		})
	})

	It("never goes back to an older version, and takes no change that does not lead on", func() {
		var s vmlist.State
		Expect(s.Set(&platform.VMListing{Version: 5})).To(BeTrue())
		Expect(s.Set(&platform.VMListing{Version: 4})).To(BeFalse())
		Expect(s.Apply(&peer.ListChange{From: 4, To: 6})).To(BeFalse())
		Expect(s.Apply(&peer.ListChange{From: 5, To: 5})).To(BeFalse())
		Expect(s.Version()).To(Equal(uint64(5)))
	})
})
