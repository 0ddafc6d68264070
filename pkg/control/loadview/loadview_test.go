package loadview_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/control/loadview"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/limit"
)

func TestLoadview(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "loadview")
}

var _ = Describe("History", func() {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

	It("returns the counts at the time of a late report and drops the oldest samples when full", func() {
		var h loadview.History
		_, ok := h.At(start)
		Expect(ok).To(BeFalse())
		for i := range 200 {
			h.Add(loadview.Counts{At: start.Add(time.Duration(i) * time.Second), Sent: int64(i)})
		}
		counts, _ := h.At(start.Add(190*time.Second + time.Millisecond))
		Expect(counts.Sent).To(Equal(int64(190)))
		oldest, _ := h.At(start)
		Expect(oldest.Sent).To(Equal(int64(136)))
	})
})

var _ = Describe("Tracker", func() {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

	It("corrects a late report by the attempts sent since, and computes capacity from the ready endpoints of the region", func() {
		t := loadview.NewTracker(limit.Options{})
		ep := &snapshot.Endpoint{ID: "a", Region: "here", Slots: 16, Counters: &snapshot.Counters{}}
		for i := range 6 {
			ep.Counters.Sent.Store(int64(10 * i))
			t.SampleCounters(ep, 4, start.Add(time.Duration(i)*time.Second))
		}
		ep.Load = snapshot.Load{TakenAt: start.Add(2 * time.Second), Running: 3}
		t.Report(ep, 4, start.Add(5*time.Second))
		Expect(ep.Counters.SentAtReport.Load()).To(Equal(int64(20)))
		Expect(ep.Counters.Limit.Load()).To(Equal(int64(4)))

		rampingUp := &snapshot.Endpoint{ID: "b", Region: "here", Slots: 16, SlowStartAt: start.Add(-15 * time.Second), Counters: &snapshot.Counters{}}
		leaving := &snapshot.Endpoint{ID: "c", Region: "here", Slots: 16, State: snapshot.EndpointLeaving, Counters: &snapshot.Counters{}}
		otherRegion := &snapshot.Endpoint{ID: "d", Region: "there", Slots: 16, Counters: &snapshot.Counters{}}
		all := []*snapshot.Endpoint{ep, rampingUp, leaving, otherRegion}
		Expect(t.Capacity(all, "here", 4, start)).To(Equal(4 + 2))
	})
})
