package members_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/types"
)

var _ = Describe("FleetSize", func() {
	three := members.Expected{Others: true, DataCentres: 3}
	same := func(daemons int) members.Peak {
		return members.Peak{DataCentre: daemons, Region: daemons, Fleet: daemons}
	}
	joined := func(expected members.Expected, peak members.Peak) members.SharedSize {
		size := members.FleetSize{Expected: expected}
		return size.Observe(peak, false, start)
	}

	It("gives all daemons together one whole share when each data centre has restarted behind a partition", func() {
		sum := 0.0
		for _, daemons := range []int{3, 3, 2} {
			for range daemons {
				size := joined(three, same(daemons))
				Expect(size.Settled).To(BeTrue())
				Expect(size.Daemons).To(BeNumerically(">", 0))
				sum += 1 / float64(size.Daemons)
			}
		}
		Expect(sum).To(BeNumerically("<=", 1))
	})

	It("counts daemons of data centres that the settings don't name", func() {
		Expect(joined(three, members.Peak{DataCentre: 1, Region: 4, Fleet: 12})).To(Equal(members.SharedSize{Daemons: 12, Joined: true, Settled: true}))
	})

	It("is not settled while the daemon joins the others", func() {
		size := members.FleetSize{Expected: three}
		observed := size.Observe(members.Peak{DataCentre: 2, Region: 2, Fleet: 4}, true, start)
		Expect(observed.Settled || observed.Joined).To(BeFalse())
	})

	It("is never known to a daemon that has started cut off from all others", func() {
		size := members.FleetSize{Expected: three}
		Expect(size.Observe(same(1), true, start).Daemons).To(BeZero())
		Expect(size.Observe(same(1), false, start.Add(time.Hour)).Daemons).To(BeZero())
	})

	It("is one for a daemon that is alone", func() {
		Expect(joined(members.Expected{DataCentres: 1}, same(1))).To(Equal(members.SharedSize{Daemons: 1, Joined: true, Settled: true, Complete: true}))
	})

	It("settles while the daemon joins once it has seen no further one for a while", func() {
		size := members.FleetSize{Expected: three}
		settled := func(seen int, after time.Duration) bool {
			return size.Observe(same(seen), true, start.Add(after)).Settled
		}
		Expect(settled(3, 200*time.Millisecond)).To(BeFalse())
		Expect(settled(4, 600*time.Millisecond)).To(BeFalse(), "one more seen")
		Expect(settled(4, time.Second)).To(BeFalse())
		Expect(settled(4, 1200*time.Millisecond)).To(BeTrue())
		Expect(size.Observe(same(4), true, start.Add(1200*time.Millisecond))).To(Equal(members.SharedSize{Daemons: 12, Settled: true}))
	})

	It("changes at once after the daemon has joined", func() {
		Expect(joined(three, same(5))).To(Equal(members.SharedSize{Daemons: 15, Joined: true, Settled: true}))
	})

	It("may be minted by only once a daemon of every data centre was seen by this one or by one that it heard of", func() {
		table := members.New(member("self:1", 0), []types.VMID{"seed:1"})
		mayMint := func() bool {
			size := members.FleetSize{Expected: three}
			return size.Observe(table.Peak(), false, start).MayMint()
		}
		table.Merge([]members.Member{member("a:1", 1), remoteMember("s:1", 1)}, start)
		Expect(mayMint()).To(BeFalse())
		told := remoteMember("s:1", 2)
		told.DataCentresPeak = 3
		table.Merge([]members.Member{told}, start)
		Expect(mayMint()).To(BeTrue())
		Expect(table.Self().DataCentresPeak).To(Equal(3))
	})

	It("may be minted by once the daemon itself has seen every data centre", func() {
		table := members.New(member("self:1", 0), []types.VMID{"seed:1"})
		third := remoteMember("t:1", 1)
		third.DataCentre = "south-b"
		table.Merge([]members.Member{remoteMember("s:1", 1), third}, start)
		size := members.FleetSize{Expected: three}
		Expect(size.Observe(table.Peak(), false, start).MayMint()).To(BeTrue())
		Expect(size.Observe(table.Peak(), true, start).MayMint()).To(BeFalse(), "neither joined nor settled")
	})

	It("is at least the number that operators told, at once and whatever the daemon sees", func() {
		told := members.Expected{Others: true, DataCentres: 3, Daemons: 20}
		alone := members.FleetSize{Expected: told}
		Expect(alone.Observe(same(1), true, start)).To(Equal(members.SharedSize{Daemons: 20, Settled: true, Complete: true}))
		Expect(joined(told, members.Peak{DataCentre: 10, Region: 10, Fleet: 19, DataCentres: 2}).Daemons).To(Equal(20))
		Expect(joined(told, members.Peak{DataCentre: 10, Region: 10, Fleet: 21, DataCentres: 2}).Daemons).To(Equal(21), "too low a number")
	})

	Describe("without a daemon of every data centre", func() {
		peak := members.Peak{DataCentre: 4, Region: 4, Fleet: 8, DataCentres: 2}

		It("may be minted by once the daemon has waited for the others for a bounded time since it joined", func() {
			size := members.FleetSize{Expected: three}
			Expect(size.Observe(peak, true, start).MayMint()).To(BeFalse())
			Expect(size.Observe(peak, true, start.Add(members.CompleteWait)).MayMint()).To(BeFalse(), "still joining")
			joinedAt := start.Add(members.CompleteWait + time.Second)
			Expect(size.Observe(peak, false, joinedAt).MayMint()).To(BeFalse())
			Expect(size.Observe(peak, false, joinedAt.Add(members.CompleteWait-time.Millisecond)).MayMint()).To(BeFalse())
			Expect(size.Observe(peak, false, joinedAt.Add(members.CompleteWait))).To(Equal(
				members.SharedSize{Daemons: 12, Joined: true, Settled: true, Waited: true}))
			Expect(size.Observe(peak, false, joinedAt.Add(members.CompleteWait)).MayMint()).To(BeTrue())
		})

		It("is waited for also while further daemons of the same data centres come, and no longer", func() {
			size := members.FleetSize{Expected: three}
			size.Observe(peak, false, start)
			more := peak
			more.Fleet = 9
			Expect(size.Observe(more, false, start.Add(members.CompleteWait/2)).MayMint()).To(BeFalse())
			Expect(size.Observe(more, false, start.Add(members.CompleteWait)).MayMint()).To(BeTrue())
		})

		It("is waited for since the first other daemon was seen", func() {
			size := members.FleetSize{Expected: three}
			Expect(size.Observe(same(1), false, start).MayMint()).To(BeFalse())
			Expect(size.Observe(same(1), false, start.Add(time.Hour)).MayMint()).To(BeFalse(), "alone")
			Expect(size.Observe(peak, false, start.Add(time.Hour)).MayMint()).To(BeFalse())
			Expect(size.Observe(peak, false, start.Add(time.Hour+members.CompleteWait)).MayMint()).To(BeTrue())
		})
	})
})
