package burn_test

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/burn"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestBurn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "burn")
}

var (
	start   = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	service = &published.Service{
		Name:       "quotes",
		Objectives: [types.RankCount]published.Objective{{InTime: 0.99, FirstToken: time.Second}, {Finished: 0.9}},
	}
)

func daemon(region types.Region, since time.Time) *burn.State {
	return burn.NewState(snapshot.Self{Region: region, Incarnation: types.Incarnation{VM: types.VMID(region)}}, since)
}

// record counts one urgent request a minute.
func record(state *burn.State, from time.Time, minutes int, code types.Code) {
	for i := range minutes {
		state.Record(request.Outcome{
			Service:     "quotes",
			Code:        code,
			FinishedAt:  from.Add(time.Duration(i) * time.Minute),
			TimeAllowed: 2 * time.Second,
			Took:        time.Second,
		}, service)
	}
}

func merge(at time.Time, missing []burn.Unreachable, states ...*burn.State) burn.FleetReport {
	reports := make([]burn.DaemonReport, 0, len(states))
	for _, state := range states {
		report, err := state.Report(at)
		Expect(err).NotTo(HaveOccurred())
		reports = append(reports, report)
	}
	fleet, err := burn.Merge(at, reports, missing)
	Expect(err).NotTo(HaveOccurred())
	return fleet
}

var _ = Describe("the burn report", func() {
	It("shows no burn while every request is in time", func() {
		state := daemon("pokhara", start)
		record(state, start, 360, "")
		fleet := merge(start.Add(359*time.Minute), nil, state)
		Expect(fleet.Series).To(HaveLen(1))
		Expect(fleet.Series[0].BudgetLeft).To(Equal(1.0))
		Expect(fleet.Series[0].Alert).To(Equal(burn.AlertNone))
		Expect(fleet.Latency[0].P99).To(BeNumerically("~", time.Second, 20*time.Millisecond))
	})

	It("shows an outage of one region by cause, in its region only", func() {
		well, ill := daemon("pokhara", start), daemon("kathmandu", start)
		record(well, start, 360, "")
		record(ill, start, 300, "")
		record(ill, start.Add(300*time.Minute), 60, types.CodeNoEndpoint)
		series := merge(start.Add(359*time.Minute), nil, well, ill).Series[0]
		Expect(series.Alert).To(Equal(burn.AlertFast))
		Expect(series.Causes).To(Equal([]burn.CauseCount{{Cause: burn.Cause(types.CodeNoEndpoint), Count: 60}}))
		Expect(series.Regions).To(Equal([]burn.RegionCount{
			{Region: "kathmandu", Good: 300, Bad: 60},
			{Region: "pokhara", Good: 360},
		}))
		Expect(series.Rates[0].Rate).To(BeNumerically("~", 50, 0.001))
		Expect(series.BudgetLeft).To(BeNumerically("<", 0))
	})

	It("does not count old laps of the ring", func() {
		state := daemon("pokhara", start)
		record(state, start, 10, types.CodeNoEndpoint)
		record(state, start.Add(6*time.Hour), 10, "")
		series := merge(start.Add(6*time.Hour+9*time.Minute), nil, state).Series[0]
		longest := series.Windows[len(series.Windows)-1]
		Expect(longest).To(Equal(burn.WindowCount{Window: 6 * time.Hour, Good: 10}))
	})

	It("leaves out requests that failed through their caller's doing", func() {
		state := daemon("pokhara", start)
		record(state, start, 5, types.CodeBadRequest)
		Expect(merge(start.Add(5*time.Minute), nil, state).Series).To(BeEmpty())
	})

	It("shows a restarted daemon's gap and the daemons it could not reach", func() {
		old, fresh := daemon("pokhara", start), daemon("kathmandu", start.Add(5*time.Hour))
		record(old, start, 360, "")
		fleet := merge(start.Add(6*time.Hour), []burn.Unreachable{{Address: "10.0.0.9:8081", Reason: "timeout"}}, old, fresh)
		rates := fleet.Series[0].Rates
		Expect(rates[len(rates)-1].Covered).To(BeNumerically("~", 7.0/12.0, 0.001))
		var page, text bytes.Buffer
		Expect(burn.WriteHTML(&page, fleet)).To(Succeed())
		Expect(burn.WriteText(&text, fleet)).To(Succeed())
		for _, out := range []string{page.String(), text.String()} {
			Expect(out).To(ContainSubstring("10.0.0.9:8081"))
			Expect(out).To(ContainSubstring("58%"))
		}
		Expect(page.String()).To(ContainSubstring("<svg"))
		Expect(page.String()).NotTo(ContainSubstring("http-equiv"))
	})

	It("adds up counts and histograms in any order", func() {
		a, b := daemon("pokhara", start), daemon("kathmandu", start)
		record(a, start, 20, "")
		record(b, start, 7, types.CodeDeadline)
		at := start.Add(20 * time.Minute)
		one, two := merge(at, nil, a, b), merge(at, nil, b, a)
		Expect(one.Series).To(Equal(two.Series))
		Expect(one.Latency).To(Equal(two.Latency))
	})
})
