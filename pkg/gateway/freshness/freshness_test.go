package freshness_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/freshness"
)

func TestFreshness(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "freshness")
}

var _ = Describe("the confirmation of a configuration", func() {
	start := time.Unix(1_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	position := func(era, revision uint64) catalog.Position { return catalog.Position{Era: era, Revision: revision} }
	var c *freshness.Confirmation
	BeforeEach(func() { c = &freshness.Confirmation{} })

	It("confirms nothing at the start", func() {
		Expect(c.Settle(position(0, 9), 3)).To(BeFalse())
		Expect(c.At().IsZero()).To(BeTrue())
		Expect(c.Age(at(0))).To(BeZero())
	})

	It("confirms the moment at which the store was asked", func() {
		c.RecordReading(position(0, 9), at(100))
		Expect(c.Settle(position(0, 9), 3)).To(BeTrue())
		Expect(c.At()).To(Equal(at(100)))
		Expect(c.Age(at(400))).To(Equal(300 * time.Millisecond))
	})

	It("waits until the changes that the store told of are here", func() {
		c.RecordReading(position(0, 9), at(100))
		Expect(c.Settle(position(0, 8), 3)).To(BeFalse())
		Expect(c.Settle(position(0, 10), 4)).To(BeTrue())
		Expect(c.At()).To(Equal(at(100)))
	})

	It("confirms nothing without a configuration", func() {
		c.RecordReading(position(0, 9), at(100))
		Expect(c.Settle(position(0, 9), 0)).To(BeFalse())
		Expect(c.Settle(position(0, 9), 1)).To(BeTrue())
	})

	It("confirms by a reply the moment of the question less the age that it tells", func() {
		c.RecordReply(3, 250*time.Millisecond, at(1000))
		Expect(c.Settle(position(0, 1), 2)).To(BeFalse())
		Expect(c.Settle(position(0, 1), 3)).To(BeTrue())
		Expect(c.At()).To(Equal(at(750)))
	})

	It("takes nothing from a reply without an age, with a negative one or without a version", func() {
		c.RecordReply(3, 0, at(1000))
		c.RecordReply(3, -time.Hour, at(1000))
		c.RecordReply(0, time.Second, at(1000))
		Expect(c.Settle(position(0, 1), 3)).To(BeFalse())
	})

	It("never goes back", func() {
		c.RecordReply(3, 10*time.Millisecond, at(1000))
		c.Settle(position(0, 1), 3)
		c.RecordReply(3, 900*time.Millisecond, at(1100))
		c.RecordReading(position(0, 1), at(500))
		Expect(c.Settle(position(0, 1), 3)).To(BeFalse())
		Expect(c.At()).To(Equal(at(990)))
	})

	It("is not raised while another daemon is known to have a newer version", func() {
		c.RecordVersion(4)
		c.RecordReading(position(2, 9), at(100))
		Expect(c.Settle(position(2, 9), 3)).To(BeFalse())
		Expect(c.Settle(position(2, 9), 4)).To(BeTrue())
	})

	It("takes nothing from a reading of an era that is over", func() {
		c.RecordReading(position(1, 9), at(100))
		Expect(c.Settle(position(2, 3), 3)).To(BeFalse())
		Expect(c.Settle(position(2, 20), 3)).To(BeFalse())
	})

	It("takes nothing from a reading of an era that has not reached this daemon", func() {
		c.RecordReading(position(2, 3), at(100))
		Expect(c.Settle(position(1, 9), 3)).To(BeFalse())
		Expect(c.Settle(position(2, 3), 3)).To(BeFalse())
	})

	It("keeps the bound and no answers when the rest of the state is lost", func() {
		c.RecordReply(3, 10*time.Millisecond, at(1000))
		c.Settle(position(0, 1), 3)
		c.RecordReading(position(0, 9), at(2000))
		c.Forget()
		Expect(c.Settle(position(0, 9), 3)).To(BeFalse())
		Expect(c.At()).To(Equal(at(990)))
	})

	It("lets credentials be used for most of the limit, and for no time if nothing is confirmed", func() {
		Expect(freshness.TrustedUntil(at(0), 5*time.Second)).To(Equal(at(4000)))
		Expect(freshness.TrustedUntil(time.Time{}, 5*time.Second).IsZero()).To(BeTrue())
	})
})
