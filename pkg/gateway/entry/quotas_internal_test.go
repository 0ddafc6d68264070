package entry

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/control"
	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

var _ = ginkgo.Describe("Quotas of a fleet of which a data centre was not seen", func() {
	start := time.Unix(1_700_000_000, 0)

	ginkgo.It("are told to operators once, when the daemon begins to divide them, with the numbers", func() {
		logger, lines := logtest.NewNullLogger()
		size := members.FleetSize{Expected: members.Expected{Others: true, DataCentres: 3}}
		partial := partialFleetLog{log: logger}
		snap := &control.Snapshot{Peak: members.Peak{DataCentre: 4, Region: 4, Fleet: 8, DataCentres: 2}}
		snap.View = &catalog.View{Config: &catalog.Config{Organisations: []*catalog.Organisation{{Name: "free"}}}}
		observe := func(after time.Duration) int {
			observed := size.Observe(snap.Peak, false, start.Add(after))
			partial.note(observed, size.Expected, snap)
			return quotaDaemons(observed)
		}
		Expect(observe(0)).To(BeZero())
		Expect(observe(members.CompleteWait)).To(Equal(12))
		Expect(lines.AllEntries()).To(BeEmpty(), "no organisation has a quota")
		snap.View.Config.Organisations = []*catalog.Organisation{{Name: "acme", Quota: &catalog.Quota{Rate: 1}}}
		Expect(observe(members.CompleteWait)).To(Equal(12))
		Expect(observe(members.CompleteWait + time.Second)).To(Equal(12))
		Expect(lines.AllEntries()).To(HaveLen(1))
		Expect(lines.LastEntry().Level).To(Equal(logrus.WarnLevel))
		Expect(lines.LastEntry().Data).To(Equal(logrus.Fields{"daemons": 12, "data_centres_seen": 2, "data_centres": 3}))
	})

	ginkgo.It("are not told of while the daemon waits, nor when it has heard of all data centres", func() {
		logger, lines := logtest.NewNullLogger()
		partial := partialFleetLog{log: logger}
		snap := &control.Snapshot{Peak: members.Peak{DataCentre: 4, Region: 4, Fleet: 8, DataCentres: 2}}
		snap.View = &catalog.View{Config: &catalog.Config{Organisations: []*catalog.Organisation{{Name: "free"}}}}
		snap.View.Config.Organisations = []*catalog.Organisation{{Name: "acme", Quota: &catalog.Quota{Rate: 1}}}
		expected := members.Expected{Others: true, DataCentres: 3}
		partial.note(members.SharedSize{Daemons: 12, Joined: true, Settled: true}, expected, snap)
		partial.note(members.SharedSize{Daemons: 12, Joined: true, Settled: true, Complete: true, Waited: true}, expected, snap)
		Expect(lines.AllEntries()).To(BeEmpty())
	})
})

var _ = ginkgo.Describe("What the settings tell of the fleet", func() {
	ginkgo.It("is whether there are others, the number of data centres and that of daemons", func() {
		settings := Settings{VM: "a:1", Seeds: []types.VMID{"a:1", "b:1"}, DataCentres: 3, Daemons: 20}
		Expect(expectedFleet(settings)).To(Equal(members.Expected{Others: true, DataCentres: 3, Daemons: 20}))
		settings.Seeds = settings.Seeds[:1]
		Expect(expectedFleet(settings).Others).To(BeFalse())
	})

	ginkgo.It("divides retry budgets only once the daemon has joined the others", func() {
		Expect(budgetDaemons(members.SharedSize{Daemons: 12, Settled: true, Complete: true})).To(BeZero())
		Expect(budgetDaemons(members.SharedSize{Daemons: 12, Joined: true, Settled: true})).To(Equal(12))
	})
})
