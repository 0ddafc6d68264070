package livefleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/flamingomount/flamingomount/internal/livefleet"
	"github.com/flamingomount/flamingomount/pkg/control/entries"
	"github.com/flamingomount/flamingomount/pkg/control/event"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestLivefleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "livefleet")
}

// patience only keeps a broken run from hanging; nothing is measured by it.
const patience = time.Minute

func inForce(f *livefleet.Fleet) func() []types.Revision {
	return func() []types.Revision {
		var out []types.Revision
		for _, d := range f.Daemons {
			if config := d.Load().Config; config != nil {
				out = append(out, config.Revision)
			}
		}
		return out
	}
}

func named(d *livefleet.Daemon) func() []types.VMID {
	return func() []types.VMID {
		var out []types.VMID
		for _, e := range entries.List(d.Load(), entries.Query{Caller: "c", Limit: 99}).Entries {
			out = append(out, e.VM)
		}
		return out
	}
}

var _ = Describe("Daemons over loopback TCP", func() {
	It("spread a revision, and drop a leaving and a crashed daemon from the answers", func() {
		before := goleak.IgnoreCurrent()
		f, err := livefleet.Start(8, 40, 1)
		Expect(err).NotTo(HaveOccurred())
		defer func() {
			f.Stop()
			Eventually(func() error { return goleak.Find(before) }).WithTimeout(patience).Should(Succeed())
		}()
		Eventually(inForce(f)).WithTimeout(patience).Should(HaveLen(8))
		revision := f.Platform.Publish()
		Eventually(inForce(f)).WithTimeout(patience).Should(HaveEach(revision))

		stays, leaves, crashes := f.Daemons[0], f.Daemons[1], f.Daemons[2]
		Eventually(named(stays)).WithTimeout(patience).Should(HaveLen(8))
		Expect(leaves.Submit(event.DrainStarted{At: time.Now()})).To(BeTrue())
		Eventually(named(leaves)).WithTimeout(patience).ShouldNot(ContainElement(leaves.Place.VM))
		Eventually(named(stays)).WithTimeout(patience).ShouldNot(ContainElement(leaves.Place.VM))
		crashes.Stop()
		Eventually(named(stays)).WithTimeout(patience).ShouldNot(ContainElement(crashes.Place.VM))
	})
})
