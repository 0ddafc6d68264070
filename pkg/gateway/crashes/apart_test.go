package crashes_test

import (
	"encoding/json"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/crashes"
	"github.com/flamingomount/flamingomount/pkg/types"
)

var _ = Describe("Traits that nothing tells apart", func() {
	var s *script
	BeforeEach(func() {
		s = newScript()
		for i := range 5 {
			s.crashOf(types.EndpointID(fmt.Sprint("e", i)), crashes.Traits{crashes.Trait(100 + i), first, deadly})
		}
		Expect(s.decide()).To(ConsistOf(deadly, first))
	})

	It("are withheld only where they come together: a sound request with one of them is served", func() {
		Expect(withholds(s.Log, 200, first, deadly)).To(BeTrue())
		Expect(withholds(s.Log, 201, first, common)).To(BeFalse())
	})

	It("are told apart by the first sound answer to one of them", func() {
		Expect(s.Suspected()).To(HaveKey(first))
		Expect(s.Clear(first, s.now)).To(BeTrue())
		Expect(s.Withheld()).To(HaveLen(1))
		Expect(withholds(s.Log, 202, rare, deadly)).To(BeTrue())
	})

	It("are not told apart by an answer that came before the last crash", func() {
		s.Clear(first, s.now.Add(-5*time.Second))
		Expect(withholds(s.Log, 202, rare, deadly)).To(BeFalse())
		Expect(withholds(s.Log, 200, first, deadly)).To(BeTrue())
	})

	It("are withheld together by a daemon that starts later", func() {
		started := crashes.NewLog()
		started.Merge(s.All(s.now), s.now)
		Expect(withholds(started, 200, first, deadly)).To(BeTrue())
		Expect(withholds(started, 201, first, common)).To(BeFalse())
		Expect(started.Decide(neverSound, s.now.Add(time.Second))).To(BeEmpty())
	})

	It("stay told apart, in whatever order daemons hear of it", func() {
		before := s.All(s.now)
		s.Clear(first, s.now)
		after := s.All(s.now)
		for _, told := range [][]crashes.Evidence{{before, after}, {after, before}, {after, before, after, before}} {
			started := crashes.NewLog()
			for _, evidence := range told {
				started.Merge(evidence, s.now)
			}
			Expect(withholds(started, 202, rare, deadly)).To(BeTrue())
			Expect(withholds(started, 201, first, common)).To(BeFalse())
		}
	})

	It("are told apart by two crashes of requests that have only one of them", func() {
		s.crashOf("f1", crashes.Traits{rare, deadly})
		Expect(s.decide()).To(BeEmpty())
		s.crashOf("f2", crashes.Traits{rare, deadly})
		Expect(s.decide()).To(ConsistOf(deadly))
		Expect(withholds(s.Log, 202, common, deadly)).To(BeTrue())
		Expect(withholds(s.Log, 203, rare, first)).To(BeFalse())
	})

	It("survive their encoding", func() {
		data, err := json.Marshal(s.All(s.now))
		Expect(err).NotTo(HaveOccurred())
		var decoded crashes.Evidence
		Expect(json.Unmarshal(data, &decoded)).To(Succeed())
		Expect(decoded.Withheld).To(ConsistOf(s.All(s.now).Withheld))
	})
})

var _ = Describe("Crashes that tell requests apart", func() {
	var s *script
	BeforeEach(func() { s = newScript() })
	crashFiveTimes := func(requests ...crashes.Traits) {
		for i := range 5 {
			s.crashOf(types.EndpointID(fmt.Sprint("e", i)), requests...)
		}
	}

	It("withhold each trait alone that was at the same endpoints in different requests", func() {
		crashFiveTimes(crashes.Traits{deadly}, crashes.Traits{common})
		Expect(s.decide()).To(ConsistOf(deadly, common))
		Expect(withholds(s.Log, deadly)).To(BeTrue())
		Expect(withholds(s.Log, common)).To(BeTrue())
	})

	It("spare what is in requests of several kinds if a narrower trait explains the same crashes", func() {
		crashFiveTimes(crashes.Traits{first, deadly}, crashes.Traits{first, common})
		Expect(s.decide()).To(ConsistOf(deadly, common))
		Expect(withholds(s.Log, first, deadly)).To(BeTrue())
		Expect(withholds(s.Log, first, rare)).To(BeFalse())
	})

	It("need no further crashes for traits that are always in the same requests, unless they were in sound answers", func() {
		for _, endpoint := range []types.EndpointID{"e1", "e2", "e3"} {
			s.crashOf(endpoint, crashes.Traits{first, deadly})
		}
		Expect(s.Decide(func(crashes.Trait) bool { return true }, s.now)).To(BeEmpty())
		Expect(s.decide()).To(ConsistOf(deadly, first))
		Expect(withholds(s.Log, first, common)).To(BeFalse())
	})

	It("need further crashes for traits that were in different requests", func() {
		for _, endpoint := range []types.EndpointID{"e1", "e2", "e3", "e4"} {
			s.crashOf(endpoint, crashes.Traits{first, deadly}, crashes.Traits{first, common})
			Expect(s.decide()).To(BeEmpty())
		}
	})

	It("are told on with their requests", func() {
		crashFiveTimes(crashes.Traits{first, deadly})
		other := crashes.NewLog()
		other.Merge(s.All(s.now), s.now)
		later := s.now.Add(time.Second)
		Expect(other.Decide(neverSound, later)).To(ConsistOf(deadly, first))
		Expect(withholds(other, first, common)).To(BeFalse())
		Expect(withholds(other, first, deadly)).To(BeTrue())
	})

	It("keep the whole request when it is told again without what was cleared", func() {
		s.crashOf("e0", crashes.Traits{first, deadly, rare})
		s.AddCrash(crashes.Crash{Endpoint: "e0", Age: time.Second, Suspects: crashes.Traits{first, deadly}, Requests: []int{2}}, s.now)
		Expect(s.All(s.now).Crashes[0].Requests).To(Equal([]int{3}))
	})

	It("count for each trait alone if the numbers do not fit the suspects", func() {
		for i, requests := range [][]int{{3}, {-1}, {0, 2}, {1 << 62, 1 << 62}, {2, 1}} {
			s.AddCrash(crashes.Crash{Endpoint: types.EndpointID(fmt.Sprint("e", i)), Suspects: crashes.Traits{deadly, first}, Requests: requests}, s.now)
			s.pass(time.Second)
		}
		Expect(s.decide()).To(ConsistOf(deadly, first))
		Expect(withholds(s.Log, deadly)).To(BeTrue())
	})

	It("keep no more requests than their limit", func() {
		var requests []crashes.Traits
		for i := range 1000 {
			requests = append(requests, crashes.Traits{first, deadly, crashes.Trait(1000 + i)})
		}
		s.crashOf("e1", requests...)
		Expect(len(s.All(s.now).Crashes[0].Suspects)).To(BeNumerically("<=", 1024))
	})
})

// toService returns the traits of a request to a service.
func toService(service types.ServiceName, parts ...string) crashes.Traits {
	var traits crashes.Traits
	for _, part := range parts {
		traits = append(traits, crashes.PartTrait(crashes.AllServices, part), crashes.PartTrait(service, part))
	}
	return traits
}

var _ = Describe("A deadly part of requests to several services", func() {
	var s *script
	BeforeEach(func() { s = newScript() })
	crashThreeTimes := func() {
		for _, endpoint := range []types.EndpointID{"e1", "e2", "e3"} {
			s.crashOf(endpoint, toService("a", "first", "deadly", string(endpoint)))
			for _, trait := range toService("a", "first") {
				s.Clear(trait, s.now)
			}
		}
	}

	It("is withheld from the service to which its route moves", func() {
		crashThreeTimes()
		Expect(s.decide()).To(ConsistOf(crashes.PartTrait(crashes.AllServices, "deadly")))
		Expect(withholds(s.Log, toService("b", "first", "deadly")...)).To(BeTrue())
		Expect(withholds(s.Log, toService("b", "first", "sound")...)).To(BeFalse())
	})

	It("is withheld if it crashed endpoints of each service less often", func() {
		for i, service := range []types.ServiceName{"a", "a", "b"} {
			s.crashOf(types.EndpointID(fmt.Sprint("e", i)), toService(service, "deadly", fmt.Sprint("own", i)))
		}
		s.decide()
		Expect(withholds(s.Log, toService("c", "deadly")...)).To(BeTrue())
	})

	It("is withheld from the one service that it crashes if another one answers it", func() {
		crashThreeTimes()
		s.decide()
		for _, trait := range toService("b", "deadly") {
			s.Clear(trait, s.now)
		}
		s.decide()
		Expect(withholds(s.Log, toService("a", "first", "deadly")...)).To(BeTrue())
		Expect(withholds(s.Log, toService("b", "first", "deadly")...)).To(BeFalse())
	})

	It("is withheld from that service alone if the other one answered it before", func() {
		crashThreeTimes()
		shared := crashes.PartTrait(crashes.AllServices, "deadly")
		Expect(s.Decide(func(trait crashes.Trait) bool { return trait == shared }, s.now)).To(ConsistOf(crashes.PartTrait("a", "deadly")))
	})
})
