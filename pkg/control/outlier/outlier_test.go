package outlier_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/flamingomount/flamingomount/pkg/control/outlier"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestOutlier(t *testing.T) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "outlier")
}

var start = time.Date(2026, 10, 1, 8, 0, 0, 0, time.UTC)

func id(i int) types.EndpointID { return types.EndpointID(fmt.Sprintf("e%02d", i)) }

func tracked(count int) *outlier.Detector {
	var list []*snapshot.Endpoint
	for i := range count {
		list = append(list, &snapshot.Endpoint{ID: id(i), Service: "quotes", Region: "pokhara"})
	}
	detector := outlier.New(outlier.Options{})
	detector.Track(map[types.ServiceName][]*snapshot.Endpoint{"quotes": list})
	return detector
}

func observe(detector *outlier.Detector, endpoint int, outcome outlier.Outcome, times int, at time.Time) {
	for range times {
		detector.Observe(outlier.Result{Endpoint: id(endpoint), Outcome: outcome, Slowness: 1, At: at})
	}
}

func stateOf(detector *outlier.Detector, endpoint int, now time.Time) *snapshot.Endpoint {
	view := &snapshot.Endpoint{ID: id(endpoint)}
	detector.Apply(view, now)
	return view
}

func countEjected(detector *outlier.Detector, count int, now time.Time) int {
	ejected := 0
	for i := range count {
		if stateOf(detector, i, now).State == snapshot.EndpointEjected {
			ejected++
		}
	}
	return ejected
}

var _ = Describe("Detector", func() {
	It("ejects after consecutive failures, ramps up after, and ejects longer the next time", func() {
		detector := tracked(4)
		observe(detector, 0, outlier.OutcomeFailed, 4, start)
		Expect(stateOf(detector, 0, start).State).To(Equal(snapshot.EndpointReady))
		observe(detector, 0, outlier.OutcomeFailed, 1, start)
		Expect(stateOf(detector, 0, start).State).To(Equal(snapshot.EndpointEjected))
		Expect(stateOf(detector, 0, start).Reason).NotTo(BeEmpty())

		back := start.Add(10 * time.Second)
		next, due := detector.NextChange(start)
		Expect(due).To(BeTrue())
		Expect(next).To(Equal(back))
		Expect(stateOf(detector, 0, back).State).To(Equal(snapshot.EndpointReady))
		Expect(stateOf(detector, 0, back).RampStart).To(Equal(back))
		Expect(stateOf(detector, 0, back.Add(30*time.Second)).RampStart).To(BeZero())

		observe(detector, 0, outlier.OutcomeFailed, 1, back.Add(time.Second))
		Expect(stateOf(detector, 0, back.Add(20*time.Second)).State).To(Equal(snapshot.EndpointEjected))
		Expect(stateOf(detector, 0, back.Add(21*time.Second)).State).To(Equal(snapshot.EndpointReady))
	})

	It("ejects an endpoint three times slower than its peers, not a group that slowed down together", func() {
		one, all := tracked(4), tracked(4)
		for range 60 {
			for i := range 4 {
				slowness := 1.0
				if i == 2 {
					slowness = 3
				}
				one.Observe(outlier.Result{Endpoint: id(i), Slowness: slowness, At: start})
				all.Observe(outlier.Result{Endpoint: id(i), Slowness: 3, At: start})
			}
		}
		Expect(stateOf(one, 2, start).State).To(Equal(snapshot.EndpointEjected))
		Expect(countEjected(one, 4, start)).To(Equal(1))
		Expect(countEjected(all, 4, start)).To(Equal(0))
	})

	It("ejects the dead half while the other half answers, but few when nothing answers", func() {
		half, whole := tracked(12), tracked(12)
		for i := range 12 {
			observe(whole, i, outlier.OutcomeUnreachable, 10, start)
			if i < 6 {
				observe(half, 11-i, outlier.OutcomeSucceeded, 1, start)
			}
		}
		for i := range 6 {
			observe(half, i, outlier.OutcomeUnreachable, 10, start)
		}
		Expect(countEjected(half, 12, start)).To(Equal(6))
		Expect(countEjected(whole, 12, start)).To(Equal(4))
	})

	It("keeps the only endpoint of a group and one that is leaving", func() {
		detector := tracked(1)
		observe(detector, 0, outlier.OutcomeUnreachable, 100, start)
		Expect(countEjected(detector, 1, start)).To(BeZero())

		detector = tracked(4)
		observe(detector, 0, outlier.OutcomeFailed, 5, start)
		view := &snapshot.Endpoint{ID: id(0), State: snapshot.EndpointLeaving}
		detector.Apply(view, start)
		Expect(view.State).To(Equal(snapshot.EndpointLeaving))
	})

	It("never ejects more of a group than the limits, for any results", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			count := rapid.IntRange(1, 12).Draw(t, "endpoints")
			detector := tracked(count)
			answered := false
			now := start
			for range rapid.IntRange(1, 300).Draw(t, "steps") {
				outcome := outlier.Outcome(rapid.IntRange(0, 3).Draw(t, "outcome"))
				answered = answered || outcome == outlier.OutcomeSucceeded
				now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
				detector.Observe(outlier.Result{
					Endpoint: id(rapid.IntRange(0, count-1).Draw(t, "endpoint")),
					Outcome:  outcome, Slowness: rapid.Float64Range(0, 10).Draw(t, "slowness"), At: now,
				})
				share := 0.34
				if answered {
					share = 0.75
				}
				most := min(max(int(share*float64(count)), 1), count-1)
				if ejected := countEjected(detector, count, now); ejected > most {
					t.Fatalf("%d of %d ejected, limit %d", ejected, count, most)
				}
			}
		})
	})

	DescribeTable("tells outcomes apart",
		func(verdict types.Verdict, code types.Code, want outlier.Outcome) {
			Expect(outlier.OutcomeOf(types.NewFailure(verdict, code, "test"))).To(Equal(want))
		},
		Entry("refused connection", types.NotRun, types.CodeEndpointFailed, outlier.OutcomeUnreachable),
		Entry("broken answer", types.MayHaveRun, types.CodeAnswerIncomplete, outlier.OutcomeFailed),
		Entry("caller gone", types.MayHaveRun, types.CodeCallerGone, outlier.OutcomeNeutral),
		Entry("overload", types.NotRun, types.CodeOverloaded, outlier.OutcomeNeutral),
	)
})

func BenchmarkObserve(b *testing.B) {
	for _, count := range []int{12, 128} {
		b.Run(fmt.Sprintf("endpoints=%d", count), func(b *testing.B) {
			detector := tracked(count)
			for i := 0; b.Loop(); i++ {
				detector.Observe(outlier.Result{Endpoint: id(i % count), Slowness: 1, At: start})
			}
		})
	}
}
