package regions_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/members"
	"github.com/flamingomount/flamingomount/pkg/gateway/regions"
	"github.com/flamingomount/flamingomount/pkg/types"
)

var _ = Describe("A region that responds sooner", func() {
	loads := func(south, west time.Duration) map[types.Region]regions.Load {
		return map[types.Region]regions.Load{
			"north": {Slots: 60, Busy: 60},
			"south": {Slots: 60, Busy: 20, Response: south},
			"west":  {Slots: 60, Busy: 20, Response: west},
		}
	}
	rng := rand.New(rand.NewPCG(57, 2))
	count := func(loads map[types.Region]regions.Load, here time.Duration) map[types.Region]int {
		counts := map[types.Region]int{}
		for range 1000 {
			if region, found := regions.PickSooner(loads, here, func(region types.Region) bool { return region != "north" }, rng); found {
				counts[region]++
			}
		}
		return counts
	}

	It("gets nothing while the way takes longer than it gains", func() {
		Expect(count(loads(60*time.Millisecond, 60*time.Millisecond), 200*time.Millisecond)).To(BeEmpty())
	})

	It("gets a share that grows with what is gained", func() {
		few := count(loads(60*time.Millisecond, time.Second), 250*time.Millisecond)
		many := count(loads(60*time.Millisecond, time.Second), 600*time.Millisecond)
		Expect(few["south"]).To(BeNumerically("~", 205, 50))
		Expect(many["south"]).To(BeNumerically("~", 600, 60))
		Expect(few["west"] + many["west"]).To(BeZero())
	})

	It("gets its part of what the one that gains most is sent", func() {
		sent := count(loads(60*time.Millisecond, 400*time.Millisecond), 600*time.Millisecond)
		Expect(sent["south"] + sent["west"]).To(BeNumerically("~", 594, 60))
		Expect(sent["west"]).To(BeNumerically("~", 99, 40))
	})

	It("gets nothing if it may not be used, however soon it responds", func() {
		for range 100 {
			_, found := regions.PickSooner(loads(time.Millisecond, time.Millisecond), time.Second, func(types.Region) bool { return false }, rng)
			Expect(found).To(BeFalse())
		}
	})

	It("gets no more than six of ten requests, and regions get them by their slots", func() {
		sites := loads(time.Millisecond, time.Millisecond)
		sites["south"] = regions.Load{Slots: 20, Response: time.Millisecond}
		found := count(sites, 10*time.Second)
		Expect(found["south"] + found["west"]).To(BeNumerically("~", 600, 60))
		Expect(found["west"]).To(BeNumerically("~", 450, 60))
	})

	It("gets nothing if it told nothing lately", func() {
		Expect(count(loads(0, 0), time.Second)).To(BeEmpty())
	})

	It("is judged by how soon it responds where endpoints tell no number of slots", func() {
		busy := map[types.Region]regions.Load{"south": {Slots: 2, Busy: 5, Response: 60 * time.Millisecond}}
		Expect(count(busy, 600*time.Millisecond)["south"]).To(BeNumerically("~", 600, 60))
	})

	It("is known by the average of what its daemons told", func() {
		daemons := []members.Member{daemon("south", 1, 0), daemon("south", 1, 0), daemon("south", 1, 0)}
		daemons[0].Loads[0].ResponseMillis, daemons[1].Loads[0].ResponseMillis = 100, 200
		Expect(regions.Loads(view(), daemons, engines)["south"].Response).To(Equal(150 * time.Millisecond))
	})
})

// site is a fake region: requests wait in one queue for its endpoints.
type site struct {
	// capacity is in requests per second, queued in requests.
	capacity, queued float64
	// arriving holds the requests on their way, by step.
	arriving map[int]int
	// told holds the response time of each step, as its daemons would tell it.
	told []time.Duration
}

func (s *site) response() time.Duration {
	const work = 60 * time.Millisecond
	return work + time.Duration(s.queued/s.capacity*float64(time.Second))
}

var _ = Describe("A step of demand between regions", func() {
	// The mean demand is 100 requests a second in each region; north has 2.8 times as much
	// in the first ten seconds, then a sixth, and south the other way round; they turn
	// within three seconds. West has a sixth of it all the time. Each region can run 200
	// requests a second. A report of another region is 1 to 2 s old,
	// one of the own region 0.2 to 0.7 s.
	const (
		step     = 10 * time.Millisecond
		way      = int(55 * time.Millisecond / step)
		turnAt   = 10.0
		turnTime = 3.0
		seconds  = 20.0
		daemons  = 12
	)
	demand := func(region types.Region, at float64) float64 {
		turned := min(max((at-turnAt)/turnTime, 0), 1)
		switch region {
		case "north":
			return 280 + turned*(17-280)
		case "south":
			return 17 + turned*(280-17)
		default:
			return 17
		}
	}

	It("settles without overshoot over daemons with old reports", func() {
		rng := rand.New(rand.NewPCG(57, 3))
		sites := map[types.Region]*site{}
		for _, name := range names {
			sites[name] = &site{capacity: 200, arriving: map[int]int{}}
		}
		due := map[types.Region]float64{}
		sent := map[types.Region][]int{}
		worst := map[types.Region]time.Duration{}
		var late, asked int
		for now := range int(seconds * float64(time.Second/step)) {
			at := float64(now) * step.Seconds()
			for _, name := range names {
				here := sites[name]
				here.queued = max(here.queued+float64(here.arriving[now])-here.capacity*step.Seconds(), 0)
				here.told = append(here.told, here.response())
				if at > 3 {
					worst[name] = max(worst[name], here.response())
				}
				sent[name] = append(sent[name], 0)
			}
			for _, name := range names {
				here := sites[name]
				for due[name] += demand(name, at) * step.Seconds(); due[name] >= 1; due[name]-- {
					age := 100 + rng.IntN(daemons)*100/daemons
					loads := map[types.Region]regions.Load{}
					for _, other := range names {
						told := sites[other].told
						loads[other] = regions.Load{Slots: 18, Busy: 6, Response: told[max(len(told)-1-age, 0)]}
					}
					asked++
					localAge := 20 + rng.IntN(daemons)*50/daemons
					target, found := regions.PickSooner(loads, here.told[max(len(here.told)-1-localAge, 0)], func(region types.Region) bool { return region != name }, rng)
					if !found {
						here.queued++
						if here.response() > 500*time.Millisecond {
							late++
						}
						continue
					}
					sites[target].arriving[now+way]++
					sent[name][now]++
					if sites[target].response()+regions.RoundTrip > 500*time.Millisecond {
						late++
					}
				}
			}
		}
		perSecond := func(name types.Region, from, to float64) float64 {
			total := 0
			for _, count := range sent[name][int(from/step.Seconds()):int(to/step.Seconds())] {
				total += count
			}
			return float64(total) / (to - from)
		}
		By("sending what exceeds the capacity, and little more")
		Expect(perSecond("north", 4, 10)).To(BeNumerically("~", 90, 25))
		Expect(perSecond("south", 15, 20)).To(BeNumerically("~", 90, 25))
		By("sending an even stream")
		for from := 4.0; from < 10; from++ {
			Expect(perSecond("north", from, from+1)).To(BeNumerically("~", perSecond("north", 4, 10), 30))
		}
		By("sending nothing back")
		Expect(perSecond("north", 14, 20)).To(BeZero())
		Expect(perSecond("south", 1, 10)).To(BeZero())
		Expect(perSecond("west", 0, 20)).To(BeZero())
		By("keeping the regions that help responsive")
		Expect(worst["west"]).To(BeNumerically("<", 250*time.Millisecond))
		Expect(float64(late) / float64(asked)).To(BeNumerically("<", 0.05))
	})
})
