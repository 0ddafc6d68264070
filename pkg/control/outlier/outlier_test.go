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

func newDetector(count int) *outlier.Detector {
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
	endpointState := &snapshot.Endpoint{ID: id(endpoint)}
	detector.Apply(endpointState, now)
	return endpointState
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
	It("ejects after consecutive failures, then starts slowly, and ejects for longer the next time", func() {
		detector := newDetector(4)
		observe(detector, 0, outlier.OutcomeFailed, 4, start)
		Expect(stateOf(detector, 0, start).State).To(Equal(snapshot.EndpointReady))
		observe(detector, 0, outlier.OutcomeFailed, 1, start)
		Expect(stateOf(detector, 0, start).State).To(Equal(snapshot.EndpointEjected))
		Expect(stateOf(detector, 0, start).Reason).NotTo(BeEmpty())

		returnsAt := start.Add(10 * time.Second)
		next, due := detector.NextChange(start)
		Expect(due).To(BeTrue())
		Expect(next).To(Equal(returnsAt))
		Expect(stateOf(detector, 0, returnsAt).State).To(Equal(snapshot.EndpointReady))
		Expect(stateOf(detector, 0, returnsAt).SlowStartAt).To(Equal(returnsAt))
		Expect(stateOf(detector, 0, returnsAt.Add(30*time.Second)).SlowStartAt).To(BeZero())

		observe(detector, 0, outlier.OutcomeFailed, 1, returnsAt.Add(time.Second))
		Expect(stateOf(detector, 0, returnsAt.Add(20*time.Second)).State).To(Equal(snapshot.EndpointEjected))
		Expect(stateOf(detector, 0, returnsAt.Add(21*time.Second)).State).To(Equal(snapshot.EndpointReady))
	})

	It("ejects an endpoint three times slower than its peers, but not a group in which all are equally slow", func() {
		oneSlow, allSlow := newDetector(4), newDetector(4)
		for range 60 {
			for i := range 4 {
				slowness := 1.0
				if i == 2 {
					slowness = 3
				}
				oneSlow.Observe(outlier.Result{Endpoint: id(i), Slowness: slowness, At: start})
				allSlow.Observe(outlier.Result{Endpoint: id(i), Slowness: 3, At: start})
			}
		}
		Expect(stateOf(oneSlow, 2, start).State).To(Equal(snapshot.EndpointEjected))
		Expect(countEjected(oneSlow, 4, start)).To(Equal(1))
		Expect(countEjected(allSlow, 4, start)).To(Equal(0))
	})

	It("ejects the unreachable half of a group while the other half responds, but at most a third if none responds", func() {
		halfDead, allDead := newDetector(12), newDetector(12)
		for i := range 12 {
			observe(allDead, i, outlier.OutcomeUnreachable, 10, start)
			if i < 6 {
				observe(halfDead, 11-i, outlier.OutcomeSucceeded, 1, start)
			}
		}
		for i := range 6 {
			observe(halfDead, i, outlier.OutcomeUnreachable, 10, start)
		}
		Expect(countEjected(halfDead, 12, start)).To(Equal(6))
		Expect(countEjected(allDead, 12, start)).To(Equal(4))
	})

	It("never ejects the only endpoint of a group and leaves a leaving endpoint unchanged", func() {
		detector := newDetector(1)
		observe(detector, 0, outlier.OutcomeUnreachable, 100, start)
		Expect(countEjected(detector, 1, start)).To(BeZero())

		detector = newDetector(4)
		observe(detector, 0, outlier.OutcomeFailed, 5, start)
		leaving := &snapshot.Endpoint{ID: id(0), State: snapshot.EndpointLeaving}
		detector.Apply(leaving, start)
		Expect(leaving.State).To(Equal(snapshot.EndpointLeaving))
	})

	It("never ejects more of a group than the limits allow, for any results", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			count := rapid.IntRange(1, 12).Draw(t, "endpoints")
			detector := newDetector(count)
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
				limit := min(max(int(share*float64(count)), 1), count-1)
				if ejected := countEjected(detector, count, now); ejected > limit {
					t.Fatalf("%d of %d ejected, limit %d", ejected, count, limit)
				}
			}
		})
	})

	DescribeTable("classifies failures",
		func(verdict types.Verdict, code types.Code, want outlier.Outcome) {
			Expect(outlier.OutcomeOf(types.NewFailure(verdict, code, "test"))).To(Equal(want))
		},
		Entry("refused connection", types.NotRun, types.CodeEndpointFailed, outlier.OutcomeUnreachable),
		Entry("incomplete response", types.MayHaveRun, types.CodeAnswerIncomplete, outlier.OutcomeFailed),
		Entry("caller gone", types.MayHaveRun, types.CodeCallerGone, outlier.OutcomeNeutral),
		Entry("overload", types.NotRun, types.CodeOverloaded, outlier.OutcomeNeutral),
	)
})

func BenchmarkObserve(b *testing.B) {
	for _, count := range []int{12, 128} {
		b.Run(fmt.Sprintf("endpoints=%d", count), func(b *testing.B) {
			detector := newDetector(count)
			for i := 0; b.Loop(); i++ {
				detector.Observe(outlier.Result{Endpoint: id(i % count), Slowness: 1, At: start})
			}
		})
	}
}
