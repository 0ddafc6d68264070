package crashes_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/crashes"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestCrashes(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "crashes")
}

var start = time.Date(2026, 12, 5, 9, 0, 0, 0, time.UTC)

// Traits of the specs: the deadly one, one that goes with it and is sound, and others.
const (
	deadly crashes.Trait = iota + 1
	first
	rare
	common
)

// neverSound remembers no sound answer.
func neverSound(crashes.Trait) bool { return false }

// script is a log with a clock.
type script struct {
	*crashes.Log
	now time.Time
}

func newScript() *script {
	return &script{Log: crashes.NewLog(), now: start}
}

// crash records a crash and lets a second pass.
func (s *script) crash(endpoint types.EndpointID, suspects ...crashes.Trait) {
	s.AddCrash(crashes.Crash{Endpoint: endpoint, Suspects: suspects}, s.now)
	s.pass(time.Second)
}

// crashOf records a crash with the traits of each request and lets a second pass.
func (s *script) crashOf(endpoint types.EndpointID, requests ...crashes.Traits) {
	s.AddCrash(crashes.NewCrash(endpoint, requests...), s.now)
	s.pass(time.Second)
}

// withholds reports whether a request with these traits is withheld.
func withholds(log *crashes.Log, request ...crashes.Trait) bool {
	verdicts := log.Withheld()
	return slices.ContainsFunc(request, func(trait crashes.Trait) bool {
		verdict, found := verdicts[trait]
		return found && verdict.Applies(request)
	})
}

func (s *script) pass(d time.Duration) {
	s.now = s.now.Add(d)
	s.Expire(s.now)
}

func (s *script) decide() crashes.Traits {
	return s.Decide(neverSound, s.now)
}

var _ = Describe("The log of crashes", func() {
	var s *script
	BeforeEach(func() { s = newScript() })

	It("withholds what three crashes have in common, and nothing else", func() {
		s.crash("e1", deadly, first, rare)
		s.Clear(first, s.now)
		s.crash("e2", deadly, first, common)
		s.Clear(first, s.now)
		Expect(s.decide()).To(BeEmpty())
		s.crash("e3", deadly, rare)
		Expect(s.decide()).To(ConsistOf(deadly))
		Expect(s.Withheld()).To(HaveLen(1))
	})

	It("counts a crash once, however many daemons saw it", func() {
		for i, endpoint := range []types.EndpointID{"e1", "e2"} {
			for range 5 {
				s.AddCrash(crashes.Crash{Endpoint: endpoint, Suspects: crashes.Traits{deadly}}, s.now)
				s.pass(time.Duration(100+i) * time.Millisecond)
			}
			s.pass(time.Second)
		}
		Expect(s.decide()).To(BeEmpty())
	})

	It("counts crashes at the same moment once", func() {
		for _, endpoint := range []types.EndpointID{"e1", "e2", "e3", "e4"} {
			s.AddCrash(crashes.Crash{Endpoint: endpoint, Suspects: crashes.Traits{common}}, s.now)
			s.pass(100 * time.Millisecond)
		}
		s.pass(time.Second)
		Expect(s.decide()).To(BeEmpty())
	})

	It("suspects no request of a loss of many endpoints at once", func() {
		for wave := range 4 {
			for i := range 5 {
				endpoint := types.EndpointID(fmt.Sprint("e", wave, i))
				s.AddCrash(crashes.Crash{Endpoint: endpoint, Suspects: crashes.Traits{common}}, s.now.Add(time.Duration(i)*5*time.Millisecond))
			}
			Expect(s.News(s.now).Crashes).To(BeEmpty())
			s.pass(3 * time.Second)
		}
		Expect(s.decide()).To(BeEmpty())
	})

	It("asks for more crashes if only one endpoint crashed", func() {
		for range 4 {
			s.crash("e1", deadly)
			s.pass(2 * time.Second)
		}
		Expect(s.decide()).To(BeEmpty())
		s.crash("e1", deadly)
		Expect(s.decide()).To(ConsistOf(deadly))
	})

	It("holds nothing against a trait whose answers got on since", func() {
		s.crash("e1", first)
		s.crash("e2", first)
		s.Clear(first, s.now)
		s.pass(time.Second)
		s.crash("e3", first)
		s.crash("e4", first)
		Expect(s.decide()).To(BeEmpty())
		s.crash("e5", first)
		Expect(s.decide()).To(ConsistOf(first))
	})

	It("prefers what was never in a sound answer", func() {
		for _, endpoint := range []types.EndpointID{"e1", "e2", "e3"} {
			s.crash(endpoint, deadly, first)
		}
		Expect(s.Decide(func(trait crashes.Trait) bool { return trait == first }, s.now)).To(ConsistOf(deadly))
		s.crash("e4", deadly, first)
		Expect(s.decide()).To(BeEmpty())
	})

	It("waits for more crashes before it withholds several that nothing tells apart", func() {
		for _, endpoint := range []types.EndpointID{"e1", "e2", "e3", "e4"} {
			s.crash(endpoint, deadly, first)
			Expect(s.decide()).To(BeEmpty())
		}
		s.crash("e5", deadly, first)
		Expect(s.decide()).To(ConsistOf(deadly, first))
	})

	It("does not hold the crashes of one trait against another", func() {
		for _, endpoint := range []types.EndpointID{"e1", "e2", "e3"} {
			s.crash(endpoint, deadly)
		}
		Expect(s.decide()).To(ConsistOf(deadly))
		for _, endpoint := range []types.EndpointID{"e4", "e5", "e6", "e7"} {
			s.crash(endpoint, deadly, rare)
		}
		Expect(s.decide()).To(BeEmpty())
	})

	It("decides only when a crash has been known for a moment", func() {
		s.crash("e1", deadly)
		s.crash("e2", deadly)
		s.AddCrash(crashes.Crash{Endpoint: "e3", Suspects: crashes.Traits{deadly}}, s.now)
		Expect(s.decide()).To(BeEmpty())
		next := s.NextDecision(s.now)
		Expect(next).To(BeTemporally(">", s.now))
		s.now = next
		Expect(s.decide()).To(ConsistOf(deadly))
		Expect(s.NextDecision(s.now)).To(BeZero())
	})

	It("comes to an end when it decides by crashes that are about to expire", func() {
		for _, endpoint := range []types.EndpointID{"e1", "e2", "e3"} {
			s.crash(endpoint, deadly)
		}
		s.now = s.now.Add(5*time.Minute + 100*time.Millisecond)
		Expect(s.decide()).To(ConsistOf(deadly))
	})

	It("ends what is withheld when an answer got on after the last crash", func() {
		for _, endpoint := range []types.EndpointID{"e1", "e2", "e3"} {
			s.crash(endpoint, deadly)
		}
		Expect(s.decide()).To(ConsistOf(deadly))
		Expect(s.Clear(deadly, s.now.Add(-5*time.Second))).To(BeFalse())
		Expect(s.Withheld()).To(HaveKey(deadly))
		Expect(s.Clear(deadly, s.now)).To(BeTrue())
		Expect(s.Withheld()).To(BeEmpty())
		Expect(s.decide()).To(BeEmpty())
	})

	It("lets a trait be tried a while after the last crash that is due to it, and forgets it later", func() {
		for _, endpoint := range []types.EndpointID{"e1", "e2", "e3"} {
			s.crash(endpoint, deadly)
		}
		s.decide()
		retryAt := s.Withheld()[deadly].RetryAt
		Expect(retryAt).To(BeTemporally(">", s.now.Add(9*time.Minute)))
		s.pass(11 * time.Minute)
		Expect(s.Withheld()).To(HaveKey(deadly))
		s.crash("e4", deadly)
		Expect(s.Withheld()[deadly].RetryAt).To(BeTemporally(">", s.now.Add(9*time.Minute)))
		s.pass(2 * time.Hour)
		Expect(s.Withheld()).To(BeEmpty())
	})

	It("tells a daemon that has started what is withheld, also long after", func() {
		for _, endpoint := range []types.EndpointID{"e1", "e2", "e3"} {
			s.crash(endpoint, deadly)
		}
		s.decide()
		s.pass(8 * time.Minute)
		started := crashes.NewLog()
		Expect(started.Merge(s.All(s.now), s.now)).To(BeTrue())
		Expect(started.Withheld()[deadly].RetryAt).To(Equal(s.Withheld()[deadly].RetryAt))
		Expect(started.Merge(s.All(s.now), s.now)).To(BeFalse())
	})

	It("does not withhold again what was cleared since", func() {
		for _, endpoint := range []types.EndpointID{"e1", "e2", "e3"} {
			s.crash(endpoint, deadly)
		}
		s.decide()
		told := s.All(s.now)
		s.Clear(deadly, s.now)
		s.pass(time.Second)
		Expect(s.Merge(told, s.now)).To(BeFalse())
		Expect(s.Withheld()).To(BeEmpty())
	})

	It("comes to the same end in whatever order evidence arrives", func() {
		told := []crashes.Evidence{
			{Crashes: []crashes.Crash{{Endpoint: "e1", Age: 9 * time.Second, Suspects: crashes.Traits{deadly, first}}}},
			{Crashes: []crashes.Crash{{Endpoint: "e1", Age: 9 * time.Second, Suspects: crashes.Traits{rare}}}},
			{Clearances: []crashes.Clearance{{Trait: first, Age: 8 * time.Second}}},
			{Crashes: []crashes.Crash{{Endpoint: "e2", Age: 7 * time.Second, Suspects: crashes.Traits{deadly, first}}}},
			{Clearances: []crashes.Clearance{{Trait: first, Age: 6 * time.Second}}},
			{Crashes: []crashes.Crash{{Endpoint: "e3", Age: 5 * time.Second, Suspects: crashes.Traits{deadly, first, common}}}},
			{Clearances: []crashes.Clearance{{Trait: common, Age: 4 * time.Second}}},
		}
		random := rand.New(rand.NewPCG(1, 36))
		for range 200 {
			s := newScript()
			random.Shuffle(len(told), func(i, j int) { told[i], told[j] = told[j], told[i] })
			for _, evidence := range told {
				s.Merge(evidence, s.now)
			}
			s.pass(time.Second)
			Expect(s.decide()).To(ConsistOf(deadly))
			Expect(s.Suspected()).To(HaveLen(3)) // deadly, rare, and first since the last crash
		}
	})

	It("does not let a clearance grow younger while daemons tell it to each other", func() {
		a, b := newScript(), newScript()
		a.crash("e1", deadly)
		b.Merge(a.All(a.now), a.now)
		b.now = a.now
		a.Clear(deadly, a.now)
		for range 200 {
			const onTheWay = 300 * time.Millisecond
			told := a.News(a.now)
			b.now = a.now.Add(onTheWay)
			b.Merge(told, b.now)
			told = b.News(b.now)
			a.now = b.now.Add(onTheWay)
			a.Merge(told, a.now)
		}
		for i := range 3 {
			b.AddCrash(crashes.Crash{Endpoint: types.EndpointID(fmt.Sprint("f", i)), Age: time.Duration(90-i*2) * time.Second, Suspects: crashes.Traits{deadly}}, b.now)
		}
		b.pass(time.Second)
		Expect(b.decide()).To(ConsistOf(deadly))
	})

	It("dates a crash by the earliest report of it", func() {
		s.AddCrash(crashes.Crash{Endpoint: "e1", Suspects: crashes.Traits{first}}, s.now)
		s.AddCrash(crashes.Crash{Endpoint: "e1", Age: 900 * time.Millisecond, Suspects: crashes.Traits{rare}}, s.now)
		s.Merge(crashes.Evidence{Clearances: []crashes.Clearance{{Trait: first, Age: 500 * time.Millisecond}}}, s.now)
		Expect(s.Suspected()).To(HaveLen(1))
	})

	It("tells others what it has just learnt, however long ago that was", func() {
		s.crash("e1", first)
		s.pass(20 * time.Second)
		s.Merge(crashes.Evidence{Clearances: []crashes.Clearance{{Trait: first, Age: 15 * time.Second}}}, s.now)
		Expect(s.News(s.now).Clearances).To(HaveLen(1))
		s.pass(20 * time.Second)
		Expect(s.News(s.now).Clearances).To(BeEmpty())
	})

	It("keeps within its limits, and keeps the evidence of what is withheld in the face of other crashes", func() {
		for _, endpoint := range []types.EndpointID{"e1", "e2", "e3"} {
			s.crash(endpoint, deadly)
		}
		s.decide()
		Expect(s.Full()).To(BeFalse())
		for i := range 1000 {
			suspects := make(crashes.Traits, 1000)
			for j := range suspects {
				suspects[j] = crashes.Trait(1000 + i*1000 + j)
			}
			s.AddCrash(crashes.Crash{Endpoint: types.EndpointID(fmt.Sprint("f", i)), Suspects: suspects}, s.now)
			s.pass(10 * time.Millisecond)
		}
		Expect(s.Full()).To(BeTrue())
		Expect(len(s.Suspected())).To(BeNumerically("<=", 128*512+1))
		Expect(len(s.News(s.now).Crashes)).To(BeNumerically("<=", 16))
		Expect(s.Withheld()).To(HaveKey(deadly))
	})

	It("ignores impossible ages", func() {
		s.Merge(crashes.Evidence{
			Crashes:    []crashes.Crash{{Endpoint: "e1", Age: -time.Hour, Suspects: crashes.Traits{deadly}}, {Endpoint: "e2", Age: 1 << 62, Suspects: crashes.Traits{deadly}}},
			Clearances: []crashes.Clearance{{Trait: first, Age: -1 << 62}},
			Withheld:   []crashes.Withheld{{Trait: rare, Age: 1 << 62, Since: -1 << 62}},
		}, s.now)
		Expect(s.Withheld()).To(BeEmpty())
		Expect(s.Suspected()).To(HaveLen(1))
	})

	It("never changes what it has told a snapshot", func() {
		s.crash("e1", first, rare)
		before := s.Suspected()
		s.Clear(first, s.now)
		Expect(before).To(HaveLen(2))
		Expect(s.Suspected()).To(HaveLen(1))
		s.crash("e2", common)
		Expect(s.Suspected()).To(HaveLen(2))
		s.pass(10 * time.Minute)
		Expect(s.Suspected()).To(BeEmpty())
		s.Merge(crashes.Evidence{Withheld: []crashes.Withheld{{Trait: deadly}}}, s.now)
		Expect(s.Suspected()).To(HaveLen(1))
	})

	It("survives its encoding", func() {
		s.crash("e1", deadly, first)
		s.Clear(first, s.now)
		data, err := json.Marshal(s.All(s.now))
		Expect(err).NotTo(HaveOccurred())
		var decoded crashes.Evidence
		Expect(json.Unmarshal(data, &decoded)).To(Succeed())
		Expect(decoded).To(Equal(s.All(s.now)))
		Expect(json.Unmarshal([]byte(`{"crashes":[{"suspects":"AAAA"}]}`), &decoded)).NotTo(Succeed())
		Expect(json.Unmarshal([]byte(`{"clearances":[{"trait":"x"}]}`), &decoded)).NotTo(Succeed())
	})
})

var _ = Describe("Traits", func() {
	It("tell services, contents and parts apart", func() {
		found := map[crashes.Trait]bool{
			crashes.PartTrait("a", "x"): true, crashes.PartTrait("b", "x"): true, crashes.PartTrait("a", "y"): true,
			crashes.ContentTrait("a", "GET", "/p/", "", nil): true, crashes.ContentTrait("a", "GET", "/p/", "q", nil): true,
			crashes.ContentTrait("a", "GET", "/p/", "", []byte("x")): true, crashes.ContentTrait("b", "GET", "/p/", "", nil): true,
		}
		Expect(found).To(HaveLen(7))
	})

	It("are told apart from those of all services", func() {
		found := map[crashes.Trait]bool{
			crashes.PartTrait("a", "x"): true, crashes.PartTrait(crashes.AllServices, "x"): true,
			crashes.ContentTrait("a", "GET", "/p/", "", nil): true, crashes.ContentTrait(crashes.AllServices, "GET", "/p/", "", nil): true,
		}
		Expect(found).To(HaveLen(4))
	})
})

var _ = Describe("The history of sound answers", func() {
	It("remembers traits for a while, and no more than its limit", func() {
		history := crashes.NewHistory()
		history.Add(crashes.Traits{first}, start)
		Expect(history.Contains(first)).To(BeTrue())
		Expect(history.Contains(deadly)).To(BeFalse())
		history.Add(crashes.Traits{rare}, start.Add(6*time.Minute))
		Expect(history.Contains(first)).To(BeTrue())
		history.Add(crashes.Traits{common}, start.Add(12*time.Minute))
		Expect(history.Contains(first)).To(BeFalse())
		Expect(history.Contains(rare)).To(BeTrue())
		for i := range 20_000 {
			history.Add(crashes.Traits{crashes.Trait(100 + i)}, start.Add(13*time.Minute))
		}
		Expect(history.Contains(common)).To(BeFalse())
	})
})

var _ = Describe("Decisions", func() {
	It("come to an end, whatever crashes, clearances and earlier decisions there are", func(SpecContext) {
		for seed := range uint64(300) {
			random := rand.New(rand.NewPCG(seed, 43))
			s := newScript()
			for range 60 {
				requests := make([]crashes.Traits, 1+random.IntN(3))
				for i := range requests {
					for trait := range crashes.Trait(6) {
						if random.IntN(2) == 0 {
							requests[i] = append(requests[i], trait+1)
						}
					}
				}
				s.crashOf(types.EndpointID(fmt.Sprint("e", random.IntN(8))), requests...)
				if random.IntN(3) == 0 {
					s.Clear(crashes.Trait(1+random.IntN(6)), s.now)
				}
				s.Decide(func(trait crashes.Trait) bool { return trait%2 == 0 && random.IntN(4) == 0 }, s.now)
				for trait, verdict := range s.Withheld() {
					Expect(verdict.With).NotTo(ContainElement(trait))
				}
			}
		}
	}, NodeTimeout(time.Minute))
})
