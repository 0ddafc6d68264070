package placement_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/flamingomount/flamingomount/pkg/control/placement"
	"github.com/flamingomount/flamingomount/pkg/platform"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestPlacement(t *testing.T) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

var start = time.Date(2026, 10, 1, 8, 0, 0, 0, time.UTC)

const (
	storeRegion  types.Region = "kathmandu"
	remoteRegion types.Region = "pokhara"
	weightBytes               = 14_000_000_000
)

func config(wanted map[types.Region]map[types.ModelVersion]int) *published.Configuration {
	return &published.Configuration{
		Revision: 7,
		Regions: map[types.Region]*published.Region{
			storeRegion: {Name: storeRegion, WeightStore: true}, remoteRegion: {Name: remoteRegion},
		},
		Links:    []published.Link{{From: storeRegion, To: remoteRegion, BitsPerSecond: 140e6}},
		Policy:   published.Policy{LinkShare: 0.5, WeightStoreBytesPerSecond: 500e6},
		Services: map[types.ServiceName]*published.Service{"quotes": {Name: "quotes", Kind: published.KindModel, Regions: []types.Region{storeRegion, remoteRegion}}},
		Placement: map[types.ServiceName]published.PlacementRequest{
			"quotes": {Replicas: wanted, WeightBytes: weightBytes},
		},
	}
}

func workers(region types.Region, version types.ModelVersion, count int) []platform.VM {
	var list []platform.VM
	for i := range count {
		list = append(list, platform.VM{
			Role: platform.RoleEndpoint, Region: region, Service: "quotes", Version: version,
			Endpoint: types.EndpointID(fmt.Sprintf("%s-%d", region, i)),
		})
	}
	return list
}

// engines holds the state of simulated engines, to which the tests apply orders.
type engines map[types.EndpointID]placement.Observation

func newEngines(list []platform.VM, now time.Time) engines {
	e := engines{}
	for _, worker := range list {
		e[worker.Endpoint] = placement.Observation{
			Assignment: placement.Assignment{Model: worker.Service, Version: worker.Version},
			Ready:      true, ObservedAt: now,
		}
	}
	return e
}

func (e engines) read(now time.Time) {
	for id, observation := range e {
		observation.ObservedAt = now
		e[id] = observation
	}
}

func (e engines) serving(version types.ModelVersion) int {
	count := 0
	for _, observation := range e {
		if observation.Ready && observation.Assignment.Version == version {
			count++
		}
	}
	return count
}

// rollOut applies the due orders every half second of simulated time for the
// given length and calls check after each step. It returns the largest number of
// concurrent pulls.
func rollOut(plan *placement.Plan, e engines, length time.Duration, check func()) int {
	pullEnds := map[types.EndpointID]time.Time{}
	maxPulls := 0
	for now := start; now.Before(start.Add(length)); now = now.Add(500 * time.Millisecond) {
		e.read(now)
		for _, order := range plan.Orders(e, now) {
			wanted := placement.Assignment{Model: order.Model, Version: order.Version}
			observation := e[order.Endpoint]
			if observation.Assignment != wanted {
				_, end, _ := plan.PullSlot(order.Endpoint, now)
				pullEnds[order.Endpoint] = end
				observation.Ready = false
			}
			observation.Assignment, observation.Fencing = wanted, order.Fencing
			e[order.Endpoint] = observation
		}
		maxPulls = max(maxPulls, len(pullEnds))
		for id, end := range pullEnds {
			if !now.Before(end) {
				observation := e[id]
				observation.Ready = true
				e[id] = observation
				delete(pullEnds, id)
			}
		}
		check()
	}
	return maxPulls
}

var _ = Describe("NewPlan", func() {
	wanted := map[types.Region]map[types.ModelVersion]int{storeRegion: {"v1": 2, "v2": 2}}

	It("does not depend on the order of the worker list and changes as few engines as possible", func() {
		list := workers(storeRegion, "v1", 4)
		plan := placement.NewPlan(config(wanted), list)
		shuffled := slices.Clone(list)
		rand.New(rand.NewPCG(1, 1)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		Expect(placement.NewPlan(config(wanted), shuffled).Desired).To(Equal(plan.Desired))
		moved := 0
		for _, assignment := range plan.Desired {
			if assignment.Version == "v2" {
				moved++
			}
		}
		Expect(moved).To(Equal(2))
	})

	It("reports unmet demand and places nothing in a region that the service may not use", func() {
		plan := placement.NewPlan(config(wanted), workers(storeRegion, "v1", 3))
		Expect(plan.Unmet).To(ConsistOf(placement.Unmet{
			Region: storeRegion, Assignment: placement.Assignment{Model: "quotes", Version: "v2"}, Missing: 1,
		}))
		forbidden := config(map[types.Region]map[types.ModelVersion]int{remoteRegion: {"v2": 1}})
		forbidden.Services["quotes"].Regions = []types.Region{storeRegion}
		Expect(placement.NewPlan(forbidden, workers(remoteRegion, "v1", 3)).Desired).To(BeEmpty())
	})
})

var _ = Describe("Orders", func() {
	It("replaces a version one pull at a time and always keeps a ready engine", func() {
		list := append(workers(storeRegion, "v1", 4), workers(remoteRegion, "v1", 2)...)
		plan := placement.NewPlan(config(map[types.Region]map[types.ModelVersion]int{
			storeRegion: {"v2": 4}, remoteRegion: {"v2": 2},
		}), list)
		e := newEngines(list, start)
		maxPulls := rollOut(plan, e, 6*time.Hour, func() {
			Expect(e.serving("v1") + e.serving("v2")).To(BeNumerically(">=", 1))
		})
		Expect(maxPulls).To(Equal(1))
		Expect(e.serving("v2")).To(Equal(6))
	})

	It("sizes the slot of a pull across a link by the share that requests leave free", func() {
		list := append(workers(storeRegion, "v1", 2), workers(remoteRegion, "v1", 1)...)
		plan := placement.NewPlan(config(map[types.Region]map[types.ModelVersion]int{
			storeRegion: {"v2": 1, "v1": 1}, remoteRegion: {"v2": 1},
		}), list)
		begin, end, ok := plan.PullSlot("pokhara-0", start)
		Expect(ok).To(BeTrue())
		const free = 140e6 / 8 / 2 // bytes per second
		Expect(end.Sub(begin).Seconds()).To(BeNumerically("~", weightBytes/free, 0.001))
	})

	It("keeps the last ready engine of a model and sends no orders on old observations", func() {
		list := workers(storeRegion, "v1", 2)
		plan := placement.NewPlan(config(map[types.Region]map[types.ModelVersion]int{storeRegion: {"v2": 2}}), list)
		e := newEngines(list, start)
		delete(e, "kathmandu-0")
		for now := start; now.Before(start.Add(time.Hour)); now = now.Add(500 * time.Millisecond) {
			e.read(now)
			Expect(plan.Orders(e, now)).To(BeEmpty())
			Expect(plan.Orders(newEngines(list, now.Add(-2*time.Second)), now)).To(BeEmpty())
		}
	})

	It("repairs an engine that an old order changed and does not change one with a newer fencing number", func() {
		list := workers(storeRegion, "v2", 3)
		plan := placement.NewPlan(config(map[types.Region]map[types.ModelVersion]int{storeRegion: {"v2": 3}}), list)
		e := newEngines(list, start)
		e["kathmandu-1"] = placement.Observation{Assignment: placement.Assignment{Model: "quotes", Version: "v1"}, Fencing: 3, Ready: true}
		e["kathmandu-2"] = placement.Observation{Assignment: placement.Assignment{Model: "quotes", Version: "v3"}, Fencing: 8, Ready: true}
		rollOut(plan, e, time.Hour, func() {})
		Expect(e["kathmandu-0"].Fencing).To(Equal(types.Revision(7)))
		Expect(e["kathmandu-1"].Assignment.Version).To(Equal(types.ModelVersion("v2")))
		Expect(e["kathmandu-2"].Assignment.Version).To(Equal(types.ModelVersion("v3")))
	})

	It("gives the same orders on two daemons and no overlapping slots, for any list", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			list := append(workers(storeRegion, "v1", rapid.IntRange(0, 6).Draw(t, "store")),
				workers(remoteRegion, "v1", rapid.IntRange(0, 6).Draw(t, "remote"))...)
			cfg := config(map[types.Region]map[types.ModelVersion]int{
				storeRegion:  {"v1": rapid.IntRange(0, 4).Draw(t, "a"), "v2": rapid.IntRange(0, 4).Draw(t, "b")},
				remoteRegion: {"v2": rapid.IntRange(0, 4).Draw(t, "c")},
			})
			planA, planB := placement.NewPlan(cfg, list), placement.NewPlan(cfg, rapid.Permutation(list).Draw(t, "order"))
			now := start.Add(time.Duration(rapid.IntRange(0, 100_000).Draw(t, "s")) * time.Second)
			Expect(planA.Orders(newEngines(list, now), now)).To(Equal(planB.Orders(newEngines(list, now), now)))
			for _, a := range list {
				for _, b := range list {
					needsPull := func(vm platform.VM) bool { return planA.Desired[vm.Endpoint].Version == "v2" }
					if a.Endpoint == b.Endpoint || !needsPull(a) || !needsPull(b) {
						continue
					}
					beginA, endA, _ := planA.PullSlot(a.Endpoint, now)
					beginB, endB, _ := planA.PullSlot(b.Endpoint, now)
					if beginA.Before(endB) && beginB.Before(endA) {
						t.Fatalf("slots of %s and %s overlap", a.Endpoint, b.Endpoint)
					}
				}
			}
		})
	})
})

func BenchmarkNewPlan(b *testing.B) {
	list := append(workers(storeRegion, "v1", 120), workers(remoteRegion, "v1", 120)...)
	cfg := config(map[types.Region]map[types.ModelVersion]int{storeRegion: {"v1": 60, "v2": 60}, remoteRegion: {"v2": 120}})
	for b.Loop() {
		placement.NewPlan(cfg, list)
	}
}

// BenchmarkNewPlanOfFleet plans 2,100 engines in two regions.
func BenchmarkNewPlanOfFleet(b *testing.B) {
	const enginesPerRegion = 1050
	list := append(workers(storeRegion, "v1", enginesPerRegion), workers(remoteRegion, "v1", enginesPerRegion)...)
	cfg := config(map[types.Region]map[types.ModelVersion]int{storeRegion: {"v1": enginesPerRegion / 2, "v2": enginesPerRegion / 2}, remoteRegion: {"v2": enginesPerRegion}})
	for b.Loop() {
		placement.NewPlan(cfg, list)
	}
}
