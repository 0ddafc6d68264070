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

// drawListing generates a list of up to six VMs, some of them leaving.
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
	It("updates a peer with any older version, by a change or by the whole list", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var reader, follower vmlist.State
			versions := uint64(rapid.IntRange(1, 30).Draw(t, "versions"))
			followerVersion := uint64(rapid.IntRange(0, int(versions)).Draw(t, "followerVersion"))
			for version := uint64(1); version <= versions; version++ {
				listing := drawListing(t, version)
				reader.Set(listing)
				if version <= followerVersion {
					follower.Set(listing)
				}
			}
			change, fullList := reader.ChangesSince(follower.Version())
			if followerVersion == versions {
				if change != nil || fullList != nil {
					t.Fatalf("a peer that is up to date gets a change or a list")
				}
				return
			}
			if !follower.Apply(change) && !follower.Set(fullList) {
				t.Fatalf("neither the change nor the list was accepted")
			}
			if fmt.Sprint(follower.Listing()) != fmt.Sprint(reader.Listing()) {
				t.Fatalf("the peer has %v, the reader has %v", follower.Listing(), reader.Listing())
			}
		})
	})

	It("never goes back to an older version, and rejects a change that does not start from the current one", func() {
		var s vmlist.State
		Expect(s.Set(&platform.VMListing{Version: 5})).To(BeTrue())
		Expect(s.Set(&platform.VMListing{Version: 4})).To(BeFalse())
		Expect(s.Apply(&peer.ListChange{From: 4, To: 6})).To(BeFalse())
		Expect(s.Apply(&peer.ListChange{From: 5, To: 5})).To(BeFalse())
		Expect(s.Version()).To(Equal(uint64(5)))
	})
})
