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
	store       types.Region = "kathmandu"
	remote      types.Region = "pokhara"
	weightBytes              = 14_000_000_000
)

func config(wanted map[types.Region]map[types.ModelVersion]int) *published.Configuration {
	return &published.Configuration{
		Revision: 7,
		Regions: map[types.Region]*published.Region{
			store: {Name: store, WeightStore: true}, remote: {Name: remote},
		},
		Links:    []published.Link{{From: store, To: remote, BitsPerSecond: 140e6}},
		Policy:   published.Policy{LinkShare: 0.5, WeightStoreBytesPerSecond: 500e6},
		Services: map[types.ServiceName]*published.Service{"quotes": {Name: "quotes", Kind: published.KindModel, Regions: []types.Region{store, remote}}},
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

// engines are the stand-ins that orders act on.
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
	for id, seen := range e {
		seen.ObservedAt = now
		e[id] = seen
	}
}

func (e engines) serving(version types.ModelVersion) int {
	count := 0
	for _, seen := range e {
		if seen.Ready && seen.Assignment.Version == version {
			count++
		}
	}
	return count
}

// rollOut gives orders every half second until the engines hold what is desired
// and checks each step. It returns the largest number of pulls at one time.
func rollOut(plan *placement.Plan, e engines, length time.Duration, check func()) int {
	done := map[types.EndpointID]time.Time{}
	most := 0
	for now := start; now.Before(start.Add(length)); now = now.Add(500 * time.Millisecond) {
		e.read(now)
		for _, order := range plan.Orders(e, now) {
			wanted := placement.Assignment{Model: order.Model, Version: order.Version}
			seen := e[order.Endpoint]
			if seen.Assignment != wanted {
				_, end, _ := plan.PullSlot(order.Endpoint, now)
				done[order.Endpoint] = end
				seen.Ready = false
			}
			seen.Assignment, seen.Fencing = wanted, order.Fencing
			e[order.Endpoint] = seen
		}
		most = max(most, len(done))
		for id, end := range done {
			if !now.Before(end) {
				seen := e[id]
				seen.Ready = true
				e[id] = seen
				delete(done, id)
			}
		}
		check()
	}
	return most
}

var _ = Describe("NewPlan", func() {
	wanted := map[types.Region]map[types.ModelVersion]int{store: {"v1": 2, "v2": 2}}

	It("depends on the revision and the list alone, not on their order, and moves few", func() {
		list := workers(store, "v1", 4)
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

	It("says what it can't place and places nothing where data may not go", func() {
		plan := placement.NewPlan(config(wanted), workers(store, "v1", 3))
		Expect(plan.Unmet).To(ConsistOf(placement.Unmet{
			Region: store, Assignment: placement.Assignment{Model: "quotes", Version: "v2"}, Missing: 1,
		}))
		forbidden := config(map[types.Region]map[types.ModelVersion]int{remote: {"v2": 1}})
		forbidden.Services["quotes"].Regions = []types.Region{store}
		Expect(placement.NewPlan(forbidden, workers(remote, "v1", 3)).Desired).To(BeEmpty())
	})
})

var _ = Describe("Orders", func() {
	It("replaces a version one pull at a time and never without an engine that serves", func() {
		list := append(workers(store, "v1", 4), workers(remote, "v1", 2)...)
		plan := placement.NewPlan(config(map[types.Region]map[types.ModelVersion]int{
			store: {"v2": 4}, remote: {"v2": 2},
		}), list)
		e := newEngines(list, start)
		most := rollOut(plan, e, 6*time.Hour, func() {
			Expect(e.serving("v1") + e.serving("v2")).To(BeNumerically(">=", 1))
		})
		Expect(most).To(Equal(1))
		Expect(e.serving("v2")).To(Equal(6))
	})

	It("gives a pull across the thin link the time that its free share needs", func() {
		list := append(workers(store, "v1", 2), workers(remote, "v1", 1)...)
		plan := placement.NewPlan(config(map[types.Region]map[types.ModelVersion]int{
			store: {"v2": 1, "v1": 1}, remote: {"v2": 1},
		}), list)
		begin, end, ok := plan.PullSlot("pokhara-0", start)
		Expect(ok).To(BeTrue())
		const free = 140e6 / 8 / 2 // bytes per second
		Expect(end.Sub(begin).Seconds()).To(BeNumerically("~", weightBytes/free, 0.001))
	})

	It("keeps the last engine of a wanted version and orders nothing on old readings", func() {
		list := workers(store, "v1", 2)
		plan := placement.NewPlan(config(map[types.Region]map[types.ModelVersion]int{store: {"v2": 2}}), list)
		e := newEngines(list, start)
		delete(e, "kathmandu-0")
		for now := start; now.Before(start.Add(time.Hour)); now = now.Add(500 * time.Millisecond) {
			e.read(now)
			Expect(plan.Orders(e, now)).To(BeEmpty())
			Expect(plan.Orders(newEngines(list, now.Add(-2*time.Second)), now)).To(BeEmpty())
		}
	})

	It("repairs an engine that an old order changed, and leaves a newer one alone", func() {
		list := workers(store, "v2", 3)
		plan := placement.NewPlan(config(map[types.Region]map[types.ModelVersion]int{store: {"v2": 3}}), list)
		e := newEngines(list, start)
		e["kathmandu-1"] = placement.Observation{Assignment: placement.Assignment{Model: "quotes", Version: "v1"}, Fencing: 3, Ready: true}
		e["kathmandu-2"] = placement.Observation{Assignment: placement.Assignment{Model: "quotes", Version: "v3"}, Fencing: 8, Ready: true}
		rollOut(plan, e, time.Hour, func() {})
		Expect(e["kathmandu-0"].Fencing).To(Equal(types.Revision(7)))
		Expect(e["kathmandu-1"].Assignment.Version).To(Equal(types.ModelVersion("v2")))
		Expect(e["kathmandu-2"].Assignment.Version).To(Equal(types.ModelVersion("v3")))
	})

	It("gives the same orders at two daemons and never two turns at once, for any list", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			list := append(workers(store, "v1", rapid.IntRange(0, 6).Draw(t, "store")),
				workers(remote, "v1", rapid.IntRange(0, 6).Draw(t, "remote"))...)
			cfg := config(map[types.Region]map[types.ModelVersion]int{
				store:  {"v1": rapid.IntRange(0, 4).Draw(t, "a"), "v2": rapid.IntRange(0, 4).Draw(t, "b")},
				remote: {"v2": rapid.IntRange(0, 4).Draw(t, "c")},
			})
			one, two := placement.NewPlan(cfg, list), placement.NewPlan(cfg, rapid.Permutation(list).Draw(t, "order"))
			now := start.Add(time.Duration(rapid.IntRange(0, 100_000).Draw(t, "s")) * time.Second)
			Expect(one.Orders(newEngines(list, now), now)).To(Equal(two.Orders(newEngines(list, now), now)))
			for _, a := range list {
				for _, b := range list {
					needs := func(vm platform.VM) bool { return one.Desired[vm.Endpoint].Version == "v2" }
					if a.Endpoint == b.Endpoint || !needs(a) || !needs(b) {
						continue
					}
					beginA, endA, _ := one.PullSlot(a.Endpoint, now)
					beginB, endB, _ := one.PullSlot(b.Endpoint, now)
					if beginA.Before(endB) && beginB.Before(endA) {
						t.Fatalf("turns of %s and %s overlap", a.Endpoint, b.Endpoint)
					}
				}
			}
		})
	})
})

func BenchmarkNewPlan(b *testing.B) {
	list := append(workers(store, "v1", 120), workers(remote, "v1", 120)...)
	cfg := config(map[types.Region]map[types.ModelVersion]int{store: {"v1": 60, "v2": 60}, remote: {"v2": 120}})
	for b.Loop() {
		placement.NewPlan(cfg, list)
	}
}

// BenchmarkNewPlanOfFleet plans 2,100 engines in two regions.
func BenchmarkNewPlanOfFleet(b *testing.B) {
	const each = 1050
	list := append(workers(store, "v1", each), workers(remote, "v1", each)...)
	cfg := config(map[types.Region]map[types.ModelVersion]int{store: {"v1": each / 2, "v2": each / 2}, remote: {"v2": each}})
	for b.Loop() {
		placement.NewPlan(cfg, list)
	}
}
