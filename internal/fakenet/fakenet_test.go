package fakenet_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/internal/fakenet"
	"github.com/flamingomount/flamingomount/pkg/peer"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestFakenet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fakenet")
}

// historySteps is the number of events that a seed handles under faults.
const historySteps = 12_000

var _ = Describe("Random histories", func() {
	for seed := uint64(1); seed <= 8; seed++ {
		It(fmt.Sprintf("hold every invariant and converge, seed %d", seed), func() {
			result, err := fakenet.RunHistory(fakenet.HistoryOptions{Seed: seed, Steps: historySteps})
			Expect(err).NotTo(HaveOccurred())
			Expect(result.Steps).To(BeNumerically(">=", historySteps))
			Expect(result.Refused).To(BeNumerically(">", 0), "forgeries and replays were refused")
		})
	}

	It("are the same for the same seed", func() {
		first, err := fakenet.RunHistory(fakenet.HistoryOptions{Seed: 9, Steps: historySteps})
		Expect(err).NotTo(HaveOccurred())
		second, err := fakenet.RunHistory(fakenet.HistoryOptions{Seed: 9, Steps: historySteps})
		Expect(err).NotTo(HaveOccurred())
		Expect(second).To(Equal(first))
	})

	DescribeTable("catch a planted fault",
		func(plant func(*fakenet.HistoryOptions), finding string) {
			var found []string
			for seed := uint64(1); seed <= 8; seed++ {
				opts := fakenet.HistoryOptions{Seed: seed, Steps: historySteps}
				plant(&opts)
				if _, err := fakenet.RunHistory(opts); err != nil {
					found = append(found, err.Error())
				}
			}
			Expect(found).To(ContainElement(ContainSubstring(finding)))
		},
		Entry("revision floor ignored", func(o *fakenet.HistoryOptions) {
			o.Mutant = func(m *peer.Message) { m.Revision = 0 }
		}, "although it was told of"),
		Entry("incarnation ignored", func(o *fakenet.HistoryOptions) {
			o.Mutant = hideIncarnations
		}, "names"),
		Entry("leaving ignored", func(o *fakenet.HistoryOptions) {
			o.Mutant = hideLeaving
		}, "which said that it leaves"),
		Entry("replays accepted", func(o *fakenet.HistoryOptions) {
			o.AcceptReplays = true
		}, "accepted a replayed message"),
	)
})

// hideIncarnations makes every incarnation of a VM look the same.
func hideIncarnations(m *peer.Message) {
	const same types.BootID = "same"
	m.From.Boot = same
	for i := range m.Members {
		m.Members[i].Incarnation.Boot = same
	}
}

// hideLeaving makes leaving daemons look alive.
func hideLeaving(m *peer.Message) {
	m.Leaving = false
	for i := range m.Members {
		if m.Members[i].State == snapshot.MemberLeaving {
			m.Members[i].State = snapshot.MemberAlive
		}
	}
}
