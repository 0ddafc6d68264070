package entry

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

var _ = ginkgo.Describe("The fleet size", func() {
	settings := Settings{VM: "a:1", Seeds: []types.VMID{"a:1", "b:1"}, DataCentres: 3}
	sizeOf := func(peak members.Peak) int {
		size, known := fleetSize(settings, &control.Snapshot{Peak: peak})
		Expect(known).To(BeTrue())
		return size
	}

	ginkgo.It("gives all daemons together one whole share when each data centre has restarted behind a partition", func() {
		sum := 0.0
		for _, daemons := range []int{3, 3, 2} {
			for range daemons {
				sum += 1 / float64(sizeOf(members.Peak{DataCentre: daemons, Region: daemons, Fleet: daemons}))
			}
		}
		Expect(sum).To(BeNumerically("<=", 1))
	})

	ginkgo.It("counts daemons of data centres that the settings don't name", func() {
		Expect(sizeOf(members.Peak{DataCentre: 1, Region: 4, Fleet: 12})).To(Equal(12))
	})

	ginkgo.It("is not known while the daemon joins the others", func() {
		_, known := fleetSize(settings, &control.Snapshot{Peak: members.Peak{DataCentre: 2, Region: 2, Fleet: 4}, Joining: true})
		Expect(known).To(BeFalse())
	})

	ginkgo.It("is not known to a daemon that has started cut off from all others", func() {
		_, known := fleetSize(settings, &control.Snapshot{Peak: members.Peak{DataCentre: 1, Region: 1, Fleet: 1}})
		Expect(known).To(BeFalse())
	})

	ginkgo.It("is one for a daemon that is alone", func() {
		alone := Settings{VM: "a:1", Seeds: []types.VMID{"a:1"}, DataCentres: 1}
		size, known := fleetSize(alone, &control.Snapshot{Peak: members.Peak{DataCentre: 1, Region: 1, Fleet: 1}})
		Expect(known).To(BeTrue())
		Expect(size).To(Equal(1))
	})
})
