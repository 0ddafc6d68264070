package deployment_test

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sourcegraph/conc"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/standin/deployment"
	"github.com/flamingomount/flamingomount/pkg/standin/engine"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestDeployment(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "deployment")
}

// patience bounds how long a test waits for the deployment; no check depends on
// it.
const patience = time.Minute

func start(plan deployment.Plan) (*deployment.Deployment, context.Context) {
	if os.Getenv("FLAMINGOMOUNT_LOG") != "" {
		plan.Log = GinkgoWriter
	}
	one, err := deployment.Start(plan)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(one.Close)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	DeferCleanup(cancel)
	Expect(one.WaitReady(ctx)).To(Succeed())
	return one, ctx
}

func twoRegions() deployment.Plan {
	return deployment.Plan{
		Config: deployment.Config(1, "kathmandu", "pokhara"),
		Model:  deployment.Model,
		Orders: deployment.Orders,
		Regions: []deployment.RegionPlan{
			{Region: "kathmandu", Daemons: 2, Engines: 2, Workers: 1},
			{Region: "pokhara", Daemons: 1, Engines: 1, Workers: 1},
		},
	}
}

func post(entry *deployment.Entry, path, body string) (*http.Response, string) {
	req, err := http.NewRequest(http.MethodPost, entry.URL()+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+deployment.Credential)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp, string(data)
}

var _ = Describe("a deployment on loopback", func() {
	It("serves a caller of every entry and keeps serving after an engine's crash", func() {
		one, _ := start(twoRegions())
		for _, entry := range one.Entries() {
			resp, text := post(entry, "/v1/chat/completions", question)
			Expect(resp.StatusCode).To(Equal(200), text)
			Expect(text).To(ContainSubstring(engine.Tokens("hello", 4)[3]))
		}
		one.CrashEndpoint("kathmandu-engine-1")
		for range 20 {
			resp, text := post(one.Entries()[0], "/v1/chat/completions", question)
			Expect(resp.StatusCode).To(Equal(200), text)
		}
	})

	It("puts a new revision in force at every entry", func() {
		one, ctx := start(twoRegions())
		Expect(one.Publish(deployment.Config(2, "kathmandu", "pokhara"))).To(Succeed())
		Expect(one.Wait(ctx, func(e *deployment.Entry) bool { return e.Load().Config.Revision == 2 })).To(Succeed())
	})
})

const question = `{"model":"liner-assistant","max_tokens":4,"messages":[{"role":"user","content":"hello"}]}`

var _ = Describe("while the platform is down", func() {
	It("keeps serving, and a fresh VM learns revision and endpoints from its peers", func() {
		plan := twoRegions()
		plan.Config.Revision = 5
		one, ctx := start(plan)
		one.Platform.SetDown(true)
		fresh, err := one.StartEntry("kathmandu")
		Expect(err).NotTo(HaveOccurred())
		knows := func(e *deployment.Entry) bool {
			view := e.Load()
			return view.Config != nil && !view.Paused && len(view.Endpoints[deployment.Model]) == 3
		}
		Expect(one.Wait(ctx, knows)).To(Succeed())
		Expect(fresh.Load().Config.Revision).To(BeEquivalentTo(5))
		for _, entry := range one.Entries() {
			resp, text := post(entry, "/v1/chat/completions", question)
			Expect(resp.StatusCode).To(Equal(200), text)
		}
	})

	It("never goes back to the older revision that a stale service serves to a fresh VM", func() {
		one, ctx := start(twoRegions())
		Expect(one.Publish(deployment.Config(2, "kathmandu", "pokhara"))).To(Succeed())
		second := func(e *deployment.Entry) bool { return e.Load().Config != nil && e.Load().Config.Revision == 2 }
		Expect(one.Wait(ctx, second)).To(Succeed())
		one.Platform.Republish(1)
		fresh, err := one.StartEntry("kathmandu")
		Expect(err).NotTo(HaveOccurred())
		Expect(one.Wait(ctx, func(e *deployment.Entry) bool { return e.Load().Config != nil })).To(Succeed())
		Expect(fresh.Load().Config.Revision).To(BeEquivalentTo(2))
	})
})

// hearsOfRoom reports whether the other region has told the entry that engines
// are free there; its first summary may be older than its VM list. Entries of
// pokhara have engines of their own.
func hearsOfRoom(entry *deployment.Entry) bool {
	if entry.Self().Region == "pokhara" {
		return true
	}
	summary := entry.Load().Regions["pokhara"]
	if summary == nil {
		return false
	}
	for _, service := range summary.Services {
		if service.Service == deployment.Model && service.FreeSlots > 0 {
			return true
		}
	}
	return false
}

var _ = Describe("requests between regions", func() {
	noEnginesHere := func(allowed ...types.Region) deployment.Plan {
		plan := twoRegions()
		plan.Regions[0].Engines = 0
		plan.Config.Services[deployment.Model].Regions = allowed
		return plan
	}

	It("sends a request away when no endpoint is left here, once, and says who ran it", func() {
		one, ctx := start(noEnginesHere("kathmandu", "pokhara"))
		Expect(one.Wait(ctx, hearsOfRoom)).To(Succeed())
		resp, text := post(one.Entries()[0], "/v1/chat/completions", question)
		Expect(resp.StatusCode).To(Equal(200), text)
		Expect(resp.Header.Get(types.HeaderServedBy)).To(Equal("pokhara-engine-1"))
		Expect(resp.Header.Get(types.HeaderVerdict)).To(Equal("ran"))
	})

	It("keeps data in the regions that the service lists, and says that the request was not run", func() {
		one, ctx := start(noEnginesHere("kathmandu"))
		Expect(one.Wait(ctx, hearsOfRoom)).To(Succeed())
		resp, _ := post(one.Entries()[0], "/v1/chat/completions", question)
		Expect(resp.StatusCode).To(Equal(503))
		Expect(resp.Header.Get(types.HeaderVerdict)).To(Equal("not-run"))
		Expect(one.Engines["pokhara-engine-1"].Total()).To(BeZero())
	})
})

var _ = Describe("a request that crashes endpoints", func() {
	fatal := strings.Replace(question, "hello", engine.CrashMark, 1)

	It("costs at most three engines although its caller resends it to every entry at once, and is then quarantined", func() {
		plan := twoRegions()
		plan.Regions = []deployment.RegionPlan{{Region: "kathmandu", Daemons: 4, Engines: 8}}
		plan.Config = deployment.Config(1, "kathmandu")
		plan.Config.Policy.QuarantineFor = time.Hour
		plan.Engine.CrashOnMark = true
		one, ctx := start(plan)
		const resends = 4
		for range resends {
			var callers conc.WaitGroup
			for _, entry := range one.Entries() {
				callers.Go(func() { post(entry, "/v1/chat/completions", fatal) })
			}
			callers.Wait()
		}
		dead := 0
		for _, each := range one.Engines {
			if each.Dead() {
				dead++
			}
		}
		GinkgoWriter.Printf("%d engines lost\n", dead)
		Expect(dead).To(BeNumerically("<=", 3))
		Expect(one.Wait(ctx, func(e *deployment.Entry) bool { return len(e.Load().Quarantine) == 1 })).To(Succeed())
		for _, entry := range one.Entries() {
			resp, text := post(entry, "/v1/chat/completions", fatal)
			Expect(resp.StatusCode).To(Equal(422), text)
			Expect(resp.Header.Get(types.HeaderVerdict)).To(Equal("not-run"))
			resp, text = post(entry, "/v1/chat/completions", question)
			Expect(resp.StatusCode).To(Equal(200), text)
		}
	})
})

var _ = Describe("orders to engines", func() {
	DescribeTable("bring every engine to the published placement",
		func(checksFencing bool) {
			const next types.ModelVersion = "2026-11"
			plan := twoRegions()
			plan.Regions = []deployment.RegionPlan{{Region: "kathmandu", Daemons: 2, Engines: 3}}
			plan.Config = deployment.Config(1, "kathmandu")
			plan.Engine.ChecksFencing = checksFencing
			one, ctx := start(plan)
			wanted := deployment.Config(2, "kathmandu")
			wanted.Regions["kathmandu"].WeightStore = true
			wanted.Policy.WeightStoreBytesPerSecond = 1 << 20
			wanted.Services[deployment.Model].Versions = []types.ModelVersion{deployment.Version, next}
			wanted.Placement = map[types.ServiceName]published.PlacementRequest{deployment.Model: {
				Replicas:    map[types.Region]map[types.ModelVersion]int{"kathmandu": {deployment.Version: 2, next: 1}},
				WeightBytes: 1 << 20,
			}}
			Expect(one.Publish(wanted)).To(Succeed())
			Expect(one.Wait(ctx, func(*deployment.Entry) bool {
				moved := 0
				for _, each := range one.Engines {
					state := each.State()
					if state.Version == next && state.Fencing == 2 {
						moved++
					}
				}
				Expect(moved).To(BeNumerically("<=", 1))
				return moved == 1
			})).To(Succeed())
		},
		Entry("engines that check fencing numbers", true),
		Entry("engines that ignore them", false),
	)
})
