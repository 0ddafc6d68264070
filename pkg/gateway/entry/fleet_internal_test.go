package entry

import (
	"time"

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

var _ = ginkgo.Describe("The number of daemons that share quotas", func() {
	settings := Settings{VM: "a:1", Seeds: []types.VMID{"a:1", "b:1"}, DataCentres: 3}
	start := time.Unix(1_700_000_000, 0)
	joining := func(seen int) *control.Snapshot {
		return &control.Snapshot{Peak: members.Peak{DataCentre: seen, Region: seen, Fleet: seen}, Joining: true}
	}

	ginkgo.It("is known while the daemon joins once it has seen no further one for a while", func() {
		var fleet settledFleet
		Expect(fleet.observe(settings, joining(1), start)).To(BeZero(), "no other daemon seen")
		Expect(fleet.observe(settings, joining(3), start.Add(200*time.Millisecond))).To(BeZero())
		Expect(fleet.observe(settings, joining(4), start.Add(600*time.Millisecond))).To(BeZero(), "one more seen")
		Expect(fleet.observe(settings, joining(4), start.Add(time.Second))).To(BeZero())
		Expect(fleet.observe(settings, joining(4), start.Add(1200*time.Millisecond))).To(Equal(12))
	})

	ginkgo.It("is never known to a daemon that sees none of the others", func() {
		var fleet settledFleet
		alone := joining(1)
		alone.Joining = false
		Expect(fleet.observe(settings, joining(1), start)).To(BeZero())
		Expect(fleet.observe(settings, alone, start.Add(time.Hour))).To(BeZero())
	})

	ginkgo.It("changes at once after the daemon has joined", func() {
		var fleet settledFleet
		joined := joining(5)
		joined.Joining = false
		Expect(fleet.observe(settings, joined, start)).To(Equal(15))
	})
})
