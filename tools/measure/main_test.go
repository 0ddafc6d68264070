package main

import (
	"math"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/tools/measure/scenario"
)

func TestMeasure(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "measure")
}

var _ = Describe("measure", func() {
	It("refuses unknown scenarios and seed counts, naming what is known", func() {
		Expect(measure([]string{"nonsense"})).To(MatchError(ContainSubstring("patient-flood")))
		Expect(measure(nil)).To(MatchError(ContainSubstring("steady")))
		Expect(measure([]string{"steady", "--seeds", "0"})).To(MatchError(ContainSubstring("--seeds")))
	})

	It("registers each scenario once", func() {
		names := map[string]bool{}
		for _, s := range scenario.All() {
			Expect(names).NotTo(HaveKey(s.Name))
			names[s.Name] = true
			Expect(s.Run).NotTo(BeNil())
		}
	})

	It("shows the least and the greatest value over the seeds", func() {
		row := func(value float64) []scenario.Row {
			return []scenario.Row{{Variant: "real", Figures: []scenario.Figure{{Name: "p99", Value: value}}}}
		}
		Expect(table([][]scenario.Row{row(2.5), row(1.5), row(2)})).To(ContainSubstring("| 1.50 – 2.50"))
		Expect(table([][]scenario.Row{row(math.NaN())})).To(ContainSubstring("none"))
	})
})
