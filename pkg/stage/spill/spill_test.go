package spill_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/spill"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestSpill(t *testing.T) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "spill")
}

var start = time.Date(2026, 10, 1, 8, 0, 0, 0, time.UTC)

const (
	localRegion  types.Region = "kathmandu"
	remoteRegion types.Region = "pokhara"
	thirdRegion  types.Region = "biratnagar"
)

var (
	bagmati = published.Weights{Cost: 3, SentAway: 3, UrgentTail: 1, Flood: 1}
	kandy   = published.Weights{Cost: 1, SentAway: 1, UrgentTail: 3, Flood: 3}
)

func newSnapshot(weights published.Weights, now time.Time) *snapshot.Snapshot {
	services := []snapshot.ServiceSummary{
		{Service: "quotes", Rank: types.RankUrgent, FreeSlots: 10},
		{Service: "quotes", Rank: types.RankPatient, FreeSlots: 10},
	}
	return &snapshot.Snapshot{
		Self: snapshot.Self{Incarnation: types.Incarnation{VM: "10.0.0.1:7000"}, Region: localRegion},
		Config: &published.Configuration{
			Policy: published.Policy{LinkShare: 0.5, Weights: weights},
			Links: []published.Link{
				{From: localRegion, To: remoteRegion, OneWay: 55 * time.Millisecond, BitsPerSecond: 140e6},
				{From: localRegion, To: thirdRegion, OneWay: 55 * time.Millisecond, BitsPerSecond: 140e6},
			},
		},
		Regions: map[types.Region]*snapshot.RegionSummary{
			remoteRegion: {Region: remoteRegion, TakenAt: now, ReceivedAt: now, Services: services},
		},
	}
}

func input(change func(*spill.Input)) spill.Input {
	in := spill.Input{
		Request: &request.Request{
			Service: &published.Service{Name: "quotes", Regions: []types.Region{localRegion, remoteRegion}},
			Org:     &published.Organisation{Name: "co-op"}, Rank: types.RankUrgent, Repeatable: true,
			Deadline: start.Add(time.Minute), InputTokens: 4000, Body: make([]byte, 16000),
		},
		Snapshot: newSnapshot(published.Weights{}, start), LocalWait: 5 * time.Second, Now: start,
	}
	change(&in)
	return in
}

func decide(change func(*spill.Input)) spill.Decision {
	decision, failure := spill.New(spill.Options{}).Decide(input(change))
	Expect(failure).To(BeNil())
	return decision
}

var _ = Describe("Decide", func() {
	It("counts the bytes of a request bound to its home region, also if it is the first on the link", func() {
		planner := spill.New(spill.Options{})
		home := input(func(in *spill.Input) {
			in.Request.Org.Home = remoteRegion
			in.Bytes = 1 << 30
		})
		decision, failure := planner.Decide(home)
		Expect(failure).To(BeNil())
		Expect(decision.Region).To(Equal(remoteRegion))
		decision, failure = planner.Decide(input(func(*spill.Input) {}))
		Expect(failure).To(BeNil())
		Expect(decision.Region).To(BeEmpty())
	})

	It("keeps spilling to a region that is worthwhile when another one gains more but not enough", func() {
		planner := spill.New(spill.Options{})
		decideWith := func(localWait, remoteWait, thirdWait time.Duration) types.Region {
			in := input(func(in *spill.Input) {
				in.Request.Service.Regions = []types.Region{localRegion, remoteRegion, thirdRegion}
				in.LocalWait = localWait
			})
			for region, wait := range map[types.Region]time.Duration{remoteRegion: remoteWait, thirdRegion: thirdWait} {
				in.Snapshot.Regions[region] = &snapshot.RegionSummary{Region: region, TakenAt: start, ReceivedAt: start, Services: []snapshot.ServiceSummary{
					{Service: "quotes", Rank: types.RankUrgent, FreeSlots: 100, Wait: wait},
				}}
			}
			decision, failure := planner.Decide(in)
			Expect(failure).To(BeNil())
			return decision.Region
		}
		Expect(decideWith(5*time.Second, 10*time.Second, 0)).To(Equal(thirdRegion))
		// 250 ms are required, half of that while the flow spills over. The other
		// region gains about 240 ms, this one 135 ms.
		Expect(decideWith(352*time.Millisecond, 0, 105*time.Millisecond)).To(Equal(thirdRegion))
	})

	It("forwards a request that gains enough", func() {
		Expect(decide(func(*spill.Input) {}).Region).To(Equal(remoteRegion))
	})

	DescribeTable("keeps the request in the local region",
		func(change func(*spill.Input)) {
			decision := decide(change)
			Expect(decision.Region).To(BeEmpty())
			Expect(decision.Reason).NotTo(BeEmpty())
		},
		Entry("no local wait", func(in *spill.Input) { in.LocalWait = 0 }),
		Entry("forwarded already", func(in *spill.Input) { in.Request.Path = []types.Incarnation{{VM: "a"}} }),
		Entry("the service may not use the region", func(in *spill.Input) { in.Request.Service.Regions = []types.Region{localRegion} }),
		Entry("a non-repeatable request, whose owner is local", func(in *spill.Input) { in.Request.Repeatable = false }),
		Entry("an organisation in its home region", func(in *spill.Input) { in.Request.Org.Home = localRegion }),
		Entry("a small gain", func(in *spill.Input) { in.LocalWait = 300 * time.Millisecond }),
		Entry("a warm local cache", func(in *spill.Input) {
			in.LocalWait = 800 * time.Millisecond
			in.WarmTokens = 4000
		}),
		Entry("an old summary", func(in *spill.Input) { in.Now = start.Add(6 * time.Second) }),
		Entry("no summary", func(in *spill.Input) { in.Snapshot.Regions = nil }),
		Entry("no published link", func(in *spill.Input) { in.Snapshot.Config.Links = nil }),
		Entry("no free slots in the other region", func(in *spill.Input) { in.Snapshot.Regions[remoteRegion].Services[0].FreeSlots = 0 }),
		Entry("an equal wait in the other region", func(in *spill.Input) { in.Snapshot.Regions[remoteRegion].Services[0].Wait = 5 * time.Second }),
	)

	DescribeTable("binds an organisation to its home region",
		func(change func(*spill.Input), want types.Region, code types.Code) {
			in := input(func(in *spill.Input) {
				in.Request.Org.Home, in.LocalWait = remoteRegion, 0
				change(in)
			})
			decision, failure := spill.New(spill.Options{}).Decide(in)
			Expect(decision.Region).To(Equal(want))
			if code != "" {
				Expect(failure.Code).To(Equal(code))
				Expect(failure.Verdict).To(Equal(types.NotRun))
			}
		},
		Entry("it is forwarded to the home region", func(*spill.Input) {}, remoteRegion, types.Code("")),
		Entry("the home region is unreachable", func(in *spill.Input) { in.Snapshot.Regions = nil }, types.Region(""), types.CodeResidency),
		Entry("it was forwarded to a region that is not its home", func(in *spill.Input) { in.Request.Path = []types.Incarnation{{VM: "a"}} }, types.Region(""), types.CodeLoop),
		Entry("the service may not use the home region", func(in *spill.Input) { in.Request.Service.Regions = []types.Region{localRegion} }, types.Region(""), types.CodeResidency),
	)

	It("spills over at shorter waits under Kandy's weights than under Bagmati's", func() {
		threshold := func(weights published.Weights, rank types.Rank) time.Duration {
			for wait := time.Duration(0); wait < time.Minute; wait += 10 * time.Millisecond {
				decision := decide(func(in *spill.Input) {
					in.Request.Rank, in.LocalWait, in.Snapshot = rank, wait, newSnapshot(weights, start)
				})
				if decision.Region != "" {
					return wait
				}
			}
			return time.Minute
		}
		Expect(threshold(kandy, types.RankUrgent)).To(BeNumerically("<", 250*time.Millisecond))
		Expect(threshold(bagmati, types.RankUrgent)).To(BeNumerically(">", 750*time.Millisecond))
		// A patient request waits locally for a share of the minute it has left.
		Expect(threshold(kandy, types.RankPatient)).To(BeNumerically("<", 2*time.Second))
		Expect(threshold(bagmati, types.RankPatient)).To(BeNumerically(">", 8*time.Second))
	})

	It("raises a prediction that is shorter than recent waits", func() {
		var estimator spill.WaitEstimator
		estimator.RecordWait(types.RankUrgent, 4*time.Second, start)
		Expect(estimator.Predict(types.RankUrgent, time.Second, start)).To(Equal(4 * time.Second))
		Expect(estimator.Predict(types.RankUrgent, 5*time.Second, start)).To(Equal(5 * time.Second))
		Expect(estimator.Predict(types.RankPatient, time.Second, start)).To(Equal(time.Second))
		Expect(estimator.Predict(types.RankUrgent, time.Second, start.Add(3*time.Second))).To(Equal(time.Second))
	})

	It("prefers the region with more remaining quota when gains are equal", func() {
		planner := spill.New(spill.Options{})
		sent := map[types.Region]int{}
		for range 100 {
			decision, _ := planner.Decide(input(func(in *spill.Input) {
				in.Request.Service.Regions = []types.Region{localRegion, remoteRegion, thirdRegion}
				other := *in.Snapshot.Regions[remoteRegion]
				other.Region = thirdRegion
				in.Snapshot.Regions[thirdRegion] = &other
			}))
			sent[decision.Region]++
			if sent[remoteRegion] != 0 || sent[thirdRegion] != 0 {
				Expect(sent[remoteRegion] - sent[thirdRegion]).To(BeNumerically("~", 0, 1))
			}
		}
		Expect(sent).To(Equal(map[types.Region]int{remoteRegion: 10, thirdRegion: 10, "": 80}))
	})

	It("forwards an urgent request that would be late locally, whatever the weights", func() {
		lateLocally := func(in *spill.Input) {
			in.Snapshot, in.LocalWait = newSnapshot(bagmati, start), 700*time.Millisecond
			in.Request.Deadline = start.Add(600 * time.Millisecond)
		}
		Expect(decide(lateLocally).Region).To(Equal(remoteRegion))
	})

	It("continues to spill over until the gain is half of the required one", func() {
		planner := spill.New(spill.Options{})
		decideAt := func(wait time.Duration) types.Region {
			decision, _ := planner.Decide(input(func(in *spill.Input) { in.LocalWait = wait }))
			return decision.Region
		}
		Expect(decideAt(300 * time.Millisecond)).To(BeEmpty())
		Expect(decideAt(400 * time.Millisecond)).To(Equal(remoteRegion))
		Expect(decideAt(300 * time.Millisecond)).To(Equal(remoteRegion))
		Expect(decideAt(200 * time.Millisecond)).To(BeEmpty())
		Expect(decideAt(300 * time.Millisecond)).To(BeEmpty())
	})

	It("starts slowly with a region whose summaries resumed", func() {
		planner := spill.New(spill.Options{})
		countSent := func(now time.Time) int {
			sent := 0
			for range 100 {
				decision, _ := planner.Decide(input(func(in *spill.Input) { in.Snapshot, in.Now = newSnapshot(kandy, now), now }))
				if decision.Region != "" {
					sent++
				}
			}
			return sent
		}
		Expect(countSent(start)).To(Equal(10))
		recoveredAt := start.Add(time.Hour)
		Expect(countSent(recoveredAt)).To(Equal(1))
		// 4/30 of ten slots, rounded up.
		Expect(countSent(recoveredAt.Add(4 * time.Second))).To(Equal(2))
		for s := 8; s < 30; s += 4 {
			countSent(recoveredAt.Add(time.Duration(s) * time.Second))
		}
		Expect(countSent(recoveredAt.Add(32 * time.Second))).To(Equal(10))
	})

	It("shares the free slots and the link among the daemons of the region", func() {
		total := 0
		for daemon := range 8 {
			planner := spill.New(spill.Options{})
			for range 20 {
				decision, _ := planner.Decide(input(func(in *spill.Input) {
					in.Snapshot.Self.Incarnation.VM = types.VMID(fmt.Sprint("vm", daemon))
					for other := range 8 {
						member := snapshot.Member{Region: localRegion, Incarnation: types.Incarnation{VM: types.VMID(fmt.Sprint("vm", other))}}
						in.Snapshot.Members = append(in.Snapshot.Members, member)
					}
				}))
				if decision.Region != "" {
					total++
				}
			}
		}
		Expect(total).To(Equal(10))
	})

	It("never loops, leaves the allowed regions or exceeds the link's share, for any input", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			planner := spill.New(spill.Options{})
			const rate = 140e6 / 8 / 2 // bytes per second
			now, largest, bytes := start, 0, 0
			for range rapid.IntRange(1, 100).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
				in := input(func(in *spill.Input) { in.Snapshot, in.Now = newSnapshot(kandy, now), now })
				in.Request.Body = make([]byte, rapid.IntRange(0, 2_000_000).Draw(t, "body"))
				in.LocalWait = time.Duration(rapid.IntRange(0, 20_000).Draw(t, "wait")) * time.Millisecond
				in.NoLocalEndpoint = rapid.Bool().Draw(t, "must")
				in.Request.Service.Regions = rapid.SampledFrom([][]types.Region{nil, {localRegion}, {localRegion, remoteRegion}, {remoteRegion, thirdRegion}}).Draw(t, "allowed")
				if rapid.Bool().Draw(t, "forwarded") {
					in.Request.Path = []types.Incarnation{{VM: "a"}}
				}
				decision, _ := planner.Decide(in)
				if decision.Region == "" {
					continue
				}
				largest, bytes = max(largest, len(in.Request.Body)), bytes+len(in.Request.Body)
				if len(in.Request.Path) > 0 || !in.Request.Service.Allows(decision.Region) || decision.Region == localRegion {
					t.Fatalf("sent to %q", decision.Region)
				}
				if limit := rate*(now.Sub(start).Seconds()+1) + float64(largest); float64(bytes) > limit {
					t.Fatalf("%d bytes sent, limit %.0f", bytes, limit)
				}
			}
		})
	})
})

func BenchmarkDecide(b *testing.B) {
	planner := spill.New(spill.Options{})
	in := input(func(*spill.Input) {})
	for b.Loop() {
		if _, failure := planner.Decide(in); failure != nil {
			b.Fatal(failure)
		}
	}
}
