package entry_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/entry"
)

// Guards against a stop whose moments are in order for one grace time only: a request
// was passed on so late that the end of the grace time cut it off.
var _ = Describe("the schedule of a stop", func() {
	const admissionLimit = 3 * time.Second
	usualGraces := []time.Duration{time.Second, 8 * time.Second, time.Minute}

	It("is in order for every grace time", func() {
		for _, limit := range []time.Duration{0, 100 * time.Millisecond, admissionLimit} {
			for grace := time.Millisecond; grace < 10*time.Minute; grace += max(time.Millisecond, grace/37) {
				s := entry.NewStopSchedule(grace, limit)
				moments := []time.Duration{0, s.CloseCallers(), s.AdmitUntil(), s.EndFresh(), s.ClosePeers(), s.Cancel(), s.Cut(), grace}
				Expect(slices.IsSorted(moments)).To(BeTrue(), "grace %s, limit %s: %v", grace, limit, moments)
				Expect(s.CloseCallers() + s.Handshakes()).To(Equal(s.AdmitUntil()))
				if limit > 0 {
					Expect(s.AdmitUntil()).To(BeNumerically("<", limit))
				}
			}
		}
	})

	It("cuts off nothing before the last sixth of the grace time", func() {
		for _, grace := range usualGraces {
			Expect(entry.NewStopSchedule(grace, admissionLimit).Cancel()).To(BeNumerically(">", grace*5/6))
		}
	})

	It("leaves requests in flight the whole grace time but for what its end takes", func() {
		const end = 500 * time.Millisecond
		for _, grace := range []time.Duration{8 * time.Second, 30 * time.Second, 10 * time.Minute} {
			s := entry.NewStopSchedule(grace, admissionLimit)
			Expect(grace-s.Cancel()).To(BeNumerically("<", end), "grace %s", grace)
			Expect(s.Cut()+entry.SignalDelay).To(BeNumerically("<", grace), "grace %s", grace)
		}
	})

	It("keeps admission within the limit if the stop signal is delayed", func() {
		for _, grace := range usualGraces {
			Expect(entry.NewStopSchedule(grace, admissionLimit).AdmitUntil() + entry.SignalDelay).To(BeNumerically("<=", admissionLimit))
		}
	})
})
