package quota_test

import (
	"flag"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/gateway/quota"
)

func TestQuota(t *testing.T) {
	RegisterFailHandler(Fail)
	moreChecks(t)
	RunSpecs(t, "quota")
}

// moreChecks lets each property be checked some thousand times, unless the command line
// asks for another number.
func moreChecks(t *testing.T) {
	const name, usual, checks = "rapid.checks", "100", "2000"
	known := flag.Lookup(name)
	if known.Value.String() != usual {
		return
	}
	if err := flag.Set(name, checks); err != nil {
		t.Fatal(err)
	}
}

func organisation(limit catalog.Quota) []*catalog.Organisation {
	return []*catalog.Organisation{{Name: modelOrganisation, Quota: &limit}}
}

var _ = Describe("Ledger", func() {
	bounds := catalog.QuotaBounds{Window: 8 * time.Second, Overshoot: 0.25, Slack: 1000}
	limit := catalog.Quota{Rate: 1000, Burst: 1000}
	at := func(after time.Duration) time.Time { return modelBegin.Add(after) }

	started := func(daemons int) *quota.Ledger {
		ledger := quota.NewLedger(bounds)
		ledger.SetOrganisations(organisation(limit), at(0))
		ledger.SetDaemons(daemons, at(0))
		return ledger
	}

	It("grants a daemon alone the rate and the burst", func() {
		ledger := started(1)
		Expect(ledger.Credit(modelOrganisation, at(time.Minute))).To(BeNumerically(">=", 1000))
		granted := 0.0
		for step := range 200 {
			if _, ok := ledger.Charge(modelOrganisation, 50, true, at(time.Minute+time.Duration(step)*50*time.Millisecond)); ok {
				granted += 50
			}
		}
		Expect(granted).To(BeNumerically(">=", 10000), "10 s at the rate, without the burst")
	})

	It("tells credit and wait without a change", func() {
		peeked, other, asked := started(7), started(7), started(7)
		rng := rand.New(rand.NewPCG(5, 8))
		now := at(0)
		for range 500 {
			now = now.Add(time.Duration(rng.IntN(200)) * time.Millisecond)
			cost := float64(rng.IntN(60))
			for range 3 {
				credit, wait := peeked.Peek(modelOrganisation, cost, now)
				Expect(credit).To(BeNumerically("~", asked.Credit(modelOrganisation, now), 1e-6), "but for the sums' last digits")
				Expect(wait).To(BeNumerically("~", asked.Wait(modelOrganisation, cost, now), time.Microsecond))
			}
			Expect(reflect.DeepEqual(peeked, other)).To(BeTrue())
			gift, take := rng.IntN(5) == 0, rng.IntN(3) > 0
			for _, ledger := range []*quota.Ledger{peeked, other, asked} {
				if gift {
					ledger.Receive(modelOrganisation, []quota.Gift{{Units: cost, Life: time.Second}}, now, now)
				}
				if take {
					ledger.Charge(modelOrganisation, cost, true, now)
				}
			}
		}
	})

	It("keeps what other daemons gave when it is asked after a part of it has expired", func() {
		peeked, other := started(7), started(7)
		for _, ledger := range []*quota.Ledger{peeked, other} {
			for i, life := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond} {
				ledger.Receive(modelOrganisation, []quota.Gift{{Units: float64(10 + i), Life: life}}, at(0), at(0))
			}
		}
		for now := time.Duration(0); now < time.Second; now += 50 * time.Millisecond {
			peeked.Peek(modelOrganisation, 1, at(now))
			Expect(reflect.DeepEqual(peeked, other)).To(BeTrue())
		}
	})

	It("grants nothing while the number of daemons is unknown, and then its share of the time since it heard of the quota", func() {
		ledger := quota.NewLedger(bounds)
		ledger.SetOrganisations(organisation(limit), at(0))
		Expect(ledger.Credit(modelOrganisation, at(time.Second))).To(BeZero())
		_, ok := ledger.Charge(modelOrganisation, 1, true, at(time.Second))
		Expect(ok).To(BeFalse())
		ledger.SetDaemons(2, at(time.Second))
		Expect(ledger.Credit(modelOrganisation, at(time.Second))).To(BeNumerically("~", 525, 1))
		Expect(ledger.Credit(modelOrganisation, at(1200*time.Millisecond))).To(BeNumerically("~", 630, 1))
	})

	It("keeps no more than its share of the stock, however long the number of daemons was unknown", func() {
		ledger := quota.NewLedger(bounds)
		ledger.SetOrganisations(organisation(limit), at(0))
		Expect(ledger.Credit(modelOrganisation, at(time.Hour))).To(BeZero())
		ledger.SetDaemons(2, at(time.Hour))
		Expect(ledger.Credit(modelOrganisation, at(time.Hour))).To(BeNumerically("~", started(2).Credit(modelOrganisation, at(time.Hour)), 1))
	})

	It("grants an organisation whose quota is new nothing of the time before", func() {
		ledger := quota.NewLedger(bounds)
		ledger.SetOrganisations(nil, at(0))
		ledger.SetOrganisations(organisation(limit), at(time.Minute))
		ledger.SetDaemons(2, at(61*time.Second))
		Expect(ledger.Credit(modelOrganisation, at(61*time.Second))).To(BeNumerically("~", 525, 1))
	})

	It("never limits an organisation without a quota", func() {
		ledger := started(1)
		_, ok := ledger.Charge("other", 1e12, true, at(0))
		Expect(ok).To(BeTrue())
		Expect(ledger.Limited("other")).To(BeFalse())
	})

	It("keeps the credit of an organisation whose account it forgot", func() {
		ledger := started(10)
		before := ledger.Credit(modelOrganisation, at(time.Minute))
		ledger.Forget(at(2 * time.Minute))
		Expect(ledger.Credit(modelOrganisation, at(2*time.Minute))).To(Equal(before))
	})

	It("gives back what a request took, as long as its units live", func() {
		ledger := started(1)
		before := ledger.Credit(modelOrganisation, at(time.Minute))
		charge, ok := ledger.Charge(modelOrganisation, 500, true, at(time.Minute))
		Expect(ok).To(BeTrue())
		ledger.Refund(charge, at(time.Minute))
		Expect(ledger.Credit(modelOrganisation, at(time.Minute))).To(Equal(before))

		charge, _ = ledger.Charge(modelOrganisation, 500, true, at(time.Minute))
		ledger.Refund(charge, at(2*time.Minute))
		Expect(ledger.Credit(modelOrganisation, at(2*time.Minute))).To(BeNumerically("<=", before))
	})

	It("deducts what it gives, and keeps what its own callers need", func() {
		ledger := started(2)
		before := ledger.Credit(modelOrganisation, at(time.Minute))
		gifts := ledger.Give(modelOrganisation, 300, quota.Spare, at(time.Minute))
		Expect(ledger.Credit(modelOrganisation, at(time.Minute))).To(BeNumerically("~", before-300, 0.001))
		other := started(2)
		other.Receive(modelOrganisation, gifts, at(time.Minute), at(time.Minute))
		Expect(other.Credit(modelOrganisation, at(time.Minute))).To(BeNumerically("~", before+300, 0.001))

		ledger.Charge(modelOrganisation, 5000, true, at(time.Minute))
		Expect(ledger.Give(modelOrganisation, 300, quota.Spare, at(time.Minute))).To(BeEmpty())
	})

	It("cuts its credit when a quota is lowered, and begins without one for a new quota", func() {
		ledger := started(1)
		ledger.Credit(modelOrganisation, at(time.Minute))
		lowered := catalog.Quota{Rate: 10, Burst: 10}
		ledger.SetOrganisations(organisation(lowered), at(time.Minute))
		Expect(ledger.Credit(modelOrganisation, at(time.Minute))).To(BeNumerically("<=", quota.LimitsOf(&lowered, bounds).AtOnce()))

		ledger.SetOrganisations(nil, at(time.Minute))
		ledger.SetOrganisations(organisation(limit), at(2*time.Minute))
		Expect(ledger.Credit(modelOrganisation, at(2*time.Minute))).To(BeZero())
	})

	It("lets a deployment without a stated bound use the rate", func() {
		ledger := quota.NewLedger(catalog.QuotaBounds{})
		ledger.SetOrganisations(organisation(catalog.Quota{Rate: 100}), at(0))
		ledger.SetDaemons(1, at(0))
		Expect(quota.LimitsOf(&catalog.Quota{Rate: 100}, catalog.QuotaBounds{}).AtOnce()).To(BeNumerically("~", 100, 0.001))
		Expect(ledger.Credit(modelOrganisation, at(time.Minute))).To(BeNumerically("~", 50, 0.001))
	})
})
