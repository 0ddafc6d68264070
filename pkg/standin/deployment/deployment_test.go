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

var _ = Describe("requests between regions", func() {
	noEnginesHere := func(allowed ...types.Region) deployment.Plan {
		plan := twoRegions()
		plan.Regions[0].Engines = 0
		plan.Config.Services[deployment.Model].Regions = allowed
		return plan
	}

	It("sends a request away when no endpoint is left here, once, and says who ran it", func() {
		one, ctx := start(noEnginesHere("kathmandu", "pokhara"))
		hears := func(e *deployment.Entry) bool { return len(e.Load().Regions) == 1 }
		Expect(one.Wait(ctx, hears)).To(Succeed())
		resp, text := post(one.Entries()[0], "/v1/chat/completions", question)
		Expect(resp.StatusCode).To(Equal(200), text)
		Expect(resp.Header.Get(types.HeaderServedBy)).To(Equal("pokhara-engine-1"))
		Expect(resp.Header.Get(types.HeaderVerdict)).To(Equal("ran"))
	})

	It("keeps data in the regions that the service lists, and says that the request was not run", func() {
		one, ctx := start(noEnginesHere("kathmandu"))
		hears := func(e *deployment.Entry) bool { return len(e.Load().Regions) == 1 }
		Expect(one.Wait(ctx, hears)).To(Succeed())
		resp, _ := post(one.Entries()[0], "/v1/chat/completions", question)
		Expect(resp.StatusCode).To(Equal(503))
		Expect(resp.Header.Get(types.HeaderVerdict)).To(Equal("not-run"))
		Expect(one.Engines["pokhara-engine-1"].Total()).To(BeZero())
	})
})
