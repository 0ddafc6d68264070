package pipeline_test

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

	"github.com/flamingomount/flamingomount/pkg/naive"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/route"
	"github.com/flamingomount/flamingomount/pkg/route/pipeline"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/stage/score"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestPipeline(t *testing.T) {
	RegisterFailHandler(Fail)
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	RunSpecs(t, "pipeline")
}

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const service types.ServiceName = "assistant"

var regions = []types.Region{"kathmandu", "pokhara", "biratnagar"}

// input returns a routing input for the first region with the given endpoints.
func input(seed uint64, allowed []types.Region, eps ...*snapshot.Endpoint) route.Input {
	s := &published.Service{Name: service, Kind: published.KindModel, Versions: []types.ModelVersion{"1"}, Regions: allowed}
	config := &published.Configuration{Services: map[types.ServiceName]*published.Service{service: s}}
	return route.Input{
		Now:  now,
		Rand: rand.New(rand.NewPCG(seed, 1)),
		Request: &request.Request{
			Service: s, Org: &published.Organisation{Name: "coop", Share: 1}, Repeatable: true,
			Deadline: now.Add(time.Minute), Prefix: []uint64{1, 2, 3, 4, 5, 6}, OutputTokens: 50,
		},
		Snapshot: &snapshot.Snapshot{
			TakenAt: now, Config: config, Self: snapshot.Self{Region: regions[0]},
			Endpoints: map[types.ServiceName][]*snapshot.Endpoint{service: eps},
		},
	}
}

func endpoint(i int, region types.Region) *snapshot.Endpoint {
	return &snapshot.Endpoint{
		ID: types.EndpointID(fmt.Sprintf("ep-%04d", i)), Region: region, Service: service, Version: "1", Slots: 16,
		Load: snapshot.Load{TakenAt: now, Running: i % 16}, Counters: &snapshot.Counters{},
	}
}

// drawInput draws a random routing input.
func drawInput(t *rapid.T) route.Input {
	var eps []*snapshot.Endpoint
	for i := range rapid.IntRange(0, 12).Draw(t, "endpoints") {
		ep := endpoint(i, rapid.SampledFrom(regions).Draw(t, "region"))
		ep.State = snapshot.EndpointState(rapid.IntRange(0, 3).Draw(t, "state"))
		ep.Version = rapid.SampledFrom([]types.ModelVersion{"1", "2"}).Draw(t, "version")
		if rapid.Bool().Draw(t, "ramping") {
			ep.SlowStartAt = now.Add(-time.Duration(rapid.IntRange(0, 60).Draw(t, "ramp")) * time.Second)
		}
		ep.Counters.Limit.Store(int64(rapid.IntRange(0, 3).Draw(t, "limit")))
		ep.Counters.InFlight.Store(int64(rapid.IntRange(0, 4).Draw(t, "in flight")))
		eps = append(eps, ep)
	}
	allowed := rapid.SliceOfDistinct(rapid.SampledFrom(regions), func(r types.Region) types.Region { return r }).Draw(t, "allowed")
	in := input(rapid.Uint64().Draw(t, "seed"), allowed, eps...)
	in.Request.Org.Home = rapid.SampledFrom(append([]types.Region{""}, regions...)).Draw(t, "home")
	if rapid.Bool().Draw(t, "forwarded") {
		in.Request.Path = []types.Incarnation{{VM: "10.0.0.1:1", Boot: "1"}}
	}
	if rapid.Bool().Draw(t, "quarantined") {
		in.Request.Fingerprint[0] = 1
		in.Snapshot.Quarantine = map[request.Fingerprint]time.Time{in.Request.Fingerprint: now.Add(time.Minute)}
	}
	if len(eps) > 0 && rapid.Bool().Draw(t, "tried one") {
		in.Tried = []types.EndpointID{eps[0].ID}
	}
	return in
}

// violation names the invariant that a decision violates; empty if there is
// none.
func violation(in route.Input, d route.Decision) string {
	target := d.Region
	if d.Endpoint != nil {
		target = d.Endpoint.Region
	}
	home := in.Request.Org.Home
	switch {
	case !in.Request.Service.Allows(target):
		return "residency"
	case home != "" && target != home:
		return "home"
	case len(in.Snapshot.Quarantine) > 0:
		return "quarantine"
	case d.Endpoint == nil && len(in.Request.Path) > 0:
		return "loop"
	case d.Endpoint == nil:
		return ""
	case d.Endpoint.State == snapshot.EndpointLeaving:
		return "leaving"
	case d.Endpoint.State != snapshot.EndpointReady:
		return "ejected"
	case d.Endpoint.Version != "1":
		return "version"
	case slices.Contains(in.Tried, d.Endpoint.ID):
		return "tried"
	}
	return ""
}

// alwaysSpillover sends every request to the same region.
type alwaysSpillover struct{ region types.Region }

var _ pipeline.Spillover = alwaysSpillover{}

func (a alwaysSpillover) Choose(*route.Input, []*snapshot.Endpoint) (types.Region, string, bool) {
	return a.region, "test", true
}

var _ = Describe("Router", func() {
	It("keeps every invariant for random inputs, where the naive router violates some", func() {
		naiveViolations := map[string]int{}
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			in := drawInput(t)
			options := pipeline.Options{}
			if rapid.Bool().Draw(t, "spill") {
				options.Spillover = alwaysSpillover{region: regions[1]}
			}
			decision, failure := pipeline.New(options).Route(in)
			if failure != nil {
				if failure.Verdict != types.NotRun || decision.Endpoint != nil || decision.Region != "" {
					t.Fatalf("failure %v with decision %+v", failure, decision)
				}
			} else if promise := violation(in, decision); promise != "" {
				t.Fatalf("violates %s: %+v", promise, decision)
			}
			if decision, failure := (&naive.Router{}).Route(in); failure == nil {
				naiveViolations[violation(in, decision)]++
			}
		})
		for _, promise := range []string{"residency", "home", "leaving", "quarantine"} {
			Expect(naiveViolations).To(HaveKey(promise))
		}
	})

	It("gives the same decision for the same input and random source", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			in := drawInput(t)
			router := pipeline.New(pipeline.Options{})
			seed := rapid.Uint64().Draw(t, "source")
			in.Rand = rand.New(rand.NewPCG(seed, 1))
			first, firstFailure := router.Route(in)
			in.Rand, in.Explain = rand.New(rand.NewPCG(seed, 1)), true
			second, secondFailure := router.Route(in)
			if first.Endpoint != second.Endpoint || first.Region != second.Region || (firstFailure == nil) != (secondFailure == nil) {
				t.Fatalf("%+v, %+v", first, second)
			}
		})
	})

	It("names daemons in allowed regions when the local region is not allowed", func() {
		in := input(1, []types.Region{regions[1]}, endpoint(0, regions[0]))
		in.Snapshot.Members = []snapshot.Member{
			{Incarnation: types.Incarnation{VM: "a"}, Region: regions[1], State: snapshot.MemberAlive},
			{Incarnation: types.Incarnation{VM: "b"}, Region: regions[2], State: snapshot.MemberAlive},
			{Incarnation: types.Incarnation{VM: "c"}, Region: regions[1], State: snapshot.MemberLeaving},
		}
		_, failure := pipeline.New(pipeline.Options{}).Route(in)
		Expect(failure.Code).To(Equal(types.CodeResidency))
		Expect(failure.Entries).To(Equal([]types.VMID{"a"}))
	})

	It("never sends a non-repeatable request to another region", func() {
		in := input(1, regions, endpoint(0, regions[0]))
		in.Request.Repeatable = false
		decision, failure := pipeline.New(pipeline.Options{Spillover: alwaysSpillover{region: regions[1]}}).Route(in)
		Expect(failure).To(BeNil())
		Expect(decision.Endpoint).NotTo(BeNil())
	})

	It("prefers the endpoint that holds the longest prefix, unless it is overloaded", func() {
		in := input(1, regions, endpoint(0, regions[0]), endpoint(16, regions[0]), endpoint(32, regions[0]))
		in.Snapshot.Prefixes = holders{6: {"ep-0016"}}
		router := pipeline.New(pipeline.Options{})
		decision, _ := router.Route(in)
		Expect(decision.Endpoint.ID).To(Equal(types.EndpointID("ep-0016")))
		decision.Endpoint.Load.Queued = 40
		decision, _ = router.Route(in)
		Expect(decision.Endpoint.ID).NotTo(Equal(types.EndpointID("ep-0016")))
	})

	It("applies slow start to an endpoint that returns to service", func() {
		returning := endpoint(0, regions[0])
		returning.SlowStartAt = now.Add(-3 * time.Second)
		in := input(1, regions, returning, endpoint(16, regions[0]))
		in.Request.Prefix = nil
		chosen := 0
		for range 1000 {
			if decision, _ := pipeline.New(pipeline.Options{}).Route(in); decision.Endpoint == returning {
				chosen++
			}
		}
		// A tenth of the ramp has passed, so a tenth of the requests may choose the
		// endpoint; half of those choose the other one: 50 of 1000.
		Expect(chosen).To(BeNumerically("~", 50, 30))
	})
})

// holders is a prefix index with fixed contents.
type holders map[uint64][]types.EndpointID

func (h holders) Holders(prefix uint64) []types.EndpointID { return h[prefix] }

func benchmarkRoute(b *testing.B, endpoints, orgs int) {
	var eps []*snapshot.Endpoint
	for i := range endpoints {
		ep := endpoint(i, regions[0])
		ep.Hash = score.HashEndpoint(ep.ID)
		eps = append(eps, ep)
	}
	in := input(1, regions, eps...)
	in.Snapshot.Prefixes = holders{5: {"ep-0001", "ep-0003"}, 6: {"ep-0002"}}
	in.Snapshot.Config.Orgs = map[types.OrgName]*published.Organisation{}
	for i := range orgs {
		name := types.OrgName(fmt.Sprint(i))
		in.Snapshot.Config.Orgs[name] = &published.Organisation{Name: name, Share: 1}
	}
	for i := range 20 {
		in.Snapshot.Members = append(in.Snapshot.Members, snapshot.Member{
			Incarnation: types.Incarnation{VM: types.VMID(fmt.Sprint(i))}, Region: regions[0], State: snapshot.MemberAlive,
		})
	}
	router := pipeline.New(pipeline.Options{})
	b.ReportAllocs()
	for b.Loop() {
		if _, failure := router.Route(in); failure != nil {
			b.Fatal(failure)
		}
	}
}

func BenchmarkRoute(b *testing.B) {
	for _, endpoints := range []int{12, 125, 250, 500, 1000} {
		for _, orgs := range []int{100, 39_000} {
			b.Run(fmt.Sprintf("endpoints=%d/orgs=%d", endpoints, orgs), func(b *testing.B) {
				benchmarkRoute(b, endpoints, orgs)
			})
		}
	}
}
