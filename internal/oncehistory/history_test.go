package oncehistory_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/internal/oncehistory"
)

func TestHistories(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "oncehistory")
}

// steps is the length of each random history.
const steps = 20_000

// maxSeeds bounds the histories in which a planted fault must show.
const maxSeeds = 20

func random(seed uint64, way oncehistory.Way, mutant oncehistory.Mutant) oncehistory.Config {
	return oncehistory.Config{
		Seed: seed, Way: way, Mutant: mutant, Steps: steps, Faults: oncehistory.RandomFaults(),
		Bare: 0.3, Settle: 10 * time.Second, ListLag: time.Second, Ledger: oncehistory.SmallLedger(),
	}
}

var _ = Describe("Random histories", func() {
	It("keep every promise by tickets", func() {
		for seed := range uint64(10) {
			report := oncehistory.Run(random(seed, oncehistory.WayTicket, oncehistory.MutantNone))
			Expect(report.Violation).To(BeNil(), "seed %d", seed)
			Expect(report.Steps).To(Equal(steps))
			Expect(report.Runs).To(BeNumerically(">", report.Orders/2), "the history has to run orders to say anything")
		}
	})
})

// firstCaught returns the first violation in up to maxSeeds histories.
func firstCaught(config func(seed uint64) oncehistory.Config) *oncehistory.Violation {
	for seed := range uint64(maxSeeds) {
		if violation := oncehistory.Run(config(seed)).Violation; violation != nil {
			GinkgoWriter.Printf("seed %d, %s\n", seed, violation)
			return violation
		}
	}
	return nil
}

var _ = Describe("The checker", func() {
	for _, mutant := range oncehistory.TicketMutants() {
		It("catches: "+string(mutant), func() {
			Expect(firstCaught(func(seed uint64) oncehistory.Config {
				config := random(seed, oncehistory.WayTicket, mutant)
				config.OutcomesOnly = true
				return config
			})).NotTo(BeNil())
		})
	}

	It("catches the naive map of each daemon", func() {
		Expect(firstCaught(func(seed uint64) oncehistory.Config {
			return random(seed, oncehistory.WayNaive, oncehistory.MutantNone)
		})).NotTo(BeNil())
	})
})

var _ = Describe("Ownership by hash without tickets", func() {
	listChange := func(mutant oncehistory.Mutant, listLag time.Duration) func(seed uint64) oncehistory.Config {
		return func(seed uint64) oncehistory.Config {
			return oncehistory.Config{
				Seed: seed, Way: oncehistory.WayRendezvous, Mutant: mutant, Steps: 100_000, Orders: 2000,
				Faults: oncehistory.Faults{Resend: 0.5}, Scenario: oncehistory.ScenarioListChange,
				Settle: 10 * time.Second, ListLag: listLag,
			}
		}
	}

	It("is caught without the settling rule when the VM list changes", func() {
		Expect(firstCaught(listChange(oncehistory.MutantNoSettling, time.Second))).NotTo(BeNil())
	})

	It("holds with the settling rule while every daemon reads the list in time", func() {
		Expect(firstCaught(listChange(oncehistory.MutantNone, time.Second))).To(BeNil())
	})

	It("is caught with the settling rule when a list comes later than ownership settles", func() {
		Expect(firstCaught(listChange(oncehistory.MutantNone, time.Minute))).NotTo(BeNil())
	})
})
