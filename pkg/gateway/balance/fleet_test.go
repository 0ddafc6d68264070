package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/balance"
)

// fleetLoad is the load on a fake fleet of engines of different speeds, each of which runs
// one small request after the other.
type fleetLoad struct {
	speeds  []float64
	daemons int
	// plain is true for endpoints that are no engines.
	plain bool
	// use is the share of the time of all engines together that the requests take.
	use     float64
	seconds float64
	// slowMoment is how much slower an engine is in a slow moment of 600 ms, of which it
	// has one every four seconds; silent is an engine that answers nothing, or -1.
	slowMoment float64
	silent     int
	// restartAt is when all daemons start again and know nothing, in seconds; zero for never.
	restartAt float64
}

// engineWork is the time that a small request takes an engine of speed 1.
const engineWork = 20 * time.Millisecond

// work returns how long an engine takes for a small request at a time.
func (l fleetLoad) work(engine int, at time.Time) time.Duration {
	took := time.Duration(float64(engineWork) / l.speeds[engine])
	const period, moment = 4 * time.Second, 600 * time.Millisecond
	if l.slowMoment > 1 && (at.Sub(start)+time.Duration(engine)*period/7)%period < moment {
		took = time.Duration(float64(took) * l.slowMoment)
	}
	return took
}

// fleetOutcome is what the callers of a fleet got.
type fleetOutcome struct {
	asked, refused, inTime int
	total                  time.Duration
	perEngine              []int
}

func (o fleetOutcome) mean() time.Duration { return o.total / time.Duration(max(o.asked-o.refused, 1)) }

func (o fleetOutcome) inTimeShare() float64 { return float64(o.inTime) / float64(o.asked) }

// choice names an engine for a request of a daemon, or -1. done is called when the response
// starts.
type choice func(daemon int, now time.Time, freeAt []time.Time) (engine int, done func(time.Time))

// play sends requests at random times and returns what the callers got. Their objective is
// 300 ms.
func (l fleetLoad) play(rng *rand.Rand, choose choice) fleetOutcome {
	total := 0.0
	for _, speed := range l.speeds {
		total += speed
	}
	perSecond := l.use * total / engineWork.Seconds()
	outcome := fleetOutcome{perEngine: make([]int, len(l.speeds))}
	freeAt := make([]time.Time, len(l.speeds))
	type ending struct {
		at   time.Time
		done func(time.Time)
	}
	var endings []ending
	for now := start; now.Sub(start).Seconds() < l.seconds; {
		now = now.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		for len(endings) > 0 && !endings[0].at.After(now) {
			endings[0].done(endings[0].at)
			endings = endings[1:]
		}
		outcome.asked++
		engine, done := choose(rng.IntN(l.daemons), now, freeAt)
		if engine < 0 {
			outcome.refused++
			continue
		}
		outcome.perEngine[engine]++
		if engine == l.silent {
			outcome.total += 5 * time.Second
			continue
		}
		if freeAt[engine].Before(now) {
			freeAt[engine] = now
		}
		freeAt[engine] = freeAt[engine].Add(l.work(engine, now))
		took := freeAt[engine].Sub(now)
		outcome.total += took
		if took <= 300*time.Millisecond {
			outcome.inTime++
		}
		i, _ := slices.BinarySearchFunc(endings, freeAt[engine], func(e ending, at time.Time) int { return e.at.Compare(at) })
		endings = slices.Insert(endings, i, ending{freeAt[engine], done})
	}
	return outcome
}

// placing chooses as the pools of several daemons do, none of which sees the requests of the
// others.
func (l fleetLoad) placing() choice {
	service, engineCount, deskCount := engines, len(l.speeds), 0
	if l.plain {
		service, engineCount, deskCount = desk, 0, len(l.speeds)
	}
	pools := newFleet(view(engineCount, deskCount, nil), l.daemons)
	restarted := l.restartAt == 0
	return func(daemon int, now time.Time, _ []time.Time) (int, func(time.Time)) {
		if !restarted && now.Sub(start).Seconds() > l.restartAt {
			pools, restarted = newFleet(view(engineCount, deskCount, nil), l.daemons), true
		}
		pool := pools[daemon]
		req := newRequest(service, 0)
		req.PromptTokens, req.Arrived, req.Deadline = 400, now, now.Add(5*time.Second)
		permit, _ := pool.Permit(req, now)
		if permit == nil {
			return -1, nil
		}
		var engine int
		_, err := fmt.Sscanf(string(permit.Endpoint.ID), string(service)+"-%d", &engine)
		Expect(err).NotTo(HaveOccurred())
		return engine, func(at time.Time) {
			pool.ResponseStarted(permit, at)
			pool.Done(permit, balance.Succeeded, at)
		}
	}
}

func (l fleetLoad) uniform(rng *rand.Rand) choice {
	return func(int, time.Time, []time.Time) (int, func(time.Time)) {
		return rng.IntN(len(l.speeds)), func(time.Time) {}
	}
}

// clairvoyant chooses the engine that responds soonest, of which it knows everything.
func (l fleetLoad) clairvoyant() choice {
	return func(_ int, now time.Time, freeAt []time.Time) (int, func(time.Time)) {
		best, bestAt := 0, time.Time{}
		for engine := range l.speeds {
			at := freeAt[engine]
			if at.Before(now) {
				at = now
			}
			at = at.Add(l.work(engine, now))
			if engine != l.silent && (bestAt.IsZero() || at.Before(bestAt)) {
				best, bestAt = engine, at
			}
		}
		return best, func(time.Time) {}
	}
}

// threeSpeeds returns the speeds of a number of engines, of which a third is 2.4 times as
// fast as the others.
func threeSpeeds(count int) []float64 {
	speeds := make([]float64, count)
	for i := range speeds {
		speeds[i] = []float64{0.7, 0.7, 1.7}[i%3]
	}
	return speeds
}

var _ = Describe("Placing small requests over engines that differ", func() {
	It("gives each engine what it can do, although no daemon sees what the others send", func() {
		load := fleetLoad{speeds: threeSpeeds(18), daemons: 12, use: 0.75, seconds: 20, silent: -1}
		placed := load.play(rand.New(rand.NewPCG(57, 4)), load.placing())
		Expect(placed.inTimeShare()).To(BeNumerically(">", 0.97))
		slow, fast := 0, 0
		for engine, count := range placed.perEngine {
			if load.speeds[engine] > 1 {
				fast += count
			} else {
				slow += count
			}
		}
		Expect(float64(fast) / float64(slow) * 2).To(BeNumerically(">", 1.3))
	})

	It("does the same over plain endpoints", func() {
		load := fleetLoad{speeds: threeSpeeds(6), daemons: 12, plain: true, use: 0.7, seconds: 20, silent: -1}
		placed := load.play(rand.New(rand.NewPCG(57, 9)), load.placing())
		Expect(placed.inTimeShare()).To(BeNumerically(">", 0.97))
	})

	It("avoids an engine in a slow moment", func() {
		load := fleetLoad{speeds: threeSpeeds(18), daemons: 6, use: 0.6, seconds: 20, slowMoment: 2.5, silent: -1}
		placed := load.play(rand.New(rand.NewPCG(57, 5)), load.placing())
		Expect(placed.inTimeShare()).To(BeNumerically(">", 0.97))
	})

	It("gets on when all daemons start again at the peak and know nothing", func() {
		load := fleetLoad{speeds: threeSpeeds(18), daemons: 12, use: 0.75, seconds: 20, silent: -1, restartAt: 10}
		placed := load.play(rand.New(rand.NewPCG(57, 8)), load.placing())
		Expect(placed.inTimeShare()).To(BeNumerically(">", 0.95))
	})

	It("keeps all but a few requests from an engine that answers nothing", func() {
		load := fleetLoad{speeds: threeSpeeds(9), daemons: 4, use: 0.5, seconds: 20, silent: 2}
		placed := load.play(rand.New(rand.NewPCG(57, 6)), load.placing())
		Expect(placed.perEngine[2]).To(BeNumerically("<", placed.asked/50))
		Expect(placed.inTimeShare()).To(BeNumerically(">", 0.95))
	})

	// worstToUniform and worstToClairvoyant bound the mean time of placing relative to that of
	// a choice at random and of one that knows everything.
	const (
		worstToUniform     = 1.1
		worstToClairvoyant = 3.0
	)
	It("is never worse than a choice at random by more than a tenth, nor than a clairvoyant one by a factor of three", func() {
		rng := rand.New(rand.NewPCG(57, 7))
		for fleet := range 25 {
			load := fleetLoad{daemons: 1 + rng.IntN(12), use: 0.3 + 0.5*rng.Float64(), seconds: 8, silent: -1}
			for range 3 + rng.IntN(20) {
				load.speeds = append(load.speeds, 0.5+1.5*rng.Float64())
			}
			if rng.IntN(2) == 0 {
				load.slowMoment = 2.5
			}
			seed := rng.Uint64()
			placed := load.play(rand.New(rand.NewPCG(seed, 1)), load.placing())
			uniform := load.play(rand.New(rand.NewPCG(seed, 1)), load.uniform(rand.New(rand.NewPCG(seed, 2))))
			best := load.play(rand.New(rand.NewPCG(seed, 1)), load.clairvoyant())
			GinkgoWriter.Printf("fleet %d: %d engines, %d daemons, use %.2f: placed %v, uniform %v, clairvoyant %v\n",
				fleet, len(load.speeds), load.daemons, load.use, placed.mean(), uniform.mean(), best.mean())
			Expect(placed.refused).To(BeZero())
			Expect(placed.mean().Seconds()).To(BeNumerically("<", worstToUniform*uniform.mean().Seconds()), "fleet %d", fleet)
			Expect(placed.mean().Seconds()).To(BeNumerically("<", worstToClairvoyant*best.mean().Seconds()), "fleet %d", fleet)
		}
	})
})
